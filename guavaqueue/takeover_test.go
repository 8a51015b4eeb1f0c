package guavaqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against a submission that no longer counts as waiting once a start was
// ordered that never reached a worker.
func TestUnconfirmedStartLeavesSubmissionPending(t *testing.T) {
	f := newFleet(t, 1)
	f.advance(time.Second)
	f.workers["w0"].unreachable = true
	f.submit(batchOf("a", 1, 1, time.Second))
	f.advance(200 * time.Millisecond)
	require.Equal(t, 1, f.engine.Stats(f.now).Runs, "the start was ordered")
	assert.Equal(t, 1, f.engine.Pending("fast"))
	f.workers["w0"].unreachable = false
	f.advance(3 * time.Second)
	assert.Zero(t, f.engine.Pending("fast"))
}

// Guards against an older catalog that arrives late and replaces a newer one. A
// catalog of the same version may differ in the closed zones.
func TestOlderCatalogIsIgnored(t *testing.T) {
	cases := map[string]struct {
		version uint64
		want    bool
	}{
		"older": {4, false},
		"same":  {5, true},
		"newer": {6, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := &Engine{}
			e.SetCatalog(&guavascale.Catalog{Version: 5})
			e.SetCatalog(&guavascale.Catalog{Version: tc.version, Queues: []guavascale.Queue{{Name: "q"}}})
			assert.Equal(t, tc.want, e.queues["q"] != nil)
		})
	}
}

// Guards against a straggler that is never replaced because no worker had room when
// it was first found and no task has been placed since.
func TestStragglerIsReplacedOnceThereIsRoom(t *testing.T) {
	f := newFleet(t, 2)
	service := serviceOf("b", 1)
	service.Steps[0].Size.MilliCores = 4000
	f.submit(service)
	batch := batchOf("a", 1, 1, 10*time.Second)
	batch.Steps[0].Size.MilliCores = 3000
	f.submit(batch)
	f.advance(time.Second)
	require.Equal(t, 1, f.countRunning("a"))
	for _, w := range f.workers {
		for id := range w.runs {
			w.stuck = w.stuck || id.Task.Submission == "a"
		}
	}
	f.advance(4 * time.Second)
	require.True(t, f.engine.Cancel(f.now, "b", func(guavascale.SubmissionState) {}))
	f.advance(13 * time.Second)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
}
