package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against pairs that are kept apart without cause, and against those
// that are not although one filler is enough to disturb the service. Each case
// replays what one service shows beside its fillers.
func TestSuspicions(t *testing.T) {
	type seen struct {
		hot     bool
		fillers []string
	}
	cases := map[string]struct {
		seen  []seen
		apart map[string]bool
	}{
		"a pair that was never seen runs together": {
			apart: map[string]bool{"a": false},
		},
		"one filler alone beside a hot service": {
			seen:  []seen{{hot: true, fillers: []string{"a"}}},
			apart: map[string]bool{"a": true},
		},
		"one of two, told apart by a calm moment": {
			seen:  []seen{{fillers: []string{"b"}}, {fillers: []string{"b"}}, {hot: true, fillers: []string{"a", "b"}}, {hot: true, fillers: []string{"a", "b"}}},
			apart: map[string]bool{"a": true, "b": false},
		},
		"a hot service without fillers blames nobody": {
			seen:  []seen{{hot: true}, {hot: true}},
			apart: map[string]bool{"a": false},
		},
		"a wrong blame is taken back": {
			seen:  []seen{{hot: true, fillers: []string{"a"}}, {fillers: []string{"a"}}, {fillers: []string{"a"}}},
			apart: map[string]bool{"a": false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p interferenceModel
			for _, s := range c.seen {
				if s.hot {
					p.recordDisturbed(testEpoch, "service", s.fillers)
				} else {
					p.recordUndisturbed("service", s.fillers)
				}
			}
			for filler, want := range c.apart {
				assert.Equal(t, want, p.probability("service", filler) >= exclusionThreshold, "%s: %.2f", filler, p.probability("service", filler))
			}
		})
	}
}

// Guards against a pair that is kept apart for ever after one wrong blame, and
// against many trials at a time of one that disturbs.
func TestSuspectPairsAreTriedAgain(t *testing.T) {
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
	assert.True(t, p.excluded(now, "service", "a"), "the second time lasts longer")
	for range 4 {
		p.recordUndisturbed("service", []string{"a"})
	}
	assert.False(t, p.excluded(now, "service", "a"))
}

// Guards against a service that stays over its target because the fillers beside
// it go one by one: there were twelve of four kinds, and as the latency fell
// slowly none of them was blamed.
func TestDisturbedServiceIsRelievedInTime(t *testing.T) {
	f := newFleet(t, 1)
	w := f.workers["w0"]
	w.w.Capacity = guavascale.Resources{MilliCores: 24_000, MemoryMB: 64_000}
	w.tail = 5 * time.Millisecond
	f.list()
	s := serviceOf("service", 1)
	s.Steps[0].Size.MilliCores, s.Steps[0].Kind, s.Steps[0].Target = 3000, "a", 18*time.Millisecond
	f.submit(s)
	f.run(time.Second)
	for i := range 4 {
		f.submit(fillersOf(fmt.Sprintf("filler%d", i), fmt.Sprint("kind", i), 3, time.Minute))
	}
	f.run(3 * time.Second)
	require.Equal(t, 12, f.running("filler"))
	w.tail = 300 * time.Millisecond
	for end := f.now.Add(testDisturbMax - testStop); f.now.Before(end); {
		f.run(100 * time.Millisecond)
		w.tail = w.tail * 98 / 100
	}
	require.Greater(t, w.tail, s.Steps[0].Target)
	for id := range w.runs {
		if f.spec(id.Task).Filler {
			pace, slowed := w.paces[id]
			assert.True(t, slowed && pace <= throttledPace, "run %v works on at pace %d", id, pace)
		}
	}
}
