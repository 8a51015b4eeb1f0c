package guavalog

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"guavascale.example"
)

// Snapshot stores a state that includes all records up to a sequence number, and
// removes the rows and the object that it replaces. It blocks, and may be called
// again after an error. It fails with LeaseError, ConditionError or
// UnavailableError. After an UnavailableError the snapshot may have taken effect.
func (l *Log) Snapshot(ctx context.Context, sequence uint64, data []byte) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	old, version, err := l.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	if sequence > old.Sequence {
		old, err = l.replaceSnapshot(ctx, old, version, sequence, data)
		if err != nil {
			return err
		}
	}
	if err := l.trim(ctx, old.Sequence); err != nil {
		return err
	}
	if old.Previous == "" {
		return nil
	}
	return l.removeObject(ctx, old.Previous)
}

// replaceSnapshot writes the object of a new snapshot and then the row that refers
// to it.
func (l *Log) replaceSnapshot(ctx context.Context, old snapRow, version, sequence uint64, data []byte) (snapRow, error) {
	if err := l.Err(); err != nil {
		return snapRow{}, err
	}
	if err := l.checkOwnership(); err != nil {
		return snapRow{}, err
	}
	id := rand.Text()
	s := snapRow{Sequence: sequence, Previous: old.Object}
	// The random suffix prevents a former owner that was paused from overwriting
	// or removing the object of the current owner.
	s.Object = fmt.Sprintf("%s/%0*d-%s", snapshotKey(l.opt.Partition), sequenceDigits, sequence, id)
	if err := l.putObject(ctx, s.Object, data); err != nil {
		return snapRow{}, err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return snapRow{}, err
	}
	key := snapshotKey(l.opt.Partition)
	err = l.commit(ctx, guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{l.lease.Owner, {Key: key, Version: version}},
		Writes:     []guavascale.Write{{Key: key, Value: value}},
	})
	if err == nil {
		return s, nil
	}
	if asConditionError(err) != nil || notApplied(err) {
		_ = l.removeObject(ctx, s.Object)
		return snapRow{}, err
	}
	// The response was lost. The object must be kept until reading the row shows
	// whether the commit took effect.
	current, _, readErr := l.readSnapshotRow(ctx)
	if readErr == nil && current.Object == s.Object {
		return s, nil
	}
	return snapRow{}, err
}

// trim removes the rows up to a sequence number in commits of limited size.
// Removing a row twice is harmless, so a lost response needs no read-back.
func (l *Log) trim(ctx context.Context, sequence uint64) error {
	for {
		rows, err := l.scanRows(ctx, "", trimPageRows)
		if err != nil {
			return err
		}
		last := logKey(l.opt.Partition, sequence)
		c := guavascale.Commit{ID: rand.Text(), Conditions: []guavascale.Condition{l.lease.Owner}}
		for _, row := range rows {
			if row.Key <= last {
				c.Writes = append(c.Writes, guavascale.Write{Key: row.Key, Delete: true})
			}
		}
		if len(c.Writes) == 0 {
			return nil
		}
		if err := l.checkOwnership(); err != nil {
			return err
		}
		if err := l.commit(ctx, c); err != nil {
			return err
		}
	}
}

func (l *Log) commit(ctx context.Context, c guavascale.Commit) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	_, err := l.opt.Table.Commit(ctx, c)
	return err
}

func (l *Log) putObject(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Put(ctx, key, data)
}

func (l *Log) removeObject(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Remove(ctx, key)
}
