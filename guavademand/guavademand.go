// Package guavademand tells how much each kind of fillers depends on a worker.
//
// Assumed load: a few filler kinds disturb nearly every service kind and make up much of the
// waiting work. They can only run on workers without services, which all other tasks could use
// as well. Fillers of a kind arrive in bursts, so that the load of a kind counts for some
// seconds after it has ended.
package guavademand

import "time"

// Book holds the demand of each filler kind, which is its load as a fraction of the processors
// on which it may run. The zero value is ready to use. A Book is not safe for concurrent use.
type Book struct {
	byFiller map[string]float64
	// loads holds the loads from which byFiller was computed, in thousandths of a core.
	loads      map[string]int64
	computedAt time.Time
}

const (
	// interval is the minimum time between computations of the demand.
	interval = 500 * time.Millisecond
	// decayPercent is the percentage of a kind's load that still counts at the next
	// computation, which makes the half-life about 6 s.
	decayPercent = 94
)

// Due reports whether it is time to update the demand.
func (b *Book) Due(now time.Time) bool { return now.Sub(b.computedAt) >= interval }

// Update computes the demand from the declared processors of the running and waiting fillers
// of each kind, and from the processors on which fillers of a kind may run.
func (b *Book) Update(now time.Time, loads map[string]int64, available func(kind string) int64) {
	b.computedAt = now
	for kind, before := range b.loads {
		if milliCores := before * decayPercent / 100; milliCores > loads[kind] {
			loads[kind] = milliCores
		}
	}
	b.loads = loads
	b.byFiller = make(map[string]float64, len(loads))
	for kind, milliCores := range loads {
		b.byFiller[kind] = float64(milliCores) / float64(max(available(kind), milliCores, 1))
	}
}

// Sum returns the demand of the kinds that match.
func (b *Book) Sum(match func(kind string) bool) float64 {
	sum := 0.0
	for kind, demand := range b.byFiller {
		if match(kind) {
			sum += demand
		}
	}
	return sum
}
