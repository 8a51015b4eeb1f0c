package guavascheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
)

type (
	// preparation is the load of the rows of a shard by its heir. What it has read is a
	// hint: the rows are taken over only if the digest of the last head shows that they are
	// those that the owner has left.
	preparation struct {
		owner  string
		epoch  uint64
		cancel context.CancelFunc
		// done is closed once rows or err is set.
		done chan struct{}
		rows []guavascale.Row
		err  error

		mu sync.Mutex
		// changes is nil until the owner has told them. Told is closed then.
		changes *guavahandover.Changes
		told    chan struct{}
	}

	// referral tells peers where the owner is now.
	referral struct {
		address string
		until   time.Time
	}
)

// preparationTime is how long an heir keeps what it has loaded. The owner releases the
// shard within 2.5 s.
const preparationTime = 6 * time.Second

var (
	errOtherTerm = errors.New("the rows are of another term, or its owner did not release the shard")
	errNoChanges = errors.New("the owner has not told what has changed")
	errOtherRows = errors.New("the rows are not those of the release")
)

// prepareLocal loads the rows of a shard for its owner, and answers once they are there.
func (s *Scheduler) prepareLocal(in prepareIn) reply {
	if in.Heir != s.Instance || s.leaving.Load() || s.term.Load() != nil || s.catalog.Load() == nil {
		return reply{}
	}
	p := s.beginPreparation(in)
	timer := time.NewTimer(in.Wait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		return reply{Verdict: verdictUnknown}
	}
	if p.err != nil {
		return reply{}
	}
	return reply{Verdict: verdictDone}
}

// beginPreparation returns the preparation for a term. There is at most one at a time.
func (s *Scheduler) beginPreparation(in prepareIn) *preparation {
	s.prepareMu.Lock()
	defer s.prepareMu.Unlock()
	old := s.preparation.Load()
	if old != nil {
		if old.owner == in.Owner && old.epoch == in.Epoch {
			return old
		}
		old.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), preparationTime)
	p := &preparation{owner: in.Owner, epoch: in.Epoch, cancel: cancel, done: make(chan struct{}), told: make(chan struct{})}
	s.preparation.Store(p)
	go func() {
		p.rows, p.err = s.scanShard(ctx)
		close(p.done)
		<-ctx.Done()
		s.preparation.CompareAndSwap(p, nil)
	}()
	return p
}

// endPreparation drops the preparation, if there is one.
func (s *Scheduler) endPreparation() {
	if p := s.preparation.Swap(nil); p != nil {
		p.cancel()
	}
}

// changesLocal handles the message about what has changed while this daemon prepared.
func (s *Scheduler) changesLocal(in changesIn) reply {
	p := s.preparation.Load()
	if p == nil || p.owner != in.Owner || p.epoch != in.Epoch {
		return reply{}
	}
	changes := guavahandover.Changes{Rows: make(map[string]guavascale.Row, len(in.Rows)), Incomplete: in.Incomplete}
	for _, row := range in.Rows {
		changes.Rows[row.Key] = row
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changes == nil {
		close(p.told)
	}
	p.changes = &changes
	return reply{Verdict: verdictDone}
}

// releaseLocal handles the message that the shard was released to this daemon.
func (s *Scheduler) releaseLocal(in releaseIn) reply {
	if !in.Head.Left || in.Heir != s.Instance || s.leaving.Load() {
		return reply{}
	}
	s.dropRelease()
	select {
	case s.releases <- in:
	default:
	}
	return reply{Verdict: verdictDone}
}

// dropRelease drops a message that was not handled.
func (s *Scheduler) dropRelease() {
	select {
	case <-s.releases:
	default:
	}
}

func (p *preparation) isOf(h *guavaowner.Head) bool { return p.owner == h.Owner && p.epoch == h.Epoch }

// merge returns the rows that the owner with the given last head, in the given version, has
// left. It fails if they are not known.
func (p *preparation) merge(ctx context.Context, former *guavaowner.Head, version uint64) ([]guavascale.Row, error) {
	if !former.Left || former.Rows == "" || !p.isOf(former) {
		return nil, errOtherTerm
	}
	// The message was sent before the release, but the heir may have seen the release first.
	timer := time.NewTimer(notifyTimeout)
	defer timer.Stop()
	select {
	case <-p.told:
	case <-timer.C:
		return nil, errNoChanges
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.err != nil {
		return nil, p.err
	}
	p.mu.Lock()
	changes := p.changes
	p.mu.Unlock()
	if rows, ok := guavahandover.Merge(p.rows, changes, former.Rows, version); ok {
		return rows, nil
	}
	return nil, errOtherRows
}

// pause waits for d, or until the shard is released to this daemon.
func (s *Scheduler) pause(ctx context.Context, d time.Duration) *releaseIn {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case in := <-s.releases:
		return &in
	}
	return nil
}

// claimReleased claims the shard that was released to this daemon. The claim is conditional
// on the head of the message, so it fails if the head is another one.
func (s *Scheduler) claimReleased(ctx context.Context, c *guavaowner.Candidate, in *releaseIn) *claim {
	c.Reset()
	h := in.Head
	h.Heir = s.Instance
	chain := c.Observe(s.Clock.Now(), h, in.Version, false)
	if chain == nil {
		return nil
	}
	return s.claim(ctx, c, chain)
}

// refer returns the address of the daemon to which this one has just released the shard,
// or "".
func (s *Scheduler) refer() string {
	if r := s.referral.Load(); r != nil && s.Clock.Now().Before(r.until) {
		return r.address
	}
	return ""
}
