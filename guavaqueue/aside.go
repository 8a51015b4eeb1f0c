package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaevent"
	"guavascale.example/guavarow"
)

// Assumed failure: a row can't be encoded, or the store refuses it for good. Only its
// submission stops: it is set aside, so that nothing of it starts and its row is tried
// again from time to time, and the ends of its runs stay unacknowledged. A submission
// that is hopeless fails, which is a row of a few bytes. Otherwise its ends would keep
// workers from forgetting all later ones.

// sharedRowRetry is the time after which rows that are not of a submission are written
// again.
const sharedRowRetry = time.Second

// Refused reports that the store refuses a batch for good. LastCommit is the time of the
// last commit that was applied.
func (e *Engine) Refused(now, lastCommit time.Time, b *Batch, cause error) {
	e.keepChanges(now, b)
	switch {
	case b.shared > 0 && len(b.subs) == 0:
		e.sharedRetryAt = now.Add(sharedRowRetry)
		e.emit(guavaevent.Event{Kind: guavaevent.SetAside, Outcome: "SharedRows", Reason: guavarow.Describe(b.Writes, cause), Value: float64(b.bytes)})
	case b.shared > 0:
		e.sharedRowsRefused = true
		e.refusals.Suspect(b.subs...)
	case !e.refusals.Refused(b.subs):
		e.setAside(now, lastCommit, b.subs[0], guavarow.Describe(b.Writes, cause), b.bytes)
	}
}

// setAside sets a submission aside whose row is refused or can't be encoded.
func (e *Engine) setAside(now, lastCommit time.Time, s *submission, reason string, bytes int) {
	e.emit(guavaevent.Event{Kind: guavaevent.SetAside, Submission: s.ID, Outcome: "Submission", Reason: reason, Value: float64(bytes), Age: now.Sub(s.accepted)})
	if !s.durable {
		// The store has nothing of it, and never will.
		e.dirty = slices.DeleteFunc(e.dirty, func(o *submission) bool { return o == s })
		e.drop(s)
		return
	}
	if e.refusals.SetAside(now, lastCommit, s) && !s.state.Ended() {
		e.end(now, s, guavascale.SubmissionFailed, "the store refuses its rows")
	}
}

// drop removes a submission that is not durable and tells its callers.
func (e *Engine) drop(s *submission) {
	delete(e.subs, s.ID)
	s.claim.Withdraw()
	e.refusals.Accepted(s)
	s.reply("")
}

// reply answers the callers that wait for the submission.
func (s *submission) reply(state guavascale.SubmissionState) {
	waiters := s.waiters
	s.waiters = nil
	for _, reply := range waiters {
		reply(state)
	}
}

// endedAt returns the time at which the submission has ended, or the zero time. Its row is
// small from then on.
func (s *submission) endedAt() time.Time {
	if s.state.Ended() {
		return s.ended
	}
	return time.Time{}
}

// setUnreadable reports a submission of which a row can't be read, such as one that a
// later version wrote. Its tasks are unknown: none is started, and none of its rows is
// written unless it is cancelled.
func (e *Engine) setUnreadable(now time.Time, s *submission, err error) {
	s.started, s.binding = true, e.bindings.Bind(&s.Submission)
	e.emit(guavaevent.Event{Kind: guavaevent.SetAside, Submission: s.ID, Outcome: "Unreadable", Reason: err.Error(), Age: now.Sub(s.accepted)})
}
