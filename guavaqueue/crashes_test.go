package guavaqueue

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavacrash"
)

// Guards against a task that crashes one worker after the other (BUDGET): it was started
// again every few seconds until the end of the day, since only runs that ended Failed
// counted as attempts. The tasks beside it must not be blamed for it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		crashTime time.Duration
		newIDs    bool
		// lost is set if the fatal start gets no answer.
		lost bool
		// newOwner is set if the owner is replaced after the first crash.
		newOwner  bool
		service   bool
		maxStarts int
	}{
		"worker comes back":             {crashTime: 3 * time.Second, maxStarts: 3},
		"under another ID":              {crashTime: 3 * time.Second, newIDs: true, maxStarts: 3},
		"start without answer":          {crashTime: 3 * time.Second, lost: true, maxStarts: 3},
		"start without answer, new ID":  {crashTime: 3 * time.Second, lost: true, newIDs: true, maxStarts: 3},
		"back after its lease":          {crashTime: 12 * time.Second, maxStarts: 3},
		"back after its lease, new ID":  {crashTime: 12 * time.Second, newIDs: true, maxStarts: 3},
		"another owner after the crash": {crashTime: 3 * time.Second, newOwner: true, maxStarts: 4},
		"service":                       {crashTime: 3 * time.Second, service: true, maxStarts: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.crashTime, f.newIDs, f.loseDeadly = tc.crashTime, tc.newIDs, tc.lost
			f.deadly = map[string]bool{"deadly": true}
			f.submit(serviceOf("s", 6))
			f.advance(2 * time.Second)
			for i := range 10 {
				f.submit(batchOf(fmt.Sprintf("a%d", i), 1, 2, 2*time.Second))
			}
			deadly := batchOf("deadly", 1, 1, time.Second)
			if tc.service {
				deadly = serviceOf("deadly", 1)
			}
			f.submit(deadly)
			if tc.newOwner {
				f.advance(5 * time.Second)
				require.GreaterOrEqual(t, f.deadlyStarts, 2)
				f.replaceOwner()
			}
			f.advance(50 * time.Second)
			assert.LessOrEqual(t, f.deadlyStarts, tc.maxStarts)
			assert.Equal(t, map[guavascale.SubmissionState]int{
				guavascale.SubmissionFailed: 1, guavascale.SubmissionCompleted: 10, guavascale.SubmissionRunning: 1,
			}, f.countStates())
			assert.Equal(t, 6, f.countRunning("s"))
		})
	}
}

// Guards against tasks that are given up since their workers crash for other reasons.
func TestCrashesAreNotBlamedOnRunningTasks(t *testing.T) {
	f := newFleet(t, 3)
	f.crashTime = time.Second
	f.submit(serviceOf("s", 6))
	for range 6 {
		f.advance(6 * time.Second)
		require.Equal(t, 6, f.countRunning("s"))
		for _, w := range f.workers {
			if len(w.runs) > 0 {
				f.crash(w)
				break
			}
		}
	}
	f.advance(6 * time.Second)
	assert.Equal(t, 6, f.countRunning("s"))
}

// Guards against a task that is given up since it starts beside the one that crashes
// workers, and against two suspects on one worker, of which the crash would blame both.
func TestSuspectsAreSeparated(t *testing.T) {
	f := newFleet(t, 8)
	f.crashTime = 2 * time.Second
	f.deadly = map[string]bool{"deadly": true}
	// All of them start on the same worker at the same time as the fatal task.
	for _, w := range f.workers {
		w.info.Leaving = w.info.ID != "w0"
	}
	f.listWorkers()
	for i := range 6 {
		f.submit(batchOf(fmt.Sprintf("a%d", i), 1, 1, 2*time.Second))
	}
	f.submit(batchOf("deadly", 1, 1, time.Second))
	f.advance(200 * time.Millisecond)
	require.Equal(t, 1, f.deadlyStarts)
	for _, w := range f.workers {
		w.info.Leaving = false
	}
	f.listWorkers()
	f.advance(30 * time.Second)
	assert.Equal(t, 3, f.deadlyStarts)
	assert.Equal(t, map[guavascale.SubmissionState]int{
		guavascale.SubmissionFailed: 1, guavascale.SubmissionCompleted: 6,
	}, f.countStates())
}

