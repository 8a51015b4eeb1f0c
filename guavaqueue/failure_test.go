package guavaqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against steps that start too early or never.
func TestStepsRunInOrder(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(batchOf("a", 3, 4, 200*time.Millisecond))
	f.run(400 * time.Millisecond)
	for _, w := range f.workers {
		for id := range w.runs {
			assert.LessOrEqual(t, id.Task.Step, 1, "the third step begins after 400 ms of work at the earliest")
		}
	}
	f.run(2 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.states())
	assert.Equal(t, 12, f.starts)
}

// Guards against a lease that a new owner takes as over because it has sent
// none: every adopted task was started a second time.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(serviceOf("a", 6))
	f.run(time.Second)
	require.Equal(t, 6, f.running("a"))
	f.own()
	f.run(3 * time.Second)
	assert.Equal(t, 6, f.running("a"))
	assert.Equal(t, 6, f.starts, "no run was replaced")
}

// Guards against a new owner that starts a task which may still run on a worker
// that it can't reach.
func TestNewOwnerWaitsForUnreachableWorker(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(serviceOf("a", 4))
	f.run(time.Second)
	for _, w := range f.workers {
		w.cut = len(w.runs) > 0
		break
	}
	f.own()
	f.run(5 * time.Second)
	assert.Equal(t, 4, f.running("a"), "runs keep their lease")
	f.run(10 * time.Second)
	assert.Equal(t, 4, f.running("a"), "they run elsewhere after it")
}

// Guards against calls that prolong the lease of an unreachable worker for ever:
// its service tasks were never started again.
func TestServiceLeavesLostWorker(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(serviceOf("a", 4))
	f.run(time.Second)
	for _, w := range f.workers {
		w.gone = true
		break
	}
	f.list()
	f.run(8 * time.Second)
	assert.Equal(t, 4, f.running("a"))
}

// Guards against runs that go on in the engine after their worker started again
// under its ID.
func TestWorkerStartsAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.submit(serviceOf("a", 4))
	f.run(time.Second)
	f.boot(f.workers["w0"])
	f.list()
	f.run(time.Second)
	assert.Equal(t, 4, f.running("a"))
	assert.Equal(t, 8, f.starts)
}

// Guards against an end that is forgotten before it is durable.
func TestEndsAreKeptUntilDurable(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(batchOf("a", 1, 4, 200*time.Millisecond))
	f.run(100 * time.Millisecond)
	f.storeDown = true
	f.run(2 * time.Second)
	assert.Equal(t, guavascale.SubmissionRunning, must(f.engine.State("a")), "the end is not durable")
	assert.Empty(t, f.done, "no worker has forgotten an end")
	f.storeDown = false
	f.own()
	f.run(time.Second)
	assert.Equal(t, guavascale.SubmissionCompleted, must(f.engine.State("a")))
	assert.Equal(t, 4, f.starts, "the new owner learned the ends from the workers")
}

// Guards against submissions that wait for a store which refuses commits until
// their caller has left.
func TestRefusedCommitsRejectSubmissions(t *testing.T) {
	f := newFleet(t, 1)
	f.run(time.Second)
	f.storeDown = true
	var told []guavascale.SubmissionState
	s := batchOf("a", 1, 1, time.Second)
	f.steps["a"] = s
	require.NoError(t, f.engine.Submit(f.now, s, func(st guavascale.SubmissionState) { told = append(told, st) }))
	f.run(100 * time.Millisecond)
	assert.Zero(t, f.engine.Withdraw(f.now.Add(-300*time.Millisecond)))
	f.run(300 * time.Millisecond)
	assert.Equal(t, 1, f.engine.Withdraw(f.now.Add(-300*time.Millisecond)))
	assert.Equal(t, []guavascale.SubmissionState{""}, told)
	f.storeDown = false
	f.run(2 * time.Second)
	assert.Zero(t, f.starts, "a rejected submission never runs")
}

// Guards against submissions that fail without their attempts being used, and
// against attempts beyond them.
func TestFailuresAreBounded(t *testing.T) {
	f := newFleet(t, 2)
	for _, w := range f.workers {
		w.failAll = true
	}
	f.submit(batchOf("a", 1, 1, time.Second))
	f.run(10 * time.Second)
	assert.Equal(t, guavascale.SubmissionFailed, must(f.engine.State("a")))
	assert.Equal(t, 3, f.starts)
}

