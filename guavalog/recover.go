package guavalog

import (
	"context"

	"guavascale.example"
	"guavascale.example/guavalease"
)

// Recover reads the snapshot and the rows after it and opens the log for
// appends. It fails with LeaseError, UnavailableError or CorruptError; a failed
// recovery may be repeated.
func (l *Log) Recover(ctx context.Context) (Recovered, error) {
	right, err := l.opt.Right(l.opt.Partition)
	if err != nil {
		return Recovered{}, err
	}
	for {
		snap, version, err := l.readSnap(ctx)
		if err != nil {
			return Recovered{}, err
		}
		rec, err := l.readFrom(ctx, snap)
		// A snapshot that an earlier log of this ownership still wrote may
		// have removed rows while they were read.
		_, now, errNow := l.readSnap(ctx)
		switch {
		case errNow != nil:
			return Recovered{}, errNow
		case now != version:
			continue
		case err != nil:
			return Recovered{}, err
		}
		return rec, l.open(right, snap.Sequence+uint64(len(rec.Batches))+1)
	}
}

// readFrom reads what a snapshot row refers to and the rows after it.
func (l *Log) readFrom(ctx context.Context, snap snapRow) (Recovered, error) {
	rec := Recovered{Sequence: snap.Sequence}
	var err error
	if snap.Object != "" {
		rec.Snapshot, err = l.fetch(ctx, snap.Object)
		if err != nil {
			return Recovered{}, err
		}
	}
	rec.Batches, err = l.readBatches(ctx, snap.Sequence)
	return rec, err
}

// open starts appends, unless the ownership changed while the log was read.
func (l *Log) open(right guavalease.Lease, next uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.right = right
	if err := l.check(); err != nil {
		return err
	}
	l.next = next
	l.recovered = true
	return nil
}

// readSnap returns the snapshot row and its version; zero when it is missing.
func (l *Log) readSnap(ctx context.Context) (snapRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	row, err := l.opt.Table.Get(ctx, snapKey(l.opt.Partition))
	if isNotFound(err) {
		return snapRow{}, 0, nil
	}
	if err != nil {
		return snapRow{}, 0, err
	}
	s, err := decodeSnap(row)
	return s, row.Version, err
}

func (l *Log) fetch(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Fetch(ctx, key)
}

// readBatches reads the rows after a sequence number. Rows are written in
// order, so a gap means that a row was lost.
func (l *Log) readBatches(ctx context.Context, after uint64) ([]Batch, error) {
	var batches []Batch
	for {
		rows, err := l.readPage(ctx, logKey(l.opt.Partition, after), recoverPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			b, err := decodeBatch(l.opt.Partition, row)
			if err != nil {
				return nil, err
			}
			if b.Sequence != after+1 {
				return nil, &CorruptError{Key: row.Key, Reason: "a row before it is missing"}
			}
			after++
			batches = append(batches, b)
		}
		if len(rows) < recoverPage {
			return batches, nil
		}
	}
}

func (l *Log) readPage(ctx context.Context, after string, limit int) ([]guavascale.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Table.Scan(ctx, logPrefix(l.opt.Partition), after, limit)
}
