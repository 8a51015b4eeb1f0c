package guavafake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/internal/bubbletest"
)

type (
	manualClock struct {
		mu  sync.Mutex
		now time.Time
	}

	// testFleet is a fleet of two workers with two cores each, on a manual
	// clock.
	testFleet struct {
		*testing.T
		clock *manualClock
		fleet *Fleet
	}
)

const (
	shard   = guavascale.Partition("Shard-Z-0")
	leaseMs = 60_000
)

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newTestFleet(t *testing.T) testFleet {
	c := &manualClock{now: time.Unix(1000, 0)}
	f := &Fleet{Clock: c}
	for _, id := range []guavascale.WorkerID{"w1", "w2"} {
		f.Add(guavascale.Worker{ID: id, Zone: "Z", Capacity: guavascale.Resources{MilliCores: 2000}})
	}
	return testFleet{T: t, clock: c, fleet: f}
}

func task(id string, seconds float64) *guavascale.Task {
	return &guavascale.Task{
		ID:         guavascale.TaskID(id),
		Class:      guavascale.ClassBatch,
		RunSeconds: seconds,
		Size:       guavascale.Resources{MilliCores: 1000},
	}
}

// send delivers orders with the current incarnation and a time limit of now on
// the worker's clock.
func (f testFleet) send(id guavascale.WorkerID, orders ...guavascale.Order) (guavascale.Report, error) {
	report, err := f.fleet.Send(context.Background(), guavascale.Worker{ID: id}, guavascale.Orders{Shard: shard, Epoch: 1})
	if err != nil || len(orders) == 0 {
		return report, err
	}
	o := guavascale.Orders{Shard: shard, Epoch: 1, Incarnation: report.Incarnation, NotAfterMs: report.ClockMs, Orders: orders}
	return f.fleet.Send(context.Background(), guavascale.Worker{ID: id}, o)
}

func (f testFleet) mustSend(id guavascale.WorkerID, orders ...guavascale.Order) guavascale.Report {
	f.Helper()
	r, err := f.send(id, orders...)
	require.NoError(f, err)
	return r
}

func start(t *guavascale.Task, n int) guavascale.Order {
	id := guavascale.AttemptID(fmt.Sprintf("%s#%d", t.ID, n))
	return guavascale.Order{Kind: guavascale.OrderStart, Attempt: id, Task: t, LeaseMs: leaseMs}
}

func stop(id guavascale.AttemptID, save bool) guavascale.Order {
	return guavascale.Order{Kind: guavascale.OrderStop, Attempt: id, Checkpoint: save}
}

func (f testFleet) attemptReport(id guavascale.WorkerID, a guavascale.AttemptID) guavascale.AttemptReport {
	f.Helper()
	for _, r := range f.mustSend(id).Attempts {
		if r.Attempt == a {
			return r
		}
	}
	return guavascale.AttemptReport{}
}

// Guards against workers that accept messages from a former owner, for an
// earlier incarnation, or past their time limit.
func TestMessageRejection(t *testing.T) {
	cases := map[string]struct {
		change func(*guavascale.Orders)
		reason string
	}{
		"valid":             {change: func(*guavascale.Orders) {}},
		"lower epoch":       {change: func(o *guavascale.Orders) { o.Epoch = 4 }, reason: guavascale.RejectEpoch},
		"higher epoch":      {change: func(o *guavascale.Orders) { o.Epoch = 6 }},
		"other shard":       {change: func(o *guavascale.Orders) { o.Shard, o.Epoch = "Shard-Z-1", 1 }},
		"old incarnation":   {change: func(o *guavascale.Orders) { o.Incarnation = "w1-0" }, reason: guavascale.RejectIncarnation},
		"no incarnation":    {change: func(o *guavascale.Orders) { o.Incarnation = "" }, reason: guavascale.RejectIncarnation},
		"too late":          {change: func(o *guavascale.Orders) { o.NotAfterMs = 99 }, reason: guavascale.RejectLate},
		"report old epoch":  {change: func(o *guavascale.Orders) { *o = guavascale.Orders{Shard: shard, Epoch: 4} }, reason: guavascale.RejectEpoch},
		"report other boot": {change: func(o *guavascale.Orders) { o.Orders, o.Incarnation = nil, "w1-0" }, reason: guavascale.RejectIncarnation},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			w := guavascale.Worker{ID: "w1"}
			report, err := f.fleet.Send(context.Background(), w, guavascale.Orders{Shard: shard, Epoch: 5})
			require.NoError(t, err)
			f.clock.add(100 * time.Millisecond)
			o := guavascale.Orders{
				Shard: shard, Epoch: 5, Incarnation: report.Incarnation, NotAfterMs: 100,
				Orders: []guavascale.Order{start(task("j/0", 10), 1)},
			}
			c.change(&o)
			_, err = f.fleet.Send(context.Background(), w, o)
			starts := f.fleet.Verdict().StartsByTask["j/0"]
			if c.reason == "" {
				require.NoError(t, err)
				require.Equal(t, 1, starts)
				return
			}
			var oe *guavascale.OrderError
			require.ErrorAs(t, err, &oe)
			require.Equal(t, c.reason, oe.Reason)
			require.Equal(t, uint64(5), oe.Report.Epoch)
			require.Zero(t, starts)
		})
	}
}

