// Package guavaowner decides who owns a shard and keeps the commits of
// successive owners in one sequence.
//
// The model: a shard has one head row. Each commit of the owner requires the
// version of the head that its previous commit wrote, and writes the head anew,
// so the commits form a chain that a claim by another daemon breaks. A commit
// whose outcome is unknown is repeated as it is: either the first copy or the
// repetition is applied, and the number in the head tells afterwards that one
// was. A copy that arrives late finds another head and does nothing. An owner
// with nothing to commit writes the head alone, as its heartbeat.
//
// A daemon claims a shard when there is no head, when the owner has left or was
// an earlier process at its own address, or when it has seen the same version
// for a while. A wrong claim is safe: workers
// and the table refuse the former owner from then on.
//
// The package does no I/O.
package guavaowner

import (
	"encoding/json"
	"fmt"
	"time"

	"guavascale.example"
)

type (
	// Head is the content of the head row.
	Head struct {
		// Epoch grows with each claim and is the fencing token at workers.
		Epoch uint64
		// Owner is one run of a daemon, Address where peers reach it.
		Owner   string
		Address string
		// Number counts the commits of the epoch, from 1 for the claim.
		Number uint64
		// Left is set when the owner has stopped giving orders for good. Heir
		// is the daemon that it knows to be ready to take over, or "".
		Left bool
		Heir string `json:",omitempty"`
		// Strongest is the processor time, in cores, of the strongest daemon
		// that the owner knows, itself included.
		Strongest float64 `json:",omitempty"`
	}

	// Candidate is a daemon that does not own the shard.
	Candidate struct {
		// Owner and Address are put into the head with a claim.
		Owner   string
		Address string
		// Delay is added to the time of observation, so that candidates don't
		// claim at the same moment. FirstDelay is the same while there is no
		// head that tells the strongest daemon; it lets stronger ones go first.
		Delay      time.Duration
		FirstDelay time.Duration
		// Strength is the processor time of the daemon, in cores.
		Strength float64
		// ReadTook is how long the read of the head took that is observed.
		ReadTook time.Duration

		version uint64
		// since is when the current version of the head was first seen. The
		// owner's last commit had begun by then.
		since time.Time
		head  Head
	}

	// Chain holds an owner's place in the sequence of commits.
	Chain struct {
		Head
		// Version is that of the head row.
		Version uint64
	}

	// LostError reports that another daemon owns the shard.
	LostError struct {
		Head Head
	}
)

const (
	// HeadKey is the key of the head row.
	HeadKey = "Head/owner"
	// Heartbeat is the longest time between two commits of an owner.
	Heartbeat = 500 * time.Millisecond
	// SilentFor is how long a head must be unchanged before it is claimed, in a
	// store that answers at once; it covers two heartbeats. SlowFactor times
	// the duration of a read is added, since commits are slow when reads are.
	SilentFor  = 1200 * time.Millisecond
	SlowFactor = 4
	// RefusedFor is the same when the owner's host refuses connections, which
	// shows that its process has ended.
	RefusedFor = 800 * time.Millisecond
	// HeirFirst is how long an heir has to claim the shard before others do.
	HeirFirst = 1500 * time.Millisecond
	// WeakFor is how much longer a daemon waits that is weaker than the
	// strongest one by WeakRatio: it could not keep up with the work.
	WeakFor   = 1500 * time.Millisecond
	WeakRatio = 1.5
)

// Error names the owner.
func (e *LostError) Error() string {
	return fmt.Sprintf("the shard is owned by %s at epoch %d", e.Head.Owner, e.Head.Epoch)
}

// ParseHead decodes a head row.
func ParseHead(row guavascale.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return h, nil
}

// Head returns the head as last observed.
func (c *Candidate) Head() Head { return c.head }

// LastActive returns the latest moment at which the owner of the observed head
// may have given an order, for a claim that is made now. OwnerLease is how long
// an owner goes on after its last commit.
func (c *Candidate) LastActive(now time.Time, ownerLease time.Duration) time.Time {
	until := c.since.Add(ownerLease)
	stopped := c.head.Left || c.head.Address == c.Address
	if stopped && now.Before(until) {
		return now
	}
	return until
}

// Reset starts the observation anew, after a sign of life of the owner.
func (c *Candidate) Reset() { c.version, c.since = 0, time.Time{} }

// See takes in a read of the head; a version of 0 stands for a missing row.
func (c *Candidate) See(now time.Time, h Head, version uint64) {
	if version != c.version || c.since.IsZero() {
		c.version, c.since, c.head = version, now, h
	}
}

// Observe takes in a read of the head as See does. Refused tells that the
// owner's host refused a connection since. It returns the claim to commit, or
// nil.
func (c *Candidate) Observe(now time.Time, h Head, version uint64, refused bool) *Chain {
	c.See(now, h, version)
	silent := now.Sub(c.since) - c.weakFor(h)
	switch {
	case version == 0 && silent >= c.FirstDelay, h.Address == c.Address && h.Owner != c.Owner:
		// A process that owned the shard from this address has ended, since
		// this one has its address now.
		fallthrough
	case h.Left && h.Heir == c.Owner, h.Left && silent >= c.Delay+c.deferTo(h), refused && silent >= RefusedFor+c.Delay, silent >= SilentFor+SlowFactor*c.ReadTook+c.Delay:
		return &Chain{
			Head:    Head{Epoch: h.Epoch + 1, Owner: c.Owner, Address: c.Address},
			Version: version,
		}
	default:
		return nil
	}
}

// weakFor returns how much longer a weak daemon waits than others.
func (c *Candidate) weakFor(h Head) time.Duration {
	if h.Strongest <= WeakRatio*c.Strength {
		return 0
	}
	return WeakFor
}

// deferTo returns how much longer a candidate waits for the heir to claim, so
// that the claims of all candidates don't hold each other up in a slow store.
func (c *Candidate) deferTo(h Head) time.Duration {
	if h.Heir == "" {
		return 0
	}
	return HeirFirst
}

// Next returns the commit that writes the given rows and the next head. It is
// called again only after Applied. With leave it is the last one, and names the
// heir.
func (c *Chain) Next(id string, writes []guavascale.Write, leave bool, heir string) guavascale.Commit {
	h := c.Head
	h.Number++
	h.Left, h.Heir = leave, heir
	value, err := json.Marshal(h)
	if err != nil {
		// Head holds nothing that JSON can't express.
		panic(fmt.Sprintf("guavaowner: encode the head: %v", err))
	}
	return guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{{Key: HeadKey, Version: c.Version}},
		Writes:     append([]guavascale.Write{{Key: HeadKey, Value: value}}, writes...),
	}
}

// Applied notes that the commit of the last Next was applied at a version.
func (c *Chain) Applied(version uint64) {
	c.Number++
	c.Version = version
}

// Resolve decides from the current head whether the commit of the last Next,
// whose conditions did not hold, had been applied before. If it had not, only
// the version was out of date: Version is set anew, and Next gives the commit
// to repeat. It fails with LostError when another daemon owns the shard.
func (c *Chain) Resolve(h Head, version uint64) (applied bool, err error) {
	if h.Epoch != c.Epoch || h.Owner != c.Owner {
		return false, &LostError{Head: h}
	}
	switch h.Number {
	case c.Number + 1:
		c.Applied(version)
		return true, nil
	case c.Number:
		c.Version = version
		return false, nil
	default:
		return false, &LostError{Head: h}
	}
}
