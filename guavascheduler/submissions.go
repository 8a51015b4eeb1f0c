package guavascheduler

import (
	"context"
	"errors"
	"time"

	"guavascale.example"
	"guavascale.example/guavaqueue"
)

const (
	// ownerWait is how long a request waits for an owner to be found.
	ownerWait = 400 * time.Millisecond
	// pendingAge is how old the number of waiting submissions may be.
	pendingAge = 2 * time.Second
	// retryPause spaces attempts to pass a request on.
	retryPause = 60 * time.Millisecond
	// minRetryAfter is what callers are told at least when nothing can be
	// accepted: a change of the owner takes up to two seconds. It grows with the
	// outage up to maxRetryAfter, so that callers' attempts outlast it.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

var _ guavascale.Submissions = (*Scheduler)(nil)

// Submit passes a submission to the owner.
func (s *Scheduler) Submit(ctx context.Context, sub guavascale.Submission) error {
	_, err := s.pass(ctx, methodSubmit, sub.ID, func(wait time.Duration) (any, func() reply) {
		return submitIn{sub, wait}, func() reply { return s.submitHere(sub, wait) }
	})
	return err
}

// State asks the owner for the state of a submission. Without a known owner it
// reads the state from the table, which holds the truth at any time.
func (s *Scheduler) State(ctx context.Context, id string) (guavascale.SubmissionState, error) {
	if s.owner() == "" {
		state, err := s.storedState(ctx, id)
		var down *guavascale.UnavailableError
		if !errors.As(err, &down) {
			s.meters.count("request.State.FromTable", 1)
			return state, err
		}
	}
	r, err := s.passID(ctx, methodState, id, s.stateHere)
	return r.State, err
}

// storedState reads the state of a submission from its rows.
func (s *Scheduler) storedState(ctx context.Context, id string) (guavascale.SubmissionState, error) {
	submission, progress := guavaqueue.StateKeys(id)
	row, err := s.Table.Get(ctx, progress)
	if err == nil {
		return guavaqueue.ParseState(row)
	}
	var missing *guavascale.NotFoundError
	if !errors.As(err, &missing) {
		return "", err
	}
	if _, err := s.Table.Get(ctx, submission); err != nil {
		return "", err
	}
	// A row of progress is written with the first end; until then a submission
	// runs, but for its first milliseconds.
	return guavascale.SubmissionRunning, nil
}

// Cancel asks the owner to cancel a submission.
func (s *Scheduler) Cancel(ctx context.Context, id string) error {
	_, err := s.passID(ctx, methodCancel, id, s.cancelHere)
	return err
}

// Pending asks the owner how many submissions of a queue wait.
func (s *Scheduler) Pending(ctx context.Context, queue string) (int, error) {
	r, err := s.passID(ctx, methodPending, queue, s.pendingHere)
	return r.Pending, err
}

func (s *Scheduler) passID(ctx context.Context, m method, id string, here func(string, time.Duration) reply) (reply, error) {
	return s.pass(ctx, m, id, func(wait time.Duration) (any, func() reply) {
		return idIn{id, wait}, func() reply { return here(id, wait) }
	})
}

// pass brings a request to the owner, wherever it is, until ctx ends. Requests
// are idempotent, so one without an answer is passed on again.
func (s *Scheduler) pass(ctx context.Context, m method, id string, with func(time.Duration) (any, func() reply)) (reply, error) {
	begun := time.Now()
	attempts := 0
	r, err := s.tryPass(ctx, m, begun, &attempts, with)
	s.logRequest(m, id, begun, attempts, r, err)
	return r, err
}

func (s *Scheduler) tryPass(ctx context.Context, m method, begun time.Time, attempts *int, with func(time.Duration) (any, func() reply)) (reply, error) {
	sent := false
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = begun.Add(tableTimeout)
	}
	for {
		wait := time.Until(deadline)
		if wait <= 0 {
			return reply{}, s.unknown(m, sent, context.DeadlineExceeded)
		}
		*attempts++
		in, here := with(wait)
		r, err := reply{}, error(nil)
		if addr := s.route.Load(); s.term.Load() != nil {
			r = here()
		} else if addr != nil {
			r, err = s.peers.call(ctx, *addr, m, wait, in)
		}
		switch {
		case err != nil || r.Verdict == verdictUnknown:
			sent = true
		case r.Verdict == verdictDone:
			return r, nil
		case r.Verdict == verdictMissing:
			return r, &guavascale.NotFoundError{Kind: "submission", Name: string(m)}
		case r.Verdict == verdictRejected && !sent:
			return r, &guavascale.RejectedError{Reason: r.Reason, RetryAfter: r.RetryAfter}
		}
		if !sent && time.Since(begun) > ownerWait {
			return r, &guavascale.RejectedError{Reason: "no owner is known", RetryAfter: retryAfter(s.ownerless())}
		}
		sleep(ctx, retryPause)
	}
}

