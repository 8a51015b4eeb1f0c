package guavaquota

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavafairness"
)

// maxReserved is how long after its last start a step keeps the rest of the account from
// starting. Without it, small tasks keep a gang or a large task from starting for as long as
// they come; for longer than the usual run times of 1 to 2 s, runs that take far longer would
// hold up all of the account's work.
const maxReserved = 2 * time.Second

// Admits reports whether n tasks of a step may start together, and counts the waiting tasks of
// the step if the limit holds them back. Waited is the time since the last start of the step.
// Steps that come later in the order don't start in its place if the runs that end can make
// room for it: for maxReserved, and for a service until it may start, since a service must run
// again within seconds. In the next pass, a service that is held back comes before all other
// steps of the account, wherever it is in the order. What is kept for a late step that smaller
// ones overtake is not left to other steps, apart from services.
func (a *Account) Admits(p *guavafairness.Place, step *guavascale.Step, n, waiting int, waited time.Duration) bool {
	if a == nil {
		return true
	}
	behind := a.serviceHeld && !step.Service
	kept, need := a.keptFrom(step), step.Size.Times(int64(n))
	fits := a.mayStartBeside(kept, step.Size, int64(n))
	if fits && !behind && (!a.waiting.reserved || a.overtaken.step == step && !a.waiting.service) {
		a.admitted = need
		return true
	}
	a.waiting.held += int64(waiting)
	if !step.Service {
		a.waiting.heldWork += int64(waiting)
	}
	room := Account{limit: a.limit, running: a.services.Add(kept)}
	if !room.running.IsZero() {
		room.runs = 1
	}
	possible := room.MayStart(step.Size, int64(n))
	if possible && !fits && !behind {
		a.noteOvertaken(p, step, need, waited)
	}
	a.waiting.reserved = a.waiting.reserved || !behind && possible && (step.Service || waited < maxReserved)
	a.waiting.service = a.waiting.service || step.Service && possible
	return false
}
