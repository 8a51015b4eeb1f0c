package guavascheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"guavascale.example"
	"guavascale.example/guavaclock"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
)

// claim is a claim of the shard that was sent. It is repeated unchanged while it may
// still be applied, so that it counts from when the copy that was applied may have been
// sent.
type claim struct {
	chain  guavaowner.Chain
	commit guavascale.Commit
	// start is when the claim was first sent, or when the copy was sent that the store
	// has answered.
	start time.Time
	// leasesEnd is when all leases of earlier owners must have ended.
	leasesEnd time.Time
	// former is the head that the claim follows, in version formerVersion, and reason why
	// its owner is gone.
	former        guavaowner.Head
	formerVersion uint64
	reason        guavahandover.Reason
	// took is the duration of the attempt that was answered, or 0.
	took time.Duration
}

const (
	// claimTimeout is the timeout of a claim. After it the head row is read to
	// determine whether the claim was applied.
	claimTimeout = 1200 * time.Millisecond
	// maxClaimDelay is the delay before the first claim of a hypothetical daemon
	// with no processor time. A daemon with halfDelayStrength cores waits half as
	// long. claimJitter is the maximum random delay that separates the claims of
	// equal daemons.
	maxClaimDelay     = 600 * time.Millisecond
	halfDelayStrength = 0.3
	claimJitter       = 150 * time.Millisecond
)

// tryClaim reads the head row and claims the shard if it is free. It returns nil
// unless this daemon now owns the shard.
func (s *Scheduler) tryClaim(ctx context.Context, c *guavaowner.Candidate, refused bool) *claim {
	start := s.Clock.Now()
	h, version, err := s.readHead(ctx, tableTimeout)
	c.ReadTook = s.Clock.Now().Sub(start)
	if err != nil {
		// The owner may be disconnected from the store as well, so a head that
		// has not changed in the meantime does not show that it is gone.
		c.Reset()
		return nil
	}
	if claimed := s.resolveClaim(h, version); claimed != nil {
		return claimed
	}
	if h.Owner == s.Instance && h.Left {
		return nil
	}
	chain := c.Observe(s.Clock.Now(), h, version, refused)
	if chain == nil {
		if h.Left || h.Address == "" || h.Address == s.Address {
			return nil
		}
		_, err := s.peers.ping(ctx, h.Address, s.pingIn())
		if err == nil {
			s.ownerAddr.Store(&h.Address)
			s.Log.Info().Str("Owner", h.Owner).Uint64("Epoch", h.Epoch).Msg("scheduler: found the owner")
		}
		if other, listening := answeredBy(err); other != "" && other != h.Owner && c.EndedOwner != h.Owner {
			// The process in the head was at this address before the ping was sent.
			c.EndedOwner, c.EndedBy = h.Owner, s.Clock.Now().Add(-listening)
			s.Log.Info().Str("Owner", h.Owner).Str("Other", other).Msg("scheduler: another process has the address of the owner")
		}
		return nil
	}
	if s.Clock.Now().Before(s.claimAfter) {
		return nil
	}
	return s.claim(ctx, c, chain)
}

// claim sends the claim that a chain begins with, or repeats it.
func (s *Scheduler) claim(ctx context.Context, c *guavaowner.Candidate, chain *guavaowner.Chain) *claim {
	if s.sentClaim == nil || s.sentClaim.chain.Version != chain.Version {
		s.sentClaim = s.newClaim(c, chain)
	}
	return s.sendClaim(ctx)
}

// newClaim returns a claim that has not been sent.
func (s *Scheduler) newClaim(c *guavaowner.Candidate, chain *guavaowner.Chain) *claim {
	now := s.Clock.Now()
	c.ListeningSince = time.Time{}
	if d := s.listening(now); d > 0 {
		c.ListeningSince = now.Add(-d)
	}
	leasesEnd := c.LeasesEnd(now, s.Limits.OwnerLease, guavaclock.LongestLease(s.Limits.LeaseMax)).Add(guavaclock.ExpiryMargin)
	chain.EarlierLeasesMs = remainingMs(leasesEnd, now)
	chain.CommittedMs = now.UnixMilli()
	// Next fails only while an earlier commit of the chain is not settled.
	commit, _ := chain.Next(newID(), nil, false, "")
	return &claim{
		chain: *chain, commit: commit, start: now, leasesEnd: leasesEnd,
		former: c.Head(), formerVersion: chain.Version, reason: s.reasonOf(c.Head()),
	}
}

func remainingMs(end, now time.Time) int64 { return max(0, end.Sub(now).Milliseconds()) }

// sendClaim sends the current claim. It returns nil unless the claim was applied.
func (s *Scheduler) sendClaim(ctx context.Context) *claim {
	claimed, start := s.sentClaim, s.Clock.Now()
	version, err := s.commit(ctx, claimed.commit, claimTimeout)
	if err == nil {
		claimed.chain.Applied(version)
		claimed.start, claimed.took = start, s.Clock.Now().Sub(start)
		s.sentClaim = nil
		return claimed
	}
	s.Log.Info().Uint64("Epoch", claimed.chain.Epoch).Err(err).Msg("scheduler: the claim was not confirmed")
	if isOverloaded(err) {
		base := overloadedClaimDelay
		if claimed.former.Heir == s.Instance {
			base = overloadedHeirDelay
		}
		s.claimAfter = s.Clock.Now().Add(retryDelayAfter(err, base))
		return nil
	}
	h, version, err := s.readHead(ctx, tableTimeout)
	if err != nil {
		return nil
	}
	return s.resolveClaim(h, version)
}

// resolveClaim returns the claim of unknown outcome if the head shows that it was
// applied.
func (s *Scheduler) resolveClaim(h guavaowner.Head, version uint64) *claim {
	claimed := s.sentClaim
	if claimed == nil {
		return nil
	}
	if applied, err := claimed.chain.Resolve(h, version); !applied || err != nil {
		return nil
	}
	s.sentClaim = nil
	return claimed
}

func claimDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(claimJitter))
}

// firstClaimDelay returns how long the daemon waits for stronger daemons to
// claim a shard that has no head row yet.
func (s *Scheduler) firstClaimDelay() time.Duration {
	share := halfDelayStrength / (halfDelayStrength + s.Strength)
	return time.Duration(share*float64(maxClaimDelay)) + claimDelay()
}
