package guavascheduler

import (
	"context"
	"errors"
	"time"

	"guavascale.example"
	"guavascale.example/guavaaccount"
	"guavascale.example/guavaadmission"
	"guavascale.example/guavapeer"
	"guavascale.example/guavarow"
)

const (
	// ownerWaitTimeout is how long a request waits for an owner to be found.
	ownerWaitTimeout = 400 * time.Millisecond
	// maxPendingAge is the maximum commit age at which the owner reports the
	// number of waiting submissions.
	maxPendingAge = 2 * time.Second
	// maxQueueLag is the delay of the owner's event queue above which it rejects
	// new submissions: their steps would wait as long for each of their starts.
	maxQueueLag = 500 * time.Millisecond
	// maxEndedStates and endedStateTime bound the final states that a daemon
	// remembers. The time is shorter than that for which states can be read.
	maxEndedStates = 4096
	endedStateTime = time.Minute
	// storedStateTimeout bounds the read of a state from the table. A slow store answers
	// within a second; one that is silent would cost the caller all of its time.
	storedStateTimeout = time.Second
	// retryDelay is the delay between attempts to forward a request.
	retryDelay = 60 * time.Millisecond
	// minRetryAfter is the shortest retry delay sent to callers while submissions
	// can't be accepted. A change of owner takes up to two seconds. The delay
	// grows with the outage up to maxRetryAfter, so that the outage ends before
	// callers have used up their attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// endedState is a final state and the account and queue of its submission.
type endedState struct {
	state          guavascale.SubmissionState
	account, queue string
}

var _ guavascale.Submissions = (*Scheduler)(nil)

// Submit forwards a submission to the owner.
func (s *Scheduler) Submit(ctx context.Context, sub guavascale.Submission) error {
	access := guavaaccount.FromContext(ctx)
	_, err := s.forward(ctx, methodSubmit, sub.ID, func(wait time.Duration) (any, func() reply) {
		return submitIn{sub, wait, access}, func() reply { return s.submitLocal(sub, access, wait) }
	})
	return err
}

// State returns the state of a submission as reported by the owner. If no owner
// is known, or it can't commit, it reads the state from the table, which is always authoritative. A
// final state never changes and is remembered, since callers often ask again.
func (s *Scheduler) State(ctx context.Context, id string) (guavascale.SubmissionState, error) {
	access := guavaaccount.FromContext(ctx)
	if ended, ok := s.rememberedState(id); ok {
		s.meters.count("request.State.Remembered", 1)
		if err := access.MayUse(ended.account, ended.queue); err != nil {
			return "", err
		}
		return ended.state, nil
	}
	if s.owner() == "" || s.ownerFails.Load() && s.term.Load() == nil {
		readCtx, cancel := context.WithTimeout(ctx, storedStateTimeout)
		state, err := s.storedState(readCtx, id, &access)
		cancel()
		var unavailable *guavascale.UnavailableError
		if !errors.As(err, &unavailable) {
			s.meters.count("request.State.FromTable", 1)
			return state, err
		}
	}
	r, err := s.forwardID(ctx, methodState, id, s.stateLocal)
	if err == nil {
		s.rememberState(id, endedState{r.State, r.Account, r.Queue})
	}
	return r.State, err
}

func (s *Scheduler) rememberedState(id string) (endedState, bool) {
	if s.endedStates == nil {
		return endedState{}, false
	}
	return s.endedStates.Get(id)
}

func (s *Scheduler) rememberState(id string, ended endedState) {
	if s.endedStates != nil && ended.state.Ended() {
		s.endedStates.Add(id, ended)
	}
}

// storedState reads the state of a submission from its rows.
func (s *Scheduler) storedState(ctx context.Context, id string, access *guavaaccount.Access) (guavascale.SubmissionState, error) {
	if err := s.mayUseStored(ctx, id, access); err != nil {
		return "", err
	}
	row, err := s.Table.Get(ctx, guavarow.ProgressKey(id))
	if err == nil {
		return guavarow.DecodeState(row)
	}
	var notFound *guavascale.NotFoundError
	if !errors.As(err, &notFound) {
		return "", err
	}
	if _, err := s.Table.Get(ctx, guavarow.SubmissionKey(id)); err != nil {
		return "", err
	}
	// The progress row is first written when a run or the submission ends. Until
	// then the submission is running, except in its first milliseconds.
	return guavascale.SubmissionRunning, nil
}

// mayUseStored checks a call against the account in the row of a submission.
func (s *Scheduler) mayUseStored(ctx context.Context, id string, access *guavaaccount.Access) error {
	if *access == (guavaaccount.Access{}) {
		return nil
	}
	row, err := s.Table.Get(ctx, guavarow.SubmissionKey(id))
	if err != nil {
		return err
	}
	var stored guavarow.Submission
	if err := guavarow.Decode(row, &stored); err != nil {
		return err
	}
	return access.MayUse(stored.Submission.Account, stored.Submission.Queue)
}

// Cancel forwards the cancellation of a submission to the owner.
func (s *Scheduler) Cancel(ctx context.Context, id string) error {
	_, err := s.forwardID(ctx, methodCancel, id, s.cancelLocal)
	return err
}

// Pending returns the number of waiting submissions in a queue, as reported by
// the owner.
func (s *Scheduler) Pending(ctx context.Context, q guavascale.Queue) (int, error) {
	access := guavaaccount.FromContext(ctx)
	r, err := s.forward(ctx, methodPending, q.Name, func(wait time.Duration) (any, func() reply) {
		return idIn{ID: q.Name, Wait: wait, Queue: q, Access: access}, func() reply { return s.pendingLocal(q, access, wait) }
	})
	return r.Pending, err
}

func (s *Scheduler) forwardID(ctx context.Context, m method, id string, local func(string, guavaaccount.Access, time.Duration) reply) (reply, error) {
	access := guavaaccount.FromContext(ctx)
	return s.forward(ctx, m, id, func(wait time.Duration) (any, func() reply) {
		return idIn{ID: id, Wait: wait, Access: access}, func() reply { return local(id, access, wait) }
	})
}

// forward sends a request to the owner, which may be this daemon, until it is
// answered or ctx is done. Requests are idempotent, so one without a response is
// sent again. newRequest returns the body for a remote owner and the function
// that handles the request if this daemon is the owner.
func (s *Scheduler) forward(ctx context.Context, m method, id string, newRequest func(time.Duration) (any, func() reply)) (reply, error) {
	start := time.Now()
	attempts := 0
	r, err := s.tryForward(ctx, m, start, &attempts, newRequest)
	s.logRequest(m, id, start, attempts, r, err)
	return r, err
}

func (s *Scheduler) tryForward(ctx context.Context, m method, start time.Time, attempts *int, newRequest func(time.Duration) (any, func() reply)) (reply, error) {
	mayHaveApplied := false
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = start.Add(tableTimeout)
	}
	answerBy := guavaadmission.AnswerBy(start, deadline)
	last := reply{}
	for {
		wait := time.Until(answerBy)
		switch {
		case wait > 0:
		case mayHaveApplied:
			return reply{}, s.unavailable(m, mayHaveApplied, context.DeadlineExceeded)
		default:
			return reply{}, s.notServed(last, deadline)
		}
		*attempts++
		in, local := newRequest(wait)
		r, err := reply{}, error(nil)
		if addr := s.ownerAddr.Load(); s.term.Load() != nil {
			r = local()
		} else if addr != nil {
			// An owner that doesn't answer must not keep the caller until the deadline.
			callCtx, cancel := context.WithDeadline(ctx, answerBy.Add(deadline.Sub(answerBy)/2))
			r, err = s.peers.call(callCtx, *addr, m, wait, in)
			cancel()
		}
		last = r
		var notSent *guavapeer.NotSentError
		switch {
		case errors.As(err, &notSent):
			// The owner may have ended; the next attempt may find another one.
		case err != nil || r.Verdict == verdictUnknown:
			mayHaveApplied = mayHaveApplied || !m.reads()
		case r.Verdict == verdictDone:
			return r, nil
		case r.Verdict == verdictNotFound:
			return r, &guavascale.NotFoundError{Kind: "submission", Name: string(m)}
		case r.Verdict == verdictUnauthorized && !mayHaveApplied:
			return r, &guavascale.UnauthorizedError{Reason: r.Reason}
		case r.Verdict == verdictForbidden:
			// No attempt has been applied: the submission is another account's.
			return r, &guavascale.ForbiddenError{Account: guavaaccount.FromContext(ctx).Account}
		case r.Invalid != nil && !mayHaveApplied:
			return r, r.Invalid
		case r.Verdict == verdictRejected && !mayHaveApplied:
			return r, &guavascale.RejectedError{Reason: r.Reason, RetryAfter: guavaadmission.RetryAfter(time.Until(deadline), r.RetryAfter)}
		}
		if !mayHaveApplied && time.Since(start) > ownerWaitTimeout {
			return r, s.notServed(r, deadline)
		}
		sleepUntil(ctx, answerBy, retryDelay)
	}
}

