package guavascheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaorder"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
	"guavascale.example/guavarelay"
)

// term is one daemon's ownership of the shard under one epoch. Unless noted
// otherwise, fields may only be accessed from the goroutine that executes run.
type term struct {
	scheduler *Scheduler
	engine    guavaqueue.Engine
	// chain is accessed by the commit in progress, or by run if there is none.
	chain guavaowner.Chain
	// leasesEnd is when all leases of earlier owners must have ended.
	leasesEnd time.Time
	// events holds functions that other goroutines post for execution by run.
	// done is closed when the term ends.
	events chan func()
	done   chan struct{}
	// holdPool executes hold orders, callPool all others. Their goroutines are
	// reused, since each new one would have to grow its stack.
	holdPool *ants.Pool
	callPool *ants.Pool
	// hub passes orders to other daemons, unless the owner can make all calls
	// itself.
	hub guavarelay.Hub
	// invited is the set of daemons that the owner wants as relays. Any goroutine
	// may read it.
	invited   atomic.Pointer[map[string]bool]
	invitedAt time.Time
	// lastCommit is the start time of the last applied commit, in Unix
	// nanoseconds of the scheduler's clock. Any goroutine may read it.
	lastCommit atomic.Int64
	// failures counts the commit attempts that failed since the last applied
	// commit. Any goroutine may read it.
	failures atomic.Int32
	// listAsOf is the time as of which the list of workers in the engine is known
	// to be complete, in Unix nanoseconds of the scheduler's clock. Any goroutine
	// may read it.
	listAsOf atomic.Int64
	// repeatCommitAfter is the time after which the next commit attempt is
	// repeated. It is accessed by the commit in progress only.
	repeatCommitAfter time.Duration
	committing        bool
	admission         admission
	// releasing is set while the release may have been applied: a daemon that reads
	// it claims the shard at once. Any goroutine may read it.
	releasing   atomic.Bool
	lastSummary time.Time
	// startedAt is the start time of the term. yielding is set once the term is
	// ending in favor of a stronger daemon.
	startedAt time.Time
	yielding  bool
	// nextCommit is the earliest time of the next commit. It is set after a
	// commit that was not applied.
	nextCommit time.Time
	// outage is accessed by the commit in progress only.
	outage   outageLog
	load     ownerLoad
	takeover guavahandover.Takeover
	// former is the head that the claim followed, in version formerVersion, and prepared
	// what this daemon has loaded before the claim, or nil.
	former        guavaowner.Head
	formerVersion uint64
	prepared      *preparation
	// index holds the versions of the rows of the shard. It is accessed like chain.
	index guavahandover.Index
	// handover is nil until the owner is to release the shard. retiring is set once it
	// stops serving. Any goroutine may read retiring.
	handover *handover
	retiring atomic.Bool
	err      error
}

const (
	// eventQueueSize is the capacity of the event channel.
	eventQueueSize = 4096
	// maxEventBatch limits the events processed between two scheduling steps.
	maxEventBatch = 256
	// minBatchDelay is how long a scheduling step is delayed after an event so that
	// more events can be processed with it. The delay is at least batchDelayFactor
	// times the duration of the step before, up to maxBatchDelay: a step looks at all
	// workers, and steps must not take most of the processor time of a large fleet.
	minBatchDelay    = 4 * time.Millisecond
	batchDelayFactor = 4
	maxBatchDelay    = 40 * time.Millisecond
	// stepInterval is the maximum time between two scheduling steps.
	stepInterval = 25 * time.Millisecond
	// readLease is the maximum commit age at which the owner answers reads from
	// memory. It is a tenth less than guavaowner.SilentFor and staleCommitAge to
	// allow for clock drift between hosts.
	readLease = 1080 * time.Millisecond
	// maxOrderAge is the maximum age of an order when it is sent. An order
	// exceeds it if the host was suspended in between. By then the worker may
	// have restarted and lost the fencing token of a later owner, so it would
	// accept an outdated order.
	maxOrderAge = time.Second
	// yieldDelay is the minimum length of a term before the owner yields the
	// shard to a daemon whose strength exceeds its own by the factor
	// guavahandover.YieldRatio.
	yieldDelay = 2 * time.Second
	// summaryInterval is the interval between log lines with shard statistics.
	summaryInterval = 2 * time.Second
	// outageThreshold is the number of consecutive failed commit attempts after
	// which the store is considered unreachable.
	outageThreshold = 2
	// withdrawAfter is how long a submission waits to be committed, while
	// commits fail, before it is rejected.
	withdrawAfter = 300 * time.Millisecond
)

