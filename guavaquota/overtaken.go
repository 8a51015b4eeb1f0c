package guavaquota

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavafairness"
	"guavascale.example/guavaobjective"
)

// overtakenPauses is how many times the part of the account's capacity that a late step has cost,
// in time of the whole limit, passes until a part is kept for another start.
const overtakenPauses = 4

// overtaken is a late step that the limit refuses while smaller steps of the account start: they
// are in time, come first in the order, and take what each end of a run leaves, so that there is
// never room for the late one. A part of the limit is kept for it until it starts.
type overtaken struct {
	// step is the late step, or nil.
	step *guavascale.Step
	// need is the part of the limit that is kept for its next start. More is not kept from the
	// other steps: they come first because they can be in time.
	need guavascale.Resources
	// waited is the time since its last start.
	waited time.Duration
	// since is when the part began to be kept.
	since time.Time
	// next is the earliest time at which a part is kept for another start. Late steps of an
	// account that sends more than its limit allows would otherwise have a part of it always.
	next time.Time
}

// keptFrom returns the part of the limit that a step may not use since it is kept for another.
func (a *Account) keptFrom(step *guavascale.Step) guavascale.Resources {
	if a.overtaken.step == nil || a.overtaken.step == step || step.Service {
		return guavascale.Resources{}
	}
	return a.overtaken.need
}

// mayStartBeside is MayStart while a part of the limit is kept.
func (a *Account) mayStartBeside(kept, size guavascale.Resources, n int64) bool {
	if kept.IsZero() {
		return a.MayStart(size, n)
	}
	room := Account{limit: a.limit, running: a.running.Add(kept), inherited: a.inherited, runs: a.runs + 1}
	return room.MayStart(size, n)
}

// noteOvertaken notes a step that the limit refuses and for which runs that end can make room,
// if smaller ones overtake it. Of several, the one that has waited longest counts.
func (a *Account) noteOvertaken(p *guavafairness.Place, step *guavascale.Step, need guavascale.Resources, waited time.Duration) {
	if p.Urgency == guavaobjective.InTime || step.Service || waited < maxReserved || !a.exceeds(need, a.admitted) {
		return
	}
	if kept := a.overtaken.step; kept != nil && kept != step || waited <= a.waiting.overtaken.waited {
		return
	}
	a.waiting.overtaken = overtaken{step: step, need: need, waited: waited}
}

// exceeds reports whether a size is larger than another one in a field that the limit sets.
func (a *Account) exceeds(size, other guavascale.Resources) bool {
	more := func(each, of, limit int64) bool { return limit > 0 && each > of }
	return !other.IsZero() && (more(size.MilliCores, other.MilliCores, a.limit.MilliCores) ||
		more(size.MemoryMB, other.MemoryMB, a.limit.MemoryMB) || more(size.Accelerators, other.Accelerators, a.limit.Accelerators))
}

// keepForOvertaken begins or ends to keep a part of the limit, by the pass that is over. It ends
// when the step has started or no longer waits for the limit. Then none is kept for a time.
func (a *Account) keepForOvertaken(now time.Time) {
	o, found := &a.overtaken, a.waiting.overtaken
	switch {
	case o.step != nil && o.step != found.step:
		cost := min(Share(o.need, a.unlimited()), 1) * float64(now.Sub(o.since)+o.step.Estimate)
		*o = overtaken{next: now.Add(max(time.Duration(overtakenPauses*cost), maxReserved))}
	case o.step == nil && found.step != nil && !now.Before(o.next):
		*o, o.since = found, now
	}
}
