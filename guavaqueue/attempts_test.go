package guavaqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// failNext waits for a run and lets it fail.
func (f *fleet) failNext() {
	for range 2000 {
		f.tick()
		for _, w := range f.workers {
			for id := range w.runs {
				f.endRun(w, id, guavascale.RunFailed)
				return
			}
		}
	}
	require.Fail(f.t, "no run starts")
}

// Guards against a submission that fails before its queue's attempts are used up, or whose
// task starts more often than that, if they are more than the numbers of attempts that are
// kept: with 20 allowed, a submission failed after 16.
func TestQueueAllowsManyAttempts(t *testing.T) {
	cases := map[string]struct {
		allowed, failures int
		// takeoverAfter is the number of failures after which a new owner takes over, again
		// and again; 0 means never.
		takeoverAfter int
		// repeats makes the workers report all ends again to each owner.
		repeats bool
		want    guavascale.SubmissionState
	}{
		"one left":              {allowed: 20, failures: 19, want: guavascale.SubmissionCompleted},
		"used up":               {allowed: 20, failures: 20, want: guavascale.SubmissionFailed},
		"one of 60 left":        {allowed: 60, failures: 59, want: guavascale.SubmissionCompleted},
		"takeovers, one left":   {allowed: 60, failures: 59, takeoverAfter: 3, want: guavascale.SubmissionCompleted},
		"takeovers, used up":    {allowed: 60, failures: 60, takeoverAfter: 3, want: guavascale.SubmissionFailed},
		"repeats, one left":     {allowed: 40, failures: 39, takeoverAfter: 4, repeats: true, want: guavascale.SubmissionCompleted},
		"repeats, used up":      {allowed: 40, failures: 40, takeoverAfter: 4, repeats: true, want: guavascale.SubmissionFailed},
		"no limit":              {failures: 40, takeoverAfter: 7, want: guavascale.SubmissionCompleted},
		"few, repeats, used up": {allowed: 3, failures: 3, takeoverAfter: 1, repeats: true, want: guavascale.SubmissionFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			for i := range f.catalog.Queues {
				f.catalog.Queues[i].MaxAttempts = tc.allowed
			}
			f.submit(batchOf("a", 1, 1, 300*time.Millisecond))
			ended := make(map[guavascale.WorkerID][]guavascale.RunEnd)
			for n := 1; n <= tc.failures; n++ {
				f.failNext()
				for id, w := range f.workers {
					for _, end := range w.ended {
						if k := len(ended[id]); k == 0 || end.Number > ended[id][k-1].Number {
							ended[id] = append(ended[id], end)
						}
					}
				}
				if tc.takeoverAfter == 0 || n%tc.takeoverAfter != 0 {
					continue
				}
				f.advance(200 * time.Millisecond)
				for id, w := range f.workers {
					if tc.repeats {
						w.ended = ended[id]
					}
				}
				f.replaceOwner()
			}
			f.advance(15 * time.Second)
			assert.Equal(t, tc.want, stateOrUnknown(f.engine.State("a")))
			starts := tc.failures
			if tc.want == guavascale.SubmissionCompleted {
				starts++
			}
			assert.Equal(t, starts, f.starts)
		})
	}
}

// Guards against a new owner that numbers the attempts of a task below those of the owner
// before, which has made more than attemptsPerOwner, so that their failures are taken for
// repeated ones.
func TestAttemptsBeyondTheRangeOfAnOwner(t *testing.T) {
	f := newFleet(t, 2)
	former, next := f.workers["w0"], f.workers["w1"]
	next.removed = true
	f.listWorkers()
	f.submit(serviceOf("a", 1))
	for f.starts == 0 {
		f.tick()
	}
	f.engine.subs["a"].steps[0].tasks[0].attempt = attemptsPerOwner - 2
	for range 6 {
		f.failNext()
	}
	// The next attempt is delayed, and the worker has forgotten the ends.
	f.advance(150 * time.Millisecond)
	require.Zero(t, f.countRunning("a"))
	require.Empty(t, former.ended)
	// A worker that has seen the former attempts would refuse lower ones.
	former.removed, next.removed = true, false
	f.replaceOwner()
	for range 3 {
		f.failNext()
	}
	f.advance(4 * time.Second)
	assert.Equal(t, 1, f.countRunning("a"))
	assert.Equal(t, 9, f.engine.subs["a"].steps[0].tasks[0].failed.Count)
	for id := range next.runs {
		assert.Equal(t, int64(attemptsPerOwner+7), id.Attempt)
	}
}