// Guards against attempts that run past their lease, and against checkpoints
// that lose or repeat progress.
func TestLeaseCheckpointAndResume(t *testing.T) {
	f := newTestFleet(t)
	work := task("j/0", 100)
	f.mustSend("w1", start(work, 1))
	f.clock.add(50 * time.Second)
	f.mustSend("w1", guavascale.Order{Kind: guavascale.OrderRenew, Attempt: "j/0#1", LeaseMs: 20_000})
	f.clock.add(19 * time.Second)
	require.Equal(t, guavascale.AttemptRunning, f.attemptReport("w1", "j/0#1").State)
	f.clock.add(time.Second)
	expired := f.attemptReport("w1", "j/0#1")
	require.Equal(t, guavascale.AttemptExpired, expired.State)

	work.Checkpoint = expired.Checkpoint
	f.mustSend("w2", start(work, 2))
	f.mustSend("w2", guavascale.Order{Kind: guavascale.OrderThrottle, Attempt: "j/0#2", Percent: 50})
	f.clock.add(20 * time.Second)
	stopped := f.mustSend("w2", stop("j/0#2", true)).Attempts[0]
	require.Equal(t, guavascale.AttemptStopped, stopped.State)

	work.Checkpoint = stopped.Checkpoint
	f.mustSend("w1", start(work, 3))
	f.clock.add(19 * time.Second)
	require.Equal(t, guavascale.AttemptRunning, f.attemptReport("w1", "j/0#3").State, "70 s and 10 s were saved, 19 s followed")
	f.clock.add(time.Second)
	require.Equal(t, guavascale.AttemptDone, f.attemptReport("w1", "j/0#3").State)
	v := f.fleet.Verdict()
	require.Empty(t, v.Violations)
	require.True(t, v.Done["j/0"])
	require.Len(t, v.StartsByZone["Z"], 3)
}

// Guards against a repeated or delayed start that runs an attempt again.
func TestStartIsIdempotent(t *testing.T) {
	cases := map[string][]guavascale.Order{
		"while running":   {start(task("j/0", 10), 1)},
		"after the end":   {start(task("j/0", 10), 1), stop("j/0#1", true)},
		"after only stop": {stop("j/0#1", false)},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			want := f.mustSend("w1", before...).Attempts
			got := f.mustSend("w1", start(task("j/0", 10), 1)).Attempts
			require.Equal(t, want, got)
			require.Empty(t, f.fleet.Verdict().Violations)
		})
	}
}

// Guards against ended attempts that disappear from reports before their owner
// has logged the end, or that are kept forever.
func TestEndedAttemptsAreKept(t *testing.T) {
	f := newTestFleet(t)
	f.mustSend("w1", start(task("j/0", 1), 1), start(task("j/1", 1), 1))
	f.clock.add(time.Hour)
	require.Equal(t, guavascale.AttemptDone, f.attemptReport("w1", "j/0#1").State)
	f.mustSend("w1", guavascale.Order{Kind: guavascale.OrderForget, Attempt: "j/0#1"})
	require.Len(t, f.mustSend("w1").Attempts, 1)
	f.clock.add(time.Minute)
	require.Empty(t, f.mustSend("w1").Attempts)
}

