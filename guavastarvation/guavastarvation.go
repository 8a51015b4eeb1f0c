// Package guavastarvation decides when waiting fillers may share processors that are taken.
//
// Assumed workload: more fillers wait than the workers without services can run for tens of
// seconds, or fillers that declare more than is left on any worker. In the order of urgency,
// the submissions that are too late for their objectives would have nothing running until all
// others are done, and the largest ones never.
package guavastarvation

import "time"

type (
	// Rule tells which steps of fillers are starved, and what they may take. It holds for one
	// scheduling pass.
	Rule struct {
		// Shared is how long a step waits, with nothing of its submission running, before
		// its level is Shared.
		Shared time.Duration
		// Overcommit is the share of a worker's processors that starved fillers may take
		// beyond its capacity.
		Overcommit float64
	}

	// Level tells on which workers one task of a waiting step may start besides those that
	// have as many processors left as it declares.
	Level int

	// Worker is a worker on which a filler might start.
	Worker struct {
		// Left is the share of the processors that is left once the filler runs, and
		// LeftByOthers the one that tasks which are not fillers leave.
		Left, LeftByOthers float64
		// Services and Fillers are set if the worker has some.
		Services, Fillers bool
	}
)

const (
	// None allows no other workers.
	None Level = iota
	// Alone allows a worker that has processors left, however few, and no fillers.
	Alone
	// Shared also allows a worker without services whose processors other fillers have
	// taken.
	Shared
)

// aloneAfter is how long a step waits, with nothing of its submission running, before its
// level is Alone.
const aloneAfter = 2 * time.Second

// WorkerWith returns a worker with one more filler, in thousandths of a core. Used is what its
// other tasks use, which is less than they declare, fillers what its fillers declare. Size is that
// of the new one; one that declares more than any worker has counts as large as the largest.
func WorkerWith(capacity int64, used float64, fillers, size int64, services bool) Worker {
	whole := float64(max(capacity, 1))
	left := float64(capacity) - used
	return Worker{
		Left: (left - float64(fillers+size)) / whole, LeftByOthers: left / whole,
		Services: services, Fillers: fillers > 0,
	}
}

// For returns the rule. InTime is set while fillers wait that can still meet their objectives,
// which the others would slow down.
func For(inTime bool) Rule {
	if inTime {
		return Rule{Shared: 20 * time.Second, Overcommit: 0.25}
	}
	return Rule{Shared: aloneAfter, Overcommit: 1}
}

// Level returns the level of a step of fillers that has waited for so long, 0 if it doesn't
// wait. Runs counts the runs of its submission.
func (r Rule) Level(runs int, waited time.Duration) Level {
	switch {
	case runs > 0:
		return None
	case waited >= r.Shared:
		return Shared
	case waited >= aloneAfter:
		return Alone
	default:
		return None
	}
}

// Fits reports whether a filler may use a worker. Starved fillers must not slow down services.
func (r Rule) Fits(w Worker, l Level) bool {
	switch {
	case w.Left >= 0:
		return true
	case l >= Alone && !w.Fillers:
		return w.LeftByOthers > 0
	default:
		return l >= Shared && !w.Services && w.Left >= -r.Overcommit
	}
}
