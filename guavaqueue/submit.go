package guavaqueue

import (
	"fmt"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaevent"
	"guavascale.example/guavalimit"
	"guavascale.example/guavarow"
)

// maxDueOccurrences bounds how many occurrences of a submission are created in one
// call, as many may be due after a long outage.
const maxDueOccurrences = 64

// Submit adds a submission. Reply is called once with the state when the
// submission is durable; for a known ID that may be before Submit returns. It is
// called with an empty state if the submission is withdrawn. Submit fails with
// ValidationError if the submission is invalid or a task is larger than the limit of the
// account, and with RejectedError if a task is larger than every worker has been or the limit
// allows no completion in time. The submission is not added then, and reply is not called.
func (e *Engine) Submit(now time.Time, s guavascale.Submission, reply func(guavascale.SubmissionState)) error {
	if known := e.subs[s.ID]; known != nil {
		if known.durable {
			reply(known.state)
		} else {
			known.await(reply)
		}
		return nil
	}
	sub := &submission{Submission: s, binding: e.bindings.Bind(&s), epoch: e.Token, accepted: now, state: guavascale.SubmissionQueued}
	sub.account = e.quota.Account(s.Account)
	if err := e.validate(sub); err != nil {
		return err
	}
	var err error
	sub.row, err = guavarow.Encode(guavarow.SubmissionKey(s.ID), guavarow.Submission{Submission: s, Epoch: e.Token, AcceptedMs: now.UnixMilli()})
	if err != nil {
		return &guavascale.ValidationError{Field: "Submission", Value: err.Error(), Allowed: fmt.Sprintf("a row of up to %d bytes", guavarow.MaxBytes)}
	}
	sub.waiters = append(sub.waiters, reply)
	if e.subs == nil {
		e.subs = make(map[string]*submission)
	}
	e.subs[s.ID] = sub
	e.unclaimed = append(e.unclaimed, sub)
	e.markDirty(now, sub, true)
	return nil
}

// Known reports whether the engine holds a submission, durable or not.
func (e *Engine) Known(id string) bool { return e.subs[id] != nil }

// Submission returns a submission that the engine holds, durable or not, or nil. It must
// not be changed.
func (e *Engine) Submission(id string) *guavascale.Submission {
	if s := e.subs[id]; s != nil {
		return &s.Submission
	}
	return nil
}

// Cancel ends a submission. Reply is called once with its state, when the end is
// durable. For an unknown ID, Cancel returns false and does not call reply.
func (e *Engine) Cancel(now time.Time, id string, reply func(guavascale.SubmissionState)) bool {
	s := e.subs[id]
	if s == nil {
		return false
	}
	if !s.state.Ended() {
		e.end(now, s, guavascale.SubmissionCancelled, "")
	}
	s.await(reply)
	return true
}

// State returns the state of a submission for reporting to callers. It returns
// false for an unknown submission and before the submission is durable, and
// reports an end only once that is durable.
func (e *Engine) State(id string) (guavascale.SubmissionState, bool) {
	s := e.subs[id]
	if s == nil || !s.durable {
		return "", false
	}
	if s.state.Ended() && !s.allDurable() {
		return guavascale.SubmissionRunning, true
	}
	return s.state, true
}

// Pending returns the number of accepted submissions of a queue of which no task
// is known to have started.
func (e *Engine) Pending(q guavascale.Queue) int {
	n := 0
	for _, s := range e.subs {
		if s.durable && !s.started && !s.state.Ended() && s.binding.Serves(&q) {
			n++
		}
	}
	return n
}

// allDurable reports whether all changes of the submission are durable.
func (s *submission) allDurable() bool { return s.durable && s.Settled() }

func (s *submission) await(reply func(guavascale.SubmissionState)) {
	if !s.allDurable() {
		s.waiters = append(s.waiters, reply)
		return
	}
	reply(s.state)
}

