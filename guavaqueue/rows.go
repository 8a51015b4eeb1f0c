package guavaqueue

import (
	"fmt"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavabatch"
	"guavascale.example/guavaevent"
	"guavascale.example/guavarow"
)

type (
	// Batch is a set of rows to commit together.
	Batch struct {
		Writes []guavascale.Write

		subs []*submission
		// bytes is the size of all values, shared the number of rows that are not of a
		// submission, and group the group of the submissions.
		bytes, shared, group int
		fleet                map[guavascale.WorkerID]bool
		// missing is the set of recorded missing workers, or nil if the batch
		// doesn't write it.
		missing map[guavascale.WorkerID]bool
		// bindings and accounts are set if the batch writes the bindings and the accounts.
		bindings, accounts bool
	}
)

// kindsInterval is the minimum time between writes of the interference model. It is stored so
// that a new owner need not learn it again.
const kindsInterval = 3 * time.Second

func (e *Engine) markDirty(now time.Time, s *submission, urgent bool) {
	if e.dirtySince.IsZero() {
		e.dirtySince = now
	}
	e.urgent = e.urgent || urgent
	e.changes++
	if s.Change(e.changes, urgent) {
		e.dirty = append(e.dirty, s)
	}
}

// class returns what waits for the next commit of the submission.
func (s *submission) class() guavabatch.Class { return s.Class(len(s.waiters) > 0) }

// Batch returns the rows to commit now, or nil. The owner commits one batch at a
// time and reports the outcome with Committed, Failed or Refused.
func (e *Engine) Batch(now time.Time) *Batch {
	e.refusals.Retry(now, (*submission).endedAt)
	maySharedRows := !now.Before(e.sharedRetryAt)
	fleetDue, missingDue := maySharedRows && e.fleetDirty, maySharedRows && e.missing.Due(now)
	bindingsDue, accountsDue := maySharedRows && e.bindings.Unsaved, maySharedRows && e.quota.Unsaved
	if !fleetDue && !missingDue && !bindingsDue && !accountsDue && !e.urgent && (e.dirtySince.IsZero() || now.Sub(e.dirtySince) < guavabatch.Delay) {
		return nil
	}
	b := &Batch{group: e.refusals.Next()}
	if b.group == 0 {
		if fleetDue {
			e.writeFleet(now, b)
		}
		if missingDue {
			e.add(b, guavarow.MissingKey, func() (data []byte, err error) {
				data, b.missing, err = e.missing.Encode(now, e.Token)
				return data, err
			})
		}
		if maySharedRows && e.interference.Changed && now.Sub(e.kindsWrittenAt) >= kindsInterval {
			e.kindsWrittenAt, e.interference.Changed = now, false
			e.add(b, guavarow.KindsKey, func() ([]byte, error) { return guavarow.EncodeKinds(e.interference.Row()) })
		}
		if bindingsDue {
			b.bindings = true
			b.add(guavarow.BindingsKey, e.bindings.Encode(guavarow.MaxBytes))
		}
		if accountsDue {
			b.accounts = true
			b.add(guavarow.AccountsKey, e.quota.Encode(guavarow.MaxBytes))
		}
		b.shared = len(b.Writes)
	}
	e.writeSubmissions(now, b)
	if len(b.Writes) == 0 {
		return nil
	}
	return b
}

// writeSubmissions adds the changed submissions of the batch's group to the batch, as far as
// they fit.
func (e *Engine) writeSubmissions(now time.Time, b *Batch) {
	dirty := guavabatch.Order(e.dirty, (*submission).class, guavabatch.MaxUrgentRows)
	kept, left := dirty[:0], false
	failed := make(map[*submission]error)
	for _, s := range dirty {
		full := len(b.Writes)+2 > guavabatch.MaxRows || b.bytes > guavabatch.MaxBytes || e.sharedRowsRefused && b.shared > 0
		if full || e.refusals.Group(s) != b.group {
			kept, left = append(kept, s), left || e.refusals.Group(s) == b.group
			continue
		}
		if err := e.write(s, b); err != nil {
			kept, failed[s] = append(kept, s), err
			continue
		}
		s.Begin()
		b.subs = append(b.subs, s)
	}
	if left {
		e.refusals.Again(b.group)
	}
	clear(dirty[len(kept):])
	e.dirty = append(e.dirty[:0], kept...)
	for s, err := range failed {
		e.setAside(now, now, s, err.Error(), 0)
	}
	if len(e.dirty) == 0 {
		e.dirtySince, e.urgent = time.Time{}, false
	}
}

// add adds a row that is not of a submission.
func (e *Engine) add(b *Batch, key string, encode func() ([]byte, error)) {
	data, err := encode()
	if err != nil {
		e.emit(guavaevent.Event{Kind: guavaevent.SetAside, Outcome: "SharedRows", Reason: err.Error()})
		return
	}
	b.add(key, data)
}

