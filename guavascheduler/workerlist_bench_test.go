package guavascheduler

import (
	"strconv"
	"testing"
	"time"

	"guavascale.example"
)

// BenchmarkWorkersReturn measures the changes of an outage of the store after which all 3,000
// workers of a fleet have left the list and returned.
func BenchmarkWorkersReturn(b *testing.B) {
	const workers = 3000
	clock := &manualClock{}
	clock.advance(time.Hour)
	tm := newTerm(clock, &countingRunner{})
	tm.hub = tm.newHub()
	var first, returned guavascale.WorkerChanges
	for i := range workers {
		w := guavascale.Worker{ID: guavascale.WorkerID(strconv.Itoa(i)), Zone: "z", Service: "desk", Born: 1}
		first.Changes = append(first.Changes, guavascale.WorkerChange{Worker: w})
		returned.Changes = append(
			returned.Changes, guavascale.WorkerChange{Worker: guavascale.Worker{ID: w.ID}, Removed: true}, guavascale.WorkerChange{Worker: w},
		)
	}
	tm.changeWorkers(&first)
	for b.Loop() {
		tm.changeWorkers(&returned)
	}
	if n := tm.engine.Stats(clock.Now()).Listed; n != workers {
		b.Fatalf("%d workers are listed, expected %d", n, workers)
	}
}
