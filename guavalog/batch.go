package guavalog

import (
	"crypto/rand"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// batch is the commit of one row, until its outcome is settled.
	batch struct {
		log      *Log
		sequence uint64
		// entries still take part; rejected ones had a condition that failed.
		entries  []*Entry
		rejected []rejection
		// attempts holds the entries of each commit that may have taken
		// effect, by write ID.
		attempts map[string][]*Entry
		// unsettled is set when the row must be read back.
		unsettled bool
		backoff   time.Duration
		// winner holds the entries in the row once it is written.
		winner  []*Entry
		written bool
		// lease is set when the right ended before the batch was settled.
		lease error
		// abandoned holds the queue's entries that fail with lease.
		abandoned []*Entry
	}

	rejection struct {
		entry *Entry
		err   error
	}
)

// take moves entries from the queue to the batch, up to the size of one row.
// l.mu is held.
func (b *batch) take(l *Log) {
	size, n := 0, 0
	keys := map[string]bool{}
	for n < len(l.queue) && (n == 0 || size+l.queue[n].size() <= l.opt.MaxBatch) {
		if l.queue[n].touches(keys) {
			break
		}
		for _, w := range l.queue[n].Writes {
			keys[w.Key] = true
		}
		size += l.queue[n].size()
		n++
	}
	b.entries = slices.Clone(l.queue[:n])
	l.queue = slices.Clone(l.queue[n:])
	l.queued -= size
	l.urgent = slices.ContainsFunc(l.queue, func(e *Entry) bool { return e.Urgent })
	b.sequence = l.next
	b.attempts = map[string][]*Entry{}
}

// touches reports whether the entry depends on or writes a row that an earlier
// entry of the batch writes. A commit checks its conditions against the state
// before it and holds each written key once.
func (e *Entry) touches(written map[string]bool) bool {
	return slices.ContainsFunc(e.Writes, func(w guavascale.Write) bool { return written[w.Key] }) ||
		slices.ContainsFunc(e.Conditions, func(c guavascale.Condition) bool { return written[c.Key] })
}

// commit runs until the row is written, no entry is left, or the right ends.
func (b *batch) commit() {
	for !b.written && b.lease == nil {
		if b.lease = b.log.check(); b.lease != nil {
			return
		}
		if b.unsettled {
			b.readBack()
			continue
		}
		if len(b.entries) == 0 && len(b.attempts) == 0 {
			return
		}
		b.try()
	}
}

// try commits the batch once. A batch whose entries were all rejected after an
// attempt of unknown outcome is written as an empty row: it takes the sequence
// number, so that the earlier attempt cannot take effect any more.
func (b *batch) try() {
	l := b.log
	value := rowValue(l.right.Epoch, b.entries)
	key := logKey(l.opt.Partition, b.sequence)
	c := guavascale.Commit{
		ID:         rand.Text(),
		Conditions: []guavascale.Condition{l.right.Owner, {Key: key}},
		Writes:     []guavascale.Write{{Key: key, Value: value}},
	}
	for _, e := range b.entries {
		c.Conditions = append(c.Conditions, e.Conditions...)
		c.Writes = append(c.Writes, e.Writes...)
	}
	ctx, cancel := l.call()
	defer cancel()
	_, err := l.opt.Table.Commit(ctx, c)
	cond := asCondition(err)
	switch {
	case err == nil:
		b.written, b.winner = true, b.entries
	case cond != nil:
		b.conditionFailed(cond, key)
	case notApplied(err):
		wait(&b.backoff)
	default:
		b.attempts[c.ID] = b.entries
		b.unsettled = true
		wait(&b.backoff)
	}
}

// conditionFailed finds whose condition failed.
func (b *batch) conditionFailed(cond *guavascale.ConditionError, key string) {
	switch cond.Key {
	case b.log.right.Owner.Key:
		b.lease = &guavascale.LeaseError{Partition: b.log.opt.Partition, Reason: "the owner row changed"}
	case key:
		b.unsettled = true
	default:
		b.reject(cond)
	}
}

// reject drops the entries that carry the failed condition. The table names one
// failed condition at a time, so a batch may need several commits.
func (b *batch) reject(cond *guavascale.ConditionError) {
	failed := guavascale.Condition{Key: cond.Key, Version: cond.Want}
	var kept []*Entry
	for _, e := range b.entries {
		if slices.Contains(e.Conditions, failed) {
			b.rejected = append(b.rejected, rejection{e, cond})
		} else {
			kept = append(kept, e)
		}
	}
	if len(kept) == len(b.entries) {
		// An earlier attempt may have changed the row; the log row tells.
		b.unsettled = true
		wait(&b.backoff)
	}
	b.entries = kept
}

// readBack finds out whether one of the attempts wrote the row.
func (b *batch) readBack() {
	l := b.log
	ctx, cancel := l.call()
	defer cancel()
	row, err := l.opt.Table.Get(ctx, logKey(l.opt.Partition, b.sequence))
	if isNotFound(err) {
		b.unsettled = false
		return
	}
	if err != nil {
		wait(&b.backoff)
		return
	}
	winner, ok := b.attempts[row.WriteID]
	if !ok {
		// A commit of an earlier use of this ownership took effect late.
		b.lease = &guavascale.LeaseError{Partition: l.opt.Partition, Reason: "the log has a row that this log did not write"}
		return
	}
	b.written, b.winner = true, winner
}

// abandon fails what waits after the right ended. Unless every outcome is
// known, the log has to be opened again. l.mu is held.
func (b *batch) abandon(l *Log) {
	b.abandoned = l.queue
	l.queue, l.queued, l.urgent = nil, 0, false
	if len(b.attempts) > 0 || b.unsettled {
		l.broken = b.lease
	}
}

// report tells each caller its outcome.
func (b *batch) report() {
	for _, e := range b.winner {
		e.done(Result{Sequence: b.sequence})
	}
	for _, r := range b.rejected {
		switch {
		case slices.Contains(b.winner, r.entry):
			// An earlier attempt with the entry took effect.
		case b.lease != nil && len(b.attempts) > 0:
			r.entry.done(Result{Err: b.lease, MayHaveApplied: true})
		default:
			r.entry.done(Result{Err: r.err})
		}
	}
	if b.lease == nil {
		return
	}
	for _, e := range b.entries {
		e.done(Result{Err: b.lease, MayHaveApplied: len(b.attempts) > 0})
	}
	for _, e := range b.abandoned {
		e.done(Result{Err: b.lease})
	}
}
