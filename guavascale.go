// Package guavascale holds the data types, error types and interfaces that all
// parts of the scheduler share.
//
// The model: workers run tasks under leases. Workers of a few racks form a
// shard, and each shard is a partition that exactly one daemon owns at a time.
// The owner holds the partition at an epoch; every commit to the platform's
// table and every message to a worker carries that epoch, so that a former
// owner cannot act. Batch jobs are split into tasks, and each task belongs to
// one shard. Services are kept at a number of instances, which are tasks too.
// All daemons forward callers' requests to the endpoints of service instances.
//
// The package imports the standard library only. Packages below it implement
// the interfaces and decide on plain data; none of them reads a clock, a random
// source, the network or the store other than through what it is given.
package guavascale

import (
	"context"
	"time"
)

type (
	// Clock tells time. Implementations are safe for concurrent use.
	Clock interface {
		// Now returns the current time; differences of two results are
		// monotonic.
		Now() time.Time
	}

	// Table is the platform's transactional table service. Implementations
	// are safe for concurrent use.
	Table interface {
		// Get returns the row of a key. It fails with NotFoundError or
		// UnavailableError.
		Get(ctx context.Context, key string) (Row, error)
		// Scan returns at most limit rows whose keys start with prefix and
		// are greater than after, in key order. It fails with
		// UnavailableError.
		Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
		// Commit checks all conditions and applies all writes, or none. It
		// returns the version that the written rows have from then on. It
		// fails with ConditionError when nothing was applied, and with
		// UnavailableError, whose field MayHaveApplied tells whether the
		// commit may have taken effect all the same.
		Commit(ctx context.Context, c Commit) (uint64, error)
	}

	// Objects is the platform's object store. Objects are immutable once
	// written. Implementations are safe for concurrent use.
	Objects interface {
		// Put stores an object. Storing equal bytes again succeeds. It fails
		// with ConditionError when the key holds other bytes, and with
		// UnavailableError.
		Put(ctx context.Context, key string, data []byte) error
		// Fetch returns an object. It fails with NotFoundError or
		// UnavailableError.
		Fetch(ctx context.Context, key string) ([]byte, error)
		// Remove deletes an object; a missing one is no error. It fails with
		// UnavailableError.
		Remove(ctx context.Context, key string) error
	}

	// HostList is the platform's lagging list of live and leaving workers.
	HostList interface {
		// Workers returns all workers of the list. It fails with
		// UnavailableError.
		Workers(ctx context.Context) ([]Worker, error)
	}

	// Agent reaches the platform's agents on the workers. Implementations are
	// safe for concurrent use.
	Agent interface {
		// Send delivers orders to a worker and returns its report. It fails
		// with OrderError when the worker rejected the whole message, and
		// with UnavailableError, after which the orders may have taken effect.
		Send(ctx context.Context, w Worker, o Orders) (Report, error)
	}

	// Claims grants each idempotency key to at most one request.
	// Implementations are safe for concurrent use.
	Claims interface {
		// Claim durably claims a key before the request is sent. It fails
		// with AlreadyRunError when the key is taken, and with
		// UnavailableError when it cannot be told; then nothing may be sent.
		Claim(ctx context.Context, key string) (ClaimToken, error)
		// Finish records the answer of the request that holds the claim.
		Finish(ctx context.Context, t ClaimToken, a Answer) error
		// Release gives the claim back; the request certainly did not run.
		Release(ctx context.Context, t ClaimToken) error
	}

	// WallClock is the system's clock. Its zero value works.
	WallClock struct{}
)

// Now returns the current time with a monotonic reading.
func (WallClock) Now() time.Time { return time.Now() }
