// Package guavalease holds the session lease of a daemon and the ownership of
// partitions.
//
// The model: a daemon keeps one row Session/<instance> and renews it every 3 s.
// Its right to act lasts 9 s (time to live less margin) from the start of the
// last successful renewal on its own monotonic clock. A partition is owned by
// the instance that its row Owner/<partition> names, at the epoch in that row.
// The right to act for a partition is therefore: the owner row names this
// instance, and the session's right has not lapsed.
//
// Another daemon takes a partition over when it has read the owner's session
// row unchanged for 11 s over successful reads. A failed read, or a long gap
// between reads, restarts that count, so the end of a store outage causes no
// takeovers. The takeover is one commit: conditional on the session row and on
// the owner row, it raises the epoch and deletes the session row. The former
// owner can then never renew, and drops everything it owned. A released
// partition, or one whose owner has no session row, is taken at once.
//
// The owner row is written by takeovers and releases only, so its version
// serves as the condition of every commit of the owner.
//
// Machine decides and does no I/O: times and results of store calls go in,
// store calls and events come out. Driver performs the calls on a bounded pool
// and runs the machine on one goroutine. In steady state a daemon makes one
// write each RenewEvery and one scan of owner and session rows each ScanEvery.
package guavalease

import (
	"time"

	"guavascale.example"
)

type (
	// Config holds the settings of a machine. The zero value of a duration or
	// a count stands for its default.
	Config struct {
		// Daemon is the ID of the daemon; it is required and names it in
		// rendezvous hashing.
		Daemon string
		// Address is the address at which other daemons reach this one.
		Address string
		// RenewEvery is the interval between renewals; default 3 s.
		RenewEvery time.Duration
		// TTL is the time to live of a session; default 10 s.
		TTL time.Duration
		// Margin is subtracted from the owner's right and added to the
		// observer's wait; default 1 s.
		Margin time.Duration
		// ScanEvery is the interval between scans; default 2 s.
		ScanEvery time.Duration
		// Jitter is the longest random delay of a takeover; default 500 ms.
		Jitter time.Duration
		// RankDelay is the delay per place in the rendezvous ranking after
		// which a daemon takes a free partition that the daemons ranked
		// before it left; default 5 s.
		RankDelay time.Duration
		// MinHold is how long a partition is held before it is released to
		// the daemon that ranks first; default 30 s. It limits how often a
		// partition moves when daemons disagree on the members.
		MinHold time.Duration
		// TakeoverInterval is the least time between the starts of two
		// takeovers; default 50 ms.
		TakeoverInterval time.Duration
		// MaxTakeovers bounds the takeovers under way; default 4.
		MaxTakeovers int
		// MaxReleases bounds the releases under way and those started per
		// scan; default 4.
		MaxReleases int
	}

	// OwnerRow is the content of a row Owner/<partition>.
	OwnerRow struct {
		// Instance is the owner's session, empty when released.
		Instance string
		// Address is where other daemons reach the owner.
		Address string
		// Epoch grows by one with each takeover.
		Epoch uint64
	}

	// SessionRow is the content of a row Session/<instance>.
	SessionRow struct {
		Daemon  string
		Address string
		// Counter counts the renewals.
		Counter uint64
	}

	// EventKind separates gained from lost partitions.
	EventKind string

	// Event reports a change of ownership. Each EventGained is followed by
	// one EventLost of the same epoch, unless the machine ends first.
	Event struct {
		Kind      EventKind
		Partition guavascale.Partition
		Epoch     uint64
		// Reason tells why a partition was lost.
		Reason string
	}

	// CallKind is the kind of a store call.
	CallKind string

	// Call is a store call that the machine asks for.
	Call struct {
		// ID is echoed in the Result.
		ID   uint64
		Kind CallKind
		// Commit is set for CallCommit.
		Commit guavascale.Commit
		// Key is set for CallGet.
		Key string
	}

	// Result is the outcome of a call.
	Result struct {
		ID uint64
		// Version is set after CallCommit, Row after CallGet.
		Version uint64
		Row     guavascale.Row
		// Owners and Sessions are set after CallScan. Owners must have been
		// read before Sessions: a session row is created before an owner row
		// names it, so a session missing from the later read has ended.
		Owners   []guavascale.Row
		Sessions []guavascale.Row
		Err      error
	}

	// Output is what a step of the machine asks for.
	Output struct {
		Calls  []Call
		Events []Event
		// Wake is the time of the next Tick at the latest.
		Wake time.Time
		// Closed is set once all partitions are released and the session row
		// is deleted.
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
	// OwnerPrefix and SessionPrefix start the keys of owner and session rows.
	OwnerPrefix   = "Owner/"
	SessionPrefix = "Session/"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxScanGap is the number of scan intervals after which the time between
	// two reads counts as a failed read.
	maxScanGap = 3
	// minHurry is the least interval between scans while partitions are about
	// to be released to this daemon; hurriedReads bounds the reads a second of
	// all daemons that do so, 3% of what the store sustains.
	minHurry     = 500 * time.Millisecond
	readsPerScan = 2
	hurriedReads = 60
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

// takeoverAfter is how long a session row must stay unchanged.
func (c Config) takeoverAfter() time.Duration { return c.TTL + c.Margin }
