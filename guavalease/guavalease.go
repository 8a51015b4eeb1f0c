// Package guavalease maintains the session lease of a daemon and its
// ownership of partitions.
//
// A daemon keeps one row Session/<instance> and renews it every 3 s. Its
// lease is valid for 9 s (time to live less margin) from the start of the
// last successful renewal, measured on its own monotonic clock. The row
// Owner/<partition> names the instance that owns a partition and the epoch of
// that ownership. A daemon may act for a partition while the owner row names
// its instance and its session lease has not expired.
//
// Another daemon may take over a partition after it has seen the owner's
// session row unchanged for 11 s, over successful reads only. A failed read
// or a long gap between reads restarts the count, so that the end of a store
// outage causes no takeovers. The takeover is a single commit: conditional on
// the session row and the owner row, it increments the epoch and deletes the
// session row. The former owner can then no longer renew its session and
// loses all its partitions. A released partition, or one whose owner has no
// session row, can be taken over immediately.
//
// Only takeovers and releases write the owner row, so its version can serve
// as the fencing condition of every commit of the owner.
//
// Machine is a state machine without I/O: its inputs are times and results of
// store calls, its outputs are store calls and events. Driver executes the
// calls on a bounded pool and runs the machine on one goroutine. In steady
// state a daemon makes one write every RenewEvery and one scan of the owner
// and session rows every ScanEvery.
package guavalease

import (
	"time"

	"guavascale.example"
)

type (
	// Config holds the settings of a machine. Zero durations and counts
	// select the defaults.
	Config struct {
		// Daemon is the ID of the daemon, used in rendezvous hashing. It is
		// required.
		Daemon string
		// Address is the address at which other daemons reach this one.
		Address string
		// RenewEvery is the interval between renewals; default 3 s.
		RenewEvery time.Duration
		// TTL is the time to live of a session; default 10 s.
		TTL time.Duration
		// Margin is subtracted from the lease of the owner and added to the
		// time that observers wait; default 1 s.
		Margin time.Duration
		// ScanEvery is the interval between scans; default 2 s.
		ScanEvery time.Duration
		// Jitter is the upper bound of the random delay before a takeover;
		// default 500 ms.
		Jitter time.Duration
		// RankDelay is the delay per position in the rendezvous ranking
		// before a daemon takes over an available partition, which gives the
		// daemons ranked before it time to do so; default 5 s.
		RankDelay time.Duration
		// MinHold is the minimum time for which a partition is held before it
		// is released to the daemon that ranks first; default 30 s. It limits
		// how often a partition moves while daemons disagree about the
		// members.
		MinHold time.Duration
		// TakeoverInterval is the minimum time between the starts of two
		// takeovers; default 50 ms.
		TakeoverInterval time.Duration
		// MaxTakeovers is the maximum number of concurrent takeovers; default
		// 4.
		MaxTakeovers int
		// MaxReleases is the maximum number of concurrent releases, and of
		// those started per scan; default 4.
		MaxReleases int
	}

	// OwnerRow is the content of a row Owner/<partition>.
	OwnerRow struct {
		// Instance is the instance ID of the owner; empty after a release.
		Instance string
		// Address is where other daemons reach the owner.
		Address string
		// Epoch is incremented by each takeover.
		Epoch uint64
	}

	// SessionRow is the content of a row Session/<instance>.
	SessionRow struct {
		Daemon  string
		Address string
		// Counter is the number of renewals.
		Counter uint64
	}

	// EventKind is the kind of an ownership change.
	EventKind string

	// Event reports a change of ownership. Each EventGained is followed by
	// one EventLost of the same epoch, unless the machine stops first.
	Event struct {
		Kind      EventKind
		Partition guavascale.Partition
		Epoch     uint64
		// Reason says why a partition was lost.
		Reason string
	}

	// CallKind is the kind of a store call.
	CallKind string

	// Call is a store call requested by the machine.
	Call struct {
		// ID is copied into the Result.
		ID   uint64
		Kind CallKind
		// Commit is set for CallCommit.
		Commit guavascale.Commit
		// Key is set for CallGet.
		Key string
	}

	// Result is the outcome of a Call.
	Result struct {
		ID uint64
		// Version is set after CallCommit, Row after CallGet.
		Version uint64
		Row     guavascale.Row
		// Owners and Sessions are set after CallScan. Owners must be read
		// before Sessions: a session row is created before an owner row names
		// it, so a session that is missing from the later read has ended.
		Owners   []guavascale.Row
		Sessions []guavascale.Row
		Err      error
	}

	// Output holds the calls and events that result from a step of the
	// machine.
	Output struct {
		Calls  []Call
		Events []Event
		// Wake is the latest time of the next Tick.
		Wake time.Time
		// Closed is set after a Close once all partitions are released and
		// the session row is deleted.
		Closed bool
	}
)

const (
	EventGained EventKind = "Gained"
	EventLost   EventKind = "Lost"
)

const (
	CallCommit CallKind = "Commit"
	CallGet    CallKind = "Get"
	// CallScan reads all owner rows, then all session rows.
	CallScan CallKind = "Scan"
)

const (
	// OwnerPrefix and SessionPrefix are the key prefixes of owner and session
	// rows.
	OwnerPrefix   = "Owner/"
	SessionPrefix = "Session/"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxScanGap is the number of scan intervals after which a gap between
	// two reads counts as a failed read.
	maxScanGap = 3
	// minFastScanInterval is the minimum interval between scans while a
	// partition is expected to become available soon. maxFastReadsPerSecond
	// bounds the total reads per second of all daemons that scan this fast to
	// 3% of what the store sustains.
	minFastScanInterval = 500 * time.Millisecond
	// readsPerScan counts a page and the end of each of two prefixes.
	readsPerScan          = 4
	maxFastReadsPerSecond = 60
)

func (c Config) withDefaults() Config {
	setDuration(&c.RenewEvery, 3*time.Second)
	setDuration(&c.TTL, 10*time.Second)
	setDuration(&c.Margin, time.Second)
	setDuration(&c.ScanEvery, 2*time.Second)
	setDuration(&c.Jitter, 500*time.Millisecond)
	setDuration(&c.RankDelay, 5*time.Second)
	setDuration(&c.MinHold, 30*time.Second)
	setDuration(&c.TakeoverInterval, 50*time.Millisecond)
	if c.MaxTakeovers <= 0 {
		c.MaxTakeovers = 4
	}
	if c.MaxReleases <= 0 {
		c.MaxReleases = 4
	}
	return c
}

func setDuration(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// takeoverAfter returns how long a session row must stay unchanged before its
// owner's partitions may be taken over.
func (c Config) takeoverAfter() time.Duration { return c.TTL + c.Margin }
