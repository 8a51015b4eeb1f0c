package guavashard

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
)

func hasStart(m Message) bool {
	return slices.ContainsFunc(m.Orders.Orders, func(o guavascale.Order) bool {
		return o.Kind == guavascale.OrderStart
	})
}

// Guards against a duplicate start order that restarts an attempt which has
// ended and which the worker was ordered to forget.
func TestDuplicateStartAfterEnd(t *testing.T) {
	h := newHarness(t, 1, 1)
	duplicated := false
	h.delay = func(m Message) time.Duration {
		if hasStart(m) && !duplicated {
			duplicated = true
			h.delayed = append(h.delayed, delayedMessage{h.clock.now.Add(1900 * time.Millisecond), m})
		}
		return 0
	}
	h.declareUntilLogged(testJob("tally", 1, 0.2))
	h.run(10 * time.Second)
	require.True(t, duplicated)
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/0#1"])
	require.Equal(t, 1, h.status("tally").Done)
	h.requireNoViolations()
}

// Guards against a duplicate start order that restarts a forgotten attempt when
// the owner has reloaded the shard from its log at the same epoch in between.
func TestDuplicateStartAfterReload(t *testing.T) {
	h := newHarness(t, 1, 1)
	duplicated := false
	h.delay = func(m Message) time.Duration {
		if hasStart(m) && !duplicated {
			duplicated = true
			h.delayed = append(h.delayed, delayedMessage{h.clock.now.Add(1900 * time.Millisecond), m})
		}
		return 0
	}
	h.declareUntilLogged(testJob("tally", 1, 0.2))
	for !h.fleet.Verdict().Done["tally/0"] {
		h.step()
	}
	h.run(500 * time.Millisecond)
	h.reload(h.shard.Epoch)
	h.run(20 * time.Second)
	require.True(t, duplicated)
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/0#1"])
	h.requireNoViolations()
}

// Guards against starting a new attempt while the start order of the previous
// one may still arrive. An owner with a stale configuration cannot repeat the
// order and ends the attempt that the worker does not report, but only after
// the order has expired.
func TestDelayedStartAfterStaleConfig(t *testing.T) {
	h := newHarness(t, 1, 2)
	delayed := false
	h.delay = func(m Message) time.Duration {
		if !hasStart(m) || delayed {
			return 0
		}
		delayed = true
		h.startsRevoked = true
		return 1900 * time.Millisecond
	}
	h.declareUntilLogged(testJob("tally", 1, 60))
	h.run(1500 * time.Millisecond)
	h.startsRevoked = false
	h.run(90 * time.Second)
	require.True(t, delayed)
	require.Equal(t, 1, h.status("tally").Done)
	h.requireNoViolations()
}

// Guards against the end of a task outside its home shard that is not reported
// to the home shard.
func TestEndOutsideHomeShard(t *testing.T) {
	h := newHarness(t, 1, 1)
	task := guavascale.Task{
		ID: "tally/7", Class: guavascale.ClassBatch, Job: "tally", Home: "Shard-Brest-0", Hops: 1, Attempt: 3,
		State: guavascale.TaskPending, RunSeconds: 1, Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
	value, err := json.Marshal(guavascale.InboxItem{Task: &task})
	require.NoError(t, err)
	h.put("tally~7", value)
	h.run(5 * time.Second)
	var item guavascale.InboxItem
	require.NoError(t, json.Unmarshal(h.rows[InboxKey("Shard-Brest-0", "ended-tally/7")], &item))
	require.Equal(t, guavascale.EndedTask{Task: "tally/7", Job: "tally", State: guavascale.TaskDone}, *item.Ended)
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/7#4"], "the attempt number continues")
	require.Empty(t, h.shard.Tasks())
}

// Guards against mistaking a delayed report of an earlier incarnation, requested
// before the attempt was logged, for a restart of the worker.
func TestReportRequestedBeforeAttempt(t *testing.T) {
	h := newHarness(t, 1, 1)
	requested := h.clock.now
	h.declareUntilLogged(testJob("tally", 1, 60))
	h.run(5 * time.Second)
	stale := guavascale.Report{Worker: "w0", Incarnation: "w0-0", Epoch: 1}
	h.perform(h.shard.HandleReport(h.clock.now, requested, "w0", stale, nil))
	h.run(2 * time.Minute)
	require.Equal(t, 1, h.fleet.Verdict().StartsByTask["tally/0"])
	require.Equal(t, 1, h.status("tally").Done)
	h.requireNoViolations()
}

// Guards against usage above the declared size that is not shown to operators.
func TestUsageAboveDeclaredSizeIsShown(t *testing.T) {
	tests := map[string]struct {
		factor float64
		reason string
	}{
		"as declared": {1, ""},
		"far more":    {3, "uses more than its declared size"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 1)
			require.NoError(t, h.fleet.SetFaults("w0", guavafake.WorkerFaults{UsageFactor: tt.factor}))
			h.declareUntilLogged(testJob("audit", 1, 60))
			h.run(5 * time.Second)
			task := h.shard.Tasks()[0]
			require.Equal(t, int64(1000*tt.factor), task.Used.MilliCores)
			require.Equal(t, tt.reason, task.Reason)
			require.NotContains(t, string(h.log[len(h.log)-1]), "Used")
		})
	}
}

