package guavascheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

// term is one ownership of the shard. The engine and the fields without a note
// belong to the goroutine of run.
type term struct {
	scheduler *Scheduler
	engine    guavaqueue.Engine
	// chain belongs to the commit in progress, else to run.
	chain guavaowner.Chain
	// events carries what other goroutines bring; done is closed at the end.
	events chan func()
	done   chan struct{}
	// holds and calls carry out orders.
	holds pond.Pool
	calls pond.Pool
	// lastCommit is when the last applied commit began, in nanoseconds of
	// Unix time by the scheduler's clock. It is read by all goroutines.
	lastCommit atomic.Int64
	// failures counts the attempts to commit that failed since the last one
	// that was applied. It is read by all goroutines.
	failures atomic.Int32
	// patience bounds the next attempt; it belongs to the commit in progress.
	patience   time.Duration
	committing bool
	summarized time.Time
	// begun is when the term began; yielding is set once it ends in favour of
	// a stronger daemon.
	begun    time.Time
	yielding bool
	// nextCommit delays commits after one that was refused.
	nextCommit time.Time
	// storeLog belongs to the commit in progress.
	storeLog outageLog
	err      error
}

const (
	// eventQueue bounds the events that wait.
	eventQueue = 4096
	// eventsAtOnce bounds the events between two decisions.
	eventsAtOnce = 256
	// gather is how long a decision waits for more events.
	gather = 4 * time.Millisecond
	// tick is the longest time between two decisions.
	tick = 25 * time.Millisecond
	// tellLease is less than guavaowner.SilentFor and staleCommit by a tenth, for
	// clocks of different speed.
	tellLease = 1080 * time.Millisecond
	// orderAge is how old an order may be when it is sent. It is older when the
	// host was frozen in between; the worker may have started again since, and
	// have forgotten the token of a later owner.
	orderAge = time.Second
	// yieldAfter is how long an owner keeps the shard before it yields to a
	// daemon that is stronger by yieldRatio.
	yieldAfter = 2 * time.Second
	yieldRatio = 1.5
	// loadPage and loadRetries bound the reads at the start of a term.
	loadPage    = 500
	loadRetries = 20
	// summaryInterval spaces log lines about the whole shard.
	summaryInterval = 2 * time.Second
	// commitPause spaces repetitions of a commit.
	commitPause = 50 * time.Millisecond
	// commitPatience bounds an attempt to commit in a sound store, where one
	// takes 10 ms. It doubles with each attempt without an answer and follows
	// patienceFactor times the last time that one took. At most it is what a
	// hundred times slower store takes; an attempt that began before the store
	// is back must not outlast its return.
	commitPatience    = 250 * time.Millisecond
	commitPatienceMax = 1200 * time.Millisecond
	patienceFactor    = 4
	// outageFailures is how many attempts fail before the store counts as
	// unreachable.
	outageFailures = 2
	// withdrawAfter is how long a submission waits for a store that refuses
	// commits before it is rejected.
	withdrawAfter = 300 * time.Millisecond
)

var errLeft = errors.New("the daemon has left")

// post hands an event to the term. It reports false when the term has ended.
func (t *term) post(f func()) bool {
	select {
	case t.events <- f:
		return true
	case <-t.done:
		return false
	}
}

func (t *term) committed(at time.Time) {
	t.lastCommit.Store(at.UnixNano())
	t.failures.Store(0)
}

// commitAge is how long ago the last applied commit began.
func (t *term) commitAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.lastCommit.Load())
}

// mayAct reports whether the owner may give orders to workers now. It is asked
// immediately before each order.
func (t *term) mayAct(now time.Time) bool {
	return t.commitAge(now) < t.scheduler.Limits.OwnerLease
}

// mayTell reports whether no other daemon can have claimed the shard yet, so that
// what the engine holds is the truth and leases end as it granted them. A claim takes a head that is unchanged for
// guavaowner.SilentFor, or an owner that has told its peers that commits fail.
func (t *term) mayTell(now time.Time) bool { return t.commitAge(now) < tellLease }

