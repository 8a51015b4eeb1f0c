package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against accepted fillers that never start on a half-empty pool: services that
// came while other tasks filled the workers are scattered over all of them, and the
// fillers disturb these services.
func TestScatteredServicesDoNotStarveFillers(t *testing.T) {
	const workers = 20
	f := newFleet(t, workers)
	for _, w := range f.workers {
		w.info.Capacity = guavascale.Resources{MilliCores: 32_000, MemoryMB: 128_000}
		w.tailLatency = 5 * time.Millisecond
	}
	f.listWorkers()
	f.exclude("service", "heavy")
	tasks := batchOf("tasks", 1, workers, 4*time.Second)
	tasks.Steps[0].Size.MilliCores = 25_000
	f.submit(tasks)
	f.advance(time.Second)
	require.Equal(t, workers, f.countRunning("tasks"))
	for i := range workers {
		s := serviceOf(fmt.Sprint("service", i), 1)
		s.Steps[0].Size.MilliCores, s.Steps[0].Kind, s.Steps[0].Target = 6400, "service", 18*time.Millisecond
		f.submit(s)
	}
	f.advance(4 * time.Second)
	require.Equal(t, workers, f.countRunning("service"))
	for i := range 10 {
		f.submit(fillersOf(fmt.Sprint("heavy", i), "heavy", 8, time.Second))
	}
	down := 0
	for end := f.now.Add(20 * time.Second); f.now.Before(end); {
		f.advance(fleetTick)
		down = max(down, workers-f.countRunning("service"))
	}
	for i := range 10 {
		state, _ := f.engine.State(fmt.Sprint("heavy", i))
		assert.Equal(t, guavascale.SubmissionCompleted, state, "heavy%d", i)
	}
	assert.LessOrEqual(t, down, maxMoving, "services that are down at a time")
	f.advance(2 * time.Second)
	assert.Equal(t, workers, f.countRunning("service"))
}