// Guards against lost or repeated work when a worker reconnects after its leases
// were considered expired but before its tasks were started on another worker.
func TestWorkerReturnsAfterLeaseExpiry(t *testing.T) {
	tests := map[string]struct {
		seconds float64
		starts  int
	}{
		"task was done":         {30, 1},
		"task was checkpointed": {300, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 1)
			h.declareUntilLogged(testJob("tally", 1, tt.seconds))
			h.run(5 * time.Second)
			h.cutOff("w0", true)
			h.run(2 * time.Minute)
			require.Empty(t, h.shard.Tasks()[0].Worker, "the lease has expired")
			h.cutOff("w0", false)
			h.run(6 * time.Minute)
			require.Equal(t, 1, h.status("tally").Done)
			require.Equal(t, tt.starts, h.fleet.Verdict().StartsByTask["tally/0"])
			require.Empty(t, h.fleet.Verdict().Violations)
		})
	}
}

// Guards against lost or repeated work when the worker reports while the
// expiration of its lease is being committed.
func TestWorkerReturnsDuringCommit(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.declareUntilLogged(testJob("tally", 1, 300))
	h.run(5 * time.Second)
	h.cutOff("w0", true)
	for h.shard.tasks["tally/0"].proposed == nil {
		h.step()
	}
	h.cutOff("w0", false)
	w := h.shard.workers["w0"].worker
	r, err := h.fleet.Send(t.Context(), w, guavascale.Orders{Shard: testName, Epoch: 1})
	h.perform(h.shard.HandleReport(h.clock.now, h.clock.now, "w0", r, err))
	h.run(6 * time.Minute)
	require.Equal(t, 1, h.status("tally").Done)
	require.Empty(t, h.fleet.Verdict().Violations)
}

// Guards against ignoring a checkpoint that the worker reports after the next
// attempt was placed but before its start order was sent.
func TestWorkerReturnsBeforeNextStart(t *testing.T) {
	tests := map[string]func(h *harness, e *taskEntry) bool{
		"start is being committed": func(_ *harness, e *taskEntry) bool { return e.proposed != nil && e.proposed.Attempt == 2 },
		"start is committed": func(h *harness, e *taskEntry) bool {
			h.runCommits()
			return e.task.Attempt == 2
		},
	}
	for name, reached := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.declareUntilLogged(testJob("tally", 1, 300))
			h.run(5 * time.Second)
			e := h.shard.tasks["tally/0"]
			first := e.task.Worker
			h.cutOff(first, true)
			for !reached(h, e) {
				h.step()
			}
			h.cutOff(first, false)
			r, err := h.fleet.Send(t.Context(), h.shard.workers[first].worker, guavascale.Orders{Shard: testName, Epoch: 1})
			h.perform(h.shard.HandleReport(h.clock.now, h.clock.now, first, r, err))
			h.run(6 * time.Minute)
			require.Equal(t, 1, h.status("tally").Done)
			require.Equal(t, 2, h.fleet.Verdict().StartsByTask["tally/0"])
			require.Empty(t, h.fleet.Verdict().Violations)
		})
	}
}

