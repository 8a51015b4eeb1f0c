package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavarow"
)

// exclude excludes a pair as if the filler had disturbed the service many times.
func (f *fleet) exclude(service, filler string) {
	f.engine.interference.Restore(f.now, guavarow.Kinds{Pairs: []guavarow.Pair{{Service: service, Filler: filler, Suspicion: 1, Strikes: 10}}})
}

// fillersOf returns a submission with one step of filler tasks.
func fillersOf(id, kind string, count int, work time.Duration) guavascale.Submission {
	s := batchOf(id, 1, count, work)
	s.Queue = "slow"
	s.Steps[0].Filler, s.Steps[0].Kind = true, kind
	s.Steps[0].Size.MilliCores = 1800
	return s
}

// Guards against fillers that never start although processors are idle. Services
// of several kinds take three quarters of the processors, ordinary tasks come and
// go, most fillers may run anywhere, and one kind disturbs every kind of service.
// That kind can use only workers without services, for which all other tasks
// compete.
func TestInterferingFillersArePlaced(t *testing.T) {
	f := newFleet(t, 40)
	for _, w := range f.workers {
		w.info.Capacity = guavascale.Resources{MilliCores: 16_000, MemoryMB: 64_000}
		w.tailLatency = 5 * time.Millisecond
	}
	f.listWorkers()
	const kinds = 10
	for kind := range kinds {
		f.exclude(fmt.Sprint(kind), "heavy")
	}
	for i := range 12 {
		s := serviceOf(fmt.Sprintf("service%d", i), 14)
		s.Steps[0].Size.MilliCores, s.Steps[0].Kind = 3200, fmt.Sprint(i%kinds)
		s.Steps[0].Target = 18 * time.Millisecond
		f.submit(s)
	}
	f.advance(2 * time.Second)
	require.Equal(t, 12*14, f.countRunning("service"))
	f.submit(fillersOf("first", "heavy", 16, time.Second))
	f.advance(2 * time.Second)
	for i := range 6 {
		s := batchOf(fmt.Sprintf("ordinary%d", i), 1, 4, 8*time.Second)
		s.Steps[0].Size.MilliCores = 2700
		f.submit(s)
	}
	f.advance(time.Second)
	for i := range 14 {
		f.submit(fillersOf(fmt.Sprintf("light%d", i), "light", 8, 8*time.Second))
	}
	f.advance(time.Second)
	f.submit(fillersOf("heavy", "heavy", 16, 2*time.Second))
	f.advance(3 * time.Second)
	require.Equal(t, 14*8, f.countRunning("light"))
	state, ok := f.engine.State("heavy")
	require.True(t, ok)
	require.Equal(t, guavascale.SubmissionCompleted, state)
}
