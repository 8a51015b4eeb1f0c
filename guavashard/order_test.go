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

// Guards against a repeated start order that starts an attempt again which the
// worker was told to forget.
func TestRepeatedStartAfterTheEnd(t *testing.T) {
	h := newHarness(t, 1, 1)
	repeated := false
	h.delay = func(m Message) time.Duration {
		if hasStart(m) && !repeated {
			repeated = true
			h.delayed = append(h.delayed, delayedMessage{h.clock.now.Add(1900 * time.Millisecond), m})
		}
		return 0
	}
	h.declareUntilLogged(testJob("tally", 1, 0.2))
	h.run(10 * time.Second)
	require.True(t, repeated)
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/0#1"])
	require.Equal(t, 1, h.status("tally").Done)
	h.requireNoViolations()
}

// Guards against the same when the owner rebuilt the shard from its log in
// between, at the same epoch.
func TestRepeatedStartAfterAReload(t *testing.T) {
	h := newHarness(t, 1, 1)
	repeated := false
	h.delay = func(m Message) time.Duration {
		if hasStart(m) && !repeated {
			repeated = true
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
	require.True(t, repeated)
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/0#1"])
	h.requireNoViolations()
}

// Guards against a new attempt while the start order of the previous one may
// still arrive.
func TestLateStartAfterAStaleConfiguration(t *testing.T) {
	h := newHarness(t, 1, 2)
	held := false
	h.delay = func(m Message) time.Duration {
		if !hasStart(m) || held {
			return 0
		}
		held = true
		h.startsRevoked = true
		return 1900 * time.Millisecond
	}
	h.declareUntilLogged(testJob("tally", 1, 60))
	h.run(1500 * time.Millisecond)
	h.startsRevoked = false
	h.run(90 * time.Second)
	require.True(t, held)
	require.Equal(t, 1, h.status("tally").Done)
	h.requireNoViolations()
}

// Guards against an end outside the home shard that the home shard never hears
// of.
func TestEndOutsideTheHomeShard(t *testing.T) {
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
	require.Equal(t, 1, h.fleet.Verdict().StartsByAttempt["tally/7#4"], "attempts go on counting")
	require.Empty(t, h.shard.Tasks())
}

// Guards against a late report of an earlier incarnation, requested before the
// attempt was logged, that looks like a restart of the worker.
func TestReportRequestedBeforeTheAttempt(t *testing.T) {
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

// Guards against a wrong declared size that operators cannot see.
func TestUsageBeyondTheDeclaredSizeIsShown(t *testing.T) {
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

// Guards against work that is lost or repeated because a worker comes back after
// its leases were judged to be over, and before its tasks started elsewhere.
func TestWorkerReturnsAfterItsLeases(t *testing.T) {
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
			require.Empty(t, h.shard.Tasks()[0].Worker, "the lease is over")
			h.cutOff("w0", false)
			h.run(6 * time.Minute)
			require.Equal(t, 1, h.status("tally").Done)
			require.Equal(t, tt.starts, h.fleet.Verdict().StartsByTask["tally/0"])
			require.Empty(t, h.fleet.Verdict().Violations)
		})
	}
}

// Guards against the same when the worker reports while the end of the lease is
// being committed.
func TestWorkerReturnsDuringTheCommit(t *testing.T) {
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

// Guards against a checkpoint that is ignored since the worker tells it when the
// next attempt has been chosen already, but has not been ordered.
func TestWorkerReturnsBeforeTheNextStart(t *testing.T) {
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

// Guards against a checkpoint that the old shard learns when the task has moved
// to another shard, which starts it anew.
func TestTaskOfSilentWorkerStaysForItsCheckpoint(t *testing.T) {
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
