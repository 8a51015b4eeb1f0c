// Package guavaclaim grants claims on the idempotency keys of non-idempotent
// requests.
//
// The key space is divided into 64 partitions Claim-<n> by a hash of the key.
// The owner of a partition keeps a table of the claimed keys in memory and in
// the partition's log. A claim is granted once its record is committed, so at
// most one request per key is sent, whichever daemon received it. A claim is
// released only if its request certainly did not run, and the release is
// logged before the key can be claimed again. Keys are kept for 1 hour.
//
// A new owner recovers the keys from the log. It assumes that the request of
// an unfinished claim may have run. Hosts share no clock, so the age of a
// recovered key counts from the last snapshot that contains it, or from the
// recovery; a key may be kept longer than an hour, never shorter.
//
// Recorded responses are in memory only: up to 64 KB each, for 10 minutes,
// within a limit on their total size; the oldest are dropped first.
//
// The number of keys per daemon is limited. At the limit, new keys are
// refused with an UnavailableError that wraps a FullError, so callers get
// NotRun; keys are never dropped early, since that would let a request run
// twice.
package guavaclaim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
	"guavascale.example/guavalease"
	"guavascale.example/guavalog"
)

type (
	// Options holds the dependencies and settings of Partitions.
	Options struct {
		Table   guavascale.Table
		Objects guavascale.Objects
		// CheckLease returns the current lease for a partition; usually
		// guavalease.Driver.Check.
		CheckLease func(guavascale.Partition) (guavalease.Lease, error)
		// Clock defaults to the system clock.
		Clock guavascale.Clock
		// Linger is how long the record of a finished request waits to be
		// committed in a batch with others; default 200 ms. Claims and
		// releases do not wait.
		Linger time.Duration
		// Limiter limits the rate of commits of all logs of a daemon; nil for
		// no limit.
		Limiter guavalog.Limiter
		// KeepKeys is how long a key is kept; default 1 hour.
		KeepKeys time.Duration
		// KeepAnswers is how long a recorded response is kept; default 10
		// minutes.
		KeepAnswers time.Duration
		// MaxKeys is the maximum number of keys in all partitions of this
		// daemon; default 100,000.
		MaxKeys int
		// MaxAnswerBytes is the maximum total size of the recorded responses
		// of all partitions; default 16 MB.
		MaxAnswerBytes int
		// SnapshotRecords is the number of records after which a partition's
		// log is replaced by a snapshot; default 5,000.
		SnapshotRecords int
	}

	// FullError reports that the limit on the number of keys is reached.
	FullError struct {
		// MaxKeys is the limit.
		MaxKeys int
	}
)

const (
	// PartitionCount is the number of partitions of the key space.
	PartitionCount = 64
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256
	// MaxAnswerBytes is the maximum size of the body of a recorded response.
	MaxAnswerBytes = 64 << 10
)

func (e *FullError) Error() string {
	return fmt.Sprintf("all %d idempotency keys that this daemon can keep are taken", e.MaxKeys)
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string) guavascale.Partition {
	return partition(int(xxhash.Sum64String(key) % PartitionCount))
}

// AllPartitions returns all partitions of the key space.
func AllPartitions() []guavascale.Partition {
	all := make([]guavascale.Partition, PartitionCount)
	for i := range all {
		all[i] = partition(i)
	}
	return all
}

func partition(n int) guavascale.Partition {
	return guavascale.Partition("Claim-" + strconv.Itoa(n))
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = guavascale.WallClock{}
	}
	if o.Linger <= 0 {
		o.Linger = 200 * time.Millisecond
	}
	if o.KeepKeys <= 0 {
		o.KeepKeys = time.Hour
	}
	if o.KeepAnswers <= 0 {
		o.KeepAnswers = 10 * time.Minute
	}
	if o.MaxKeys <= 0 {
		o.MaxKeys = 100_000
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = 16 << 20
	}
	if o.SnapshotRecords <= 0 {
		o.SnapshotRecords = 5000
	}
	return o
}
