package guavaqueue

import (
	"strings"
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
	assert.Equal(t, 1, f.engine.Pending(guavascale.Queue{Name: "fast"}))
	f.workers["w0"].unreachable = false
	f.advance(3 * time.Second)
	assert.Zero(t, f.engine.Pending(guavascale.Queue{Name: "fast"}))
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
			require.NoError(t, e.Submit(testEpoch, guavascale.Submission{ID: "a", Queue: "q", Steps: []guavascale.Step{{Count: 1}}}, func(guavascale.SubmissionState) {}))
			assert.Equal(t, tc.want, e.queue(e.subs["a"]) != nil)
		})
	}
}

// Guards against malformed submissions that make every owner fail: one whose task
// count overflows, one with more occurrences than memory, and one whose row is
// larger than the store accepts, which blocks all commits.
func TestMalformedSubmissionsAreRejected(t *testing.T) {
	cases := map[string]func(*guavascale.Submission){
		"task count overflows": func(s *guavascale.Submission) {
			for range 4 {
				s.Steps = append(s.Steps, guavascale.Step{Count: 1 << 62})
			}
		},
		"negative size":        func(s *guavascale.Submission) { s.Steps[0].Size.MilliCores = -1 },
		"negative occurrences": func(s *guavascale.Submission) { s.Repeat = -1 },
		"too many occurrences": func(s *guavascale.Submission) { s.Repeat = 1 << 40 },
		"negative interval":    func(s *guavascale.Submission) { s.Repeat, s.Interval = 2, -time.Second },
		"row too large":        func(s *guavascale.Submission) { s.Payload = strings.Repeat("x", 70_000) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			s := batchOf("a", 1, 1, time.Second)
			spoil(&s)
			var invalid *guavascale.ValidationError
			require.ErrorAs(t, f.engine.Submit(f.now, s, func(guavascale.SubmissionState) {}), &invalid)
			assert.False(t, f.engine.Known("a"))
		})
	}
}

// Guards against a gang that finds no room for all of its tasks and keeps later steps of
// the same size off the workers for good.
func TestGangWithoutRoomBlocksNoOthers(t *testing.T) {
	f := newFleet(t, 10)
	f.listWorkers()
	first := batchOf("first", 1, 10, 10*time.Second)
	first.Steps[0].Size.MilliCores = 3900
	f.submit(first)
	f.advance(time.Second)
	gang := batchOf("gang", 1, 14, time.Second)
	gang.Steps[0].Gang, gang.Steps[0].Size.MilliCores = true, 2500
	f.submit(gang)
	f.advance(200 * time.Millisecond)
	later := batchOf("later", 1, 10, time.Second)
	later.Steps[0].Size.MilliCores = 2500
	f.submit(later)
	f.advance(time.Minute)
	state, _ := f.engine.State("later")
	assert.Equal(t, guavascale.SubmissionCompleted, state)
}
