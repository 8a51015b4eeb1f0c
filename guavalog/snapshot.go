package guavalog

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"guavascale.example"
)

// Snapshot stores the state that contains all records up to a sequence number,
// and removes the rows and the object that it replaces. It blocks and may be
// repeated after an error. It fails with LeaseError, ConditionError or
// UnavailableError; after the latter the snapshot may be in force.
func (l *Log) Snapshot(ctx context.Context, sequence uint64, data []byte) error {
	l.snapshot.Lock()
	defer l.snapshot.Unlock()
	old, version, err := l.readSnap(ctx)
	if err != nil {
		return err
	}
	if sequence > old.Sequence {
		old, err = l.replaceSnap(ctx, old, version, sequence, data)
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
	return l.remove(ctx, old.Previous)
}

// replaceSnap writes the object and then the row that refers to it.
func (l *Log) replaceSnap(ctx context.Context, old snapRow, version, sequence uint64, data []byte) (snapRow, error) {
	if err := l.Err(); err != nil {
		return snapRow{}, err
	}
	if err := l.check(); err != nil {
		return snapRow{}, err
	}
	id := rand.Text()
	s := snapRow{Sequence: sequence, Previous: old.Object}
	// The random part keeps a former owner that was paused from touching the
	// object of the present one.
	s.Object = fmt.Sprintf("%s/%0*d-%s", snapKey(l.opt.Partition), sequenceDigits, sequence, id)
	if err := l.put(ctx, s.Object, data); err != nil {
		return snapRow{}, err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return snapRow{}, err
	}
	key := snapKey(l.opt.Partition)
	err = l.commitOnce(ctx, guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{l.right.Owner, {Key: key, Version: version}},
		Writes:     []guavascale.Write{{Key: key, Value: value}},
	})
	if err == nil {
		return s, nil
	}
	if asCondition(err) != nil || notApplied(err) {
		_ = l.remove(ctx, s.Object)
		return snapRow{}, err
	}
	// The answer was lost, and the object must stay until the row is read.
	now, _, readErr := l.readSnap(ctx)
	if readErr == nil && now.Object == s.Object {
		return s, nil
	}
	return snapRow{}, err
}

// trim removes the rows up to a sequence number in bounded commits. Removing a
// row twice is harmless, so a lost answer needs no read-back.
func (l *Log) trim(ctx context.Context, sequence uint64) error {
	for {
		rows, err := l.readPage(ctx, "", trimPage)
		if err != nil {
			return err
		}
		last := logKey(l.opt.Partition, sequence)
		c := guavascale.Commit{ID: rand.Text(), Conditions: []guavascale.Condition{l.right.Owner}}
		for _, row := range rows {
			if row.Key <= last {
				c.Writes = append(c.Writes, guavascale.Write{Key: row.Key, Delete: true})
			}
		}
		if len(c.Writes) == 0 {
			return nil
		}
		if err := l.check(); err != nil {
			return err
		}
		if err := l.commitOnce(ctx, c); err != nil {
			return err
		}
	}
}

func (l *Log) commitOnce(ctx context.Context, c guavascale.Commit) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	_, err := l.opt.Table.Commit(ctx, c)
	return err
}

func (l *Log) put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Put(ctx, key, data)
}

func (l *Log) remove(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.CallTimeout)
	defer cancel()
	return l.opt.Objects.Remove(ctx, key)
}
