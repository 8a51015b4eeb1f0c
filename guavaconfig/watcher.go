package guavaconfig

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"guavascale.example"
)

const (
	// Key is the key of the configuration document's row.
	Key = "Config"
	// HeadKey is the key of a small row that is written in the same commit as
	// the document, so both rows always have the same row version. Polling
	// reads it in place of the document, which may be several hundred KB.
	HeadKey = "ConfigHead"
	// PollInterval is the default time between reads of the row.
	PollInterval = time.Second
	// StartAuthority is the default and longest time that a read of the row
	// allows task starts. A zone taken out must see no start after 3 s.
	StartAuthority = 2 * time.Second
)

type (
	// Watcher holds the newest configuration document that a daemon knows.
	// Table is required; the other fields may be zero. The fields must not
	// change after the first call. It is safe for concurrent use.
	Watcher struct {
		Table guavascale.Table
		// Clock defaults to WallClock.
		Clock guavascale.Clock
		// Poll is the time between reads of the row, default PollInterval.
		Poll time.Duration
		// Authority is how long a read allows starts, counted from its
		// start. Default and upper bound are StartAuthority.
		Authority time.Duration
		// Notify receives a value, without blocking, after a new document was
		// adopted. It should have a buffer of 1.
		Notify chan<- struct{}

		mu        sync.Mutex
		doc       guavascale.Config
		adopted   time.Time
		confirmed time.Time
		// rowVersion and rowDoc are the last row that was parsed.
		rowVersion uint64
		rowDoc     guavascale.Config
	}

	// RevertError reports that the table holds an older document than one
	// that was already in force.
	RevertError struct {
		Held  uint64
		Found uint64
	}
)

// errHeadOnly means that somebody else than a daemon changed the rows.
var errHeadOnly = errors.New("the row " + HeadKey + " has no document of its version")

func (e *RevertError) Error() string {
	return fmt.Sprintf("the table holds configuration version %d, but version %d was in force already", e.Found, e.Held)
}

// Config returns the newest known document, and false while there is none.
func (w *Watcher) Config() (guavascale.Config, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc, w.doc.Version > 0
}

// Age returns the time since the start of the last read that confirmed the
// document, and false when there was none.
func (w *Watcher) Age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.confirmed), !w.confirmed.IsZero()
}

// MayStart reports whether tasks may be started now under the document of a
// version. It is called immediately before each start. The returned duration
// is what remains of the authority; the NotAfter of a start order must not
// exceed it.
func (w *Watcher) MayStart(version uint64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmed.IsZero() || version == 0 || version != w.doc.Version {
		return 0, false
	}
	left := w.authority() - w.now().Sub(w.confirmed)
	return max(left, 0), left > 0
}

// Accept adopts a peer's document if it is newer and valid. It does not extend
// the authority to start tasks, which only a read of the row does.
func (w *Watcher) Accept(c guavascale.Config) bool {
	if Validate(c) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.adopt(c)
}

// Run polls the row until ctx ends. Errors are passed to report, which may be
// nil.
func (w *Watcher) Run(ctx context.Context, report func(error)) {
	interval := w.Poll
	if interval <= 0 {
		interval = PollInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := w.Refresh(ctx); err != nil && ctx.Err() == nil && report != nil {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Refresh reads the row once and adopts what it holds. When the row does not
// exist and never did, it creates the first document. It fails with
// UnavailableError, which wraps ValidationError when the row is not a valid
// document, or with RevertError.
func (w *Watcher) Refresh(ctx context.Context) error {
	// A read that takes longer than the authority lasts confirms nothing.
	ctx, cancel := context.WithTimeout(ctx, w.authority())
	defer cancel()
	_, _, err := w.read(ctx)
	return err
}

// read returns the row and its document.
func (w *Watcher) read(ctx context.Context) (guavascale.Row, guavascale.Config, error) {
	start := w.now()
	row, err := w.current(ctx)
	if err != nil {
		return row, guavascale.Config{}, err
	}
	c, err := w.parse(row)
	if err != nil {
		return row, c, &guavascale.UnavailableError{System: "table", Op: "read of " + Key, Cause: err}
	}
	return row, c, w.confirm(c, start)
}

// current reads the head, and the document's row when it changed. The returned
// row has no value when it is the one that was parsed last.
func (w *Watcher) current(ctx context.Context) (guavascale.Row, error) {
	head, err := w.get(ctx, HeadKey)
	none := missing(err)
	if err != nil && !none {
		return head, err
	}
	if err == nil && w.parsed(head.Version) {
		return guavascale.Row{Key: Key, Version: head.Version}, nil
	}
	row, err := w.get(ctx, Key)
	switch {
	case missing(err) && none:
		// Neither row exists.
		return w.create(ctx)
	case missing(err), err == nil && row.Version < head.Version:
		err = &guavascale.UnavailableError{System: "table", Op: "read of " + Key, Cause: errHeadOnly}
	}
	return row, err
}

func (w *Watcher) parsed(rowVersion uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rowVersion == w.rowVersion
}

// parse skips the work for a row that was parsed before. Row versions never
// repeat.
func (w *Watcher) parse(row guavascale.Row) (guavascale.Config, error) {
	w.mu.Lock()
	last, c := w.rowVersion, w.rowDoc
	w.mu.Unlock()
	if row.Version == last {
		return c, nil
	}
	c, err := ParseConfig(row.Value)
	if err != nil {
		return c, err
	}
	w.mu.Lock()
	w.rowVersion, w.rowDoc = row.Version, c
	w.mu.Unlock()
	return c, nil
}

func (w *Watcher) create(ctx context.Context) (guavascale.Row, error) {
	if held, ok := w.Config(); ok {
		return guavascale.Row{}, &RevertError{Held: held.Version}
	}
	if _, err := w.commit(ctx, Initial(), 0); err != nil && !lostRace(err) && !uncertain(err) {
		return guavascale.Row{}, err
	}
	row, err := w.get(ctx, Key)
	if missing(err) {
		err = &guavascale.UnavailableError{System: "table", Op: "creation of " + Key, Cause: err}
	}
	return row, err
}

// confirm records that a read begun at start found c.
func (w *Watcher) confirm(c guavascale.Config, start time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adopt(c)
	// A newer document that came from a peer during the read is no fault.
	if c.Version < w.doc.Version && !w.adopted.After(start) {
		return &RevertError{Held: w.doc.Version, Found: c.Version}
	}
	if start.After(w.confirmed) {
		w.confirmed = start
	}
	return nil
}

// adopt requires mu.
func (w *Watcher) adopt(c guavascale.Config) bool {
	if c.Version <= w.doc.Version {
		return false
	}
	w.doc = c
	w.adopted = w.now()
	if w.Notify != nil {
		select {
		case w.Notify <- struct{}{}:
		default:
		}
	}
	return true
}

func (w *Watcher) authority() time.Duration {
	if w.Authority <= 0 || w.Authority > StartAuthority {
		return StartAuthority
	}
	return w.Authority
}

func (w *Watcher) now() time.Time {
	if w.Clock == nil {
		return guavascale.WallClock{}.Now()
	}
	return w.Clock.Now()
}
