package guavapair

import (
	"slices"
	"time"
)

// Assumed load of this file: a service runs beside several fillers, each report of its latency
// has noise, and its load varies by half within seconds. A report is judged by what the service
// would show without fillers at the same time; package guavadisturb compares them. Evidence is
// weighed against what is known already, so that an outlier doesn't exclude a pair that was
// harmless many times, and a quiet report at low load doesn't end the exclusion of one that
// wasn't.

type (
	// Reading is what a report tells of a service beside fillers.
	Reading int

	// Filler is a kind of fillers beside a service. Share is the part of the worker's
	// processors that they use, 0 to 1.
	Filler struct {
		Kind  string
		Share float64
	}

	// Fillers holds the kinds of fillers beside a service, each once.
	Fillers []Filler
)

const (
	// Unclear tells nothing of the fillers.
	Unclear Reading = iota
	// Calm is a latency as without fillers, Raised one that is clearly higher, and Overloaded
	// one that only a long request queue explains.
	Calm
	Raised
	Overloaded
)

// likelihood is how often a reading is seen beside harmless fillers only, and beside one that
// disturbs the service. The shares are those of 45,000 latencies of services, in the reports of a
// deployment with 10 kinds of services and 18 of fillers, and moved towards each other since
// successive reports depend on each other.
type likelihood struct{ harmless, harmful float64 }

var likelihoods = [...]likelihood{
	Unclear:    {1, 1},
	Calm:       {0.85, 0.3},
	Raised:     {0.1, 0.35},
	Overloaded: {0.01, 0.3},
}

const (
	// fullShare is the share of a worker's processors from which on a filler that disturbs a
	// service does so in nearly every report. Less is weaker evidence of a harmless pair.
	fullShare = 0.1
	// leastProbability and mostProbability bound what is known of a pair, since the load of
	// services and fillers changes.
	leastProbability = 0.02
	mostProbability  = 0.98
	// harmlessBelow is the probability under which a pair is known to be harmless.
	harmlessBelow = 0.1
	// maxTrials is the number of starts of a pair without a verdict within trialDuration from
	// which on fillers avoid further ones. One report tells little; with more than a few
	// trials at a time, all of them disturb services before the first verdict.
	maxTrials = 3
	// exposedRisk is how much fillers avoid a pair that has enough trials. With 1.0 they crowd
	// the workers without services, on which other fillers depend.
	exposedRisk = 0.4
)

// Add adds a run that uses a share of the worker's processors.
func (f *Fillers) Add(kind string, share float64) {
	i := slices.IndexFunc(*f, func(f Filler) bool { return f.Kind == kind })
	if i < 0 {
		*f = append(*f, Filler{kind, share})
		return
	}
	(*f)[i].Share += share
}

// Kinds returns the kinds of the fillers.
func (f Fillers) Kinds() []string {
	kinds := make([]string, len(f))
	for i := range f {
		kinds[i] = f[i].Kind
	}
	return kinds
}

// Record updates the probabilities of the fillers beside a service by a reading. It returns the
// fillers that are excluded from now on. A raised latency has a cause among the fillers, by
// their probabilities so far, or none; a calm one clears all of them.
func (m *Model) Record(now time.Time, service string, fillers Fillers, r Reading) (excluded []string) {
	if r == Unclear {
		return nil
	}
	l := likelihoods[r]
	noneHarmful := 1.0
	for _, f := range fillers {
		noneHarmful *= 1 - m.probability(service, f.Kind)
	}
	evidence := l.harmless*noneHarmful + l.harmful*(1-noneHarmful)
	for _, f := range fillers {
		p := m.probability(service, f.Kind)
		if r == Calm {
			weight := min(f.Share/fullShare, 1)
			harmful := l.harmless + weight*(l.harmful-l.harmless)
			p = p * harmful / (p*harmful + (1-p)*l.harmless)
		} else {
			p = p * l.harmful / evidence
		}
		if m.set(now, m.entry(service, f.Kind), min(max(p, leastProbability), mostProbability)) {
			excluded = append(excluded, f.Kind)
		}
	}
	return excluded
}

// exposed reports whether a pair without a verdict has been started often enough just now.
func (m *Model) exposed(now time.Time, p pair) bool {
	starts := m.starts[p]
	return starts != nil && now.Sub(starts[0]) < trialDuration
}

// recordStart records the start of a pair without a verdict.
func (m *Model) recordStart(now time.Time, p pair) {
	starts := m.starts[p]
	if starts == nil {
		if m.starts == nil || len(m.starts) >= maxPairs {
			m.starts = make(map[pair]*[maxTrials]time.Time)
		}
		starts = &[maxTrials]time.Time{}
		m.starts[p] = starts
	}
	copy(starts[:], starts[1:])
	starts[maxTrials-1] = now
}