// run decides until the term ends, and returns why it ended.
func (t *term) run(ctx context.Context) error {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for t.err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-t.events:
			f()
			// Events that arrive together are decided on together.
			sleep(ctx, gather)
			t.drain()
		case <-timer.C:
			t.drain()
		}
		t.step(ctx)
	}
	return t.err
}

// drain applies more events that already wait.
func (t *term) drain() {
	for range eventsAtOnce {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

func (t *term) step(ctx context.Context) {
	now := t.scheduler.Clock.Now()
	leaving := t.scheduler.leaving.Load() || t.yields(now)
	t.engine.Expire(now)
	if now.Sub(t.summarized) >= summaryInterval {
		t.summarized = now
		stats := t.engine.Stats(now)
		t.scheduler.meters.stats(stats)
		t.scheduler.Log.Info().Interface("Stats", stats).Dur("CommitAgeMs", t.commitAge(now)).
			Strs("Apart", t.engine.Apart()).Msg("scheduler: state of the shard")
	}
	for _, o := range t.engine.Orders(now, t.mayAct(now) && !leaving, t.mayTell(now)) {
		t.dispatch(ctx, o)
	}
	t.logEvents(now)
	if t.engine.Deposed() {
		t.err = errors.New("a worker has seen the token of a later owner")
		return
	}
	if t.failures.Load() >= outageFailures {
		t.withdraw(now)
	}
	if t.committing || now.Before(t.nextCommit) {
		return
	}
	b := t.engine.Batch(now)
	switch {
	case b != nil:
		t.commit(ctx, b, false)
	case leaving:
		t.commit(ctx, nil, true)
	case t.commitAge(now) >= guavaowner.Heartbeat:
		t.commit(ctx, nil, false)
	}
}

// commit writes a batch, or the head alone, and repeats it until the outcome is
// known.
func (t *term) commit(ctx context.Context, b *guavaqueue.Batch, leave bool) {
	t.committing = true
	go func() {
		err := t.write(ctx, b, leave)
		t.post(func() {
			t.committing = false
			t.wrote(b, leave, err)
		})
	}()
}

// wrote applies the outcome of a commit.
func (t *term) wrote(b *guavaqueue.Batch, leave bool, err error) {
	now := t.scheduler.Clock.Now()
	var refused *guavascale.UnavailableError
	switch {
	case errors.As(err, &refused):
		t.nextCommit = now.Add(commitPause)
		if b != nil {
			t.engine.Failed(now, b)
		}
		t.withdraw(now)
	case err != nil:
		t.err = err
	case leave:
		t.err = errLeft
	case b != nil:
		t.engine.Committed(now, b)
	}
}

// withdraw rejects the submissions that have waited too long for a commit and
// are in none that may have been applied.
func (t *term) withdraw(now time.Time) {
	t.engine.Withdraw(now.Add(-withdrawAfter))
}

// write makes one commit and repeats it while it may have been applied. It
// fails with UnavailableError when it was certainly not.
func (t *term) write(ctx context.Context, b *guavaqueue.Batch, leave bool) error {
	var writes []guavascale.Write
	if b != nil {
		writes = b.Writes
	}
	heir, strongest := t.scheduler.heirs.best(t.scheduler.Clock.Now())
	t.chain.Strongest = max(strongest, t.scheduler.Strength)
	if !leave {
		heir = ""
	}
	c := t.chain.Next(newID(), writes, leave, heir)
	sent := false
	for ctx.Err() == nil {
		begun := t.scheduler.Clock.Now()
		t.patience = min(max(t.patience, commitPatience), commitPatienceMax)
		version, err := t.scheduler.commit(ctx, c, t.patience)
		if err == nil {
			t.patience = patienceFactor * t.scheduler.Clock.Now().Sub(begun)
			t.scheduler.meters.took("commit", t.scheduler.Clock.Now().Sub(begun))
			t.chain.Applied(version)
			t.committed(begun)
			t.storeLog.ok(t.scheduler.Log)
			return nil
		}
		var failed *guavascale.ConditionError
		if errors.As(err, &failed) {
			applied, err := t.resolve(ctx)
			if err != nil || applied {
				return err
			}
			c, sent = t.chain.Next(newID(), writes, leave, heir), false
			continue
		}
		t.failures.Add(1)
		t.scheduler.meters.count("commit.Failed", 1)
		t.storeLog.failed(t.scheduler.Log, begun, err)
		var down *guavascale.UnavailableError
		sent = sent || !errors.As(err, &down) || down.MayHaveApplied
		if !sent {
			return err
		}
		t.patience *= 2
		sleep(ctx, commitPause)
	}
	return ctx.Err()
}

// resolve finds out whether a commit with a failed condition had been applied.
func (t *term) resolve(ctx context.Context) (bool, error) {
	for ctx.Err() == nil {
		begun := t.scheduler.Clock.Now()
		h, version, err := t.scheduler.readHead(ctx, tableTimeout)
		if err != nil {
			sleep(ctx, commitPause)
			continue
		}
		applied, err := t.chain.Resolve(h, version)
		if err == nil {
			t.committed(begun)
		}
		return applied, err
	}
	return false, ctx.Err()
}

// yields reports whether a much stronger daemon is there to own the shard. The
// daemons of an installation may differ by a factor of seven, and a weak one
// that happened to claim first can't keep up.
func (t *term) yields(now time.Time) bool {
	if t.yielding || now.Sub(t.begun) < yieldAfter || t.commitAge(now) > staleCommit {
		return t.yielding
	}
	_, strength := t.scheduler.heirs.best(now)
	t.yielding = strength > yieldRatio*t.scheduler.Strength
	return t.yielding
}

func (t *term) setWorkers(list []guavascale.Worker) {
	now := t.scheduler.Clock.Now()
	listed := make(map[guavascale.WorkerID]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
		t.engine.SetWorker(now, w)
	}
	t.engine.RemoveWorkers(listed)
}

// dispatch carries out an order on another goroutine.
func (t *term) dispatch(ctx context.Context, o guavaqueue.Order) {
	pool := t.calls
	if o.Kind == guavaqueue.OrderHold {
		pool = t.holds
	}
	pool.Submit(func() {
		out := guavaqueue.Outcome{Err: context.Canceled}
		now := t.scheduler.Clock.Now()
		if ctx.Err() == nil && t.mayAct(now) && now.Sub(o.Sent) < orderAge {
			call, cancel := context.WithTimeout(ctx, o.Timeout)
			out = t.call(call, o)
			cancel()
			t.scheduler.meters.order(o, out, t.scheduler.Clock.Now().Sub(now))
		}
		t.post(func() { t.engine.Answer(t.scheduler.Clock.Now(), o, out) })
	})
}

func (t *term) call(ctx context.Context, o guavaqueue.Order) guavaqueue.Outcome {
	var out guavaqueue.Outcome
	r := t.scheduler.Runner
	switch o.Kind {
	case guavaqueue.OrderHold:
		out.Report, out.Err = r.Hold(ctx, o.Worker, o.Hold)
		out.Clock = out.Report.Clock
	case guavaqueue.OrderStart:
		out.Clock, out.Err = r.Start(ctx, o.Worker, o.Start)
	case guavaqueue.OrderStop:
		out.Clock, out.Err = r.Stop(ctx, o.Worker, o.Run, t.engine.Token)
	case guavaqueue.OrderPace:
		out.Clock, out.Err = r.Pace(ctx, o.Worker, o.Run, o.Percent, t.engine.Token)
	}
	var refused *guavascale.RunError
	if errors.As(out.Err, &refused) {
		out.Clock = refused.Clock
	}
	return out
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 36) }
