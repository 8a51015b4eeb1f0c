package guavafake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

type (
	manualClock struct {
		mu  sync.Mutex
		now time.Time
	}

	// bench is a fleet of two workers of two cores on a manual clock.
	bench struct {
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

func newBench(t *testing.T) bench {
	c := &manualClock{now: time.Unix(1000, 0)}
	f := &Fleet{Clock: c}
	for _, id := range []guavascale.WorkerID{"w1", "w2"} {
		f.Add(guavascale.Worker{ID: id, Zone: "Z", Capacity: guavascale.Resources{MilliCores: 2000}})
	}
	return bench{T: t, clock: c, fleet: f}
}

func task(id string, seconds float64) *guavascale.Task {
	return &guavascale.Task{
		ID:         guavascale.TaskID(id),
		Class:      guavascale.ClassBatch,
		RunSeconds: seconds,
		Size:       guavascale.Resources{MilliCores: 1000},
	}
}

// send delivers orders with the current incarnation and no time limit.
func (b bench) send(id guavascale.WorkerID, orders ...guavascale.Order) (guavascale.Report, error) {
	fence, err := b.fleet.Send(context.Background(), guavascale.Worker{ID: id}, guavascale.Orders{Shard: shard, Epoch: 1})
	if err != nil || len(orders) == 0 {
		return fence, err
	}
	o := guavascale.Orders{Shard: shard, Epoch: 1, Incarnation: fence.Incarnation, NotAfterMs: fence.ClockMs, Orders: orders}
	return b.fleet.Send(context.Background(), guavascale.Worker{ID: id}, o)
}

func (b bench) must(id guavascale.WorkerID, orders ...guavascale.Order) guavascale.Report {
	b.Helper()
	r, err := b.send(id, orders...)
	require.NoError(b, err)
	return r
}

func start(t *guavascale.Task, n int) guavascale.Order {
	id := guavascale.AttemptID(fmt.Sprintf("%s#%d", t.ID, n))
	return guavascale.Order{Kind: guavascale.OrderStart, Attempt: id, Task: t, LeaseMs: leaseMs}
}

func stop(id guavascale.AttemptID, save bool) guavascale.Order {
	return guavascale.Order{Kind: guavascale.OrderStop, Attempt: id, Checkpoint: save}
}

func (b bench) state(id guavascale.WorkerID, a guavascale.AttemptID) guavascale.AttemptReport {
	b.Helper()
	for _, r := range b.must(id).Attempts {
		if r.Attempt == a {
			return r
		}
	}
	return guavascale.AttemptReport{}
}

// Guards against workers that obey a former owner, a message for an earlier
// incarnation, or a delayed message.
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
			b := newBench(t)
			w := guavascale.Worker{ID: "w1"}
			fence, err := b.fleet.Send(context.Background(), w, guavascale.Orders{Shard: shard, Epoch: 5})
			require.NoError(t, err)
			b.clock.add(100 * time.Millisecond)
			o := guavascale.Orders{
				Shard: shard, Epoch: 5, Incarnation: fence.Incarnation, NotAfterMs: 100,
				Orders: []guavascale.Order{start(task("j/0", 10), 1)},
			}
			c.change(&o)
			_, err = b.fleet.Send(context.Background(), w, o)
			starts := b.fleet.Verdict().StartsByTask["j/0"]
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

// Guards against attempts that outlive their lease, and against progress that a
// checkpoint loses or repeats.
func TestLeaseCheckpointAndResume(t *testing.T) {
	b := newBench(t)
	work := task("j/0", 100)
	b.must("w1", start(work, 1))
	b.clock.add(50 * time.Second)
	b.must("w1", guavascale.Order{Kind: guavascale.OrderRenew, Attempt: "j/0#1", LeaseMs: 20_000})
	b.clock.add(19 * time.Second)
	require.Equal(t, guavascale.AttemptRunning, b.state("w1", "j/0#1").State)
	b.clock.add(time.Second)
	expired := b.state("w1", "j/0#1")
	require.Equal(t, guavascale.AttemptExpired, expired.State)

	work.Checkpoint = expired.Checkpoint
	b.must("w2", start(work, 2))
	b.must("w2", guavascale.Order{Kind: guavascale.OrderThrottle, Attempt: "j/0#2", Percent: 50})
	b.clock.add(20 * time.Second)
	stopped := b.must("w2", stop("j/0#2", true)).Attempts[0]
	require.Equal(t, guavascale.AttemptStopped, stopped.State)

	work.Checkpoint = stopped.Checkpoint
	b.must("w1", start(work, 3))
	b.clock.add(19 * time.Second)
	require.Equal(t, guavascale.AttemptRunning, b.state("w1", "j/0#3").State, "70 s and 10 s were saved, 19 s followed")
	b.clock.add(time.Second)
	require.Equal(t, guavascale.AttemptDone, b.state("w1", "j/0#3").State)
	v := b.fleet.Verdict()
	require.Empty(t, v.Violations)
	require.True(t, v.Done["j/0"])
	require.Len(t, v.StartsByZone["Z"], 3)
}

// Guards against a repeated or late start that runs an attempt again.
func TestStartIsIdempotent(t *testing.T) {
	cases := map[string][]guavascale.Order{
		"while running":   {start(task("j/0", 10), 1)},
		"after the end":   {start(task("j/0", 10), 1), stop("j/0#1", true)},
		"after only stop": {stop("j/0#1", false)},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			want := b.must("w1", before...).Attempts
			got := b.must("w1", start(task("j/0", 10), 1)).Attempts
			require.Equal(t, want, got)
			require.Empty(t, b.fleet.Verdict().Violations)
		})
	}
}