// Guards against two suspects that are both given up when the worker crashes that they
// share, although only one of them can have caused it.
func TestSharedCrashBlamesNobody(t *testing.T) {
	f := newFleet(t, 1)
	f.crashTime = 2 * time.Second
	for _, id := range []string{"a", "b"} {
		f.submit(batchOf(id, 1, 1, 10*time.Second))
	}
	for range 3 {
		f.advance(100 * time.Millisecond)
		require.Equal(t, 2, f.countRunning(""))
		f.crash(f.workers["w0"])
		f.advance(f.crashTime + fleetTick)
	}
	f.advance(20 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 2}, f.countStates())
}

// Guards against a task that starts beside a suspect and shares the blame for its crash:
// the suspect was then started a third time.
func TestFreshTaskBesideSuspectIsNotCharged(t *testing.T) {
	f := newFleet(t, 1)
	f.crashTime = 2 * time.Second
	f.deadly = map[string]bool{"deadly": true}
	f.submit(batchOf("deadly", 1, 1, time.Second))
	f.advance(200 * time.Millisecond)
	// By then the service is more urgent, so it starts first on the restarted worker.
	f.submit(serviceOf("a", 1))
	f.advance(20 * time.Second)
	assert.Equal(t, 3, f.deadlyStarts)
	assert.Equal(t, map[guavascale.SubmissionState]int{
		guavascale.SubmissionFailed: 1, guavascale.SubmissionRunning: 1,
	}, f.countStates())
}

// Guards against a task that is given up although it ran on none of the workers that
// crashed (LOST: shown as failed without cause): its start orders got no answer and had not
// been carried out when the workers crashed.
func TestStartsThatNeverArrivedAreNotCharged(t *testing.T) {
	f := newFleet(t, 1)
	f.crashTime = 500 * time.Millisecond
	f.advance(time.Second)
	f.lostStartShare, f.maxStartDelay = 1, time.Hour
	f.submit(batchOf("a", 1, 1, time.Second))
	for range guavacrash.MaxSharedCrashes + 1 {
		f.advance(2 * time.Second)
		f.crash(f.workers["w0"])
		f.delayedStarts = nil
	}
	f.lostStartShare = 0
	f.advance(20 * time.Second)
	assert.Equal(t, map[guavascale.SubmissionState]int{guavascale.SubmissionCompleted: 1}, f.countStates())
}

// Guards against a crash that is charged to nobody since another worker, which has the
// address by then, refuses a stop: that counted as a sign of life of the one that crashed.
func TestRefusalOfNextWorkerIsNoSignOfLife(t *testing.T) {
	f := newFleet(t, 6)
	f.crashTime, f.newIDs = 3*time.Second, true
	f.deadly = map[string]bool{"deadly": true}
	for i := range 40 {
		f.submit(batchOf(fmt.Sprintf("a%d", i), 1, 1, 50*time.Second))
	}
	f.advance(2 * time.Second)
	f.submit(batchOf("deadly", 1, 1, time.Second))
	for range 200 {
		f.advance(200 * time.Millisecond)
		for id, w := range f.workers {
			if w.removed && !w.replaced || f.engine.workers[id] == nil {
				continue
			}
			for r := range f.engine.workers[id].runs {
				if !w.backAt.IsZero() && r.Task.Submission != "deadly" {
					f.engine.Cancel(f.now, r.Task.Submission, func(guavascale.SubmissionState) {})
				}
			}
		}
	}
	state, _ := f.engine.State("deadly")
	assert.Equal(t, guavascale.SubmissionFailed, state)
	assert.LessOrEqual(t, f.deadlyStarts, 3)
}