// Guards against ignoring a checkpoint that arrives while the next start is being
// committed, if the owner has read the task from a snapshot since the lease expired:
// a snapshot does not hold the worker of the last attempt.
func TestWorkerReturnsAfterSnapshotWasLoaded(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.declareUntilLogged(testJob("tally", 1, 300))
	h.run(5 * time.Second)
	first := h.shard.tasks["tally/0"].task.Worker
	h.cutOff(first, true)
	for !awaitsWorker(&h.shard.tasks["tally/0"].task) {
		h.step()
	}
	snap, err := h.shard.Snapshot()
	require.NoError(t, err)
	h.shard = New(testName, testZone, 2, h.clock.now)
	h.commits = nil
	require.NoError(t, h.shard.Load(snap, nil))
	for p := h.shard.tasks["tally/0"].proposed; p == nil || p.Attempt != 2; p = h.shard.tasks["tally/0"].proposed {
		h.step()
	}
	h.cutOff(first, false)
	r, err := h.fleet.Send(t.Context(), h.shard.workers[first].worker, guavascale.Orders{Shard: testName, Epoch: 2})
	h.perform(h.shard.HandleReport(h.clock.now, h.clock.now, first, r, err))
	h.run(6 * time.Minute)
	require.Equal(t, 1, h.status("tally").Done)
	require.Empty(t, h.fleet.Verdict().Violations)
}

// Guards against a new owner, or one that has read its log again, that restarts a task
// from the beginning before the worker of the last attempt has reported to it. The
// worker had reported the checkpoint before, but that was not committed.
func TestNewOwnerAwaitsReportsBeforeRestart(t *testing.T) {
	tests := map[string]struct{ epoch uint64 }{
		"new owner":          {2},
		"same owner, reread": {1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.declareUntilLogged(testJob("tally", 1, 300))
			h.run(5 * time.Second)
			first := h.shard.tasks["tally/0"].task.Worker
			h.cutOff(first, true)
			h.startsRevoked = true
			for !awaitsWorker(&h.shard.tasks["tally/0"].task) {
				h.step()
			}
			h.cutOff(first, false)
			r, err := h.fleet.Send(t.Context(), h.shard.workers[first].worker, guavascale.Orders{Shard: testName, Epoch: 1})
			h.perform(h.shard.HandleReport(h.clock.now, h.clock.now, first, r, err))
			h.reload(tt.epoch)
			h.startsRevoked = false
			heard := h.clock.now.Add(time.Second)
			h.delay = func(m Message) time.Duration {
				if m.Worker.ID == first && h.clock.now.Before(heard) {
					return testStep
				}
				return 0
			}
			h.run(6 * time.Minute)
			require.Equal(t, 1, h.status("tally").Done)
			require.Empty(t, h.fleet.Verdict().Violations)
		})
	}
}

// Guards against handing over a task of an unresponsive worker too early: the
// old shard would receive its checkpoint after the hand-over, and the new shard
// would start the task from the beginning.
func TestTaskOfUnresponsiveWorkerStaysForCheckpoint(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.view.OtherShards = []guavascale.PartitionSummary{{
		Partition: "Shard-Brest-0", Zone: "Brest", Free: guavascale.Resources{MilliCores: 4000, MemoryMB: 4096},
	}}
	h.declareUntilLogged(testJob("tally", 1, 300))
	h.run(5 * time.Second)
	h.cutOff("w0", true)
	for h.shard.tasks["tally/0"].task.State != guavascale.TaskPending {
		h.step()
	}
	h.run(minHandOverDelay + time.Second)
	require.Equal(t, guavascale.TaskPending, h.shard.tasks["tally/0"].task.State)
	h.cutOff("w0", false)
	h.run(6 * time.Minute)
	require.Equal(t, 1, h.status("tally").Done)
	require.Empty(t, h.fleet.Verdict().Violations)
}
