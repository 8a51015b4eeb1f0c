package guavaconfig

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"guavascale.example"
)

const (
	// submitAttempts bounds the commits of one change. A commit is retried if
	// its response was lost or the row changed after it was read.
	submitAttempts = 5
	submitBackoff  = 50 * time.Millisecond
)

// headRow is the value of the row ConfigHead.
type headRow struct {
	// Version is the version of the document.
	Version uint64
}

// Submit applies a change to the document in the table and returns the
// resulting document. AppliedVersion returns the version that the change
// produced.
//
// After a lost response, Submit reads the row again. If the document does not
// list the change, it commits the change again, which is safe because of the
// change's ID and because the commit is conditional on the row's version.
// Submit fails with the errors of Apply, and with UnavailableError, whose field
// MayHaveApplied reports whether the change may have taken effect.
func (w *Watcher) Submit(ctx context.Context, change Change) (guavascale.Config, error) {
	if err := change.Validate(); err != nil {
		return guavascale.Config{}, err
	}
	mayHaveApplied := false
	var last error
	for n := range submitAttempts {
		if n > 0 && sleep(ctx, submitBackoff<<n) != nil {
			break
		}
		next, err := w.submitOnce(ctx, change)
		if err == nil {
			return next, nil
		}
		last = err
		mayHaveApplied = mayHaveApplied || outcomeUnknown(err)
		if !isConditionError(err) && !isUnavailable(err) {
			return next, submitError(next, change, mayHaveApplied, err)
		}
		if isUnavailable(err) && !mayHaveApplied {
			return next, err
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return guavascale.Config{}, &guavascale.UnavailableError{
		System: "table", Op: "commit of " + Key, MayHaveApplied: mayHaveApplied, Cause: last,
	}
}

// submitError returns err, or an UnavailableError if an earlier commit of the
// change may have taken effect and c does not show whether it did. A conflict
// is conclusive unless c has advanced so far that it no longer lists the
// change.
func submitError(c guavascale.Config, change Change, mayHaveApplied bool, err error) error {
	var conflict *guavascale.ConflictError
	conclusive := errors.As(err, &conflict) && c.Version <= change.Based+KeptChanges
	if !mayHaveApplied || conclusive {
		return err
	}
	return &guavascale.UnavailableError{System: "table", Op: "commit of " + Key, MayHaveApplied: true, Cause: err}
}

// submitOnce reads the document, applies the change and commits the result.
func (w *Watcher) submitOnce(ctx context.Context, change Change) (guavascale.Config, error) {
	row, doc, err := w.read(ctx)
	if err != nil {
		return doc, err
	}
	next, err := Apply(doc, change)
	if err != nil || next.Version == doc.Version {
		return next, err
	}
	if _, err := w.commit(ctx, next, row.Version); err != nil {
		return doc, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adopt(next)
	return next, nil
}

// commit writes a document if the row still has the given version; version 0
// requires that the row does not exist.
func (w *Watcher) commit(ctx context.Context, c guavascale.Config, rowVersion uint64) (uint64, error) {
	value, err := EncodeConfig(c)
	if err != nil {
		return 0, err
	}
	head, err := json.Marshal(headRow{Version: c.Version})
	if err != nil {
		return 0, err
	}
	conditions := []guavascale.Condition{{Key: Key, Version: rowVersion}}
	if rowVersion == 0 {
		// A head without a document is a fault. Overwriting the head would hide
		// it.
		conditions = append(conditions, guavascale.Condition{Key: HeadKey})
	}
	version, err := w.Table.Commit(ctx, guavascale.Commit{
		ID:         NewID(),
		Conditions: conditions,
		Writes:     []guavascale.Write{{Key: Key, Value: value}, {Key: HeadKey, Value: head}},
	})
	if err != nil && !isConditionError(err) && !isUnavailable(err) {
		// After an error of any other type, the commit may have been applied.
		err = &guavascale.UnavailableError{System: "table", Op: "commit of " + Key, MayHaveApplied: true, Cause: err}
	}
	return version, err
}

func (w *Watcher) get(ctx context.Context, key string) (guavascale.Row, error) {
	row, err := w.Table.Get(ctx, key)
	if err != nil && !isNotFound(err) && !isUnavailable(err) {
		err = &guavascale.UnavailableError{System: "table", Op: "read of " + key, Cause: err}
	}
	return row, err
}

// NewID returns a random unique ID for a change or a commit.
func NewID() string { return rand.Text() }

func isNotFound(err error) bool {
	var m *guavascale.NotFoundError
	return errors.As(err, &m)
}

func isConditionError(err error) bool {
	var c *guavascale.ConditionError
	return errors.As(err, &c)
}

func isUnavailable(err error) bool {
	var u *guavascale.UnavailableError
	return errors.As(err, &u)
}

// outcomeUnknown reports whether a commit that failed with err may have been
// applied.
func outcomeUnknown(err error) bool {
	var u *guavascale.UnavailableError
	return errors.As(err, &u) && u.MayHaveApplied
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
