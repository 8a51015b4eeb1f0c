// Package guavascheduler runs the submission scheduler in a daemon.
//
// All daemons run the same code, and at most one of them owns the shard at a
// time. The owner runs a term: a single goroutine owns the scheduling engine
// (package guavaqueue) and feeds it events, while other goroutines send the
// engine's orders and make its commits. Every daemon accepts callers' requests
// and forwards them to the owner. A daemon that does not own the shard pings the
// owner and reads the head row if the owner does not answer (package
// guavaowner).
//
// A term ends when another daemon has claimed the shard, when a worker has seen
// the fencing token of a later owner, when a much stronger daemon can take over,
// or when the daemon shuts down. While the store is unreachable, the owner keeps
// sending orders for OwnerLease after its last commit and accepts no
// submissions.
package guavascheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaaccount"
	"guavascale.example/guavadescriptor"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

type (
	// WorkerSource provides the list of workers. Until ctx is done, WatchWorkers
	// calls set after each read with what has changed, if anything, first with the whole
	// list. Times are of the scheduler's clock.
	WorkerSource interface {
		WatchWorkers(ctx context.Context, set func(guavascale.WorkerChanges))
	}

	// Scheduler schedules submissions in one daemon. The exported fields must
	// be set before Run is called.
	Scheduler struct {
		// Instance identifies this process of the daemon. Address is the
		// address at which peers reach it.
		Instance string
		Address  string
		Zone     guavascale.Zone
		Table    guavascale.Table
		Runner   guavascale.Runner
		Workers  WorkerSource
		Clock    guavascale.Clock
		Limits   guavaqueue.Limits
		Log      zerolog.Logger
		// Accounts repeats the check of callers' API keys at the owner. Nil means that no
		// keys are checked.
		Accounts *guavaaccount.Gate
		// MaxListAge is the age of the list of workers up to which runs are
		// started; 0 means no limit.
		MaxListAge time.Duration
		// MaxCapacityAge is the age of the list of workers up to which runs are
		// started, also while the store is unreachable, on workers that don't guard
		// their capacity; 0 means no limit.
		MaxCapacityAge time.Duration
		// BoundQueues is set if submissions are rejected while the backlog of their pool or
		// queue drains too slowly. Backlogs of accounts are always bounded.
		BoundQueues bool
		// Strength is the processor time available to the daemon, in cores.
		// Stronger daemons claim the shard first.
		Strength float64
		// Connections bounds the concurrent calls to workers and the connections of peers.
		Connections guavadescriptor.Shares

		peers      peerClient
		successors successorTracker
		// decisions and meters are safe for concurrent use.
		decisions decisionLog
		meters    meters
		catalog   atomic.Pointer[guavascale.Catalog]
		term      atomic.Pointer[term]
		// endedStates holds the final states of submissions. It is nil before
		// Prepare.
		endedStates *expirable.LRU[string, endedState]
		// ownerAddr is the last known address of an owner other than this
		// daemon, or nil if unknown.
		ownerAddr atomic.Pointer[string]
		// ownerLostAt is the time at which contact with the owner was last lost,
		// in Unix nanoseconds of Clock, or 0 if it never was.
		ownerLostAt atomic.Int64
		// ownerFails is set while the owner that is known says that it can't commit.
		ownerFails atomic.Bool
		leaving    atomic.Bool
		// endReason is why the last term of this daemon has ended, a
		// guavahandover.Reason. lossReason is why this daemon lost contact with the
		// owner; it is accessed by Run only.
		endReason  atomic.Value
		lossReason guavahandover.Reason
		// listeningSince is when ServePeers was called, in Unix nanoseconds of Clock, or 0.
		listeningSince atomic.Int64
		// startedAt is when Prepare was called.
		startedAt time.Time
		// preparation is what this daemon has loaded as the heir of an owner, or nil.
		// prepareMu serializes its replacement. releases holds the message that the shard
		// was released to this daemon, and referral tells peers to whom this daemon has
		// released it.
		prepareMu   sync.Mutex
		preparation atomic.Pointer[preparation]
		releases    chan releaseIn
		referral    atomic.Pointer[referral]
		// sentClaim is the claim whose outcome is unknown, or nil. It is accessed by
		// Run only.
		sentClaim *claim
		// claimAfter is the time before which the daemon doesn't claim the shard, since the
		// store has refused a claim. It is accessed by Run only.
		claimAfter time.Time
		// relay is the work of this daemon for an owner, or nil.
		relay atomic.Pointer[relaySession]
		// stopped is closed when the daemon does not own the shard and will not
		// claim it any more.
		stopped chan struct{}
	}
)