func (b *Batch) add(key string, data []byte) {
	b.Writes = append(b.Writes, guavascale.Write{Key: key, Value: data})
	b.bytes += len(data)
}

// writeFleet adds the rows of the fleet to a batch. Workers that don't fit get no starts.
func (e *Engine) writeFleet(now time.Time, b *Batch) {
	var held, free []guavascale.WorkerID
	for id, w := range e.workers {
		switch {
		case !w.mayHoldRuns():
			// The worker gets no start before it is in the durable fleet again.
			w.durable = false
		case e.fleet[id], w.durable, len(w.runs) > 0:
			held = append(held, id)
		default:
			free = append(free, id)
		}
	}
	for id := range e.missing.Until {
		if w := e.workers[id]; w == nil || !w.mayHoldRuns() {
			held = append(held, id)
		}
	}
	rows, fit, err := guavarow.EncodeFleet(held, free)
	left := len(held) + len(free) - len(fit)
	e.fleetDirty = left > 0
	if left > 0 {
		e.sharedRetryAt = now.Add(sharedRowRetry)
		e.emit(guavaevent.Event{Kind: guavaevent.SetAside, Outcome: "Workers", Reason: fmt.Sprintf("the rows of the fleet are full: %v", err), Value: float64(left)})
	}
	if err != nil {
		return
	}
	b.fleet = fit
	for _, r := range rows {
		b.add(r.Key, r.Value)
	}
}

// write adds the rows of a submission to a batch.
func (e *Engine) write(s *submission, b *Batch) error {
	if s.removed {
		b.Writes = append(
			b.Writes,
			guavascale.Write{Key: guavarow.SubmissionKey(s.ID), Delete: true},
			guavascale.Write{Key: guavarow.ProgressKey(s.ID), Delete: true},
		)
		return nil
	}
	progress := s.rowWritten || s.state != guavascale.SubmissionQueued
	var data []byte
	if progress {
		var (
			p   = s.progress()
			cut guavarow.Cut
			err error
		)
		if data, cut, err = guavarow.EncodeProgress(s.ID, &p, guavarow.Counts(&s.Submission)); err != nil {
			return err
		}
		if cut != (guavarow.Cut{}) && s.cut == (guavarow.Cut{}) {
			e.emit(guavaevent.Event{Kind: guavaevent.RowCut, Submission: s.ID, Reason: fmt.Sprintf("%+v", cut), Value: float64(cut.Checkpoints)})
		}
		s.cut = cut
	}
	if !s.rowWritten {
		s.rowWritten = true
		b.add(guavarow.SubmissionKey(s.ID), s.row)
	}
	if progress {
		b.add(guavarow.ProgressKey(s.ID), data)
	}
	return nil
}

// progress returns the content of the progress row.
func (s *submission) progress() guavarow.Progress {
	p := guavarow.Progress{State: s.state}
	if s.state.Ended() {
		p.EndedMs = s.ended.UnixMilli()
		return p
	}
	for s.doneSteps < len(s.steps) && s.steps[s.doneSteps].done == len(s.steps[s.doneSteps].tasks) {
		s.doneSteps++
	}
	p.DoneSteps = s.doneSteps
	for _, st := range s.steps[s.doneSteps:] {
		for i, t := range st.tasks {
			row := guavarow.Task{Done: t.done, Failed: t.failed, Record: t.record, Recorded: t.mustRecord()}
			if len(t.runs) == 0 {
				row.Checkpoint = t.checkpoint
			}
			p.Add(st.occurrence, st.index, i, row)
		}
	}
	return p
}

// Failed reports that a batch was certainly not applied. Its changes become part
// of a later batch.
func (e *Engine) Failed(now time.Time, b *Batch) {
	e.keepChanges(now, b)
	if len(b.subs) > 0 {
		e.refusals.Again(b.group)
	}
}

// keepChanges makes the changes of a batch that was not applied part of a later one.
func (e *Engine) keepChanges(now time.Time, b *Batch) {
	e.fleetDirty = e.fleetDirty || b.fleet != nil
	if b.missing != nil {
		e.missing.Again()
	}
	e.bindings.Unsaved, e.quota.Unsaved = e.bindings.Unsaved || b.bindings, e.quota.Unsaved || b.accounts
	for _, s := range b.subs {
		s.Committing = false
		if !s.durable {
			s.rowWritten = false
		}
		e.markDirty(now, s, len(s.waiters) > 0)
		e.urgent = true
	}
}

// Withdraw drops the submissions that have waited for acceptance since before a
// given time and are not part of a batch that was or may have been applied. It
// calls their reply functions with an empty state and returns their number.
func (e *Engine) Withdraw(since time.Time) int {
	n := 0
	e.dirty = slices.DeleteFunc(e.dirty, func(s *submission) bool {
		if s.durable || s.rowWritten || !s.accepted.Before(since) {
			return false
		}
		n++
		e.emit(guavaevent.Event{Kind: guavaevent.Withdrawn, Submission: s.ID, Reason: "commits fail", Age: since.Sub(s.accepted)})
		e.drop(s)
		return true
	})
	e.unclaimed = slices.DeleteFunc(e.unclaimed, func(s *submission) bool { return e.subs[s.ID] != s })
	return n
}

