package guavaquota

import "time"

// limitedAfter is how long an account's limit has held back its work, in each pass, until the
// account counts as held up by it. A single pass in which a start just doesn't fit is no
// evidence of a backlog. It is longer than the time between two observations of the load
// (guavaadmission.ObserveInterval), so that one of them sees that a changed limit begins the
// evidence anew.
const limitedAfter = time.Second

// Limited reports whether the limit of an account has held back its work in all of the latest
// passes: at least half of the tasks that waited in each, without those of services, and for
// at least limitedAfter. Work that waits for workers doesn't count as held back.
func (b *Book) Limited(now time.Time, account string) bool {
	a := b.accounts[account]
	return a != nil && !a.heldSince.IsZero() && now.Sub(a.heldSince) >= limitedAfter && now.Sub(b.passedAt) < limitedAfter
}

// recordHeld records whether the limit held back the work of the account in the pass that is
// over.
func (a *Account) recordHeld(now time.Time) {
	switch w := &a.waiting; {
	case w.heldWork == 0 || 2*w.heldWork < w.work:
		a.heldSince = time.Time{}
	case a.heldSince.IsZero():
		a.heldSince = now
	}
}