const (
	// pingInterval is the interval between pings to the owner.
	pingInterval = 300 * time.Millisecond
	// latePingDelay is how long to wait for the response to a ping before reading
	// the head row as well. A response normally takes 5 ms.
	latePingDelay = 120 * time.Millisecond
	// headReadInterval is the interval between reads of the head row while the
	// owner does not answer.
	headReadInterval = 200 * time.Millisecond
	// tableTimeout is the timeout of a table read.
	tableTimeout = 1500 * time.Millisecond
	// staleCommitAge is the commit age above which the owner may be disconnected
	// from the store. Heartbeats are committed every 500 ms.
	staleCommitAge = 1200 * time.Millisecond
	// leaseBound is how long after its last commit an owner lets leases end at the
	// latest. Runs outlast a store outage of that length, and the tasks of lost
	// workers start again that long after the owner was lost with them.
	leaseBound = 9 * time.Second
	// idleCallTime is how long a goroutine for calls stays without one.
	idleCallTime = 10 * time.Second
)

// Prepare initializes the scheduler. It must be called once, before Run and
// before requests are served.
func (s *Scheduler) Prepare() {
	if s.Connections == (guavadescriptor.Shares{}) {
		s.Connections = guavadescriptor.Divide(0)
	}
	s.stopped = make(chan struct{})
	s.startedAt = s.Clock.Now()
	s.releases = make(chan releaseIn, 1)
	s.peers.pool.KeepOnTimeout = true
	s.endedStates = expirable.NewLRU[string, endedState](maxEndedStates, nil, endedStateTime)
}

// SetCatalog replaces the catalog in force.
func (s *Scheduler) SetCatalog(c *guavascale.Catalog) {
	s.catalog.Store(c)
	if t := s.term.Load(); t != nil {
		t.post(t.updateCatalog)
	}
}

// Ready reports whether the daemon is able to forward a submission to an owner.
func (s *Scheduler) Ready() bool {
	return !s.leaving.Load() && s.catalog.Load() != nil && (s.ownerAddr.Load() != nil || s.term.Load() != nil)
}