// Guards against runs of a cancelled submission that go on.
func TestCancelStopsRuns(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(serviceOf("a", 6))
	f.run(time.Second)
	told := false
	require.True(t, f.engine.Cancel(f.now, "a", func(guavascale.SubmissionState) { told = true }))
	f.run(500 * time.Millisecond)
	assert.True(t, told)
	assert.Zero(t, f.running("a"))
	assert.False(t, f.engine.Cancel(f.now, "unknown", nil))
}

// Guards against services that stay on a draining worker until it is gone.
func TestDrainingWorkerIsEmptied(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(serviceOf("a", 4))
	f.run(time.Second)
	f.workers["w0"].w.Leaving = true
	f.list()
	f.run(time.Second)
	assert.Empty(t, f.workers["w0"].runs)
	assert.Equal(t, 4, f.running("a"))
}

// Guards against two runs of a task, starts after an end and lost submissions
// under random cuts, restarts, late orders, refused commits and changes of the
// owner.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomFailures(t, seed)
		})
	}
}

func randomFailures(t *testing.T, seed uint64) {
	f := newFleet(t, 4)
	f.rand = rand.New(rand.NewPCG(seed, 7))
	f.loseStarts, f.lateBy = 0.05, 8*time.Second
	for i := range 600 {
		if i%8 == 0 {
			f.submit(batchOf(fmt.Sprintf("s%d", i), 1+f.rand.IntN(2), 1+f.rand.IntN(4), time.Duration(f.rand.IntN(800)+50)*time.Millisecond))
		}
		f.trouble()
		f.run(100 * time.Millisecond)
	}
	f.loseStarts, f.storeDown = 0, false
	for _, w := range f.workers {
		w.cut = false
	}
	f.run(40 * time.Second)
	for id := range f.accepted {
		assert.True(t, must(f.engine.State(id)).Ended(), "accepted submission %s is %s", id, must(f.engine.State(id)))
	}
}

// trouble begins or ends one failure now and then.
func (f *fleet) trouble() {
	w := f.workers[guavascale.WorkerID(fmt.Sprintf("w%d", f.rand.IntN(len(f.workers))))]
	switch f.rand.IntN(60) {
	case 0, 1:
		w.cut = true
	case 2, 3, 4, 5, 6:
		w.cut = false
	case 7:
		f.boot(w)
		if f.rand.IntN(2) == 0 {
			f.list()
		}
	case 8:
		f.own()
	case 9:
		f.storeDown = true
	case 10, 11, 12:
		f.storeDown = false
	}
}

func must(s guavascale.SubmissionState, ok bool) guavascale.SubmissionState {
	if !ok {
		return "unknown"
	}
	return s
}

// Guards against failures that are counted twice when a worker repeats ends
// that were applied but not yet forgotten: submissions failed too early.
func TestRepeatedEndsCountOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.submit(batchOf("a", 1, 1, 10*time.Second))
	f.run(500 * time.Millisecond)
	w := f.workers["w0"]
	for id := range w.runs {
		w.end(id, guavascale.RunFailed)
	}
	repeated := w.ended
	f.run(500 * time.Millisecond)
	for range 3 {
		w.ended = repeated
		f.own()
		f.run(500 * time.Millisecond)
	}
	assert.Equal(t, guavascale.SubmissionRunning, must(f.engine.State("a")))
	assert.Equal(t, 2, f.starts)
}

// Guards against failures that a new owner does not count because a later
// attempt's worker told its end first: a task was started beyond its attempts.
func TestFailuresCountInAnyOrder(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(batchOf("a", 1, 1, 10*time.Second))
	f.run(200 * time.Millisecond)
	f.storeDown = true
	for range 3 {
		for _, w := range f.workers {
			for id := range w.runs {
				w.end(id, guavascale.RunFailed)
			}
		}
		f.run(400 * time.Millisecond)
	}
	require.Equal(t, 3, f.starts)
	f.storeDown = false
	for range 5 {
		f.own()
		f.run(time.Second)
	}
	assert.Equal(t, 3, f.starts)
	assert.Equal(t, guavascale.SubmissionFailed, must(f.engine.State("a")))
}

// Guards against attempts that are all spent on one worker that fails
// everything: the submission was shown as failed although others were sound.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	f := newFleet(t, 3)
	f.run(200 * time.Millisecond)
	f.workers["w0"].failAll = true
	for i := range 12 {
		f.submit(batchOf(fmt.Sprintf("s%d", i), 1, 3, 100*time.Millisecond))
		f.run(200 * time.Millisecond)
	}
	f.run(3 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 12}, f.states())
	assert.Less(t, f.starts, 12*3+12, "the worker that fails is avoided")
}

