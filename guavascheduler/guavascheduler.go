// Package guavascheduler runs the scheduler of submissions in a daemon.
//
// The model: all daemons are alike. One of them owns the shard at a time and
// runs a term: one goroutine holds the decision engine (package guavaqueue),
// feeds it events and carries out its orders and commits, each on other
// goroutines. All daemons, the owner included, take callers' requests and pass
// them to the owner. A daemon that does not own the shard asks the owner for a
// sign of life and reads the head row when there is none (package guavaowner).
//
// A term ends when another daemon has claimed the shard, when a worker has seen
// a later owner, or when the daemon leaves. While the store can't be reached the
// owner goes on giving orders for OwnerLease after its last commit, and accepts
// nothing.
package guavascheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

type (
	// Source delivers the list of workers after each change until ctx ends.
	Source interface {
		Servers(ctx context.Context, set func([]guavascale.Worker))
	}

	// Scheduler is the scheduler of one daemon. The exported fields must be
	// set before Run.
	Scheduler struct {
		// Instance names this run of the daemon, Address where peers reach it.
		Instance string
		Address  string
		Table    guavascale.Table
		Runner   guavascale.Runner
		Workers  Source
		Clock    guavascale.Clock
		Limits   guavaqueue.Limits
		Log      zerolog.Logger
		// Strength is the processor time that the daemon has, in cores.
		// Stronger daemons take over first.
		Strength float64

		peers peerClient
		heirs heirs
		// decisions and meters are used by all goroutines.
		decisions decisionLog
		meters    meters
		catalog   atomic.Pointer[guavascale.Catalog]
		term      atomic.Pointer[term]
		// route is the address of the owner as far as known; nil when unknown.
		route atomic.Pointer[string]
		// lostAt is when the owner was last known, in nanoseconds of Unix time by
		// Clock; 0 before the first one.
		lostAt  atomic.Int64
		leaving atomic.Bool
		// left is closed when the daemon owns nothing and will claim nothing.
		left chan struct{}
	}
)

const (
	// pingInterval spaces the signs of life that a daemon asks of the owner.
	pingInterval = 300 * time.Millisecond
	// pingLate is when an answer to a ping is late: it takes 5 ms.
	pingLate = 120 * time.Millisecond
	// headInterval spaces reads of the head without a sign of life.
	headInterval = 200 * time.Millisecond
	// claimSpread is how long a daemon without processor time would wait before
	// the first claim, and halfStrength the number of cores with which it waits half as
	// long. claimJitter separates equal daemons.
	claimSpread  = 600 * time.Millisecond
	halfStrength = 0.3
	claimJitter  = 150 * time.Millisecond
	// tableTimeout bounds one read of the table, claimTimeout a claim; the head
	// tells afterwards whether one without an answer was applied.
	tableTimeout = 1500 * time.Millisecond
	claimTimeout = 1200 * time.Millisecond
	// staleCommit is the age of an owner's last commit from which it counts as
	// cut off from the store: heartbeats come every 500 ms.
	staleCommit = 1200 * time.Millisecond
	// holdCalls and orderCalls bound the calls to workers in progress.
	holdCalls  = 1024
	orderCalls = 256
)

// Prepare must be called once before Run and before requests are served.
func (s *Scheduler) Prepare() {
	s.left = make(chan struct{})
	s.peers.pool.KeepOnTimeout = true
}

// SetCatalog puts a catalog in force.
func (s *Scheduler) SetCatalog(c *guavascale.Catalog) {
	s.catalog.Store(c)
	if t := s.term.Load(); t != nil {
		t.post(func() { t.engine.SetCatalog(c) })
	}
}

// Ready reports whether the daemon could pass a submission on now.
func (s *Scheduler) Ready() bool {
	return !s.leaving.Load() && s.catalog.Load() != nil && (s.route.Load() != nil || s.term.Load() != nil)
}

// Leave ends the daemon's ownership in order and waits for that until ctx ends.
func (s *Scheduler) Leave(ctx context.Context) {
	s.leaving.Store(true)
	select {
	case <-s.left:
	case <-ctx.Done():
	}
}

// Run takes part in the ownership of the shard until ctx ends or Leave is done.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.left)
	c := &guavaowner.Candidate{
		Owner: s.Instance, Address: s.Address,
		Delay: claimDelay(), FirstDelay: s.firstClaimDelay(), Strength: s.Strength,
	}
	refused := false
	for ctx.Err() == nil && !s.leaving.Load() {
		if addr := s.route.Load(); addr != nil && *addr != s.Address {
			err := s.watch(ctx, c, *addr)
			if err == nil {
				c.Reset()
				refused = false
				sleep(ctx, pingInterval)
				continue
			}
			refused = isRefused(err) || isNotOwner(err)
			// Requests still go to an owner that waits for the store.
			if !errors.Is(err, errSlow) && s.route.CompareAndSwap(addr, nil) {
				s.lostAt.Store(s.Clock.Now().UnixNano())
				s.Log.Warn().Str("Owner", *addr).Bool("Refused", refused).Err(err).Msg("scheduler: no sign of life of the owner")
			}
		}
		chain := s.observe(ctx, c, refused)
		if chain == nil {
			sleep(ctx, headInterval)
			continue
		}
		s.own(ctx, chain, c.LastActive(s.Clock.Now(), s.Limits.OwnerLease))
		c.Reset()
	}
}

