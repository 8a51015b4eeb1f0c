package guavalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavalease"
)

// Log is the log of one partition during one ownership period. Its methods are safe
// for concurrent use. Recover must succeed before the first append.
type Log struct {
	opt Options

	mu sync.Mutex
	// lease is the ownership lease under which the log was recovered. Every
	// commit is conditional on its owner row. It never changes after recovered
	// is set, and commits, which read it without mu, begin after that.
	lease     guavalease.Lease
	recovered bool
	// reopenErr is set once the log must be opened again.
	reopenErr error
	// nextSequence is the sequence number of the next row.
	nextSequence uint64
	// queue holds the waiting entries and queuedBytes their total size.
	queue       []*Entry
	queuedBytes int
	urgent      bool
	// committing is set while a goroutine commits batches; there is at most one
	// per log.
	committing  bool
	lingerTimer *time.Timer
	// snapshotMu is held while a snapshot is written, so that at most one is in
	// progress.
	snapshotMu sync.Mutex
}

var (
	errQueueFull = errors.New("the queue of the log is full")
	errRecovered = errors.New("the log was recovered before")
)

// New returns a log. Recover must be called before it accepts appends.
func New(opt Options) *Log { return &Log{opt: opt.withDefaults()} }

// Epoch returns the epoch at which the log was recovered.
func (l *Log) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Epoch
}

// Err returns the reason why the log must be opened again, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reopenErr
}

// Append queues an entry for the next batch. It does not block; the result is
// passed to e.Done.
func (l *Log) Append(e Entry) {
	l.mu.Lock()
	err := l.checkAppend(e)
	if err == nil {
		l.queue = append(l.queue, &e)
		l.queuedBytes += e.size()
		l.urgent = l.urgent || e.Urgent
		l.schedule()
	}
	l.mu.Unlock()
	if err != nil {
		e.reportResult(Result{Err: err})
	}
}

// checkAppend returns the reason why an entry cannot be queued, or nil. l.mu must
// be held.
func (l *Log) checkAppend(e Entry) error {
	switch {
	case !e.valid():
		return &guavascale.ValidationError{Field: "Records", Value: "invalid JSON", Allowed: "JSON values"}
	case l.reopenErr != nil:
		return l.reopenErr
	case !l.recovered:
		return &guavascale.LeaseError{Partition: l.opt.Partition, Reason: "the log is not recovered"}
	case l.queuedBytes+e.size() > l.opt.MaxQueue:
		return &guavascale.UnavailableError{System: "log", Op: "Append", Cause: errQueueFull}
	default:
		return nil
	}
}

// schedule starts the committing goroutine immediately or after the linger time.
// l.mu must be held.
func (l *Log) schedule() {
	if l.committing || len(l.queue) == 0 {
		return
	}
	if l.urgent || l.opt.Linger <= 0 || l.queuedBytes >= l.opt.MaxBatch {
		l.committing = true
		go l.commitBatch()
		return
	}
	if l.lingerTimer == nil {
		l.lingerTimer = time.AfterFunc(l.opt.Linger, l.lingerExpired)
	}
}

func (l *Log) lingerExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingerTimer = nil
	if l.committing || len(l.queue) == 0 {
		return
	}
	l.committing = true
	go l.commitBatch()
}

// commitBatch fills and commits one batch, reports the results and schedules the
// next batch.
func (l *Log) commitBatch() {
	if l.opt.Limiter != nil {
		// The context has no deadline, so Wait fails only for a limiter that
		// allows no events at all. The commit then proceeds without waiting.
		_ = l.opt.Limiter.Wait(context.Background())
	}
	b := &batch{log: l}
	l.mu.Lock()
	b.fill(l)
	l.mu.Unlock()
	b.commit()
	if b.leaseErr != nil {
		l.mu.Lock()
		b.failQueue(l)
		l.mu.Unlock()
	}
	// Results are reported before the next batch starts, so that they arrive in
	// log order.
	b.reportResults()
	l.mu.Lock()
	l.committing = false
	if b.written {
		l.nextSequence++
	}
	l.schedule()
	l.mu.Unlock()
}

// callContext returns a context that limits a store call to CallTimeout.
func (l *Log) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), l.opt.CallTimeout)
}

// checkOwnership returns a LeaseError if the lease has expired or is no longer the
// one under which the log was recovered.
func (l *Log) checkOwnership() error {
	r, err := l.opt.CheckLease(l.opt.Partition)
	if err != nil {
		return err
	}
	if r.Epoch != l.lease.Epoch || r.Owner != l.lease.Owner {
		return &guavascale.LeaseError{Partition: l.opt.Partition, Reason: "the owner row changed"}
	}
	return nil
}

func (e Entry) size() int {
	n := 0
	for _, r := range e.Records {
		n += len(r)
	}
	return n
}

func (e Entry) reportResult(r Result) {
	if e.Done != nil {
		e.Done(r)
	}
}

func (e Entry) valid() bool {
	for _, r := range e.Records {
		if !json.Valid(r) {
			return false
		}
	}
	return true
}

// rowValue encodes the records of a row. Encoding cannot fail, because Append has
// validated the records.
func rowValue(epoch uint64, entries []*Entry) []byte {
	row := logRow{Epoch: epoch, Records: []json.RawMessage{}}
	for _, e := range entries {
		row.Records = append(row.Records, e.Records...)
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode log row: %v", err))
	}
	return value
}

// sleepBackoff doubles the backoff within its limits and sleeps for it with jitter.
func sleepBackoff(backoff *time.Duration) {
	*backoff = min(max(2**backoff, minBackoff), maxBackoff)
	time.Sleep(*backoff/2 + rand.N(*backoff/2))
}