// Guards against submissions that wait for a worker which has become slow or
// makes no progress, although others are sound.
func TestStragglersAreReplaced(t *testing.T) {
	cases := map[string]struct {
		spoil  func(w *fakeWorker)
		copies bool
	}{
		"slow":             {func(w *fakeWorker) { w.slow = 10 }, false},
		"slow, with copy":  {func(w *fakeWorker) { w.slow = 10 }, true},
		"stuck":            {func(w *fakeWorker) { w.stuck = true }, false},
		"stuck, with copy": {func(w *fakeWorker) { w.stuck = true }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.run(200 * time.Millisecond)
			tc.spoil(f.workers["w0"])
			s := batchOf("a", 1, 9, time.Second)
			s.Steps[0].Copies = tc.copies
			f.submit(s)
			f.run(6 * time.Second)
			assert.Equal(t, guavascale.SubmissionCompleted, must(f.engine.State("a")))
			assert.LessOrEqual(t, f.starts, 12, "only stragglers begin anew")
		})
	}
}

// Guards against submissions that wait for ever because no worker can hold one
// of their tasks.
func TestTooLargeIsRejected(t *testing.T) {
	f := newFleet(t, 2)
	s := batchOf("a", 1, 1, time.Second)
	s.Steps[0].Size.MilliCores = 4001
	var invalid *guavascale.ValidationError
	require.ErrorAs(t, f.engine.Submit(f.now, s, nil), &invalid)
	assert.Equal(t, "Steps[0].Size", invalid.Field)
	s.Queue = "unknown"
	require.NoError(t, f.engine.Submit(f.now, s, func(guavascale.SubmissionState) {}), "nothing is known of its workers")
}

// Guards against fillers that stay slow for ever after they disturbed a service,
// and against services that are not relieved.
func TestSlowedFillerIsSpedUpAgain(t *testing.T) {
	f := newFleet(t, 1)
	service := serviceOf("service", 2)
	service.Steps[0].Kind, service.Steps[0].Target = "shop", 20*time.Millisecond
	f.submit(service)
	filler := batchOf("filler", 1, 1, 20*time.Second)
	filler.Steps[0].Filler, filler.Steps[0].Kind = true, "pack"
	f.submit(filler)
	w := f.workers["w0"]
	w.tail = 5 * time.Millisecond
	f.run(8 * time.Second)
	require.Empty(t, w.paces)
	w.tail = 100 * time.Millisecond
	f.run(4 * time.Second)
	run := guavascale.Run{Task: guavascale.TaskRef{Submission: "filler"}, Attempt: 1}
	assert.Equal(t, throttledPace, w.paces[run], "it would lose more than half of its work by a stop")
	w.tail = 5 * time.Millisecond
	f.run(5 * time.Second)
	assert.Equal(t, fullPace, w.paces[run])
}

// Guards against an end that callers are told while its commit is still in
// progress: the commit failed, a new owner ran the tasks again, and the
// submission had been shown as completed (hunt-ecae-7 of sbft-licences, TWICE).
func TestEndIsToldOnceDurable(t *testing.T) {
	f := newFleet(t, 1)
	f.submit(batchOf("a", 1, 1, 300*time.Millisecond))
	f.submit(serviceOf("b", 1))
	f.run(150 * time.Millisecond)
	f.hold = true
	f.run(500 * time.Millisecond)
	cancelled := 0
	for range 2 {
		f.engine.Cancel(f.now, "b", func(guavascale.SubmissionState) { cancelled++ })
		f.run(100 * time.Millisecond)
	}
	require.NotNil(t, f.held, "a commit is in progress")
	assert.Equal(t, guavascale.SubmissionRunning, must(f.engine.State("a")))
	assert.Equal(t, guavascale.SubmissionRunning, must(f.engine.State("b")))
	assert.Zero(t, cancelled)
	f.hold = false
	f.run(500 * time.Millisecond)
	assert.Equal(t, guavascale.SubmissionCompleted, must(f.engine.State("a")))
	assert.Equal(t, guavascale.SubmissionCancelled, must(f.engine.State("b")))
	assert.Equal(t, 2, cancelled)
}