func (e *Engine) validate(s *submission) error {
	if err := guavalimit.Check(&s.Submission); err != nil {
		return err
	}
	if err := s.account.Check(&s.Submission, e.queue(s)); err != nil {
		return err
	}
	for i := range s.Steps {
		if st := &s.Steps[i]; !e.couldFit(s, st) {
			return guavalimit.NoWorkerFits(i, st.Size)
		}
	}
	return nil
}

// couldFit reports whether some worker of the service could run a task of the step.
func (e *Engine) couldFit(s *submission, st *guavascale.Step) bool {
	q := e.queue(s)
	return q == nil || guavalimit.CouldFit(st, func(yield func(*guavascale.Worker, guavascale.Resources) bool) {
		for _, w := range e.workers {
			if w.Service == q.Service && !yield(&w.Worker, w.largest) {
				return
			}
		}
	})
}

// startDueOccurrences creates the steps of the occurrences that are due and makes
// those without predecessors ready.
func (e *Engine) startDueOccurrences(now time.Time, s *submission) {
	for range maxDueOccurrences {
		if s.occurrences >= max(s.Repeat, 1) || s.Repeat > 0 && now.Before(s.Due(s.occurrences)) {
			break
		}
		e.addOccurrence(s)
		e.queueReadySteps(s)
	}
	e.schedule(s)
}

// schedule remembers whether the submission has occurrences that are not due yet.
func (e *Engine) schedule(s *submission) {
	if s.occurrences >= max(s.Repeat, 1) {
		delete(e.scheduled, s)
		return
	}
	if e.scheduled == nil {
		e.scheduled = make(map[*submission]struct{})
	}
	e.scheduled[s] = struct{}{}
}

func (e *Engine) addOccurrence(s *submission) {
	for i := range s.Steps {
		st := &step{
			sub: s, occurrence: s.occurrences, index: i, spec: &s.Steps[i],
			perWorker: make(map[guavascale.WorkerID]int),
		}
		// Attempt numbers start above those of all earlier owners.
		base := int64(e.Token-s.epoch) * attemptsPerOwner
		tasks := make([]task, st.spec.Count)
		for j := range tasks {
			tasks[j] = task{step: st, index: j, attempt: base, inherited: base > 0}
			st.tasks = append(st.tasks, &tasks[j])
		}
		st.waiting = len(st.tasks)
		s.steps = append(s.steps, st)
	}
	s.occurrences++
}

// queueReadySteps adds the steps whose predecessors are done to readySteps.
func (e *Engine) queueReadySteps(s *submission) {
	n := len(s.Steps)
	for i, st := range s.steps {
		if st.queued || st.waiting == 0 {
			continue
		}
		first := i - st.index
		ready := !slices.ContainsFunc(st.spec.After, func(d int) bool {
			p := s.steps[first+d]
			return p.done < len(p.tasks)
		})
		if ready && first+n <= len(s.steps) {
			st.queued = true
			e.readySteps = append(e.readySteps, st)
		}
	}
}

// end sets the final state of a submission and stops its runs.
func (e *Engine) end(now time.Time, s *submission, state guavascale.SubmissionState, reason string) {
	s.state, s.ended = state, now
	e.emit(guavaevent.Event{Kind: guavaevent.Ended, Submission: s.ID, Outcome: string(state), Reason: reason, Age: now.Sub(s.accepted)})
	delete(e.scheduled, s)
	for _, st := range s.steps {
		for _, t := range st.tasks {
			for _, r := range slices.Clone(t.runs) {
				e.stop(now, r)
			}
		}
	}
	e.markDirty(now, s, true)
}

// advance makes the successors of a finished step ready, or completes the
// submission if all its steps are done.
func (e *Engine) advance(now time.Time, st *step) {
	if st.done < len(st.tasks) {
		return
	}
	s := st.sub
	if s.occurrences == max(s.Repeat, 1) && !slices.ContainsFunc(s.steps, func(o *step) bool { return o.done < len(o.tasks) }) {
		e.end(now, s, guavascale.SubmissionCompleted, "")
		return
	}
	e.queueReadySteps(s)
}