// Guards against a checker that misses a violation or reports one that did not
// happen.
func TestChecker(t *testing.T) {
	cases := map[string]struct {
		act        func(f testFleet)
		want       []ViolationKind
		unreported int
	}{
		"moved after stop": {act: func(f testFleet) {
			work := task("j/0", 10)
			f.mustSend("w1", start(work, 1))
			f.clock.add(time.Second)
			work.Checkpoint = f.mustSend("w1", stop("j/0#1", true)).Attempts[0].Checkpoint
			f.mustSend("w2", start(work, 2))
		}},
		"moved after kill": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1))
			require.NoError(f, f.fleet.Kill("w1"))
			f.mustSend("w2", start(task("j/0", 10), 2))
		}},
		"two runs": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1))
			f.mustSend("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationConcurrentRuns}},
		"two runs, one cut off": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1))
			require.NoError(f, f.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			f.mustSend("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationConcurrentRuns}},
		"attempt started again": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1))
			require.NoError(f, f.fleet.Restart("w1"))
			f.mustSend("w1", start(task("j/0", 10), 1))
		}, want: []ViolationKind{ViolationRestart}},
		"over capacity": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1), start(task("j/1", 10), 1), start(task("j/2", 10), 1))
		}, want: []ViolationKind{ViolationCapacity}},
		"work lost": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 10), 1))
			f.clock.add(time.Second)
			f.mustSend("w1", stop("j/0#1", true))
			f.mustSend("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationLost}},
		"work repeated": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 1), 1))
			f.clock.add(2 * time.Second)
			f.mustSend("w1")
			f.mustSend("w2", start(task("j/0", 1), 2))
		}, want: []ViolationKind{ViolationRepeated}},
		"done on a worker that was cut off": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 1), 1))
			require.NoError(f, f.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			f.clock.add(2 * time.Second)
			f.mustSend("w2", start(task("j/0", 1), 2))
		}, unreported: 1},
		"expired on a worker that came back": {act: func(f testFleet) {
			f.mustSend("w1", start(task("j/0", 100), 1))
			require.NoError(f, f.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			f.clock.add(65 * time.Second)
			work := task("j/0", 100)
			f.mustSend("w2", start(work, 2))
			require.NoError(f, f.fleet.SetFaults("w1", WorkerFaults{}))
			f.mustSend("w1")
			f.clock.add(time.Second)
			work.Checkpoint = f.mustSend("w2", stop("j/0#2", true)).Attempts[0].Checkpoint
			f.mustSend("w1", start(work, 3))
		}, unreported: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			c.act(f)
			var got []ViolationKind
			verdict := f.fleet.Verdict()
			for _, v := range verdict.Violations {
				got = append(got, v.Kind)
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.unreported, verdict.Unreported)
		})
	}
}

// Guards against worker faults without the effect that trials rely on.
func TestWorkerFaults(t *testing.T) {
	f := newTestFleet(t)
	require.NoError(t, f.fleet.SetFaults("w1", WorkerFaults{FailStarts: true, UsageFactor: 3}))
	require.Equal(t, guavascale.AttemptFailed, f.mustSend("w1", start(task("j/0", 10), 1)).Attempts[0].State)
	require.NoError(t, f.fleet.SetFaults("w1", WorkerFaults{UsageFactor: 3}))
	require.Equal(t, int64(3000), f.mustSend("w1", start(task("j/1", 10), 1)).Attempts[1].Used.MilliCores)

	require.NoError(t, f.fleet.SetFaults("w1", WorkerFaults{LoseAnswers: 1}))
	_, err := f.send("w1")
	var ue *guavascale.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.True(t, ue.MayHaveApplied)

	old := f.mustSend("w1").Incarnation
	require.NoError(t, f.fleet.Restart("w1"))
	require.NotEqual(t, old, f.mustSend("w1").Incarnation)
	require.Empty(t, f.mustSend("w1").Attempts)

	require.NoError(t, f.fleet.SetLeaving("w1", true))
	require.Equal(t, guavascale.AttemptRejected, f.mustSend("w1", start(task("j/2", 10), 1)).Attempts[0].State)
}

// Guards against a delayed message that takes effect after its time limit, and
// against a fleet that does not use the clock of a synctest bubble.
func TestDelayedMessageExpires(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		var f Fleet
		w := guavascale.Worker{ID: "w1"}
		f.Add(w)
		report, err := f.Send(context.Background(), w, guavascale.Orders{Shard: shard})
		require.NoError(t, err)
		require.NoError(t, f.SetFaults("w1", WorkerFaults{DelayMs: 60_000}))
		_, err = f.Send(context.Background(), w, guavascale.Orders{
			Shard: shard, Incarnation: report.Incarnation, NotAfterMs: report.ClockMs + 59_999,
			Orders: []guavascale.Order{start(task("j/0", 10), 1)},
		})
		var oe *guavascale.OrderError
		require.ErrorAs(t, err, &oe)
		require.Equal(t, guavascale.RejectLate, oe.Reason)
		require.Empty(t, f.Verdict().StartsByTask)
	})
}

// Guards against a host list without lag, which would hide failures that only an
// outdated list causes.
func TestHostListLag(t *testing.T) {
	f := newTestFleet(t)
	f.fleet.SetHostListFaults(HostListFaults{LagMs: 1000})
	before, err := f.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.NoError(t, f.fleet.Kill("w1"))
	lagging, err := f.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.Equal(t, before, lagging)
	f.clock.add(time.Second)
	after, err := f.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.Len(t, after, 1)
}