// Guards against crashes that are charged to nobody (BUDGET: started for good): the host
// goes silent with the start order, so that nothing breaks.
func TestSilentHostsAreCharged(t *testing.T) {
	for name, newIDs := range map[string]bool{"same ID": false, "new ID": true} {
		for _, crashTime := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 12 * time.Second} {
			t.Run(fmt.Sprint(name, " after ", crashTime), func(t *testing.T) {
				f := newFleet(t, 6)
				f.crashTime, f.newIDs, f.silent = crashTime, newIDs, true
				f.deadly = map[string]bool{"deadly": true}
				f.submit(serviceOf("s", 6))
				f.advance(2 * time.Second)
				f.submit(batchOf("deadly", 1, 1, time.Second))
				for i := range 60 {
					f.submit(batchOf(fmt.Sprintf("a%d", i), 1, 2, 300*time.Millisecond))
					f.advance(time.Second)
				}
				f.advance(30 * time.Second)
				assert.LessOrEqual(t, f.deadlyStarts, 5)
				assert.Equal(t, map[guavascale.SubmissionState]int{
					guavascale.SubmissionFailed: 1, guavascale.SubmissionCompleted: 60, guavascale.SubmissionRunning: 1,
				}, f.countStates())
			})
		}
	}
}

// Guards against crashes that are charged to nobody since the owner changes between the
// start and the end of the worker: the next owner didn't know of the start.
func TestHandOversKeepSuspicions(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, newIDs := range []bool{false, true} {
			for _, after := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 1100 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("silent %t, new IDs %t, after %s", silent, newIDs, after), func(t *testing.T) {
					f := newFleet(t, 6)
					f.crashTime, f.newIDs, f.silent = 3*time.Second, newIDs, silent
					f.deadly = map[string]bool{"deadly": true}
					f.submit(serviceOf("s", 6))
					f.advance(2 * time.Second)
					f.submit(batchOf("deadly", 1, 1, time.Second))
					starts, replaced := 0, 0
					for range 2400 {
						f.advance(fleetTick)
						// The first start isn't known to be dangerous, so it isn't stored.
						if f.deadlyStarts > starts && (starts > 0 || !silent) {
							f.advance(after)
							f.replaceOwner()
							replaced++
						}
						starts = f.deadlyStarts
					}
					t.Log("starts", starts, "owners", replaced)
					assert.LessOrEqual(t, f.deadlyStarts, 5)
					assert.Equal(t, map[guavascale.SubmissionState]int{
						guavascale.SubmissionFailed: 1, guavascale.SubmissionRunning: 1,
					}, f.countStates())
				})
			}
		}
	}
}

// Guards against tasks that are given up although workers have not crashed under them
// (LOST: shown as failed without cause): workers crash all the time, some silently, starts
// get lost or are carried out late, and owners change.
func TestInnocentTasksAreNeverGivenUp(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			f.rand = rand.New(rand.NewPCG(seed, 11))
			f.crashTime, f.newIDs, f.silent = 3*time.Second, f.rand.IntN(2) == 0, f.rand.IntN(2) == 0
			f.lostStartShare, f.maxStartDelay = 0.3, 3*time.Second
			for i := range 300 {
				if i%4 == 0 {
					f.submit(batchOf(fmt.Sprintf("a%d", i), 1, 2, time.Duration(f.rand.IntN(3000)+50)*time.Millisecond))
				}
				if f.rand.IntN(20) == 0 {
					f.crashOne()
				}
				if f.rand.IntN(60) == 0 {
					f.replaceOwner()
				}
				f.advance(100 * time.Millisecond)
			}
			f.lostStartShare = 0
			f.advance(60 * time.Second)
			for id := range f.submissions {
				if state, _ := f.engine.State(id); state == guavascale.SubmissionFailed {
					assert.GreaterOrEqual(t, f.crashedUnder[id], 2, "%s failed", id)
				}
			}
		})
	}
}

// crashOne crashes a random worker that is up.
func (f *fleet) crashOne() {
	ids := slices.Sorted(maps.Keys(f.workers))
	if w := f.workers[ids[f.rand.IntN(len(ids))]]; w.backAt.IsZero() && !w.removed {
		f.crash(w)
	}
}
