package guavascheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
)

// Guards against consumers of the list of workers that apply its changes in another order
// than they were made: a worker that left and returned stayed out of use for the rest of the
// term, since heartbeats of a listed worker are no changes.
func TestChangesOfWorkersApplyInOrder(t *testing.T) {
	set := func(id guavascale.WorkerID) guavascale.WorkerChange {
		return guavascale.WorkerChange{Worker: guavascale.Worker{ID: id, Zone: "z", Born: 1}}
	}
	removed := func(id guavascale.WorkerID) guavascale.WorkerChange {
		return guavascale.WorkerChange{Worker: guavascale.Worker{ID: id}, Removed: true}
	}
	cases := map[string]struct {
		changes []guavascale.WorkerChange
		want    int
	}{
		"left and returned":           {changes: []guavascale.WorkerChange{removed("a"), set("a")}, want: 2},
		"all left, one returned":      {changes: []guavascale.WorkerChange{removed("a"), removed("b"), set("b")}, want: 1},
		"came and left":               {changes: []guavascale.WorkerChange{set("c"), removed("c")}, want: 2},
		"left, returned and left":     {changes: []guavascale.WorkerChange{removed("a"), set("a"), removed("a")}, want: 1},
		"left and returned, one came": {changes: []guavascale.WorkerChange{removed("a"), set("c"), set("a")}, want: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{}
			clock.advance(time.Hour)
			tm := newTerm(clock, &countingRunner{})
			tm.beginTakeover(&claim{former: guavaowner.Head{Epoch: 3}, reason: guavahandover.Silent}, nil)
			tm.changeWorkers(&guavascale.WorkerChanges{Changes: []guavascale.WorkerChange{set("a"), set("b")}})
			tm.changeWorkers(&guavascale.WorkerChanges{Changes: tc.changes})
			assert.Equal(t, tc.want, tm.engine.Stats(clock.Now()).Listed, "engine")
			assert.Equal(t, tc.want, tm.hub.WorkersByZone()["z"], "hub")
			listed, _ := tm.takeover.Workers()
			assert.Equal(t, tc.want, listed, "takeover")
		})
	}
}
