// Package guavaclock tells what the owner of a shard knows about the clocks of workers,
// and thereby which leases must have expired.
//
// A worker measures leases on a clock of its own: it starts anew with each boot, may run
// slow by MaxDrift and is only seen in the answers to calls. A Clock bounds it from
// both sides. The reading lies between the sending of the call and the arrival of its
// answer, so it is a lower bound from the arrival on, at the slowest rate, and an upper
// bound from the sending on, at the fastest. Leases are granted by the upper bound and
// taken as expired by the lower one.
//
// A Lease is what the owner knows of the leases of one worker. A restart ends all of
// them, but an order without an answer may still be on its way. Its deadline means
// nothing on the clock of the new boot, where it may grant a lease once more. As long
// as such orders may arrive, and the leases from them may last, the owner goes by its
// own clock. This bound holds also for a worker that never tells its clock again.
//
// All functions are pure: the times, all from the owner's steady clock, are passed in.
package guavaclock

import "time"

type (
	// Clock bounds the clock of a worker in its current boot. The zero value is a
	// clock that is not known.
	Clock struct {
		// Low is the latest reading, from a call that was answered at LowAt.
		Low   time.Duration
		LowAt time.Time
		// High is the reading, from a call that was sent at HighAt, that gives the
		// lowest upper bound.
		High   time.Duration
		HighAt time.Time
	}

	// Terms are the platform's guarantees about leases and orders.
	Terms struct {
		// LeaseMax is the longest lease that a worker grants, on its own clock.
		LeaseMax time.Duration
		// OrderDelay is how long after it was sent an order may still be carried
		// out.
		OrderDelay time.Duration
	}

	// Lease is what an owner knows of the leases of a worker. The zero value is a
	// worker without any.
	Lease struct {
		// End is the latest end of a lease that may have been granted, also by an
		// earlier owner, on the clock of the current boot.
		End time.Duration
		// SentAt is when the latest order with a lease was sent, to any boot.
		SentAt time.Time
		// StrayUntil is the time until which orders that were sent before the
		// latest restart may have effects; zero if there was none.
		StrayUntil time.Time
	}
)

const (
	// LeaseTime is how far ahead leases are extended. It lets runs survive a change of the
	// owner, which takes up to 4 s.
	LeaseTime = 5500 * time.Millisecond
	// maxDrift is the fraction by which a worker's clock may run slow.
	maxDrift = 0.02
	// maxLead bounds how fast a worker's clock may run: it gains at most one part in
	// maxLead on the owner's.
	maxLead = 1000
	// jumpTolerance is how far a reading may lie outside the bounds before the worker
	// counts as restarted.
	jumpTolerance = 300 * time.Millisecond
	// ExpiryMargin must pass after the end of a lease before the lease counts as
	// expired.
	ExpiryMargin = 250 * time.Millisecond
)

// LongestLease returns how long a lease of the given duration on a worker's clock may
// last.
func LongestLease(onWorker time.Duration) time.Duration {
	return time.Duration(float64(onWorker) * (1 + maxDrift))
}

// Longest returns how long after it was sent an order may still have effects.
func (t Terms) Longest() time.Duration {
	return t.OrderDelay + LongestLease(t.LeaseMax) + ExpiryMargin
}

// Known reports whether there is a reading of the clock.
func (c Clock) Known() bool { return !c.LowAt.IsZero() }

// Age returns the time since the latest reading, or -1 if there is none.
func (c Clock) Age(now time.Time) time.Duration {
	if !c.Known() {
		return -1
	}
	return now.Sub(c.LowAt)
}

// Earliest returns a lower bound of the clock.
func (c Clock) Earliest(at time.Time) time.Duration {
	return c.Low + time.Duration(float64(at.Sub(c.LowAt))*(1-maxDrift))
}

// Latest returns an upper bound of the clock.
func (c Clock) Latest(at time.Time) time.Duration {
	passed := at.Sub(c.HighAt)
	return c.High + passed + passed/maxLead
}

// Read returns the clock after a reading from a call that was sent at sent and answered
// at now. It returns true if the reading lies out of bounds, which shows that the
// worker has restarted even if nothing else does.
func (c Clock) Read(now, sent time.Time, reading time.Duration) (Clock, bool) {
	restarted := false
	if c.Known() {
		earliest := c.Low + min(sent.Sub(c.LowAt), 0)
		if sent.After(c.LowAt) {
			earliest = c.Earliest(sent)
		}
		restarted = reading < earliest-jumpTolerance || reading > c.Latest(now)+jumpTolerance
	}
	if restarted {
		c = Clock{}
	}
	if !c.Known() || reading+now.Sub(sent) <= c.Latest(now) {
		c.High, c.HighAt = reading, sent
	}
	if !c.Known() || reading > c.Low {
		c.Low, c.LowAt = reading, now
	}
	return c, restarted
}

// Extend returns the end of a lease of d in an order that is sent at now, and what is
// known after it. The lease does not last beyond the owner's time until, if that is set:
// by then the clock has reached the end even if it is slow. The clock must be known.
func (l Lease) Extend(now time.Time, c Clock, d time.Duration, until time.Time) (Lease, time.Duration) {
	// A lease that may have been granted has to be waited for anyway.
	end := max(l.End, c.Latest(now)+d)
	if !until.IsZero() {
		end = min(end, c.Earliest(until))
	}
	end = max(end.Truncate(time.Millisecond), 0)
	l.End, l.SentAt = max(l.End, end), now
	return l, end
}

// Restarted returns the lease after a restart of the worker.
func (l Lease) Restarted(t Terms) Lease {
	if !l.SentAt.IsZero() {
		l.StrayUntil = l.SentAt.Add(t.Longest())
	}
	l.End = 0
	return l
}

// Expired reports whether all leases must have expired, also if the clock is as slow as
// it may be.
func (l Lease) Expired(now time.Time, c Clock) bool {
	if !c.Known() {
		return !l.StrayUntil.IsZero() && now.After(l.StrayUntil)
	}
	return now.After(l.StrayUntil) && c.Earliest(now) > l.End+ExpiryMargin
}
