package guavadisturb

import (
	"slices"
	"time"

	"guavascale.example/guavapair"
)

type (
	// Peers holds the latencies of the tasks of one service step, whose load varies in phase.
	// The zero value is ready to use.
	Peers struct{ alone, all []time.Duration }

	// Comparison compares the latencies of the services of a kind on one worker with those of
	// their peers. The zero value is ready to use.
	Comparison struct {
		// ratios are latencies in parts of those of the peers, worst is the highest latency
		// in parts of its target.
		ratios []float64
		worst  float64
		// unknown is set if a service has no peers.
		unknown bool
	}
)

const (
	// PeerInterval is the time for which the latency of the peers is used again, and
	// MaxPeerAge the age of a report up to which it counts. Workers with services report
	// once a second, and the report takes some time on its way.
	PeerInterval = 200 * time.Millisecond
	MaxPeerAge   = 1200 * time.Millisecond
	// minAlone is the number of tasks on workers without fillers that tell what all would
	// show; of fewer, the lower third of at least minPeers tasks is used.
	minAlone = 2
	minPeers = 4
	// Without fillers, nine of ten latencies are at most peerRatio times those of the peers,
	// and one of twenty at least raisedRatio times at high load.
	peerRatio     = 1.15
	raisedRatio   = 1.3
	overloadRatio = 2.0
	// overTarget is the latency in parts of the target at which a raised one counts as an
	// overload.
	overTarget = 1.2
	// CalmRatio is the latency in parts of the target up to which a service without peers
	// counts as calm.
	CalmRatio = 0.45
)

// Add adds the latency of a task. WithFillers is set if fillers run on its worker.
func (p *Peers) Add(tail time.Duration, withFillers bool) {
	if p.all = append(p.all, tail); !withFillers {
		p.alone = append(p.alone, tail)
	}
}

// Undisturbed returns the latency of tasks that nothing disturbs, or 0 if it is not known. If
// nearly all tasks share their workers with fillers, a latency near the target may be the work
// of the same fillers on all of them.
func (p *Peers) Undisturbed(target time.Duration) time.Duration {
	slices.Sort(p.alone)
	slices.Sort(p.all)
	if len(p.alone) >= minAlone {
		return p.alone[(len(p.alone)-1)/2]
	}
	if len(p.all) < minPeers {
		return 0
	}
	if lower := p.all[(len(p.all)-1)/3]; float64(lower) < UndisturbedRatio*float64(target) {
		return lower
	}
	return 0
}

// Add adds the latency of a service, that of undisturbed peers, or 0, and its target.
func (c *Comparison) Add(tail, undisturbed, target time.Duration) {
	c.worst = max(c.worst, float64(tail)/float64(target))
	if undisturbed <= 0 {
		c.unknown = true
		return
	}
	c.ratios = append(c.ratios, float64(tail)/float64(undisturbed))
}

// Reading returns what the latencies tell of the fillers on the worker. A filler disturbs all
// services of a kind on its worker, so that the median leaves out the noise of single ones.
func (c *Comparison) Reading() guavapair.Reading {
	if len(c.ratios) == 0 {
		return c.readingOfTarget()
	}
	slices.Sort(c.ratios)
	switch median := c.ratios[(len(c.ratios)-1)/2]; {
	case median >= overloadRatio, median >= raisedRatio && c.worst >= overTarget:
		return guavapair.Overloaded
	case median >= raisedRatio:
		return guavapair.Raised
	case median <= peerRatio && c.worst < 1:
		return guavapair.Calm
	default:
		return guavapair.Unclear
	}
}

// readingOfTarget judges services without peers by their targets.
func (c *Comparison) readingOfTarget() guavapair.Reading {
	switch {
	case !c.unknown:
		return guavapair.Unclear
	case c.worst >= overTarget:
		return guavapair.Overloaded
	case c.worst > DisturbedRatio:
		return guavapair.Raised
	case c.worst <= CalmRatio:
		return guavapair.Calm
	default:
		return guavapair.Unclear
	}
}
