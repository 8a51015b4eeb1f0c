package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaevent"
	"guavascale.example/guavastate"
)

// mayStart reports whether the limit of the account allows n more tasks of the step.
func (st *step) mayStart(now time.Time, n int) bool {
	return st.sub.account.Admits(&st.place, st.spec, n, st.waiting, now.Sub(st.waitingSince))
}

// countInherited counts what earlier owners may have started and no worker has reported yet.
func (e *Engine) countInherited(now time.Time) {
	if !e.quota.ForgetInherited(now, e.inheritedRunsKnown()) {
		return
	}
	// The silent workers may have shrunk, or not be listed any more, so each counts as large as
	// the largest one.
	room := guavascale.Resources{}
	for _, w := range e.workerList {
		room = room.Max(w.largest)
	}
	room = room.Times(int64(len(e.missing.Until) + len(e.missing.Listing)))
	for _, s := range e.subs {
		if s.epoch < e.Token && s.account.Limited() {
			e.countUnknown(now, s, room)
		}
	}
}

// countUnknown counts the unknown runs that a submission may have.
func (e *Engine) countUnknown(now time.Time, s *submission, room guavascale.Resources) {
	switch {
	case s.state == guavascale.SubmissionCompleted || s.state.Ended() && now.Sub(s.ended) > e.Limits.Longest():
	case s.state.Ended() || len(s.steps) == 0 && s.Repeat == 0:
		// Its tasks are not known any more, or can't be read. Runs that were to be stopped
		// may go on until their leases end.
		e.quota.AddInherited(s.account, s.Steps, nil, room)
	default:
		for first := 0; first < len(s.steps); first += len(s.Steps) {
			e.quota.AddInherited(s.account, s.Steps, func(i int) (int, int) { return s.steps[first+i].inherited() }, room)
		}
	}
}

// inherited returns the number of tasks that earlier owners may have started and that are not
// done, and of those of them with a known run.
func (st *step) inherited() (tasks, known int) {
	tasks, known = len(st.tasks)-st.done, len(st.tasks)-st.done-st.waiting
	for _, t := range st.tasks {
		if st.spec.Service && !t.inherited && !t.done && len(t.runs) == 0 {
			tasks--
		}
	}
	return tasks, known
}

// startAccounts begins a scheduling pass. It gives the submissions that are new to this owner the
// claims of their accounts in the order of acceptance, so that a new owner finds the same ones.
func (e *Engine) startAccounts(now time.Time) {
	e.quota.StartPass(now)
	slices.SortStableFunc(e.unclaimed, func(a, b *submission) int { return a.accepted.Compare(b.accepted) })
	for _, s := range e.unclaimed {
		if e.subs[s.ID] == s {
			s.claim = s.account.Claim(s.Steps, s.accepted)
		}
	}
	e.unclaimed = nil
	e.order.Relax()
	for class := range e.fullSizes {
		if q := class.binding.Queue(); q != nil {
			e.order.Contend(q.Service, class.filler)
		}
	}
}

// Accounts returns the state of all accounts, by name, as of the latest scheduling pass.
func (e *Engine) Accounts(now time.Time) []guavastate.Account {
	total := guavascale.Resources{}
	for _, p := range e.pools {
		total = total.Add(p.total)
	}
	return e.quota.Report(now, total)
}

// AccountLimited reports whether the limit of an account has held back its work lately.
func (e *Engine) AccountLimited(now time.Time, name string) bool { return e.quota.Limited(now, name) }

// NoticeAccounts emits an event for each account and cause for which work waits or is rejected,
// at a bounded rate.
func (e *Engine) NoticeAccounts(now time.Time) {
	for _, n := range e.quota.Notices(now) {
		e.emit(guavaevent.Event{Kind: guavaevent.AccountLimited, Account: n.Account, Outcome: n.Cause.String(), Value: float64(n.Count)})
	}
}