// Leave releases the shard, if the daemon owns it, and waits until it is
// released or ctx is done. The daemon does not claim the shard again.
func (s *Scheduler) Leave(ctx context.Context) {
	s.leaving.Store(true)
	if session := s.relay.Load(); session != nil {
		session.relay.Leave()
	}
	if addr := s.ownerAddr.Load(); addr != nil && *addr != s.Address {
		// The owner must not name this daemon. An owner that doesn't learn of it is told
		// by this daemon's silence.
		go func() { _, _ = s.peers.call(ctx, *addr, methodLeave, pingTimeout, s.pingIn()) }()
	}
	select {
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// Run monitors the owner and claims the shard when it is free, until ctx is done
// or the daemon has left.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.stopped)
	c := &guavaowner.Candidate{
		Owner: s.Instance, Address: s.Address,
		Delay: claimDelay(), FirstDelay: s.firstClaimDelay(), Strength: s.Strength, Spread: rand.Float64(),
		LeaseBound: leaseBound,
	}
	refused := false
	var released *releaseIn
	for ctx.Err() == nil && !s.leaving.Load() {
		if released != nil {
			claimed := s.claimReleased(ctx, c, released)
			released = nil
			if claimed != nil {
				s.runTerm(ctx, claimed)
				c.Reset()
				continue
			}
		}
		if addr := s.ownerAddr.Load(); addr != nil && *addr != s.Address {
			invited, err := s.checkOwner(ctx, c, *addr)
			if err == nil {
				s.ownerFails.Store(false)
				s.updateRelay(ctx, *addr, invited)
				c.Reset()
				refused = false
				released = s.pause(ctx, pingInterval)
				continue
			}
			if next := referredTo(err); next != "" && next != s.Address && next != *addr {
				s.ownerAddr.CompareAndSwap(addr, &next)
				released = s.pause(ctx, pingInterval)
				continue
			}
			refused = isRefused(err) || isNotOwner(err)
			s.lossReason = reasonOfLoss(err)
			// Keep forwarding requests to an owner that waits for the store or can't commit:
			// it rejects submissions at once, and accepts them as soon as it commits again.
			// If only this owner is cut off from the store, another daemon claims the shard.
			failing := s.lossReason == guavahandover.CommitsFailed
			s.ownerFails.Store(failing)
			if !errors.Is(err, errOwnerSlow) && !failing && s.ownerAddr.CompareAndSwap(addr, nil) {
				s.ownerLostAt.Store(s.Clock.Now().UnixNano())
				s.Log.Warn().Str("Owner", *addr).Bool("Refused", refused).Err(err).Msg("scheduler: no sign of life of the owner")
			}
		}
		claimed := s.tryClaim(ctx, c, refused)
		if claimed == nil {
			released = s.pause(ctx, readInterval(c.Head().Daemons))
			continue
		}
		s.runTerm(ctx, claimed)
		c.Reset()
	}
}

// checkOwner pings the owner. If the response is late, it also reads the head row,
// so that the time for which the head is unchanged counts from then. It returns
// whether the owner wants this daemon as a relay.
func (s *Scheduler) checkOwner(ctx context.Context, c *guavaowner.Candidate, addr string) (bool, error) {
	type result struct {
		invited bool
		err     error
	}
	answer := make(chan result, 1)
	go func() {
		invited, err := s.peers.ping(ctx, addr, s.pingIn())
		answer <- result{invited, err}
	}()
	late := time.NewTimer(latePingDelay)
	defer late.Stop()
	select {
	case res := <-answer:
		return res.invited, res.err
	case <-late.C:
	}
	// Ignore a failed read: tryClaim reads the head again if the ping fails.
	h, version, err := s.readHead(ctx, pingTimeout-latePingDelay)
	if err == nil {
		c.Record(s.Clock.Now(), h, version)
	}
	res := <-answer
	return res.invited, res.err
}

func (s *Scheduler) readHead(ctx context.Context, timeout time.Duration) (guavaowner.Head, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	row, err := s.Table.Get(ctx, guavaowner.HeadKey)
	var missing *guavascale.NotFoundError
	if errors.As(err, &missing) {
		return guavaowner.Head{}, 0, nil
	}
	if err != nil {
		return guavaowner.Head{}, 0, err
	}
	h, err := guavaowner.ParseHead(row)
	return h, row.Version, err
}

func (s *Scheduler) pingIn() pingIn {
	return pingIn{
		Instance: s.Instance, Address: s.Address, Strength: s.Strength, Zone: s.Zone, CanRelay: !s.leaving.Load(),
		Uptime: max(s.Clock.Now().Sub(s.startedAt), 1),
	}
}

func (s *Scheduler) commit(ctx context.Context, c guavascale.Commit, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Table.Commit(ctx, c)
}

// runTerm runs the term of a claim until it ends.
func (s *Scheduler) runTerm(ctx context.Context, c *claim) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		scheduler: s,
		engine:    guavaqueue.Engine{Token: c.chain.Epoch, Limits: s.Limits},
		chain:     c.chain,
		leasesEnd: c.leasesEnd,
		events:    make(chan func(), eventQueueSize),
		done:      make(chan struct{}),
		startedAt: s.Clock.Now(),
		former:    c.former, formerVersion: c.formerVersion, prepared: s.preparation.Load(),
		repeatCommitAfter: repeatFactor * c.took,
	}
	t.admission.OnlyAccounts = !s.BoundQueues
	t.hub = t.newHub()
	t.openPools()
	defer t.closePools()
	defer t.hub.Close()
	s.updateRelay(ctx, s.Address, false)
	log := s.Log.With().Uint64("Epoch", c.chain.Epoch).Logger()
	t.recordCommit(c.start)
	rows, err := t.loadRows(ctx)
	s.endPreparation()
	s.dropRelease()
	if err == nil {
		for i := range rows {
			t.index.Set(rows[i].Key, rows[i].Version)
		}
		err = t.engine.Restore(s.Clock.Now(), rows, c.leasesEnd)
	}
	if err != nil {
		s.finishTerm(&log, guavahandover.LoadFailed, err)
		return
	}
	t.beginTakeover(c, rows)
	log.Info().Int("Rows", len(rows)).Str("Reason", string(c.reason)).Msg("scheduler: own the shard")
	s.ownerAddr.Store(nil)
	s.term.Store(t)
	go t.watchWorkers(ctx)
	err = t.run(ctx)
	s.term.Store(nil)
	close(t.done)
	t.reportTakeover(s.Clock.Now(), true)
	s.finishTerm(&log, t.reasonOfEnd(err), err)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// timeWithoutOwner returns how long ago contact with the owner was lost, or 0 if
// an owner is known or none ever was.
func (s *Scheduler) timeWithoutOwner() time.Duration {
	lost := s.ownerLostAt.Load()
	if lost == 0 || s.owner() != "" {
		return 0
	}
	return time.Duration(s.Clock.Now().UnixNano() - lost)
}

// Owns reports whether the daemon is running a term. Another daemon may already
// have claimed the shard.
func (s *Scheduler) Owns() bool { return s.term.Load() != nil }
