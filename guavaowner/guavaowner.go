// Package guavaowner elects the owner of a shard and serializes the commits of
// successive owners.
//
// Each shard has one head row. Every commit of the owner is conditional on the
// version of the head that its previous commit wrote, and writes a new head, so
// the commits form a chain that a claim by another daemon breaks. A commit with
// an unknown outcome is retried unchanged: at most one of the copies is applied,
// and the ID and the number in the head show afterwards whether one was. A copy that
// arrives late fails its condition and has no effect. An owner with nothing to
// commit writes only the head, as a heartbeat.
//
// Other content has another ID and another number, and the next commit is sent only
// once the outcome of the previous one is known: until then the previous one may
// still be applied in its place.
//
// A daemon claims a shard when there is no head, when the owner has left or was
// an earlier process at the daemon's own address, or when the head has not
// changed for some time. A claim of a shard whose owner is alive is safe: from
// then on workers and the table reject the former owner.
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
		// Epoch increases with each claim and is the fencing token for workers.
		Epoch uint64
		// Owner identifies one process of a daemon, Address is where peers reach
		// it.
		Owner   string
		Address string
		// Number increases with each commit of the epoch; the claim is number 1. No
		// two commits of an owner have the same number.
		Number uint64
		// ID is the ID of the commit that wrote the head. Heads of earlier versions
		// have none.
		ID string `json:",omitempty"`
		// Left is set when the owner has permanently stopped giving orders. Heir
		// is the designated successor, a daemon that is ready to take over, or "".
		Left bool
		Heir string `json:",omitempty"`
		// Strongest is the processor time, in cores, of the strongest daemon known
		// to the owner, including itself.
		Strongest float64 `json:",omitempty"`
		// LeaseBoundMs bounds the leases of the epoch and of all earlier ones:
		// none ends later than this after the owner's last commit. 0 means that
		// there is no such bound, as in earlier versions.
		LeaseBoundMs int64 `json:",omitempty"`
		// EarlierLeasesMs is how long after the commit the leases of earlier epochs
		// may last. Earlier versions don't tell.
		EarlierLeasesMs int64 `json:",omitempty"`
		// CommittedMs is the Unix time of the commit in milliseconds, by the owner's
		// clock, for reports only. Reason is why the owner has left. Earlier versions
		// have neither.
		CommittedMs int64  `json:",omitempty"`
		Reason      string `json:",omitempty"`
		// Daemons is the number of daemons that the owner knows, including itself.
		// Earlier versions don't tell.
		Daemons int `json:",omitempty"`
		// Rows is the digest of the rows of the shard (package guavahandover) after the
		// commit, if the owner has left. Earlier versions have none.
		Rows string `json:",omitempty"`
	}

	// Candidate is a daemon that does not own the shard.
	Candidate struct {
		// Owner and Address are written to the head with a claim.
		Owner   string
		Address string
		// Delay is added to the time that a candidate waits, so that candidates
		// don't claim at the same time. FirstDelay is the wait while there is no
		// head, and so no known strongest daemon; stronger daemons have shorter
		// ones.
		Delay      time.Duration
		FirstDelay time.Duration
		// Strength is the processor time of the daemon, in cores.
		Strength float64
		// LeaseBound is how long after its last commit the daemon, as the owner,
		// lets leases end at the latest.
		LeaseBound time.Duration
		// Spread, between 0 and 1, differs between candidates. Their claims, but the
		// heir's, are spread over SpreadFactor times the duration of a read, since a
		// slow store refuses calls that arrive together.
		Spread float64
		// ReadTook is the duration of the latest read of the head.
		ReadTook time.Duration
		// EndedOwner is a process that has certainly ended by EndedBy: another one has
		// answered at its address after a head was read that names it.
		EndedOwner string
		EndedBy    time.Time
		// ListeningSince is when this process began to listen at Address, zero if that is
		// not known. An earlier process at the address had ended by then.
		ListeningSince time.Time

		version uint64
		// since is when the current version of the head was first read. The
		// owner's last commit had started by then.
		since time.Time
		head  Head
	}

	// Chain holds an owner's position in the sequence of commits.
	Chain struct {
		// Head is the head that the last applied commit wrote.
		Head
		// Version is the version of the head row.
		Version uint64

		// sent is the head of the last Next. Its outcome is unknown while open is
		// set.
		sent Head
		open bool
	}

	// LostError reports that another daemon owns the shard, or that the head is not
	// one that the owner may continue from.
	LostError struct {
		Head Head
	}

	// UnsettledError reports a commit whose outcome must be known first.
	UnsettledError struct {
		Number uint64
	}
)

