package guavalog

import (
	"context"

	"guavascale.example"
	"guavascale.example/guavalease"
	"guavascale.example/guavascan"
)

// Recover reads the snapshot and the rows after it and opens the log for appends.
// It fails with LeaseError, UnavailableError or CorruptError. It may be called again
// after a failure.
func (l *Log) Recover(ctx context.Context) (Recovered, error) {
	lease, err := l.opt.CheckLease(l.opt.Partition)
	if err != nil {
		return Recovered{}, err
	}
	for {
		snap, version, err := l.readSnapshotRow(ctx)
		if err != nil {
			return Recovered{}, err
		}
		rec, err := l.readContent(ctx, snap)
		// An earlier Log of this ownership may still have been writing a
		// snapshot, which removes rows that were being read here.
		_, newVersion, versionErr := l.readSnapshotRow(ctx)
		switch {
		case versionErr != nil:
			return Recovered{}, versionErr
		case newVersion != version:
			continue
		case err != nil:
			return Recovered{}, err
		}
		return rec, l.open(lease, snap.Sequence+uint64(len(rec.Batches))+1)
	}
}

// readContent reads the object of a snapshot row and the rows after the snapshot.
func (l *Log) readContent(ctx context.Context, snap snapRow) (Recovered, error) {
	rec := Recovered{Sequence: snap.Sequence}
	var err error
	if snap.Object != "" {
		rec.Snapshot, err = l.fetchObject(ctx, snap.Object)
		if err != nil {
			return Recovered{}, err
		}
	}
	rec.Batches, err = l.readBatches(ctx, snap.Sequence)
	return rec, err
}

// open allows appends, unless the ownership changed while the log was read.
func (l *Log) open(lease guavalease.Lease, next uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recovered {
		return errRecovered
	}
	l.lease = lease
	if err := l.checkOwnership(); err != nil {
		return err
	}
	l.nextSequence = next
	l.recovered = true
	return nil
}

// readSnapshotRow returns the snapshot row and its version, or zero values if the
// row does not exist.
func (l *Log) readSnapshotRow(ctx context.Context) (snapRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	row, err := l.opt.Table.Get(ctx, snapshotKey(l.opt.Partition))
	if isNotFound(err) {
		return snapRow{}, 0, nil
	}
	if err != nil {
		return snapRow{}, 0, err
	}
	s, err := decodeSnapshotRow(row)
	return s, row.Version, err
}

func (l *Log) fetchObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Fetch(ctx, key)
}

// readBatches reads the rows after a sequence number. Rows are written in order, so
// a gap means that a row was lost.
func (l *Log) readBatches(ctx context.Context, after uint64) ([]Batch, error) {
	var batches []Batch
	from := logKey(l.opt.Partition, after)
	err := guavascan.Pages(ctx, l.opt.Table, logPrefix(l.opt.Partition), from, recoverPageRows, l.opt.CallTimeout, func(rows []guavascale.Row) error {
		for _, row := range rows {
			b, err := decodeBatch(l.opt.Partition, row)
			if err != nil {
				return err
			}
			if b.Sequence != after+1 {
				return &CorruptError{Key: row.Key, Reason: "a row before it is missing"}
			}
			after++
			batches = append(batches, b)
		}
		return nil
	})
	return batches, err
}

func (l *Log) scanRows(ctx context.Context, after string, limit int) ([]guavascale.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Table.Scan(ctx, logPrefix(l.opt.Partition), after, limit)
}
