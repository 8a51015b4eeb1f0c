// Package guavalog implements the write-ahead log of a partition.
//
// The owner of a partition appends records. Records that arrive while a commit is
// in progress, or within the linger time, are batched. A batch is one row
// Log/<partition>/<sequence>. Each commit is conditional on the owner row at the
// owner's epoch and on the absence of the row that it writes, so a former owner
// cannot append and no sequence number is written twice. At most one commit per
// partition is in progress.
//
// An append may carry conditions and writes on other rows, which are applied in
// the same commit. If a condition fails, only that append fails. The other appends
// of the batch are committed without it.
//
// If the response to a commit is lost, the row is read back, and its write ID
// determines whether the commit took effect. Nothing else is committed until this
// is known. If the lease expires in the meantime, the waiting appends fail with
// LeaseError, and the log rejects appends until a new Log is created and recovered,
// because the state in memory may lack records that the log contains.
//
// A snapshot replaces the records up to a sequence number. Its object is written
// first, then the row Snap/<partition>, and then the rows and the object that it
// replaces are removed. A crash between the first two steps leaves an unreferenced
// object.
package guavalog

import (
	"context"
	"encoding/json"
	"time"

	"guavascale.example"
	"guavascale.example/guavalease"
)

type (
	// Options holds the dependencies and limits of a log.
	Options struct {
		Partition guavascale.Partition
		Table     guavascale.Table
		Objects   guavascale.Objects
		// CheckLease returns the current ownership lease of the partition, or a
		// LeaseError. It is usually guavalease.Driver.Check.
		CheckLease func(guavascale.Partition) (guavalease.Lease, error)
		// Linger is how long a batch waits for more records before it is
		// committed; 0 commits at once.
		Linger time.Duration
		// CallTimeout limits each store call; default 2 s.
		CallTimeout time.Duration
		// Limiter limits the rate of commits, including urgent ones, across
		// all logs that share it; nil means no limit. Records that arrive
		// during the wait join the batch. The limit keeps the logs of a daemon
		// within the request budget of the store.
		Limiter Limiter
		// MaxBatch limits the bytes of the records in one row; default 256 KB.
		MaxBatch int
		// MaxQueue limits the bytes of the queued records; default 8 MB.
		MaxQueue int
	}

	// Limiter limits a rate; golang.org/x/time/rate.Limiter implements it.
	Limiter interface {
		// Wait blocks until the next event is allowed.
		Wait(ctx context.Context) error
	}

	// Entry is one append.
	Entry struct {
		// Records are JSON values. They are written to the same row.
		Records []json.RawMessage
		// Conditions and Writes are added to the commit.
		Conditions []guavascale.Condition
		Writes     []guavascale.Write
		// Urgent commits the entry without waiting for the linger time.
		Urgent bool
		// Done is called once with the result, on a goroutine of the log. It
		// must not block; code that runs on a control goroutine should post
		// the result to that goroutine.
		Done func(Result)
	}

	// Result is the outcome of an append.
	Result struct {
		// Sequence is the sequence number of the row with the records.
		Sequence uint64
		// Err is nil, a ConditionError for one of the entry's conditions, a
		// LeaseError, a ValidationError if a record is not valid JSON, or an
		// UnavailableError if the queue is full.
		Err error
		// MayHaveApplied is set when the records may be in the log despite
		// Err.
		MayHaveApplied bool
	}

	// Batch is one row of the log.
	Batch struct {
		Sequence uint64
		Epoch    uint64
		Records  []json.RawMessage
	}

	// Recovered is the content of a log as read by Recover.
	Recovered struct {
		// Snapshot is the content of the last snapshot; nil if there is none.
		Snapshot []byte
		// Sequence is the sequence number of the snapshot; 0 if there is none.
		Sequence uint64
		// Batches holds the rows after the snapshot in order of sequence
		// number.
		Batches []Batch
	}

	// CorruptError reports that a row of a log is missing or cannot be decoded.
	CorruptError struct {
		Key    string
		Reason string
	}

	// logRow is the content of a row Log/<partition>/<sequence>.
	logRow struct {
		Epoch   uint64
		Records []json.RawMessage
	}

	// snapRow is the content of a row Snap/<partition>.
	snapRow struct {
		Sequence uint64
		Object   string
		// Previous is the object that Object replaces. A new owner removes it
		// too, in case the previous owner stopped before removing it.
		Previous string
	}
)

const (
	// recoverPageRows limits the rows per read during recovery, and trimPageRows the
	// rows per commit that removes rows.
	recoverPageRows = 200
	trimPageRows    = 64
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

func (e *CorruptError) Error() string { return "row " + e.Key + ": " + e.Reason }

func (o Options) withDefaults() Options {
	if o.CallTimeout <= 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = 256 << 10
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = 8 << 20
	}
	return o
}
