package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

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