func (s *Scheduler) unknown(m method, sent bool, cause error) error {
	return &guavascale.UnavailableError{System: "scheduler", Op: string(m), MayHaveApplied: sent, Cause: cause}
}

// here runs f on the goroutine of the term and waits for the reply.
func (s *Scheduler) here(wait time.Duration, f func(t *term, done func(reply))) reply {
	t := s.term.Load()
	if t == nil || s.leaving.Load() {
		return reply{}
	}
	ch := make(chan reply, 1)
	if !t.post(func() { f(t, func(r reply) { ch <- r }) }) {
		return reply{}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-ch:
		return r
	case <-timer.C:
		return reply{Verdict: verdictUnknown}
	case <-t.done:
		return reply{Verdict: verdictUnknown}
	}
}

func (s *Scheduler) submitHere(sub guavascale.Submission, wait time.Duration) reply {
	return s.here(wait, func(t *term, done func(reply)) {
		now := s.Clock.Now()
		if !t.engine.Known(sub.ID) && t.commitAge(now) > staleCommit && t.failures.Load() >= outageFailures {
			done(reply{Verdict: verdictRejected, Reason: "the store can't be reached", RetryAfter: retryAfter(t.commitAge(now))})
			return
		}
		err := t.engine.Submit(now, sub, func(state guavascale.SubmissionState) {
			if state == "" {
				done(reply{Verdict: verdictRejected, Reason: "commits fail", RetryAfter: retryAfter(t.commitAge(s.Clock.Now()))})
				return
			}
			done(reply{Verdict: verdictDone})
		})
		var invalid *guavascale.ValidationError
		if errors.As(err, &invalid) {
			done(reply{Verdict: verdictRejected, Reason: invalid.Error(), RetryAfter: minRetryAfter})
		}
	})
}

func (s *Scheduler) stateHere(id string, wait time.Duration) reply {
	return s.here(wait, func(t *term, done func(reply)) {
		state, ok := t.engine.State(id)
		switch {
		case ok && state.Ended():
			// Nothing changes a durable end.
			done(reply{Verdict: verdictDone, State: state})
		case !t.mayTell(s.Clock.Now()):
			done(reply{Verdict: verdictUnknown})
		case !ok:
			done(reply{Verdict: verdictMissing})
		default:
			done(reply{Verdict: verdictDone, State: state})
		}
	})
}

func (s *Scheduler) cancelHere(id string, wait time.Duration) reply {
	return s.here(wait, func(t *term, done func(reply)) {
		found := t.engine.Cancel(s.Clock.Now(), id, func(guavascale.SubmissionState) { done(reply{Verdict: verdictDone}) })
		switch {
		case found:
		case t.mayTell(s.Clock.Now()):
			done(reply{Verdict: verdictMissing})
		default:
			done(reply{Verdict: verdictUnknown})
		}
	})
}

func (s *Scheduler) pendingHere(queue string, wait time.Duration) reply {
	return s.here(wait, func(t *term, done func(reply)) {
		if t.commitAge(s.Clock.Now()) > pendingAge {
			done(reply{Verdict: verdictUnknown})
			return
		}
		done(reply{Verdict: verdictDone, Pending: t.engine.Pending(queue)})
	})
}