const (
	// HeadKey is the key of the head row.
	HeadKey = "Head/owner"
	// Heartbeat is the maximum time between two commits of an owner.
	Heartbeat = 500 * time.Millisecond
	// SilentFor is how long a head must be unchanged before it is claimed, in a
	// store without latency; it covers two heartbeats. ReadTimeFactor times the
	// duration of a read is added, since commits are slow when reads are, and up
	// to SpreadFactor times that duration.
	SilentFor      = 1200 * time.Millisecond
	ReadTimeFactor = 4
	SpreadFactor   = 4
	// RefusedFor replaces SilentFor when the owner's host refuses connections,
	// which shows that the owner's process has ended.
	RefusedFor = 800 * time.Millisecond
	// HeirHeadStart is how long other candidates wait for the heir's claim.
	HeirHeadStart = 1500 * time.Millisecond
	// WeakDaemonDelay is the additional wait of a daemon if the strongest one is
	// more than WeakDaemonRatio times as strong, since a weak daemon could not
	// keep up with the load.
	WeakDaemonDelay = 1500 * time.Millisecond
	WeakDaemonRatio = 1.5
)

// Error names the owner and its epoch.
func (e *LostError) Error() string {
	return fmt.Sprintf("the shard is owned by %s at epoch %d", e.Head.Owner, e.Head.Epoch)
}

// Error names the number of the commit.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the outcome of commit %d is unknown", e.Number)
}

// ParseHead decodes a head row.
func ParseHead(row guavascale.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return h, nil
}

// Head returns the latest head that was read.
func (c *Candidate) Head() Head { return c.head }

// LeasesEnd returns the time at which all leases that earlier owners granted must have
// ended, for a claim that is made now. OwnerLease is how long an owner continues to
// give orders after its last commit, and maxLease the longest lease that a worker
// grants.
func (c *Candidate) LeasesEnd(now time.Time, ownerLease, maxLease time.Duration) time.Time {
	lastOrder := c.since.Add(ownerLease)
	if stopped, ok := c.stoppedBy(now); ok && stopped.Before(lastOrder) {
		lastOrder = stopped
	}
	end := lastOrder.Add(maxLease)
	// An owner before that one may not know yet that it has been replaced.
	if earlier := c.since.Add(time.Duration(c.head.EarlierLeasesMs) * time.Millisecond); earlier.After(end) {
		end = earlier
	}
	if c.head.LeaseBoundMs > 0 {
		bound := c.since.Add(time.Duration(c.head.LeaseBoundMs) * time.Millisecond)
		if bound.Before(end) {
			return bound
		}
	}
	return end
}

// stoppedBy returns the time by which the owner in the head has given its last order. It
// returns false if that is not known.
func (c *Candidate) stoppedBy(now time.Time) (time.Time, bool) {
	switch {
	case c.head.ID == "":
		// A head without an ID is of an earlier version and doesn't tell how long the leases
		// of the owners before it may last.
		return time.Time{}, false
	case c.hasEnded(c.head):
		return c.EndedBy, true
	case c.head.Address == c.Address && c.head.Owner != c.Owner && !c.ListeningSince.IsZero():
		return c.ListeningSince, true
	default:
		return now, c.head.Left || c.head.Address == c.Address
	}
}

// Reset restarts the observation of the head, after a sign that the owner is
// alive.
func (c *Candidate) Reset() { c.version, c.since = 0, time.Time{} }

// Record records a read of the head; a version of 0 means that there is no row.
func (c *Candidate) Record(now time.Time, h Head, version uint64) {
	if version != c.version || c.since.IsZero() {
		c.version, c.since, c.head = version, now, h
	}
}

