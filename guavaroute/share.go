package guavaroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// Allotment is a daemon's part of a worker.
	Allotment struct {
		// Slots is the number of requests in progress at a time.
		Slots int
		// Connections is at least 1 when Slots is, and 0 otherwise.
		Connections int
	}

	// ramp is a number that falls at once and rises after GainDelay. Its zero
	// value is 0.
	ramp struct {
		// steps are in order of time; the sum of their amounts is the target.
		steps []step
	}

	step struct {
		amount int
		since  time.Time
	}

	ranked struct {
		daemon string
		weight uint64
	}
)

// Rank orders daemons for a worker by rendezvous hashing, so that all daemons
// compute the same order and a change of one daemon moves only its own slots.
func Rank(worker guavascale.WorkerID, daemons []string) []string {
	rs := make([]ranked, 0, len(daemons))
	for _, d := range daemons {
		rs = append(rs, ranked{d, weigh(worker, d)})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.daemon < b.daemon {
			return -1
		}
		return 1
	})
	names := make([]string, 0, len(rs))
	for _, r := range rs {
		names = append(names, r.daemon)
	}
	return names
}

// Share returns the part of a worker that a daemon holds. Slots are dealt out
// in the order of Rank until none is left; connections are divided equally by
// the daemons that hold a slot. Slots of all daemons sum up to slots, and
// connections to at most connections unless there are fewer of them than
// holders. A daemon that is not listed holds nothing.
func Share(worker guavascale.WorkerID, daemon string, daemons []string, slots, connections int) Allotment {
	place := placeOf(worker, daemon, daemons)
	n := len(daemons)
	if place < 0 || place >= slots {
		return Allotment{}
	}
	own := slots / n
	if place < slots%n {
		own++
	}
	return Allotment{Slots: own, Connections: max(1, connections/min(n, slots))}
}

// placeOf returns the index of a daemon in Rank, or -1, without sorting.
func placeOf(worker guavascale.WorkerID, daemon string, daemons []string) int {
	if !slices.Contains(daemons, daemon) {
		return -1
	}
	own := weigh(worker, daemon)
	place := 0
	for _, d := range daemons {
		if w := weigh(worker, d); w > own || w == own && d < daemon {
			place++
		}
	}
	return place
}

func weigh(worker guavascale.WorkerID, daemon string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest do not fail.
	_, _ = h.WriteString(string(worker))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(daemon)
	return h.Sum64()
}

// set changes the target. The steps gained last are lost first.
func (r *ramp) set(now time.Time, target int) {
	total := r.target()
	if target > total {
		r.steps = append(r.steps, step{target - total, now})
		return
	}
	for excess := total - target; excess > 0; {
		last := &r.steps[len(r.steps)-1]
		cut := min(last.amount, excess)
		last.amount -= cut
		excess -= cut
		if last.amount == 0 {
			r.steps = r.steps[:len(r.steps)-1]
		}
	}
}

func (r *ramp) target() int {
	total := 0
	for _, s := range r.steps {
		total += s.amount
	}
	return total
}

// usable returns how much of the target was held for GainDelay.
func (r *ramp) usable(now time.Time) int {
	n := 0
	for _, s := range r.steps {
		if now.Sub(s.since) >= GainDelay {
			n += s.amount
		}
	}
	return n
}
