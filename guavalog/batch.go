package guavalog

import (
	"crypto/rand"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// batch commits one row of the log and tracks its outcome until that is known.
	batch struct {
		log      *Log
		sequence uint64
		// entries are those still to be committed; rejected holds those with a
		// condition that failed.
		entries  []*Entry
		rejected []rejection
		// attempts maps the write ID of each commit whose outcome is unknown
		// to its entries.
		attempts map[string][]*Entry
		// needsReadBack is set when the row must be read to determine whether
		// an attempt wrote it.
		needsReadBack bool
		backoff       time.Duration
		// committed holds the entries in the row once written is set.
		committed []*Entry
		written   bool
		// leaseErr is set when the lease was lost before the outcome of the
		// batch was known.
		leaseErr error
		// failedQueue holds the queued entries that fail with leaseErr.
		failedQueue []*Entry
	}

	rejection struct {
		entry *Entry
		err   error
	}
)

// fill moves entries from the queue to the batch, up to the maximum size of a row.
// It stops at an entry that conflicts with an earlier one. l.mu must be held.
func (b *batch) fill(l *Log) {
	size, n := 0, 0
	keys := map[string]bool{}
	for n < len(l.queue) && (n == 0 || size+l.queue[n].size() <= l.opt.MaxBatch) {
		if l.queue[n].conflictsWith(keys) {
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
	l.queuedBytes -= size
	l.urgent = slices.ContainsFunc(l.queue, func(e *Entry) bool { return e.Urgent })
	b.sequence = l.nextSequence
	b.attempts = map[string][]*Entry{}
}

// conflictsWith reports whether the entry has a condition on, or writes, a key that
// an earlier entry of the batch writes. Such entries cannot share a commit, because
// a commit checks its conditions against the state before it and may contain each
// written key only once.
func (e *Entry) conflictsWith(written map[string]bool) bool {
	return slices.ContainsFunc(e.Writes, func(w guavascale.Write) bool { return written[w.Key] }) ||
		slices.ContainsFunc(e.Conditions, func(c guavascale.Condition) bool { return written[c.Key] })
}

// commit retries until the row is written, no entries are left, or the lease is
// lost.
func (b *batch) commit() {
	for !b.written && b.leaseErr == nil {
		if b.leaseErr = b.log.checkOwnership(); b.leaseErr != nil {
			return
		}
		if b.needsReadBack {
			b.readBack()
			continue
		}
		if len(b.entries) == 0 && len(b.attempts) == 0 {
			return
		}
		b.tryCommit()
	}
}

// tryCommit commits the batch once. If all entries were rejected after an attempt
// with unknown outcome, it writes an empty row. That uses up the sequence number,
// so that the earlier attempt can no longer take effect.
func (b *batch) tryCommit() {
	l := b.log
	value := rowValue(l.lease.Epoch, b.entries)
	key := logKey(l.opt.Partition, b.sequence)
	c := guavascale.Commit{
		ID:         rand.Text(),
		Conditions: []guavascale.Condition{l.lease.Owner, {Key: key}},
		Writes:     []guavascale.Write{{Key: key, Value: value}},
	}
	for _, e := range b.entries {
		c.Conditions = append(c.Conditions, e.Conditions...)
		c.Writes = append(c.Writes, e.Writes...)
	}
	ctx, cancel := l.callContext()
	defer cancel()
	_, err := l.opt.Table.Commit(ctx, c)
	cond := asConditionError(err)
	switch {
	case err == nil:
		b.written, b.committed = true, b.entries
	case cond != nil:
		b.handleConditionError(cond, key)
	case notApplied(err):
		sleepBackoff(&b.backoff)
	default:
		b.attempts[c.ID] = b.entries
		b.needsReadBack = true
		sleepBackoff(&b.backoff)
	}
}

// handleConditionError determines whether the owner row, the log row or a row of
// an entry caused the condition to fail.
func (b *batch) handleConditionError(cond *guavascale.ConditionError, key string) {
	switch cond.Key {
	case b.log.lease.Owner.Key:
		b.leaseErr = &guavascale.LeaseError{Partition: b.log.opt.Partition, Reason: "the owner row changed"}
	case key:
		b.needsReadBack = true
	default:
		b.rejectEntries(cond)
	}
}

// rejectEntries removes the entries that have the failed condition. The table
// reports one failed condition per commit, so a batch may need several commits.
func (b *batch) rejectEntries(cond *guavascale.ConditionError) {
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
		// An earlier attempt may have taken effect and changed the row; reading
		// the log row determines whether it did.
		b.needsReadBack = true
		sleepBackoff(&b.backoff)
	}
	b.entries = kept
}

// readBack reads the row to determine whether one of the attempts wrote it.
func (b *batch) readBack() {
	l := b.log
	ctx, cancel := l.callContext()
	defer cancel()
	row, err := l.opt.Table.Get(ctx, logKey(l.opt.Partition, b.sequence))
	if isNotFound(err) {
		b.needsReadBack = false
		return
	}
	if err != nil {
		sleepBackoff(&b.backoff)
		return
	}
	entries, ok := b.attempts[row.WriteID]
	if !ok {
		// A commit by an earlier Log of the same ownership took effect late.
		b.leaseErr = &guavascale.LeaseError{Partition: l.opt.Partition, Reason: "the log has a row that this log did not write"}
		return
	}
	b.written, b.committed = true, entries
}

// failQueue empties the queue after the lease was lost. If the outcome of an
// attempt is unknown, the log must be opened again. l.mu must be held.
func (b *batch) failQueue(l *Log) {
	b.failedQueue = l.queue
	l.queue, l.queuedBytes, l.urgent = nil, 0, false
	if len(b.attempts) > 0 || b.needsReadBack {
		l.reopenErr = b.leaseErr
	}
}

// reportResults reports its result to each entry.
func (b *batch) reportResults() {
	for _, e := range b.committed {
		e.reportResult(Result{Sequence: b.sequence})
	}
	for _, r := range b.rejected {
		switch {
		case slices.Contains(b.committed, r.entry):
			// An earlier attempt that contained the entry took effect.
		case b.leaseErr != nil && len(b.attempts) > 0:
			r.entry.reportResult(Result{Err: b.leaseErr, MayHaveApplied: true})
		default:
			r.entry.reportResult(Result{Err: r.err})
		}
	}
	if b.leaseErr == nil {
		return
	}
	for _, e := range b.entries {
		e.reportResult(Result{Err: b.leaseErr, MayHaveApplied: len(b.attempts) > 0})
	}
	for _, e := range b.failedQueue {
		e.reportResult(Result{Err: b.leaseErr})
	}
}