// Committed reports that a batch is durable.
func (e *Engine) Committed(now time.Time, b *Batch) {
	if b.fleet != nil {
		e.fleet = b.fleet
		for id, w := range e.workers {
			w.durable = e.fleet[id]
			if w.listed && !w.durable && w.mayHoldRuns() {
				e.fleetDirty = true
			}
		}
	}
	if b.missing != nil {
		e.missing.Recorded = b.missing
	}
	e.sharedRowsRefused = e.sharedRowsRefused && b.shared == 0
	e.refusals.Accepted(b.subs...)
	for _, s := range b.subs {
		s.Commit()
		if s.removed {
			continue
		}
		if !s.durable {
			s.durable, s.row = true, nil
			e.emit(guavaevent.Event{Kind: guavaevent.Accepted, Submission: s.ID, Outcome: s.Queue, Age: now.Sub(s.accepted)})
			if !s.state.Ended() {
				e.startDueOccurrences(now, s)
			}
		}
		// An end is reported once it is durable, but if the submission has changed again, the
		// acceptance can be reported now.
		if !s.Dirty || !s.state.Ended() {
			s.reply(s.state)
		}
	}
	for _, w := range e.workerList {
		if w.ends.Commit() && w.durable && !w.mayHoldRuns() {
			e.fleetDirty = true
		}
	}
}

// Expire removes submissions that ended more than Limits.Keep ago.
func (e *Engine) Expire(now time.Time) {
	if now.Before(e.nextExpiry) {
		return
	}
	e.nextExpiry = now.Add(e.Limits.Keep / 10)
	for id, s := range e.subs {
		if s.state.Ended() && s.durable && !s.Dirty && now.Sub(s.ended) > e.Limits.Keep && s.runs == 0 {
			s.removed = true
			e.markDirty(now, s, false)
			delete(e.subs, id)
		}
	}
}

// Restore loads the rows of earlier owners into an empty engine. LeasesEnd is the time
// at which all leases that these owners granted must have ended.
func (e *Engine) Restore(now time.Time, rows []guavascale.Row, leasesEnd time.Time) error {
	shard, err := guavarow.Read(rows)
	if err != nil {
		return err
	}
	if shard.Bindings != nil {
		if err := e.bindings.Restore(shard.Bindings); err != nil {
			return err
		}
	}
	if err := e.quota.Restore(shard.Accounts); err != nil {
		return err
	}
	e.fleet = shard.Fleet
	e.interference.Restore(now, shard.Kinds)
	e.missing.Restore(now, e.fleet, leasesEnd, shard.Missing, e.Token)
	e.subs = make(map[string]*submission, len(shard.Submissions))
	for id, row := range shard.Submissions {
		s := &submission{
			Submission: row.Submission, epoch: row.Epoch, accepted: time.UnixMilli(row.AcceptedMs),
			state: guavascale.SubmissionQueued, durable: true, rowWritten: true,
		}
		s.account = e.quota.Account(s.Account)
		e.unclaimed = append(e.unclaimed, s)
		e.subs[id] = s
		if progress, err := shard.Progress(id); err != nil {
			e.setUnreadable(now, s, err)
		} else {
			e.restore(now, s, progress)
		}
	}
	return nil
}

func (e *Engine) restore(now time.Time, s *submission, pr guavarow.Progress) {
	if pr.State.Ended() {
		s.state, s.ended, s.started = pr.State, time.UnixMilli(pr.EndedMs), true
		return
	}
	s.binding = e.bindings.Bind(&s.Submission)
	for s.occurrences < max(s.Repeat, 1) && (s.Repeat == 0 || !now.Before(s.Due(s.occurrences))) {
		e.addOccurrence(s)
	}
	e.schedule(s)
	for _, suspect := range pr.Suspects {
		for suspect.Occurrence >= s.occurrences {
			e.addOccurrence(s)
		}
		s.started, s.state = true, guavascale.SubmissionRunning
		e.restoreRecord(s.steps[suspect.Occurrence*len(s.Steps)+suspect.Step].tasks[suspect.Index], suspect.Record)
	}
	for _, sr := range pr.Steps {
		for sr.Occurrence >= s.occurrences {
			e.addOccurrence(s)
		}
		st := s.steps[sr.Occurrence*len(s.Steps)+sr.Step]
		s.started, s.state = true, guavascale.SubmissionRunning
		sr.Tasks(func(i int, row guavarow.Task) {
			t := st.tasks[i]
			t.failed, t.attempt = row.Failed, max(t.attempt, row.Failed.Last())
			t.record.Crashes, t.checkpoint, t.notBefore = row.Record.Crashes, row.Checkpoint, now
			if row.Done {
				e.markDone(now, t)
			}
		})
	}
	e.queueReadySteps(s)
}