// watch asks the owner for a sign of life. When the answer is late it reads the
// head at once, so that the owner's silence counts from then.
func (s *Scheduler) watch(ctx context.Context, c *guavaowner.Candidate, addr string) error {
	answer := make(chan error, 1)
	go func() { answer <- s.peers.ping(ctx, addr, s.pingIn()) }()
	late := time.NewTimer(pingLate)
	defer late.Stop()
	select {
	case err := <-answer:
		return err
	case <-late.C:
	}
	// A read that fails tells nothing: observe reads the head again if the
	// answer doesn't come.
	h, version, err := s.readHead(ctx, pingTimeout-pingLate)
	if err == nil {
		c.Record(s.Clock.Now(), h, version)
	}
	return <-answer
}

// observe reads the head and claims the shard if it is free. It returns nil
// unless this daemon owns the shard now.
func (s *Scheduler) observe(ctx context.Context, c *guavaowner.Candidate, refused bool) *guavaowner.Chain {
	begun := s.Clock.Now()
	h, version, err := s.readHead(ctx, tableTimeout)
	c.ReadTook = s.Clock.Now().Sub(begun)
	if err != nil {
		// The owner may be cut off from the store as well, so that nothing can
		// be concluded from a head that did not change meanwhile.
		c.Reset()
		return nil
	}
	if h.Owner == s.Instance && h.Left {
		return nil
	}
	claim := c.Observe(s.Clock.Now(), h, version, refused)
	if claim == nil {
		if !h.Left && h.Address != "" && h.Address != s.Address && s.peers.ping(ctx, h.Address, s.pingIn()) == nil {
			s.route.Store(&h.Address)
			s.Log.Info().Str("Owner", h.Owner).Uint64("Epoch", h.Epoch).Msg("scheduler: found the owner")
		}
		return nil
	}
	version, err = s.commit(ctx, claim.Next(newID(), nil, false, ""), claimTimeout)
	if err == nil {
		claim.Applied(version)
		return claim
	}
	s.Log.Info().Uint64("Epoch", claim.Epoch).Err(err).Msg("scheduler: the claim was not confirmed")
	h, version, err = s.readHead(ctx, tableTimeout)
	if err == nil && h.Owner == s.Instance && h.Epoch == claim.Epoch {
		return &guavaowner.Chain{Head: h, Version: version}
	}
	return nil
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

func claimDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(claimJitter))
}

// firstClaimDelay returns how long the daemon lets stronger ones claim a shard
// that has no head yet.
func (s *Scheduler) firstClaimDelay() time.Duration {
	share := halfStrength / (halfStrength + s.Strength)
	return time.Duration(share*float64(claimSpread)) + claimDelay()
}

func (s *Scheduler) pingIn() pingIn { return pingIn{Instance: s.Instance, Strength: s.Strength} }

func (s *Scheduler) commit(ctx context.Context, c guavascale.Commit, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Table.Commit(ctx, c)
}

// own runs a term until it ends. The former owner gave its last order at
// lastActive at the latest.
func (s *Scheduler) own(ctx context.Context, chain *guavaowner.Chain, lastActive time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		scheduler: s,
		engine:    guavaqueue.Engine{Token: chain.Epoch, Limits: s.Limits},
		chain:     *chain,
		events:    make(chan func(), eventQueue),
		done:      make(chan struct{}),
		holds:     pond.NewPool(holdCalls),
		calls:     pond.NewPool(orderCalls),
		begun:     s.Clock.Now(),
	}
	log := s.Log.With().Uint64("Epoch", chain.Epoch).Logger()
	t.committed(s.Clock.Now())
	rows, err := s.load(ctx)
	if err == nil {
		err = t.engine.Restore(s.Clock.Now(), rows, lastActive)
	}
	if err != nil {
		log.Error().Err(err).Msg("scheduler: the rows of the shard can't be loaded; the claim is given up")
		return
	}
	if c := s.catalog.Load(); c != nil {
		t.engine.SetCatalog(c)
	}
	log.Info().Int("Rows", len(rows)).Msg("scheduler: own the shard")
	s.route.Store(nil)
	s.term.Store(t)
	go s.Workers.Servers(ctx, func(list []guavascale.Worker) { t.post(func() { t.setWorkers(list) }) })
	err = t.run(ctx)
	s.term.Store(nil)
	close(t.done)
	log.Info().Err(err).Msg("scheduler: the term has ended")
}

// load reads all rows of the shard.
func (s *Scheduler) load(ctx context.Context) ([]guavascale.Row, error) {
	var rows []guavascale.Row
	for _, prefix := range guavaqueue.RowPrefixes() {
		after := ""
		for failures := 0; ; {
			call, cancel := context.WithTimeout(ctx, tableTimeout)
			page, err := s.Table.Scan(call, prefix, after, loadPage)
			cancel()
			if err != nil {
				if failures++; failures > loadRetries || ctx.Err() != nil {
					return nil, err
				}
				sleep(ctx, headInterval)
				continue
			}
			failures = 0
			rows = append(rows, page...)
			if len(page) == 0 {
				break
			}
			after = page[len(page)-1].Key
		}
	}
	return rows, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ownerless returns for how long no owner has been known, if there was one.
func (s *Scheduler) ownerless() time.Duration {
	lost := s.lostAt.Load()
	if lost == 0 || s.owner() != "" {
		return 0
	}
	return time.Duration(s.Clock.Now().UnixNano() - lost)
}

// Owns reports whether the daemon owns the shard now, as far as it knows.
func (s *Scheduler) Owns() bool { return s.term.Load() != nil }
