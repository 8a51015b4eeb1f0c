// Package guavascale defines the data types, error types and interfaces that
// are shared by all parts of the scheduler.
//
// Workers run tasks under leases. The workers of a few racks form a shard, and
// each shard is a partition that is owned by exactly one daemon at a time.
// Ownership is numbered by epochs: every commit to the platform's table and
// every message to a worker carries the owner's epoch, so that former owners
// are fenced off. Batch jobs are split into tasks, and each task belongs to one
// shard. A service runs a fixed number of instances, which are tasks as well.
// Every daemon forwards callers' requests to the endpoints of service instances.
//
// The package imports only the standard library. The packages below it
// implement the interfaces and make decisions on plain data. They access the
// clock, random numbers, the network and the store only through the
// dependencies that are passed to them.
package guavascale

import (
	"context"
	"time"
)

type (
	// Clock provides the current time. Implementations are safe for concurrent
	// use.
	Clock interface {
		// Now returns the current time with a monotonic reading, so that
		// differences between two results are not affected by clock changes.
		Now() time.Time
	}

	// Table is the platform's transactional key-value table. Implementations
	// are safe for concurrent use.
	Table interface {
		// Get returns the row with the given key. It fails with NotFoundError
		// or UnavailableError.
		Get(ctx context.Context, key string) (Row, error)
		// Scan returns up to limit rows in key order whose keys start with
		// prefix and sort after the key after. It may return fewer although
		// there are more; only an empty result is the end. It fails with
		// UnavailableError.
		Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
		// Commit atomically applies all writes if all conditions hold, and
		// returns the new version of the written rows. It fails with
		// ConditionError if a condition did not hold and nothing was applied,
		// and with UnavailableError, whose field MayHaveApplied reports
		// whether the commit may still have taken effect.
		Commit(ctx context.Context, c Commit) (uint64, error)
	}

	// Objects is the platform's object store. Objects are immutable.
	// Implementations are safe for concurrent use.
	Objects interface {
		// Put stores an object. Storing the same bytes again succeeds. It
		// fails with ConditionError if the key holds different bytes, and with
		// UnavailableError.
		Put(ctx context.Context, key string, data []byte) error
		// Fetch returns an object. It fails with NotFoundError or
		// UnavailableError.
		Fetch(ctx context.Context, key string) ([]byte, error)
		// Remove deletes an object; it succeeds if the object does not exist.
		// It fails with UnavailableError.
		Remove(ctx context.Context, key string) error
	}

	// HostList is the platform's list of live and leaving workers, which lags
	// behind their actual state.
	HostList interface {
		// Workers returns all listed workers. It fails with UnavailableError.
		Workers(ctx context.Context) ([]Worker, error)
	}

	// Agent sends orders to the platform's agents on the workers.
	// Implementations are safe for concurrent use.
	Agent interface {
		// Send delivers orders to a worker and returns its report. It fails
		// with OrderError if the worker rejected the whole message, and with
		// UnavailableError, in which case the orders may have taken effect.
		Send(ctx context.Context, w Worker, o Orders) (Report, error)
	}

	// Claims ensures that at most one request holds an idempotency key.
	// Implementations are safe for concurrent use.
	Claims interface {
		// Claim durably claims a key before the request is sent. It fails
		// with AlreadyRunError if the key is taken, and with UnavailableError
		// if that cannot be determined; in both cases the request must not be
		// sent.
		Claim(ctx context.Context, key string) (ClaimToken, error)
		// Finish records the response to the request that holds the claim.
		Finish(ctx context.Context, t ClaimToken, a Answer) error
		// Release gives up the claim. It must only be called if the request is
		// known not to have run.
		Release(ctx context.Context, t ClaimToken) error
	}

	// WallClock is the Clock of the system. Its zero value is ready to use.
	WallClock struct{}
)

// Now returns the current time with a monotonic reading.
func (WallClock) Now() time.Time { return time.Now() }