// Guards against an attempt too many. An owner that can't commit sees a task fail
// on two workers and starts its last attempt; its successor lists that attempt
// first, and hears of the failures on the other workers later.
func TestAdoptedRunIsNotRepeatedBeforeFailuresAreKnown(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(batchOf("a", 1, 1, 2*time.Second))
	f.run(100 * time.Millisecond)
	require.True(t, f.accepted["a"])
	f.storeDown = true
	failed := 0
	for range 2 {
		for _, w := range f.workers {
			if len(w.runs) > 0 {
				w.failAll, failed = true, failed+1
			}
		}
		f.run(300 * time.Millisecond)
	}
	require.Equal(t, 2, failed)
	require.Equal(t, 3, f.starts)
	f.storeDown = false
	for _, w := range f.workers {
		w.cut = len(w.runs) == 0
	}
	f.own()
	f.run(300 * time.Millisecond)
	for _, w := range f.workers {
		w.failAll = true
	}
	f.run(2 * time.Second)
	assert.Equal(t, 3, f.starts, "no start before the other workers are heard")
	for _, w := range f.workers {
		w.cut = false
	}
	f.run(2 * time.Second)
	assert.Equal(t, 3, f.starts)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionFailed: 1}, f.states())
}

// Guards against a new owner that waits for the lease of a worker which had been
// emptied and has left: all inherited work stood still for eleven seconds.
func TestNewOwnerDoesNotWaitForEmptiedWorker(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(batchOf("a", 4, 3, 500*time.Millisecond))
	f.run(200 * time.Millisecond)
	w := f.workers["w0"]
	w.w.Leaving = true
	f.list()
	f.run(800 * time.Millisecond)
	require.Empty(t, w.runs)
	w.gone = true
	f.own()
	f.run(3 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.states())
}

// Guards against a second run of a done task: the worker that was emptied knows
// of an end that did not fit into the last commit, and answers the new owner late.
func TestNewOwnerWaitsForEndsOfEmptiedWorker(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(batchOf("a", 1, 1, 500*time.Millisecond))
	f.run(200 * time.Millisecond)
	w := f.workers["w0"]
	if len(w.runs) == 0 {
		w = f.workers["w1"]
	}
	require.Len(t, w.runs, 1)
	w.w.Leaving = true
	f.list()
	f.hold = true
	f.submit(batchOf("b", 1, 1, time.Minute))
	f.tick()
	require.NotNil(t, f.held)
	for i := range maxBatchRows {
		s := batchOf(fmt.Sprintf("c%d", i), 1, 1, time.Minute)
		s.Steps[0].Size = guavascale.Resources{MilliCores: 1, MemoryMB: 1}
		f.submit(s)
	}
	f.run(time.Second)
	require.Empty(t, w.runs)
	f.hold = false
	f.commit()
	f.commit()
	w.cut = true
	f.own()
	f.run(time.Second)
	for _, o := range f.workers {
		if o != w {
			assert.NotContains(t, o.highest, guavascale.TaskRef{Submission: "a"}, "it is done")
		}
	}
	w.cut = false
	f.run(time.Second)
	state, ok := f.engine.State("a")
	assert.True(t, ok)
	assert.Equal(t, guavascale.SubmissionCompleted, state)
}

// Guards against an owner that was frozen, was replaced meanwhile, and takes a
// lease as over which its successor has extended: it started a service task a
// second time on a worker that the successor had not reached yet.
func TestLeaseIsNotOverForAnOwnerThatMayBeReplaced(t *testing.T) {
	f := newFleet(t, 2)
	f.submit(serviceOf("a", 1))
	f.run(time.Second)
	for _, w := range f.workers {
		w.cut = len(w.runs) > 0
	}
	f.unsure = true
	f.run(2 * testLeaseMax)
	assert.Equal(t, 1, f.starts)
	f.unsure = false
	f.run(2 * time.Second)
	assert.Equal(t, 2, f.starts, "it runs elsewhere once the owner is sure")
}

// Guards against starts on a worker that has started again and forgotten the
// token of a later owner, by an owner that may have been replaced.
func TestUnsureOwnerUsesNoRestartedWorker(t *testing.T) {
	f := newFleet(t, 1)
	f.submit(serviceOf("a", 1))
	f.run(time.Second)
	require.Equal(t, 1, f.starts)
	f.unsure = true
	f.boot(f.workers["w0"])
	f.list()
	f.run(2 * time.Second)
	assert.Equal(t, 1, f.starts)
	f.unsure = false
	f.run(time.Second)
	assert.Equal(t, 2, f.starts)
}
