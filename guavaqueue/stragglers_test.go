package guavaqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

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

// Guards against short tasks that hang for several times their duration before they
// are replaced: on a site of 1,100 workers of which 4% hang, each such task makes its
// whole step late.
func TestShortStalledTaskIsReplacedSoon(t *testing.T) {
	f := newFleet(t, 2)
	// Workers with services report once a second.
	services := serviceOf("b", 2)
	services.Steps[0].MaxPerWorker = 1
	f.submit(services)
	f.advance(3 * time.Second)
	f.submit(batchOf("a", 1, 1, 640*time.Millisecond))
	f.advance(100 * time.Millisecond)
	for _, w := range f.workers {
		for id := range w.runs {
			w.stuck = w.stuck || id.Task.Submission == "a"
		}
	}
	f.advance(2500 * time.Millisecond)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
}

// Guards against a run that counts as stalled only because its worker has not
// reported lately.
func TestSilenceIsNoStall(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(batchOf("a", 1, 1, 4*time.Second))
	f.advance(time.Second)
	for _, w := range f.workers {
		w.unreachable = len(w.runs) > 0
	}
	f.advance(1500 * time.Millisecond)
	for _, w := range f.workers {
		w.unreachable = false
	}
	f.advance(3 * time.Second)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
	assert.Equal(t, 1, f.starts)
}

// Guards against durations that are too short, by which all other runs of the step are
// stragglers: the answer of a start came late, or another owner had started the run.
func TestDurationsCountFromTheOrder(t *testing.T) {
	cases := map[string]struct {
		disturb func(f *fleet)
		want    time.Duration
	}{
		"answered late": {func(f *fleet) {
			for _, r := range f.engine.workers["w0"].runs {
				r.confirmStart(f.now.Add(300 * time.Millisecond))
			}
		}, 400 * time.Millisecond},
		"adopted": {(*fleet).replaceOwner, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.advance(time.Second)
			f.submit(batchOf("a", 2, 1, 400*time.Millisecond))
			f.advance(100 * time.Millisecond)
			tc.disturb(f)
			f.advance(400 * time.Millisecond)
			st := f.engine.subs["a"].steps[0]
			require.Equal(t, 1, st.done)
			got := st.durations.Median(1, 1)
			assert.GreaterOrEqual(t, got, tc.want)
			assert.LessOrEqual(t, got, tc.want+100*time.Millisecond)
		})
	}
}
