// Package guavafairness orders waiting steps between client accounts while capacity is short.
//
// Assumed load: all capacity is in use, and one account sends 3.5 to 7.5 times its usual rate
// for 6 to 8 s. In the order of urgency alone, its work delays that of all accounts alike.
//
// An account has a claim to service for up to Weight submissions a second (a token bucket);
// what it sends beyond that is excess. Work with a claim comes before the excess of any
// account, by urgency, priority and objective as before. Excess comes next, within one urgency
// and priority that of the account first which uses the least for its weight. Work that is too
// late to be of use is last. Claims belong to the account: those of its waiting submissions
// always go to the ones that are first in the order within the account, which thus stays the
// same.
//
// The order decides who waits while capacity is short (Place.Contended); otherwise it is that
// by urgency, priority and objective.
package guavafairness

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example/guavaobjective"
)

type (
	// Order sorts waiting steps. The zero value is ready to use.
	Order struct {
		// pass counts the calls of Sort.
		pass uint64
		// contended holds the pools and classes of tasks that have found no room lately.
		contended map[contention]bool
	}

	// contention is a class of tasks on the workers of a service.
	contention struct {
		service string
		filler  bool
	}

	// Account is what this package keeps of a client account. The nil Account stands for work
	// without an account, which always has a claim. The zero value has all its claims.
	Account struct {
		// tokens is the number of claims that are left at the time at.
		tokens float64
		at     time.Time
		// claims is the number of claims that the waiting submissions in the latest pass
		// that has counted them have left.
		pass   uint64
		claims int
	}

	// Claim is the part of a submission that this package keeps.
	Claim struct {
		Account *Account
		// Excess is set while the submission has no claim.
		Excess bool
		// counted and given are the latest passes that have counted and given claims here.
		counted, given uint64
	}

	// Place is what the place of a waiting step in the order depends on.
	Place struct {
		Claim    *Claim
		Urgency  guavaobjective.Urgency
		Priority int
		Latest   time.Time
		// Contended is set if tasks of this class have found no room lately.
		Contended bool
		// Used is the share of the capacity that the account uses, and Weight its weight.
		Used, Weight float64
	}
)

const (
	// burst is for how long an account saves its claims, since submissions come at random
	// times, and minBurst the smallest number of claims that it can save. With 1 s and one
	// claim, the worst-served account earns 0.965 in place of 0.988 beside a large one at 3.5
	// times its rate; with 4 s no account earns more (BenchmarkOrders).
	burst    = 2 * time.Second
	minBurst = 3.0
	// minWeight is the weight in place of 0 where the use of accounts is compared.
	minWeight = 1e-3
)

// Admit takes a claim for a submission that was accepted at a time. Weight is the number of
// submissions a second to which the account has a claim. Submissions must be passed in by the
// time of their acceptance.
func (a *Account) Admit(weight float64, at time.Time) Claim {
	c := Claim{Account: a}
	if a == nil {
		return c
	}
	most := max(weight*burst.Seconds(), minBurst)
	switch since := at.Sub(a.at); {
	case a.at.IsZero():
		a.tokens = most
	case since > 0:
		a.tokens = min(most, a.tokens+since.Seconds()*weight)
	}
	if a.at.Before(at) {
		a.at = at
	}
	if weight <= 0 || a.tokens < 1 {
		c.Excess = true
		return c
	}
	a.tokens--
	return c
}

// Withdraw gives back the claim of a submission that was not accepted in the end.
func (c *Claim) Withdraw() {
	if c.Account != nil && !c.Excess {
		c.Account.tokens++
	}
}

// Relax ends all contention, before a scheduling pass.
func (o *Order) Relax() { clear(o.contended) }

// Contend records that tasks have found no room on the workers of a service.
func (o *Order) Contend(service string, filler bool) {
	if o.contended == nil {
		o.contended = make(map[contention]bool)
	}
	o.contended[contention{service, filler}] = true
}

// Contended reports whether tasks have found no room on the workers of a service.
func (o *Order) Contended(service string, filler bool) bool {
	return o.contended[contention{service, filler}]
}

// Sort sorts waiting steps by their places.
func Sort[S any](o *Order, steps []S, place func(S) *Place) {
	slices.SortStableFunc(steps, func(x, y S) int {
		p, q := place(x), place(y)
		return cmp.Or(cmp.Compare(p.Urgency, q.Urgency), cmp.Compare(p.Priority, q.Priority), p.Latest.Compare(q.Latest))
	})
	if !slices.ContainsFunc(steps, func(s S) bool { return place(s).behind() }) {
		return
	}
	o.pass++
	for _, s := range steps {
		place(s).Claim.count(o.pass)
	}
	for _, s := range steps {
		place(s).Claim.give(o.pass)
	}
	slices.SortStableFunc(steps, func(x, y S) int { return place(x).compare(place(y)) })
}

// count counts the claim of a waiting submission, once in a pass.
func (c *Claim) count(pass uint64) {
	a := c.Account
	if a == nil || c.counted == pass {
		return
	}
	if c.counted = pass; a.pass != pass {
		a.pass, a.claims = pass, 0
	}
	if !c.Excess {
		a.claims++
	}
}

// give gives the submission one of the claims that its account has left.
func (c *Claim) give(pass uint64) {
	a := c.Account
	if a == nil || c.given == pass {
		return
	}
	c.given, c.Excess = pass, a.claims <= 0
	a.claims--
}

// behind reports whether the step comes after those with claims.
func (p *Place) behind() bool { return p.Contended && p.Claim.Excess }

// group is 0 for work with a claim, 1 for excess and 2 for work that is too late.
func (p *Place) group() int {
	switch {
	case p.Urgency == guavaobjective.TooLate:
		return 2
	case p.behind():
		return 1
	default:
		return 0
	}
}

// compare orders steps that are sorted by urgency, priority and objective already.
func (p *Place) compare(q *Place) int {
	if c := cmp.Compare(p.group(), q.group()); c != 0 || p.group() == 0 {
		return c
	}
	return cmp.Or(cmp.Compare(p.Urgency, q.Urgency), cmp.Compare(p.Priority, q.Priority), cmp.Compare(p.used(), q.used()))
}

// used returns what the account uses for its weight, 0 for work with a claim.
func (p *Place) used() float64 {
	if !p.behind() {
		return 0
	}
	return p.Used / max(p.Weight, minWeight)
}