// notServed returns the error of a request that had no effect, and that no owner has
// answered but with r.
func (s *Scheduler) notServed(r reply, deadline time.Time) error {
	reason := "no owner is known"
	switch r.Verdict {
	case verdictUnknown:
		reason = "the owner can't answer now"
	case verdictBehind:
		reason = r.Reason
	}
	return &guavascale.RejectedError{Reason: reason, RetryAfter: guavaadmission.RetryAfter(time.Until(deadline), retryAfter(s.timeWithoutOwner()))}
}

// sleepUntil waits for a duration, but not beyond a time.
func sleepUntil(ctx context.Context, end time.Time, d time.Duration) {
	sleep(ctx, min(d, time.Until(end)))
}

// reads reports whether a request has no effect.
func (m method) reads() bool { return m == methodState || m == methodPending }

func (s *Scheduler) unavailable(m method, mayHaveApplied bool, cause error) error {
	return &guavascale.UnavailableError{System: "scheduler", Op: string(m), MayHaveApplied: mayHaveApplied, Cause: cause}
}

// runOnTerm executes f on the goroutine of the current term and waits for the
// reply.
func (s *Scheduler) runOnTerm(wait time.Duration, f func(t *term, done func(reply))) reply {
	t := s.term.Load()
	if t == nil || t.retiring.Load() {
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

// check repeats the check of a call to a queue or about a submission, which the engine may
// not hold. It returns false if the call must be answered with the reply.
func (t *term) check(now time.Time, access *guavaaccount.Access, queue, id string) (reply, bool) {
	sub := t.engine.Submission(id)
	if sub != nil {
		queue = sub.Queue
	}
	err := t.scheduler.Accounts.Recheck(now, access, queue)
	if err == nil && sub != nil {
		err = access.MayUse(sub.Account, sub.Queue)
	}
	var (
		unauthorized *guavascale.UnauthorizedError
		forbidden    *guavascale.ForbiddenError
		behind       *guavaaccount.BehindError
	)
	switch {
	case err == nil:
		return reply{}, true
	case errors.As(err, &unauthorized):
		return reply{Verdict: verdictUnauthorized, Reason: unauthorized.Reason}, false
	case errors.As(err, &forbidden):
		return reply{Verdict: verdictForbidden, Reason: err.Error()}, false
	case errors.As(err, &behind):
		return reply{Verdict: verdictBehind, Reason: err.Error()}, false
	}
	return rejection(err), false
}

func (s *Scheduler) submitLocal(sub guavascale.Submission, access guavaaccount.Access, wait time.Duration) reply {
	arrived := s.Clock.Now()
	return s.runOnTerm(wait, func(t *term, done func(reply)) {
		now := s.Clock.Now()
		if r, ok := t.check(now, &access, sub.Queue, sub.ID); !ok {
			done(r)
			return
		}
		if !t.engine.Known(sub.ID) {
			if r, rejected := t.admit(now, now.Sub(arrived), &sub); rejected {
				done(r)
				return
			}
		}
		err := t.engine.Submit(now, sub, func(state guavascale.SubmissionState) {
			if state == "" {
				done(t.outageReply(s.Clock.Now(), &sub, "commits fail"))
				return
			}
			done(reply{Verdict: verdictDone})
		})
		if err != nil {
			done(rejection(err))
		}
	})
}

// inOutage reports whether a submission that is not part of a commit can't be accepted soon.
func (t *term) inOutage(now time.Time) bool {
	return t.admission.commits.Late() || t.commitAge(now) > staleCommitAge && t.failures.Load() >= outageThreshold
}

// admit returns the reply for a submission that is rejected before it is stored. Lag is the
// time for which it has waited in the owner's event queue.
func (t *term) admit(now time.Time, lag time.Duration, sub *guavascale.Submission) (r reply, rejected bool) {
	switch {
	case lag > maxQueueLag:
		t.countRejection(now, causeLag, sub, nil)
		return reply{Verdict: verdictRejected, Reason: "the owner is overloaded", RetryAfter: retryAfter(lag)}, true
	case t.inOutage(now):
		return t.outageReply(now, sub, "the store can't be reached"), true
	default:
		return t.checkLoad(now, sub)
	}
}

// outageReply returns the reply for a submission that has not run since the owner can't
// commit.
func (t *term) outageReply(now time.Time, sub *guavascale.Submission, reason string) reply {
	t.countRejection(now, causeOutage, sub, nil)
	outage := min(t.admission.commits.Outage(now), t.commitAge(now))
	return reply{Verdict: verdictRejected, Reason: reason, RetryAfter: retryAfter(outage)}
}

// rejection returns the reply for a submission that the engine does not add. Only one that
// can't become valid later is reported as not valid.
func rejection(err error) reply {
	r := reply{Verdict: verdictRejected, Reason: err.Error(), RetryAfter: minRetryAfter}
	var rejected *guavascale.RejectedError
	if errors.As(err, &rejected) {
		r.RetryAfter = max(r.RetryAfter, rejected.RetryAfter)
		return r
	}
	errors.As(err, &r.Invalid)
	return r
}

func (s *Scheduler) stateLocal(id string, access guavaaccount.Access, wait time.Duration) reply {
	return s.runOnTerm(wait, func(t *term, done func(reply)) {
		if r, ok := t.check(s.Clock.Now(), &access, "", id); !ok {
			done(r)
			return
		}
		state, ok := t.engine.State(id)
		switch {
		case ok && state.Ended():
			// A committed final state never changes.
			r := reply{Verdict: verdictDone, State: state}
			if sub := t.engine.Submission(id); sub != nil && sub.Account != "" {
				r.Account, r.Queue = sub.Account, sub.Queue
			}
			done(r)
		case !t.canServeReads(s.Clock.Now()):
			done(reply{Verdict: verdictUnknown})
		case !ok:
			done(reply{Verdict: verdictNotFound})
		default:
			done(reply{Verdict: verdictDone, State: state})
		}
	})
}

func (s *Scheduler) cancelLocal(id string, access guavaaccount.Access, wait time.Duration) reply {
	return s.runOnTerm(wait, func(t *term, done func(reply)) {
		if r, ok := t.check(s.Clock.Now(), &access, "", id); !ok {
			done(r)
			return
		}
		found := t.engine.Cancel(s.Clock.Now(), id, func(guavascale.SubmissionState) { done(reply{Verdict: verdictDone}) })
		switch {
		case found:
		case t.canServeReads(s.Clock.Now()):
			done(reply{Verdict: verdictNotFound})
		default:
			done(reply{Verdict: verdictUnknown})
		}
	})
}

func (s *Scheduler) pendingLocal(q guavascale.Queue, access guavaaccount.Access, wait time.Duration) reply {
	return s.runOnTerm(wait, func(t *term, done func(reply)) {
		if r, ok := t.check(s.Clock.Now(), &access, q.Name, ""); !ok {
			done(r)
			return
		}
		if t.commitAge(s.Clock.Now()) > maxPendingAge {
			done(reply{Verdict: verdictUnknown})
			return
		}
		done(reply{Verdict: verdictDone, Pending: t.engine.Pending(q)})
	})
}
