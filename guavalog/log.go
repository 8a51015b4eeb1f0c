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

// Log is the log of one partition under one ownership. Its methods are safe for
// concurrent use. Recover must succeed before the first append.
type Log struct {
	opt Options

	mu sync.Mutex
	// right is the right under which the log was recovered; every commit uses
	// its condition.
	right     guavalease.Lease
	recovered bool
	// broken is set once the log must be opened again.
	broken error
	// next is the sequence number of the next row.
	next uint64
	// queue holds the waiting entries, and queued their bytes.
	queue  []*Entry
	queued int
	urgent bool
	// running is set while a goroutine commits batches; there is at most one
	// per log.
	running bool
	linger  *time.Timer
	// snapshot is held during a snapshot, so that only one is under way.
	snapshot sync.Mutex
}

var errQueueFull = errors.New("the queue of the log is full")

// New returns a log that is not recovered yet.
func New(opt Options) *Log { return &Log{opt: opt.withDefaults()} }

// Epoch returns the epoch at which the log was recovered.
func (l *Log) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right.Epoch
}

// Err returns nil, or the reason for which the log must be opened again.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// Append adds an entry to the next batch. It does not block; the outcome goes
// to e.Done.
func (l *Log) Append(e Entry) {
	l.mu.Lock()
	err := l.refuse(e)
	if err == nil {
		l.queue = append(l.queue, &e)
		l.queued += e.size()
		l.urgent = l.urgent || e.Urgent
		l.schedule()
	}
	l.mu.Unlock()
	if err != nil {
		e.done(Result{Err: err})
	}
}

func (l *Log) refuse(e Entry) error {
	switch {
	case !e.valid():
		return &guavascale.ValidationError{Field: "Records", Value: "invalid JSON", Allowed: "JSON values"}
	case l.broken != nil:
		return l.broken
	case !l.recovered:
		return &guavascale.LeaseError{Partition: l.opt.Partition, Reason: "the log is not recovered"}
	case l.queued+e.size() > l.opt.MaxQueue:
		return &guavascale.UnavailableError{System: "log", Op: "Append", Cause: errQueueFull}
	default:
		return nil
	}
}

// schedule starts the committing goroutine, at once or after the linger time.
// l.mu is held.
func (l *Log) schedule() {
	if l.running || len(l.queue) == 0 {
		return
	}
	if l.urgent || l.opt.Linger <= 0 || l.queued >= l.opt.MaxBatch {
		l.running = true
		go l.run()
		return
	}
	if l.linger == nil {
		l.linger = time.AfterFunc(l.opt.Linger, l.lingered)
	}
}

func (l *Log) lingered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linger = nil
	if l.running || len(l.queue) == 0 {
		return
	}
	l.running = true
	go l.run()
}

// run commits one batch and schedules the next.
func (l *Log) run() {
	if l.opt.Limiter != nil {
		// Without a deadline the wait fails for a limiter that allows nothing;
		// the commit then goes ahead.
		_ = l.opt.Limiter.Wait(context.Background())
	}
	b := &batch{log: l}
	l.mu.Lock()
	b.take(l)
	l.mu.Unlock()
	b.commit()
	if b.lease != nil {
		l.mu.Lock()
		b.abandon(l)
		l.mu.Unlock()
	}
	// Outcomes are reported before the next batch starts, so that callers get
	// them in the order of the log.
	b.report()
	l.mu.Lock()
	l.running = false
	if b.written {
		l.next++
	}
	l.schedule()
	l.mu.Unlock()
}

func (l *Log) call() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), l.opt.CallTimeout)
}

// check returns a LeaseError when the right has lapsed or is no longer the one
// under which the log was recovered.
func (l *Log) check() error {
	r, err := l.opt.Right(l.opt.Partition)
	if err != nil {
		return err
	}
	if r.Epoch != l.right.Epoch || r.Owner != l.right.Owner {
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

func (e Entry) done(r Result) {
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

// rowValue cannot fail, because Append checked the records.
func rowValue(epoch uint64, entries []*Entry) []byte {
	row := logRow{Epoch: epoch, Records: []json.RawMessage{}}
	for _, e := range entries {
		row.Records = append(row.Records, e.Records...)
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("checked records must encode: %v", err))
	}
	return value
}

// wait sleeps for a jittered backoff that doubles.
func wait(backoff *time.Duration) {
	*backoff = min(max(2**backoff, minBackoff), maxBackoff)
	time.Sleep(*backoff/2 + rand.N(*backoff/2))
}
