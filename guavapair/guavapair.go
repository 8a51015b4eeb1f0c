// Package guavapair learns which kinds of fillers must not share a worker with which
// kinds of services.
//
// Fillers of a few kinds share workers with service tasks of a few kinds. Most pairs of
// kinds don't interfere. In the others a single filler overflows the service's request
// queue: the latency grows to a multiple of the target within a second and recovers
// slowly after the filler has ended. The model therefore learns which pairs must not
// share a worker rather than how strongly a pair interferes.
//
// A pair that has disturbed is excluded for some time, longer each time, and gets one
// trial afterwards. The time is kept across owners: if each of them began it anew, a
// wrong verdict would stand for as long as owners keep changing.
package guavapair

import (
	"math"
	"slices"
	"time"

	"guavascale.example/guavarow"
)

type (
	// Model holds the estimates of all observed pairs. The zero value is ready to use.
	// A Model is not safe for concurrent use.
	Model struct {
		// Changed is set when a pair has changed. The owner of the model clears it.
		Changed bool

		pairs map[pair]*estimate
		// starts holds the times of the latest starts of pairs without a verdict.
		starts map[pair]*[maxTrials]time.Time
	}

	// pair identifies a service kind and a filler kind.
	pair struct{ service, filler string }

	// estimate is the estimate of how a filler kind affects a service kind on the same
	// worker.
	estimate struct {
		// probability is the estimated probability, 0 to 1, that the filler disturbs the
		// service.
		probability float64
		// exclusions counts how often the pair was excluded from sharing a worker. Each
		// exclusion lasts until retryAt and is longer than the one before; afterwards
		// the pair gets one trial at a time. trialAt is the start of the latest trial.
		exclusions       int
		retryAt, trialAt time.Time
	}
)

const (
	// initialProbability lets a new pair share a worker; pairs at or above
	// exclusionThreshold are excluded.
	initialProbability = 0.2
	exclusionThreshold = 0.5
	// baseExclusionTime is the duration of the first exclusion of a pair. It doubles
	// with each further one, at most maxExclusionDoublings times. trialDuration is how
	// long a trial takes to show in the measurements.
	baseExclusionTime     = 30 * time.Second
	maxExclusionDoublings = 6
	trialDuration         = 2500 * time.Millisecond
	// minProbability is the lower bound for a pair that never interfered, since the
	// load of a service changes.
	minProbability = 0.05
	// raiseWeight and decayWeight are the weights of one measurement of a disturbed or
	// an undisturbed service.
	raiseWeight = 0.75
	decayWeight = 0.25
	// maxPairs bounds the size of the model.
	maxPairs = 4096
)

// probability returns the probability that a filler disturbs a service.
func (m *Model) probability(service, filler string) float64 {
	if v := m.pairs[pair{service, filler}]; v != nil {
		return v.probability
	}
	return initialProbability
}

// entry returns the estimate of a pair for modification and creates it if needed.
func (m *Model) entry(service, filler string) *estimate {
	m.Changed = true
	if v := m.pairs[pair{service, filler}]; v != nil {
		return v
	}
	if m.pairs == nil || len(m.pairs) >= maxPairs {
		m.pairs = make(map[pair]*estimate)
	}
	v := &estimate{probability: initialProbability}
	m.pairs[pair{service, filler}] = v
	return v
}

// Suspect reports whether a filler probably disturbs a service.
func (m *Model) Suspect(service, filler string) bool {
	return m.probability(service, filler) >= exclusionThreshold
}

// MoreLikely reports whether a filler is more likely to disturb a service than one that
// was never observed.
func (m *Model) MoreLikely(service, filler string) bool {
	return m.probability(service, filler) > initialProbability
}

// Risk returns how much a filler should avoid a service. While fillers find room beside services
// that they don't disturb, they try no other pair, and a pair that is being tried already is
// tried no more until there is a verdict.
func (m *Model) Risk(now time.Time, service, filler string) float64 {
	p := m.probability(service, filler)
	if p >= harmlessBelow && p < exclusionThreshold && m.exposed(now, pair{service, filler}) {
		return p + exposedRisk
	}
	return p
}

