package guavaqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against tasks that run again because the ends of their runs are beyond the
// list of a report: by the owner that started them, by the next one, and by the next one
// while ends can't become durable.
func TestEndBeyondTheReportIsNoLostRun(t *testing.T) {
	cases := map[string]struct{ newOwner, storeDown bool }{
		"same owner":            {},
		"new owner":             {newOwner: true},
		"new owner, store down": {newOwner: true, storeDown: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.submit(batchOf("a", 1, 16, 300*time.Millisecond))
			f.advance(200 * time.Millisecond)
			require.Equal(t, 16, f.countRunning("a"))
			for _, w := range f.workers {
				w.unreachable = true
			}
			f.advance(500 * time.Millisecond)
			f.limits.EndsPerReport = 3
			f.engine.Limits = f.limits
			f.storeDown = tc.storeDown
			if tc.newOwner {
				f.replaceOwner()
			}
			for _, w := range f.workers {
				w.unreachable = false
			}
			f.addWorker("free")
			f.listWorkers()
			f.advance(3 * time.Second)
			if tc.storeDown {
				require.Equal(t, 16, f.starts)
				f.storeDown = false
				f.advance(2 * time.Second)
			}
			assert.Positive(t, f.partialReports)
			assert.Equal(t, 16, f.starts)
			assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
		})
	}
}

// Guards against tasks that wait for good for the ends of a worker that never answers
// again after a first report that did not list all of them.
func TestUnlistedEndsOfALostWorkerAreNotAwaitedForGood(t *testing.T) {
	f := newFleet(t, 1)
	f.submit(batchOf("a", 1, 8, 300*time.Millisecond))
	f.advance(600 * time.Millisecond)
	f.submit(batchOf("b", 1, 8, 300*time.Millisecond))
	f.advance(200 * time.Millisecond)
	f.storeDown = true
	f.advance(600 * time.Millisecond)
	f.limits.EndsPerReport = 3
	f.replaceOwner()
	f.advance(300 * time.Millisecond)
	require.Positive(t, f.partialReports)
	f.workers["w0"].removed, f.storeDown = true, false
	f.addWorker("w1")
	f.listWorkers()
	f.advance(4 * time.Second)
	assert.Equal(t, 16, f.starts, "the ends may be listed yet")
	f.advance(10 * time.Second)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("b")))
}

// Guards against ends that pile up on the workers while the store is down.
func TestStoreOutageBoundsTheEndsPerWorker(t *testing.T) {
	f := newFleet(t, 2)
	f.limits.EndsPerReport = 20
	f.replaceOwner()
	f.submit(batchOf("a", 1, 200, 50*time.Millisecond))
	f.advance(100 * time.Millisecond)
	f.storeDown = true
	f.advance(3 * time.Second)
	for id, w := range f.workers {
		assert.Len(t, w.ended, 19, id)
	}
	assert.Zero(t, f.partialReports)
	f.storeDown = false
	f.advance(5 * time.Second)
	assert.Equal(t, 200, f.starts)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
}

// Guards against tasks that run again because a worker with ends that it has not listed
// yet is forgotten, as it leaves or isn't in the platform's list any more.
func TestWorkerWithUnlistedEndsIsNotForgotten(t *testing.T) {
	f := newFleet(t, 1)
	w := f.workers["w0"]
	f.submit(batchOf("a", 1, 8, 300*time.Millisecond))
	f.advance(200 * time.Millisecond)
	f.storeDown = true
	f.advance(500 * time.Millisecond)
	w.info.Leaving, f.storeDown = true, false
	f.limits.EndsPerReport = 3
	f.addWorker("free")
	f.replaceOwner()
	for f.partialReports == 0 {
		f.tick()
	}
	w.unreachable = true
	f.advance(500 * time.Millisecond)
	f.replaceOwner()
	f.advance(time.Second)
	assert.Equal(t, 8, f.starts, "the next owner awaits the rest of the ends")
	w.unreachable = false
	for f.partialReports == 1 {
		f.tick()
	}
	w.info.Leaving = false
	f.engine.RemoveWorker("w0")
	f.advance(10 * time.Second)
	assert.Equal(t, 8, f.starts)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
}
