package guavaquota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavafairness"
	"guavascale.example/guavastate"
)

type (
	// Cause is why work of an account waits or is rejected.
	Cause int

	// Notice tells operators about an account. Tasks counts the tasks that have waited at most
	// since the last notice of the cause, or the submissions that were rejected.
	Notice struct {
		Account string
		Cause   Cause
		Count   int64
	}

	// waiting is what waits in a scheduling pass.
	waiting struct {
		tasks, held, excess int64
		// work and heldWork are the parts of tasks and held that are not services.
		work, heldWork int64
		coreSeconds    float64
		// reserved is set while what the account has left is kept for a step, and service if
		// the limit holds back a service for which runs that end can make room.
		reserved, service bool
		// overtaken is the late step that smaller ones overtake, if there is one.
		overtaken overtaken
	}
)

const (
	// AtLimit means that tasks wait since the account is at its limit, OverRate that they come
	// after the work of others since the account sends more than its weight.
	AtLimit Cause = iota
	OverRate
	// TooLarge and TooLong are the submissions that Check rejects.
	TooLarge
	TooLong
	causes
)

const (
	// noticeInterval is the time between two notices of an account for the same cause.
	noticeInterval = 10 * time.Second
	// drainTime is the time over which ended runs are averaged.
	drainTime = 5 * time.Second
)

func (c Cause) String() string { return [...]string{"AtLimit", "OverRate", "TooLarge", "TooLong"}[c] }

// Rejects reports whether submissions are rejected for the cause.
func (c Cause) Rejects() bool { return c >= TooLarge }

// Note records that n tasks wait or submissions are rejected.
func (a *Account) Note(c Cause, n int64) {
	switch {
	case a == nil:
	case c.Rejects():
		a.noted[c] += n
		a.rejected[c] += n
	default:
		a.noted[c] = max(a.noted[c], n)
	}
}

// Notices returns the notices that are due, by account.
func (b *Book) Notices(now time.Time) []Notice {
	var due []Notice
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		for c := range causes {
			if a.noted[c] == 0 || now.Sub(a.noticedAt[c]) < noticeInterval {
				continue
			}
			due = append(due, Notice{name, c, a.noted[c]})
			a.noted[c], a.noticedAt[c] = 0, now
		}
	}
	return due
}

// StartPass begins to count what waits in a scheduling pass.
func (b *Book) StartPass(now time.Time) {
	b.passedAt = now
	for _, a := range b.accounts {
		a.Note(AtLimit, a.waiting.held)
		a.Note(OverRate, a.waiting.excess)
		a.recordHeld(now)
		a.keepForOvertaken(now)
		a.serviceHeld, a.waiting = a.waiting.service, waiting{}
	}
}

// Contend completes the place in the order of a step with n waiting tasks, and counts them.
// Capacity is that of the workers on which it may run.
func (a *Account) Contend(p *guavafairness.Place, step *guavascale.Step, n int, contended bool, capacity guavascale.Resources) {
	if a == nil {
		return
	}
	p.Contended, p.Used, p.Weight = contended && a.book.declared != nil, Share(a.Running(), capacity), a.weight
	a.waiting.tasks += int64(n)
	if !step.Service {
		a.waiting.work += int64(n)
	}
	a.waiting.coreSeconds += float64(n) * float64(step.Size.MilliCores) / 1000 * step.Estimate.Seconds()
	if p.Contended && p.Claim.Excess {
		a.waiting.excess += int64(n)
	}
}

// Claim takes a claim for a submission that was accepted at a time. Services need none: they run
// for long, and many are submitted at once.
func (a *Account) Claim(steps []guavascale.Step, at time.Time) guavafairness.Claim {
	if a == nil || a.book.declared == nil || slices.ContainsFunc(steps, func(s guavascale.Step) bool { return s.Service }) {
		return guavafairness.Claim{}
	}
	return a.Claims.Admit(a.weight, at)
}

// Ended records the end of a run that has done its work.
func (a *Account) Ended(now time.Time) {
	if a == nil {
		return
	}
	a.drained = a.drainedUntil(now) + 1
	a.drainedAt = now
}

// drainedUntil returns the number of ended runs, of which older ones count less.
func (a *Account) drainedUntil(now time.Time) float64 {
	return a.drained * math.Exp(-max(now.Sub(a.drainedAt), 0).Seconds()/drainTime.Seconds())
}

// Report returns the state of all accounts by name. Capacity is that of all workers.
func (b *Book) Report(now time.Time, capacity guavascale.Resources) []guavastate.Account {
	var list []guavastate.Account
	for _, a := range b.accounts {
		list = append(list, a.report(now, capacity))
	}
	slices.SortFunc(list, func(x, y guavastate.Account) int { return strings.Compare(x.Name, y.Name) })
	return list
}

func (a *Account) report(now time.Time, capacity guavascale.Resources) guavastate.Account {
	r := guavastate.Account{
		Name: a.Name, Limit: a.limit, Running: a.running.Add(a.inherited), Inherited: a.inherited, Runs: a.runs,
		Weight: a.weight, Share: Share(a.running, capacity), Waiting: a.waiting.tasks, AtLimit: a.waiting.held, OverRate: a.waiting.excess,
		WaitingCoreSeconds: a.waiting.coreSeconds, EndsPerSecond: a.drainedUntil(now) / drainTime.Seconds(),
	}
	for c := range causes {
		if a.rejected[c] > 0 {
			if r.Rejected == nil {
				r.Rejected = make(map[string]int64)
			}
			r.Rejected[c.String()] = a.rejected[c]
		}
	}
	return r
}

// Share returns the largest share of the capacity that is used, in any field.
func Share(used, capacity guavascale.Resources) float64 {
	part := func(used, of int64) float64 { return float64(used) / float64(max(of, 1)) }
	return max(part(used.MilliCores, capacity.MilliCores), part(used.MemoryMB, capacity.MemoryMB), part(used.Accelerators, capacity.Accelerators))
}
