package guavaroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// Allocation is the part of a worker's slots and connections that one daemon
	// may use.
	Allocation struct {
		// Slots is the maximum number of concurrent requests.
		Slots int
		// Connections is at least 1 if Slots is at least 1, and 0 otherwise.
		Connections int
	}

	// delayedCount is a count whose decreases take effect immediately and whose
	// increases take effect after SlotActivationDelay. The zero value is 0.
	delayedCount struct {
		// increments are in order of time; their amounts sum up to the target.
		increments []increment
	}

	increment struct {
		amount  int
		addedAt time.Time
	}

	rankedDaemon struct {
		daemon string
		weight uint64
	}
)

// Rank orders the daemons for a worker by rendezvous hashing, so that all daemons
// compute the same order and adding or removing a daemon moves only its own
// slots.
func Rank(worker guavascale.WorkerID, daemons []string) []string {
	rs := make([]rankedDaemon, 0, len(daemons))
	for _, d := range daemons {
		rs = append(rs, rankedDaemon{d, hashWeight(worker, d)})
	}
	slices.SortFunc(rs, func(a, b rankedDaemon) int {
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

// Allocate returns a daemon's allocation of a worker. Slots are distributed
// round-robin in the order of Rank; connections are divided equally among the
// daemons that hold a slot. The slots of all daemons sum up to slots. Their
// connections sum up to at most connections, unless there are fewer connections
// than daemons with a slot, since each of those gets at least one. A daemon that
// is not in daemons gets nothing.
func Allocate(worker guavascale.WorkerID, daemon string, daemons []string, slots, connections int) Allocation {
	rank := rankOf(worker, daemon, daemons)
	n := len(daemons)
	if rank < 0 || rank >= slots {
		return Allocation{}
	}
	slotsHeld := slots / n
	if rank < slots%n {
		slotsHeld++
	}
	return Allocation{Slots: slotsHeld, Connections: max(1, connections/min(n, slots))}
}

// rankOf returns the index of a daemon in the result of Rank, or -1, without
// sorting.
func rankOf(worker guavascale.WorkerID, daemon string, daemons []string) int {
	if !slices.Contains(daemons, daemon) {
		return -1
	}
	ownWeight := hashWeight(worker, daemon)
	rank := 0
	for _, d := range daemons {
		if w := hashWeight(worker, d); w > ownWeight || w == ownWeight && d < daemon {
			rank++
		}
	}
	return rank
}

func hashWeight(worker guavascale.WorkerID, daemon string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest never fail.
	_, _ = h.WriteString(string(worker))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(daemon)
	return h.Sum64()
}

// set changes the target. A decrease removes the newest increments first.
func (r *delayedCount) set(now time.Time, target int) {
	total := r.target()
	if target > total {
		r.increments = append(r.increments, increment{target - total, now})
		return
	}
	for excess := total - target; excess > 0; {
		last := &r.increments[len(r.increments)-1]
		cut := min(last.amount, excess)
		last.amount -= cut
		excess -= cut
		if last.amount == 0 {
			r.increments = r.increments[:len(r.increments)-1]
		}
	}
}

func (r *delayedCount) target() int {
	total := 0
	for _, s := range r.increments {
		total += s.amount
	}
	return total
}

// usable returns the part of the target that has been held for
// SlotActivationDelay.
func (r *delayedCount) usable(now time.Time) int {
	n := 0
	for _, s := range r.increments {
		if now.Sub(s.addedAt) >= SlotActivationDelay {
			n += s.amount
		}
	}
	return n
}