// Guards against ended attempts that vanish from reports before their owner
// logged the end, or that stay forever.
func TestEndedAttemptsAreKept(t *testing.T) {
	b := newBench(t)
	b.must("w1", start(task("j/0", 1), 1), start(task("j/1", 1), 1))
	b.clock.add(time.Hour)
	require.Equal(t, guavascale.AttemptDone, b.state("w1", "j/0#1").State)
	b.must("w1", guavascale.Order{Kind: guavascale.OrderForget, Attempt: "j/0#1"})
	require.Len(t, b.must("w1").Attempts, 1)
	b.clock.add(time.Minute)
	require.Empty(t, b.must("w1").Attempts)
}

// Guards against a judge that misses a broken promise or reports a kept one.
func TestJudge(t *testing.T) {
	cases := map[string]struct {
		act        func(b bench)
		want       []ViolationKind
		unreported int
	}{
		"moved after stop": {act: func(b bench) {
			work := task("j/0", 10)
			b.must("w1", start(work, 1))
			b.clock.add(time.Second)
			work.Checkpoint = b.must("w1", stop("j/0#1", true)).Attempts[0].Checkpoint
			b.must("w2", start(work, 2))
		}},
		"moved after kill": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1))
			require.NoError(b, b.fleet.Kill("w1"))
			b.must("w2", start(task("j/0", 10), 2))
		}},
		"two places": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1))
			b.must("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationTwice}},
		"two places, one cut off": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1))
			require.NoError(b, b.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			b.must("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationTwice}},
		"attempt started again": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1))
			require.NoError(b, b.fleet.Restart("w1"))
			b.must("w1", start(task("j/0", 10), 1))
		}, want: []ViolationKind{ViolationRestart}},
		"over capacity": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1), start(task("j/1", 10), 1), start(task("j/2", 10), 1))
		}, want: []ViolationKind{ViolationCapacity}},
		"work lost": {act: func(b bench) {
			b.must("w1", start(task("j/0", 10), 1))
			b.clock.add(time.Second)
			b.must("w1", stop("j/0#1", true))
			b.must("w2", start(task("j/0", 10), 2))
		}, want: []ViolationKind{ViolationLost}},
		"work repeated": {act: func(b bench) {
			b.must("w1", start(task("j/0", 1), 1))
			b.clock.add(2 * time.Second)
			b.must("w1")
			b.must("w2", start(task("j/0", 1), 2))
		}, want: []ViolationKind{ViolationRepeated}},
		"done on a worker that was cut off": {act: func(b bench) {
			b.must("w1", start(task("j/0", 1), 1))
			require.NoError(b, b.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			b.clock.add(2 * time.Second)
			b.must("w2", start(task("j/0", 1), 2))
		}, unreported: 1},
		"expired on a worker that came back": {act: func(b bench) {
			b.must("w1", start(task("j/0", 100), 1))
			require.NoError(b, b.fleet.SetFaults("w1", WorkerFaults{CutOff: true}))
			b.clock.add(65 * time.Second)
			work := task("j/0", 100)
			b.must("w2", start(work, 2))
			require.NoError(b, b.fleet.SetFaults("w1", WorkerFaults{}))
			b.must("w1")
			b.clock.add(time.Second)
			work.Checkpoint = b.must("w2", stop("j/0#2", true)).Attempts[0].Checkpoint
			b.must("w1", start(work, 3))
		}, unreported: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			c.act(b)
			var got []ViolationKind
			verdict := b.fleet.Verdict()
			for _, v := range verdict.Violations {
				got = append(got, v.Kind)
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.unreported, verdict.Unreported)
		})
	}
}