// Excluded reports whether a pair must not share a worker now.
func (m *Model) Excluded(now time.Time, service, filler string) bool {
	v := m.pairs[pair{service, filler}]
	return v != nil && v.excluded(now)
}

func (v *estimate) excluded(now time.Time) bool {
	return v.probability >= exclusionThreshold && (now.Before(v.retryAt) || now.Sub(v.trialAt) < trialDuration)
}

// ExcludedServices returns the service kinds beside which a filler kind must not run now.
func (m *Model) ExcludedServices(now time.Time, filler string) map[string]bool {
	services := make(map[string]bool)
	for k, v := range m.pairs {
		if k.filler == filler && v.excluded(now) {
			services[k.service] = true
		}
	}
	return services
}

// StartTrial records that a filler starts beside a service.
func (m *Model) StartTrial(now time.Time, service, filler string) {
	p := pair{service, filler}
	if v := m.pairs[p]; v != nil && v.probability >= exclusionThreshold {
		v.trialAt = now
		return
	}
	if m.probability(service, filler) >= harmlessBelow {
		m.recordStart(now, p)
	}
}

// RecordDisturbed raises the probabilities of the fillers beside a disturbed service.
// Each one's share grows with the square of its probability, so that one likely cause
// leaves little for the others. It returns the fillers that are excluded from now on.
func (m *Model) RecordDisturbed(now time.Time, service string, fillers []string) (excluded []string) {
	sum := 0.0
	for _, f := range fillers {
		v := m.probability(service, f)
		sum += v * v
	}
	for _, f := range fillers {
		v := m.entry(service, f)
		old := v.probability
		if m.set(now, v, old+(1-old)*raiseWeight*old*old/max(sum, initialProbability*initialProbability)) {
			excluded = append(excluded, f)
		}
	}
	return excluded
}

// set replaces the probability of a pair and reports whether that excludes it.
func (m *Model) set(now time.Time, v *estimate, probability float64) bool {
	wasExcluded := v.probability >= exclusionThreshold && now.Before(v.retryAt)
	if v.probability = probability; probability < exclusionThreshold || wasExcluded {
		return false
	}
	v.exclusions++
	v.retryAt = now.Add(v.exclusionTime())
	return true
}

// RecordUndisturbed lowers the probabilities of the fillers beside a service that is not
// disturbed.
func (m *Model) RecordUndisturbed(service string, fillers []string) {
	for _, f := range fillers {
		v := m.entry(service, f)
		v.probability = max(v.probability*(1-decayWeight), minProbability)
	}
}

// Apart lists the pairs of kinds whose probability has reached the exclusion threshold,
// as "service/filler".
func (m *Model) Apart() []string {
	var pairs []string
	for k, v := range m.pairs {
		if v.probability >= exclusionThreshold {
			pairs = append(pairs, k.service+"/"+k.filler)
		}
	}
	slices.Sort(pairs)
	return pairs
}

// Row returns the stored form of the model.
func (m *Model) Row() guavarow.Kinds {
	var row guavarow.Kinds
	for k, v := range m.pairs {
		r := guavarow.Pair{Service: k.service, Filler: k.filler, Suspicion: math.Round(v.probability*100) / 100, Strikes: v.exclusions}
		if v.probability >= exclusionThreshold {
			r.RetryAtMs = v.retryAt.UnixMilli()
		}
		row.Pairs = append(row.Pairs, r)
	}
	return row
}

// Restore adds the pairs of a stored model. An exclusion never lasts longer than if it
// began now, whatever the time of day was where the row was written.
func (m *Model) Restore(now time.Time, row guavarow.Kinds) {
	for _, r := range row.Pairs {
		v := m.entry(r.Service, r.Filler)
		v.probability, v.exclusions = r.Suspicion, r.Strikes
		v.retryAt = now.Add(v.exclusionTime())
		if stored := time.UnixMilli(r.RetryAtMs); r.RetryAtMs > 0 && stored.Before(v.retryAt) {
			v.retryAt = stored
		}
	}
}

func (v *estimate) exclusionTime() time.Duration {
	return baseExclusionTime << min(max(v.exclusions-1, 0), maxExclusionDoublings)
}