var (
	errReleased = errors.New("the daemon has released the shard")
	errDeposed  = errors.New("a worker has seen the token of a later owner")
	errPanicked = errors.New("panic")
)

// post queues f for execution by run. It reports whether f was queued; it was
// not if the term has ended.
func (t *term) post(f func()) bool {
	select {
	case t.events <- f:
		return true
	case <-t.done:
		return false
	}
}

// recordCommit records that a commit attempt that started at the given time was
// applied.
func (t *term) recordCommit(at time.Time) {
	t.lastCommit.Store(at.UnixNano())
	t.failures.Store(0)
}

// commitAge returns the time since the start of the last applied commit.
func (t *term) commitAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.lastCommit.Load())
}

// canIssueOrders reports whether the owner may send orders to workers now. It
// must be checked immediately before each order is sent.
func (t *term) canIssueOrders(now time.Time) bool {
	return t.commitAge(now) < t.scheduler.Limits.OwnerLease
}

// canStartRuns reports whether the list of workers is recent enough for starts: an
// older one may lack a worker's announcement that it leaves. It must be checked
// immediately before each start is sent. While the store is unreachable, nobody
// learns of such an announcement, and starts go on until the owner's lease ends.
func (t *term) canStartRuns(now time.Time) bool {
	maxAge := t.scheduler.MaxListAge
	return maxAge <= 0 || t.failures.Load() >= outageThreshold || t.listAge(now) < maxAge
}

// listAge returns how long ago the list of workers was complete.
func (t *term) listAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.listAsOf.Load())
}

// hasOldCapacity reports whether the list of workers may lack that a worker's capacity has
// shrunk, which counts after some time whether the store is reachable or not.
func (t *term) hasOldCapacity(now time.Time) bool {
	maxAge := t.scheduler.MaxCapacityAge
	return maxAge > 0 && t.listAge(now) >= maxAge
}

// mayStillSend reports whether an order may be sent now.
func (t *term) mayStillSend(now time.Time, o guavaorder.Order) bool {
	if !t.canIssueOrders(now) || now.Sub(o.Sent) >= maxOrderAge {
		return false
	}
	return o.Kind != guavaorder.Start ||
		t.canStartRuns(now) && (!t.hasOldCapacity(now) || t.scheduler.catalog.Load().Guards(o.Worker.Service))
}

// canServeReads reports whether it is certain that no other daemon has claimed
// the shard, so that the engine's state is authoritative and leases expire as it
// granted them. A daemon claims the shard only if the head row has not changed
// for guavaowner.SilentFor, the owner has reported to its peers that commits fail, or
// the head says that the owner has left.
func (t *term) canServeReads(now time.Time) bool {
	return t.commitAge(now) < readLease && !t.releasing.Load()
}

func (t *term) openPools() {
	// NewPool fails only for invalid options.
	t.holdPool, _ = ants.NewPool(t.scheduler.Connections.Holds, ants.WithNonblocking(true), ants.WithExpiryDuration(idleCallTime))
	t.callPool, _ = ants.NewPool(t.scheduler.Connections.Orders, ants.WithNonblocking(true), ants.WithExpiryDuration(idleCallTime))
}

func (t *term) closePools() {
	t.holdPool.Release()
	t.callPool.Release()
}

// run executes the scheduling loop until the term ends and returns the reason.
func (t *term) run(ctx context.Context) (err error) {
	defer func() {
		// Another term starts from the committed state.
		if fault := recover(); fault != nil {
			t.scheduler.Log.Error().Interface("Fault", fault).Bytes("Stack", debug.Stack()).Msg("scheduler: the term panicked")
			err = fmt.Errorf("%w: %v", errPanicked, fault)
		}
	}()
	t.updateCatalog()
	timer := time.NewTicker(stepInterval)
	defer timer.Stop()
	lastStep := time.Duration(0)
	for t.err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-t.events:
			f()
			// Process events that arrive together in a single step.
			sleep(ctx, batchDelay(lastStep))
			t.drain()
		case <-timer.C:
			t.drain()
		}
		start := t.scheduler.Clock.Now()
		t.step(ctx, start)
		lastStep = t.scheduler.Clock.Now().Sub(start)
		t.load.recordStep(lastStep)
	}
	return t.err
}

// batchDelay returns how long the next step is delayed after an event.
func batchDelay(lastStep time.Duration) time.Duration {
	return min(max(batchDelayFactor*lastStep, minBatchDelay), maxBatchDelay)
}