// Guards against worker faults that don't do what trials rely on.
func TestWorkerFaults(t *testing.T) {
	b := newBench(t)
	require.NoError(t, b.fleet.SetFaults("w1", WorkerFaults{FailStarts: true, UsageFactor: 3}))
	require.Equal(t, guavascale.AttemptFailed, b.must("w1", start(task("j/0", 10), 1)).Attempts[0].State)
	require.NoError(t, b.fleet.SetFaults("w1", WorkerFaults{UsageFactor: 3}))
	require.Equal(t, int64(3000), b.must("w1", start(task("j/1", 10), 1)).Attempts[1].Used.MilliCores)

	require.NoError(t, b.fleet.SetFaults("w1", WorkerFaults{LoseAnswers: 1}))
	_, err := b.send("w1")
	var ue *guavascale.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.True(t, ue.MayHaveApplied)

	old := b.must("w1").Incarnation
	require.NoError(t, b.fleet.Restart("w1"))
	require.NotEqual(t, old, b.must("w1").Incarnation)
	require.Empty(t, b.must("w1").Attempts)

	require.NoError(t, b.fleet.SetLeaving("w1", true))
	require.Equal(t, guavascale.AttemptRejected, b.must("w1", start(task("j/2", 10), 1)).Attempts[0].State)
}

// Guards against a delayed message that takes effect after its time limit, and
// against a fleet that ignores the clock of a synctest bubble.
func TestDelayedMessageExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Fleet
		w := guavascale.Worker{ID: "w1"}
		f.Add(w)
		fence, err := f.Send(context.Background(), w, guavascale.Orders{Shard: shard})
		require.NoError(t, err)
		require.NoError(t, f.SetFaults("w1", WorkerFaults{DelayMs: 60_000}))
		_, err = f.Send(context.Background(), w, guavascale.Orders{
			Shard: shard, Incarnation: fence.Incarnation, NotAfterMs: fence.ClockMs + 59_999,
			Orders: []guavascale.Order{start(task("j/0", 10), 1)},
		})
		var oe *guavascale.OrderError
		require.ErrorAs(t, err, &oe)
		require.Equal(t, guavascale.RejectLate, oe.Reason)
		require.Empty(t, f.Verdict().StartsByTask)
	})
}

// Guards against a host list that does not lag, which would hide faults that
// need an outdated list.
func TestHostListLag(t *testing.T) {
	b := newBench(t)
	b.fleet.SetHostListFaults(HostListFaults{LagMs: 1000})
	before, err := b.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.NoError(t, b.fleet.Kill("w1"))
	lagging, err := b.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.Equal(t, before, lagging)
	b.clock.add(time.Second)
	after, err := b.fleet.Workers(context.Background())
	require.NoError(t, err)
	require.Len(t, after, 1)
}
