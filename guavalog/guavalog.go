// Package guavalog holds the log of one partition.
//
// The model: the owner of a partition appends records. Records that arrive
// while a commit is under way, or within the linger time, form one batch, and
// a batch is one row Log/<partition>/<sequence>. Each commit is conditional on
// the owner row at the owner's epoch and on the absence of the row it writes,
// so a former owner cannot append and no sequence number is written twice.
// One commit is under way per partition.
//
// An append may carry conditions and writes on other rows, which are applied in
// the same commit. When they fail, only that append fails; the others of the
// batch are committed without it.
//
// When the answer to a commit is lost, the row is read back: its write ID tells
// whether the commit took effect. Until that is known nothing else is
// committed. When the right to act has lapsed meanwhile, the waiting appends
// fail with LeaseError, and the log stays closed until a new one is opened and
// recovered, because the state in memory may lack what the log holds.
//
// A snapshot replaces the records up to a sequence number. Its object is
// written first, then the row Snap/<partition>, and then the rows and the
// object that it replaces are removed. A crash between the first two steps
// leaves an object that nothing refers to.
package guavalog

import (
	"context"
	"encoding/json"
	"time"

	"guavascale.example"
	"guavascale.example/guavalease"
)

type (
	// Options holds what a log needs.
	Options struct {
		Partition guavascale.Partition
		Table     guavascale.Table
		Objects   guavascale.Objects
		// Right returns the right to act for the partition now, or a
		// LeaseError; it is usually guavalease.Driver.Check.
		Right func(guavascale.Partition) (guavalease.Lease, error)
		// Linger is how long a batch waits for more records before it is
		// committed; 0 commits at once.
		Linger time.Duration
		// CallTimeout bounds each store call; default 2 s.
		CallTimeout time.Duration
		// Limiter bounds the commits that the logs which share it start, urgent
		// ones included; nil for no bound. Records that arrive meanwhile join
		// the batch. It keeps a daemon's logs within the store's budget.
		Limiter Limiter
		// MaxBatch bounds the bytes of the records of one row; default 256 KB.
		MaxBatch int
		// MaxQueue bounds the bytes of the records that wait; default 8 MB.
		MaxQueue int
	}

	// Limiter bounds a rate; golang.org/x/time/rate.Limiter implements it.
	Limiter interface {
		// Wait blocks until the next event is allowed.
		Wait(ctx context.Context) error
	}

	// Entry is one append.
	Entry struct {
		// Records are JSON values. They stay together in one row.
		Records []json.RawMessage
		// Conditions and Writes join the commit.
		Conditions []guavascale.Condition
		Writes     []guavascale.Write
		// Urgent commits without waiting for the linger time.
		Urgent bool
		// Done is called once with the outcome, on a goroutine of the log. It
		// must not block; a control goroutine has the result posted to it.
		Done func(Result)
	}

	// Result is the outcome of an append.
	Result struct {
		// Sequence is the sequence number of the row with the records.
		Sequence uint64
		// Err is nil, a ConditionError of the entry's own conditions, a
		// LeaseError, or an UnavailableError when the queue is full.
		Err error
		// MayHaveApplied is set when the records may be in the log all the
		// same.
		MayHaveApplied bool
	}

	// Batch is one row of the log.
	Batch struct {
		Sequence uint64
		Epoch    uint64
		Records  []json.RawMessage
	}

	// Recovered is the content of a log.
	Recovered struct {
		// Snapshot is the content of the last snapshot; nil when there is
		// none.
		Snapshot []byte
		// Sequence is that of the snapshot; 0 when there is none.
		Sequence uint64
		// Batches holds the rows after the snapshot in order.
		Batches []Batch
	}

	// CorruptError reports that rows of a log are missing or do not decode.
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
		// Previous is the object that this one replaces. A new owner removes
		// it again in case the old one did not get to it.
		Previous string
	}
)

const (
	// recoverPage and trimPage bound the rows of a read and of a commit that
	// removes rows.
	recoverPage = 200
	trimPage    = 64
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
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
