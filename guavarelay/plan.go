package guavarelay

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"

	"guavascale.example"
)

// Assumed load: at the worst load each worker gets four calls a second, which end with
// a run or start one, and hosts differ by a factor of seven in processor time.

// Candidate is a daemon that can be a relay.
type Candidate struct {
	Instance string
	Zone     guavascale.Zone
	// Strength is the processor time available to the daemon, in cores.
	Strength float64
}

const (
	// workersPerCore is the number of workers that a daemon calls for each core
	// that is available to it. It leaves most of its processor time to its other
	// work. minRelayWorkers and maxRelayWorkers bound the workers of a relay; the
	// maximum limits how much of the fleet a lost relay affects.
	workersPerCore  = 600
	minRelayWorkers = 16
	maxRelayWorkers = 128
	// planInterval is the minimum time between assignments of the workers.
	planInterval = 250 * time.Millisecond
)

// CanCallDirectly reports whether an owner with the given processor time can make the
// calls to a fleet of the given size itself.
func CanCallDirectly(strength float64, workers int) bool {
	return float64(workers) <= strength*workersPerCore
}

// capacity returns the number of workers that a daemon calls as a relay.
func capacity(strength float64) int {
	return min(max(int(strength*workersPerCore), minRelayWorkers), maxRelayWorkers)
}

// Choose returns the daemons that should be relays for a fleet, given the number of
// workers in each zone. It prefers those that are relays already, then the strongest,
// and covers each zone by daemons in it as far as there are any.
func Choose(workers map[guavascale.Zone]int, candidates []Candidate, current map[string]bool) map[string]bool {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(compareBool(current[b.Instance], current[a.Instance]), cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Instance, b.Instance))
	})
	chosen := make(map[string]bool)
	uncovered := 0
	for zone, n := range workers {
		uncovered += cover(n, sorted, chosen, func(c Candidate) bool { return c.Zone == zone })
	}
	cover(uncovered, sorted, chosen, func(Candidate) bool { return true })
	return chosen
}

// cover chooses candidates until they cover n workers, and returns the number of
// workers that remain.
func cover(n int, candidates []Candidate, chosen map[string]bool, eligible func(Candidate) bool) int {
	for _, c := range candidates {
		if n <= 0 {
			return 0
		}
		if !chosen[c.Instance] && eligible(c) {
			chosen[c.Instance] = true
			n -= capacity(c.Strength)
		}
	}
	return max(n, 0)
}

// assign assigns workers to relays, each to one in its zone if possible, and no more
// to a relay than its capacity. A worker that gets none is not in the result. With the
// same seed, the loss of a relay moves few workers of the others.
func assign(seed maphash.Seed, workers map[guavascale.WorkerID]guavascale.Zone, relays []Candidate) map[guavascale.WorkerID]string {
	left := make(map[string]int, len(relays))
	for _, r := range relays {
		left[r.Instance] = capacity(r.Strength)
	}
	ids := make([]guavascale.WorkerID, 0, len(workers))
	for id := range workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	assigned := make(map[guavascale.WorkerID]string, len(workers))
	for _, sameZone := range []bool{true, false} {
		for _, id := range ids {
			if assigned[id] != "" {
				continue
			}
			best, bestRank := "", uint64(0)
			for _, r := range relays {
				if left[r.Instance] == 0 || sameZone != (r.Zone == workers[id]) {
					continue
				}
				if rank := rendezvousRank(seed, id, r.Instance); best == "" || rank > bestRank {
					best, bestRank = r.Instance, rank
				}
			}
			if best != "" {
				assigned[id] = best
				left[best]--
			}
		}
	}
	return assigned
}

// rendezvousRank returns the rank of a relay for a worker.
func rendezvousRank(seed maphash.Seed, id guavascale.WorkerID, instance string) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	_, _ = h.WriteString(string(id))
	_ = h.WriteByte(0)
	_, _ = h.WriteString(instance)
	return h.Sum64()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