// Observe records a read of the head like Record. It returns the claim to commit,
// or nil if the shard must not be claimed now. Refused is set if the owner's
// host refuses connections.
func (c *Candidate) Observe(now time.Time, h Head, version uint64, refused bool) *Chain {
	c.Record(now, h, version)
	refused = refused || c.hasEnded(h)
	silent := now.Sub(c.since) - c.weakDelay(h)
	switch {
	case version == 0 && silent >= c.FirstDelay, h.Address == c.Address && h.Owner != c.Owner:
		// The earlier process that owned the shard from this address must have
		// ended, since this process has the address now.
		fallthrough
	case h.Left && h.Heir == c.Owner, h.Left && silent >= c.Delay+c.spread()+c.heirDelay(h), refused && silent >= RefusedFor+c.spread()+c.Delay, silent >= SilentFor+ReadTimeFactor*c.ReadTook+c.spread()+c.Delay:
		return &Chain{
			Head:    Head{Epoch: h.Epoch + 1, Owner: c.Owner, Address: c.Address, LeaseBoundMs: c.claimedLeaseBound(h)},
			Version: version,
		}
	default:
		return nil
	}
}

// hasEnded reports whether the process that wrote a head is known to have ended.
func (c *Candidate) hasEnded(h Head) bool { return h.Owner != "" && h.Owner == c.EndedOwner }

// weakDelay returns the additional wait of a weak daemon.
func (c *Candidate) weakDelay(h Head) time.Duration {
	if h.Strongest <= WeakDaemonRatio*c.Strength {
		return 0
	}
	return WeakDaemonDelay
}

// claimedLeaseBound returns the bound for a claim that follows a head. Without a bound
// for the leases of earlier owners there is none for the epoch either, until these
// leases have ended.
func (c *Candidate) claimedLeaseBound(h Head) int64 {
	if h.Epoch > 0 && h.LeaseBoundMs == 0 {
		return 0
	}
	return max(h.LeaseBoundMs, c.LeaseBound.Milliseconds())
}

// spread returns the candidate's part of the time over which claims are spread.
func (c *Candidate) spread() time.Duration {
	return time.Duration(SpreadFactor * c.Spread * float64(c.ReadTook))
}

// heirDelay returns how long a candidate waits for the heir's claim, so that
// concurrent claims don't delay each other in a slow store.
func (c *Candidate) heirDelay(h Head) time.Duration {
	if h.Heir == "" {
		return 0
	}
	return HeirHeadStart
}

// Next returns the commit that writes the given rows and the next head, which has the
// given ID. It fails with UnsettledError unless the commit of the previous Next was
// applied, refused or resolved. If leave is set, the commit is the owner's last one and
// names the heir.
func (c *Chain) Next(id string, writes []guavascale.Write, leave bool, heir string) (guavascale.Commit, error) {
	if c.open {
		return guavascale.Commit{}, &UnsettledError{Number: c.sent.Number}
	}
	h := c.Head
	h.Number = max(c.Number, c.sent.Number) + 1
	h.ID, h.Left, h.Heir = id, leave, heir
	value, err := json.Marshal(h)
	if err != nil {
		return guavascale.Commit{}, fmt.Errorf("encode the head: %w", err)
	}
	c.sent, c.open = h, true
	return guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{{Key: HeadKey, Version: c.Version}},
		Writes:     append([]guavascale.Write{{Key: HeadKey, Value: value}}, writes...),
	}, nil
}

// Applied records that the commit of the last Next was applied. Version is the
// resulting version of the head row.
func (c *Chain) Applied(version uint64) { c.Head, c.Version, c.open = c.sent, version, false }

// Refused records that the commit of the last Next was not applied and never will be.
func (c *Chain) Refused() { c.open = false }

// Resolve determines from the current head whether the commit of the last Next,
// which failed its condition, was applied by an earlier try. If not, the version
// was out of date: Resolve updates it, and Next returns the commit to retry. It
// fails with LostError if the head is another one, since the owner doesn't know the
// rows that were written with it.
func (c *Chain) Resolve(h Head, version uint64) (applied bool, err error) {
	switch {
	case h.isOf(c.sent):
		c.Applied(version)
		return true, nil
	case h.isOf(c.Head):
		c.Version = version
		c.Refused()
		return false, nil
	default:
		return false, &LostError{Head: h}
	}
}

// isOf reports whether the head was written by the same commit as another one. An owner
// is one process and gives an ID to all of its commits, so a head without one is of
// none of them.
func (h *Head) isOf(other Head) bool {
	return h.ID != "" && h.ID == other.ID && h.Epoch == other.Epoch && h.Owner == other.Owner && h.Number == other.Number
}
