package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against pairs that are excluded without cause, and against pairs that
// are not excluded although one filler is enough to disturb the service. Each case
// replays the measurements of one service beside its fillers.
func TestPairProbabilities(t *testing.T) {
	type observed struct {
		disturbed bool
		fillers   []string
	}
	cases := map[string]struct {
		observed []observed
		excluded map[string]bool
	}{
		"an unobserved pair is not excluded": {
			excluded: map[string]bool{"a": false},
		},
		"one filler alone beside a disturbed service": {
			observed: []observed{{disturbed: true, fillers: []string{"a"}}},
			excluded: map[string]bool{"a": true},
		},
		"one of two, identified by an undisturbed measurement": {
			observed: []observed{{fillers: []string{"b"}}, {fillers: []string{"b"}}, {disturbed: true, fillers: []string{"a", "b"}}, {disturbed: true, fillers: []string{"a", "b"}}},
			excluded: map[string]bool{"a": true, "b": false},
		},
		"a disturbed service without fillers changes no estimate": {
			observed: []observed{{disturbed: true}, {disturbed: true}},
			excluded: map[string]bool{"a": false},
		},
		"a false positive is corrected": {
			observed: []observed{{disturbed: true, fillers: []string{"a"}}, {fillers: []string{"a"}}, {fillers: []string{"a"}}},
			excluded: map[string]bool{"a": false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p interferenceModel
			for _, s := range c.observed {
				if s.disturbed {
					p.recordDisturbed(testEpoch, "service", s.fillers)
				} else {
					p.recordUndisturbed("service", s.fillers)
				}
			}
			for filler, want := range c.excluded {
				assert.Equal(t, want, p.probability("service", filler) >= exclusionThreshold, "%s: %.2f", filler, p.probability("service", filler))
			}
		})
	}
}

// Guards against a pair that stays excluded forever after one false positive, and
// against concurrent trials of a pair that interferes.
func TestExcludedPairsAreRetried(t *testing.T) {
	var p interferenceModel
	now := testEpoch
	p.recordDisturbed(now, "service", []string{"a"})
	assert.True(t, p.excluded(now, "service", "a"))
	now = now.Add(baseExclusionTime)
	assert.False(t, p.excluded(now, "service", "a"), "a trial is due")
	p.startTrial(now, "service", "a")
	assert.True(t, p.excluded(now, "service", "a"), "one trial at a time")
	p.recordDisturbed(now.Add(trialDuration/2), "service", []string{"a"})
	now = now.Add(trialDuration + baseExclusionTime)
	assert.True(t, p.excluded(now, "service", "a"), "the second exclusion lasts longer")
	for range 4 {
		p.recordUndisturbed("service", []string{"a"})
	}
	assert.False(t, p.excluded(now, "service", "a"))
}

// Guards against a service that stays above its target because the fillers beside
// it are removed one by one. Twelve fillers of four kinds ran beside a service
// whose latency fell slowly, and none of them was identified as the cause.
func TestFillersAreThrottledInTime(t *testing.T) {
	f := newFleet(t, 1)
	w := f.workers["w0"]
	w.info.Capacity = guavascale.Resources{MilliCores: 24_000, MemoryMB: 64_000}
	w.tailLatency = 5 * time.Millisecond
	f.listWorkers()
	s := serviceOf("service", 1)
	s.Steps[0].Size.MilliCores, s.Steps[0].Kind, s.Steps[0].Target = 3000, "a", 18*time.Millisecond
	f.submit(s)
	f.advance(time.Second)
	for i := range 4 {
		f.submit(fillersOf(fmt.Sprintf("filler%d", i), fmt.Sprint("kind", i), 3, time.Minute))
	}
	f.advance(3 * time.Second)
	require.Equal(t, 12, f.countRunning("filler"))
	w.tailLatency = 300 * time.Millisecond
	for end := f.now.Add(testDisturbMax - testStopGrace); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		w.tailLatency = w.tailLatency * 98 / 100
	}
	require.Greater(t, w.tailLatency, s.Steps[0].Target)
	for id := range w.runs {
		if f.spec(id.Task).Filler {
			pace, slowed := w.paces[id]
			assert.True(t, slowed && pace <= throttledPace, "run %v continues at pace %d", id, pace)
		}
	}
}