// drain executes queued events, up to maxEventBatch.
func (t *term) drain() {
	for range maxEventBatch {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// step sends the orders that are due and starts the next commit.
func (t *term) step(ctx context.Context, now time.Time) {
	if t.err != nil {
		// The term has ended; a commit would be one of a former owner.
		return
	}
	t.admission.commits.Observe(now, t.committing)
	leaving := t.mayRelease(ctx, now)
	t.engine.Expire(now)
	t.observeLoad(now)
	t.hub.Expire(now)
	t.inviteRelays(now)
	if now.Sub(t.lastSummary) >= summaryInterval {
		t.lastSummary = now
		stats := t.engine.Stats(now)
		t.scheduler.meters.stats(stats)
		t.scheduler.meters.accounts(t.engine.Accounts(now))
		t.engine.NoticeAccounts(now)
		t.load.write(now, t.scheduler.Log.Info()).Int("Relays", t.hub.Relays()).Interface("Stats", stats).Dur("CommitAgeMs", t.commitAge(now)).
			Strs("Apart", t.engine.Apart()).Interface("Draining", t.admission.Backlogs(now)).Msg("scheduler: state of the shard")
		t.reportBacklogs(now)
	}
	may := guavaorder.Permissions{
		Act: t.canIssueOrders(now) && !leaving, Start: t.canStartRuns(now), OldCapacity: t.hasOldCapacity(now), Sole: t.canServeReads(now),
		LeasesUntil: time.Unix(0, t.lastCommit.Load()).Add(leaseBound),
	}
	for _, o := range t.engine.Orders(now, may) {
		t.dispatch(ctx, now, o)
	}
	t.hub.Flush(now)
	t.logEvents(now)
	t.reportTakeover(now, false)
	if t.engine.Deposed() {
		t.err = errDeposed
		return
	}
	if t.failures.Load() >= outageThreshold || t.admission.commits.Late() {
		t.withdrawStale(now)
	}
	if t.committing || now.Before(t.nextCommit) {
		return
	}
	b := t.engine.Batch(now)
	switch {
	case leaving:
		t.commit(ctx, b, true)
	case b != nil:
		t.commit(ctx, b, false)
	case t.commitAge(now) >= guavaowner.Heartbeat:
		t.commit(ctx, nil, false)
	}
}

// reportBacklogs logs and counts the tasks that wait although there is room for them.
func (t *term) reportBacklogs(now time.Time) {
	backlogs, waiting := t.engine.Backlogs(now), 0
	for i := range backlogs {
		waiting += backlogs[i].Tasks
	}
	t.scheduler.meters.gauge("shard.waiting-with-room", int64(waiting))
	if waiting > 0 {
		t.scheduler.Log.Info().Int("Tasks", waiting).Interface("Backlogs", backlogs).Msg("scheduler: work waits while there is room")
	}
}

// commit writes a batch, or only the head row if b is nil, in the background
// and retries until the outcome is known.
func (t *term) commit(ctx context.Context, b *guavaqueue.Batch, leave bool) {
	t.committing = true
	t.releasing.Store(leave)
	go func() {
		err := t.attemptCommit(ctx, b, leave)
		t.post(func() {
			t.committing = false
			t.finishCommit(b, leave, err)
		})
	}()
}

// finishCommit handles the outcome of a commit.
func (t *term) finishCommit(b *guavaqueue.Batch, leave bool, err error) {
	now := t.scheduler.Clock.Now()
	var unavailable *guavascale.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		t.nextCommit = now.Add(retryDelayAfter(err, commitRetryDelay))
		t.releasing.Store(false)
		if b != nil {
			t.engine.Failed(now, b)
		}
		t.withdrawStale(now)
	case isRefusal(err):
		t.admission.commits.Applied(now)
		t.refuse(now, b, err)
	case err != nil:
		t.err = err
	case leave:
		if b != nil {
			t.engine.Committed(now, b)
		}
		t.err = errReleased
	default:
		t.admission.commits.Applied(now)
		if b != nil {
			t.recordWrites(b.Writes)
			t.engine.Committed(now, b)
		}
	}
}

// withdrawStale rejects submissions that have waited longer than withdrawAfter
// for a commit and are not part of a commit that may have been applied. While the commit in
// progress is late, nothing else can be accepted, and none of them waits.
func (t *term) withdrawStale(now time.Time) {
	if t.admission.commits.Late() {
		t.engine.Withdraw(now)
		return
	}
	t.engine.Withdraw(now.Add(-withdrawAfter))
}

// resolveCommit reads the head row to determine whether an earlier attempt of a
// commit whose condition failed was applied.
func (t *term) resolveCommit(ctx context.Context) (bool, error) {
	for ctx.Err() == nil {
		h, version, err := t.scheduler.readHead(ctx, tableTimeout)
		if err != nil {
			sleep(ctx, commitRetryDelay)
			continue
		}
		applied, err := t.chain.Resolve(h, version)
		t.scheduler.Log.Info().Uint64("Epoch", h.Epoch).Uint64("Number", h.Number).Bool("Applied", applied).AnErr("Error", err).
			Msg("scheduler: the outcome of a commit was read from the head")
		return applied, err
	}
	return false, ctx.Err()
}

// shouldYield reports whether the owner should release the shard to a much
// stronger daemon. Daemons of one installation may differ in strength by a
// factor of seven, and a weak one that claimed the shard first can't keep up.
func (t *term) shouldYield(now time.Time) bool {
	if t.yielding || now.Sub(t.startedAt) < yieldDelay || t.commitAge(now) > staleCommitAge {
		return t.yielding
	}
	t.yielding = t.scheduler.successors.strongest(now) > guavahandover.YieldRatio*t.scheduler.Strength
	return t.yielding
}

// updateCatalog passes the catalog in force to the engine.
func (t *term) updateCatalog() {
	if c := t.scheduler.catalog.Load(); c != nil {
		t.engine.SetCatalog(c)
	}
}

// watchWorkers follows the list of workers. The time as of which the list is known
// passes through the event queue, so that it includes the queue's delay.
func (t *term) watchWorkers(ctx context.Context) {
	t.scheduler.Workers.WatchWorkers(ctx, func(c guavascale.WorkerChanges) { t.post(func() { t.changeWorkers(&c) }) })
}

// changeWorkers passes changes of the list of workers to the engine.
func (t *term) changeWorkers(c *guavascale.WorkerChanges) {
	now := t.scheduler.Clock.Now()
	t.listAsOf.Store(c.AsOf.UnixNano())
	t.load.listed.Add(int64(len(c.Changes)))
	t.load.listSize.Store(int64(c.Size))
	t.scheduler.meters.gauge("list.size", int64(c.Size))
	for i := range c.Changes {
		if w := &c.Changes[i].Worker; c.Changes[i].Removed {
			t.engine.RemoveWorker(w.ID)
		} else {
			t.engine.SetWorker(now, *w)
		}
	}
	t.hub.ChangeWorkers(c)
	t.takeover.List(now, c)
}

// dispatch passes an order to a relay or executes it in the background, and passes the
// outcome to the engine.
func (t *term) dispatch(ctx context.Context, now time.Time, o guavaorder.Order) {
	t.load.orders[o.Kind].Add(1)
	if t.hub.Send(now, o, t.relayUntil(&o)) {
		t.load.relayed.Add(1)
		return
	}
	pool := t.callPool
	if o.Kind == guavaorder.Hold {
		pool = t.holdPool
	}
	err := pool.Submit(func() {
		out, at := t.send(ctx, o)
		t.post(func() {
			if out.Err == nil {
				t.hub.Answered(o.Worker.ID)
			}
			t.answer(o, out, at)
		})
	})
	if err != nil {
		// All calls of the pool are in progress.
		t.engine.Answer(t.scheduler.Clock.Now(), o, guavaorder.Outcome{Err: err, NotSent: true})
	}
}

// answer passes the outcome of an order, known at a given time, to the engine.
func (t *term) answer(o guavaorder.Order, out guavaorder.Outcome, at time.Time) {
	now := t.scheduler.Clock.Now()
	t.load.answerDelay.record(now.Sub(at))
	t.scheduler.meters.recordDuration("owner.answer-delay", now.Sub(at))
	if out.Err == nil {
		t.takeover.Answered(now, o.Worker.ID)
		if o.Kind == guavaorder.Start {
			t.takeover.Started(now)
		}
	}
	t.engine.Answer(now, o, out)
}

// send sends an order, unless it is too late for it, and returns its outcome and the
// time of it.
func (t *term) send(ctx context.Context, o guavaorder.Order) (guavaorder.Outcome, time.Time) {
	out := guavaorder.Outcome{Err: guavarelay.ErrOrderTooLate, NotSent: true}
	now := t.scheduler.Clock.Now()
	t.load.orderDelay.record(now.Sub(o.Sent))
	t.scheduler.meters.recordDuration("owner.order-delay", now.Sub(o.Sent))
	if ctx.Err() == nil && t.mayStillSend(now, o) {
		out = guavarelay.Execute(ctx, &t.scheduler.Log, t.scheduler.Runner, t.engine.Token, &o)
	}
	end := t.scheduler.Clock.Now()
	t.scheduler.meters.order(o, out, end.Sub(now))
	return out, end
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 36) }
