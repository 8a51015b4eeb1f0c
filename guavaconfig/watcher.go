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
	// the document, so that both rows always have the same row version. Polling
	// reads this row because the document may be several hundred KB.
	HeadKey = "ConfigHead"
	// PollInterval is the default interval between reads of the row.
	PollInterval = time.Second
	// StartAuthority is the default and maximum time after a read of the row
	// during which tasks may be started. No task may start in a zone later than
	// 3 s after it was taken out.
	StartAuthority = 2 * time.Second
)

type (
	// Watcher caches the newest configuration document known to a daemon. Table
	// is required; the other exported fields are optional. They must not be
	// modified after the first method call. A Watcher is safe for concurrent
	// use.
	Watcher struct {
		Table guavascale.Table
		// Clock defaults to WallClock.
		Clock guavascale.Clock
		// Poll is the interval between reads of the row; it defaults to
		// PollInterval.
		Poll time.Duration
		// Authority is how long after the beginning of a read tasks may be
		// started. StartAuthority is its default and its maximum.
		Authority time.Duration
		// Notify receives a value after a new document has been adopted. The
		// send does not block, so the channel should have a buffer of 1.
		Notify chan<- struct{}

		mu          sync.Mutex
		doc         guavascale.Config
		adoptedAt   time.Time
		confirmedAt time.Time
		// parsedRowVersion and parsedDoc cache the row that was parsed last.
		parsedRowVersion uint64
		parsedDoc        guavascale.Config
	}

	// RevertError reports that the document in the table is older than the one
	// that the Watcher has adopted.
	RevertError struct {
		// Held is the adopted version, Found the version in the table, or 0 if
		// the row does not exist.
		Held  uint64
		Found uint64
	}
)

// errHeadWithoutDocument occurs only if something other than a daemon modified
// the rows, since daemons write both in one commit.
var errHeadWithoutDocument = errors.New("the row " + HeadKey + " has no document of its version")

func (e *RevertError) Error() string {
	return fmt.Sprintf("the table holds configuration version %d, but version %d was in force already", e.Found, e.Held)
}

// Config returns the newest known document, or false if there is none yet.
func (w *Watcher) Config() (guavascale.Config, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc, w.doc.Version > 0
}

// Age returns the time since the beginning of the last read that confirmed the
// document, or false if there has been none.
func (w *Watcher) Age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.confirmedAt), !w.confirmedAt.IsZero()
}

// MayStart reports whether tasks may be started now under the document with the
// given version, and for how much longer. It must be called immediately before
// each start, and the NotAfter of a start order must not exceed the returned
// duration.
func (w *Watcher) MayStart(version uint64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() || version == 0 || version != w.doc.Version {
		return 0, false
	}
	left := w.authority() - w.now().Sub(w.confirmedAt)
	return max(left, 0), left > 0
}

// Accept adopts a document received from a peer if it is newer and valid. It
// does not extend the authority to start tasks; only a read of the row does.
func (w *Watcher) Accept(c guavascale.Config) bool {
	if Validate(c) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.adopt(c)
}

// Run polls the row until ctx is done. It passes errors to report, which may be
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

// Refresh reads the row once and adopts its document. If the row does not exist
// and no document is known, Refresh creates the initial one. It fails with
// UnavailableError, which wraps ValidationError if the row does not hold a
// valid document, or with RevertError.
func (w *Watcher) Refresh(ctx context.Context) error {
	// The authority counts from the beginning of the read, so a slower read
	// would be useless.
	ctx, cancel := context.WithTimeout(ctx, w.authority())
	defer cancel()
	_, _, err := w.read(ctx)
	return err
}

// read returns the row and its document.
func (w *Watcher) read(ctx context.Context) (guavascale.Row, guavascale.Config, error) {
	start := w.now()
	row, err := w.readCurrentRow(ctx)
	if err != nil {
		return row, guavascale.Config{}, err
	}
	c, err := w.parse(row)
	if err != nil {
		return row, c, &guavascale.UnavailableError{System: "table", Op: "read of " + Key, Cause: err}
	}
	return row, c, w.confirm(c, start)
}

// readCurrentRow reads the head and, if it has changed, the document's row. The
// returned row has no value if it is the one that was parsed last.
func (w *Watcher) readCurrentRow(ctx context.Context) (guavascale.Row, error) {
	head, err := w.get(ctx, HeadKey)
	headMissing := isNotFound(err)
	if err != nil && !headMissing {
		return head, err
	}
	if err == nil && w.isParsed(head.Version) {
		return guavascale.Row{Key: Key, Version: head.Version}, nil
	}
	row, err := w.get(ctx, Key)
	switch {
	case isNotFound(err) && headMissing:
		return w.create(ctx)
	case isNotFound(err), err == nil && row.Version < head.Version:
		err = &guavascale.UnavailableError{System: "table", Op: "read of " + Key, Cause: errHeadWithoutDocument}
	}
	return row, err
}

func (w *Watcher) isParsed(rowVersion uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rowVersion == w.parsedRowVersion
}

// parse returns the cached document if the row was the last one parsed. This is
// safe because row versions are never reused.
func (w *Watcher) parse(row guavascale.Row) (guavascale.Config, error) {
	w.mu.Lock()
	lastVersion, c := w.parsedRowVersion, w.parsedDoc
	w.mu.Unlock()
	if row.Version == lastVersion {
		return c, nil
	}
	c, err := ParseConfig(row.Value)
	if err != nil {
		return c, err
	}
	w.mu.Lock()
	w.parsedRowVersion, w.parsedDoc = row.Version, c
	w.mu.Unlock()
	return c, nil
}

// create writes the initial document and returns its row, or the row that
// another daemon created at the same time.
func (w *Watcher) create(ctx context.Context) (guavascale.Row, error) {
	if held, ok := w.Config(); ok {
		return guavascale.Row{}, &RevertError{Held: held.Version}
	}
	if _, err := w.commit(ctx, Initial(), 0); err != nil && !isConditionError(err) && !outcomeUnknown(err) {
		return guavascale.Row{}, err
	}
	row, err := w.get(ctx, Key)
	if isNotFound(err) {
		err = &guavascale.UnavailableError{System: "table", Op: "creation of " + Key, Cause: err}
	}
	return row, err
}

// confirm adopts c, which a read begun at start found in the table, and renews
// the authority to start tasks.
func (w *Watcher) confirm(c guavascale.Config, start time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adopt(c)
	// A newer document may have arrived from a peer during the read, which is
	// not a revert.
	if c.Version < w.doc.Version && !w.adoptedAt.After(start) {
		return &RevertError{Held: w.doc.Version, Found: c.Version}
	}
	if start.After(w.confirmedAt) {
		w.confirmedAt = start
	}
	return nil
}

// adopt replaces the document if c is newer and reports whether it did. The
// caller must hold w.mu.
func (w *Watcher) adopt(c guavascale.Config) bool {
	if c.Version <= w.doc.Version {
		return false
	}
	w.doc = c
	w.adoptedAt = w.now()
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
