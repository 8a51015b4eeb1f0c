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
	// submitAttempts bounds the commits of one change. A further attempt
	// follows a lost answer or a row that changed in between.
	submitAttempts = 5
	submitBackoff  = 50 * time.Millisecond
)

// headRow is the content of the row ConfigHead.
type headRow struct {
	// Version is that of the document.
	Version uint64
}

// Submit applies a change to the document in the table and returns the
// document that contains it. The version that the change reached is
// Applied(document, change.ID).
//
// A lost answer is settled by reading the row back: the document lists the
// change, or the change is committed again, which its ID and the row's version
// make harmless. Submit fails as Apply does, and with UnavailableError, whose
// field MayHaveApplied tells whether the change may have taken effect.
func (w *Watcher) Submit(ctx context.Context, change Change) (guavascale.Config, error) {
	if err := change.Validate(); err != nil {
		return guavascale.Config{}, err
	}
	maybe := false
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
		maybe = maybe || uncertain(err)
		if !lostRace(err) && !unavailable(err) {
			return next, settled(next, change, maybe, err)
		}
		if unavailable(err) && !maybe {
			return next, err
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return guavascale.Config{}, &guavascale.UnavailableError{
		System: "table", Op: "commit of " + Key, MayHaveApplied: maybe, Cause: last,
	}
}

// settled returns err, or an unknown outcome when an earlier commit of the
// change may have taken effect and c does not tell. A conflict tells, unless c
// is too far ahead to still list the change.
func settled(c guavascale.Config, change Change, maybe bool, err error) error {
	var conflict *guavascale.ConflictError
	tells := errors.As(err, &conflict) && c.Version <= change.Based+KeptChanges
	if !maybe || tells {
		return err
	}
	return &guavascale.UnavailableError{System: "table", Op: "commit of " + Key, MayHaveApplied: true, Cause: err}
}

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

// commit writes a document if the row is still at a version; 0 means that it
// must not exist.
func (w *Watcher) commit(ctx context.Context, c guavascale.Config, at uint64) (uint64, error) {
	value, err := EncodeConfig(c)
	if err != nil {
		return 0, err
	}
	head, err := json.Marshal(headRow{Version: c.Version})
	if err != nil {
		return 0, err
	}
	conditions := []guavascale.Condition{{Key: Key, Version: at}}
	if at == 0 {
		// A head without a document is a fault that must not be hidden.
		conditions = append(conditions, guavascale.Condition{Key: HeadKey})
	}
	version, err := w.Table.Commit(ctx, guavascale.Commit{
		ID:         NewID(),
		Conditions: conditions,
		Writes:     []guavascale.Write{{Key: Key, Value: value}, {Key: HeadKey, Value: head}},
	})
	if err != nil && !lostRace(err) && !unavailable(err) {
		// An error of another type does not prove that nothing was written.
		err = &guavascale.UnavailableError{System: "table", Op: "commit of " + Key, MayHaveApplied: true, Cause: err}
	}
	return version, err
}

func (w *Watcher) get(ctx context.Context, key string) (guavascale.Row, error) {
	row, err := w.Table.Get(ctx, key)
	if err != nil && !missing(err) && !unavailable(err) {
		err = &guavascale.UnavailableError{System: "table", Op: "read of " + key, Cause: err}
	}
	return row, err
}

// NewID returns a random ID for a change or a commit.
func NewID() string { return rand.Text() }

func missing(err error) bool {
	var m *guavascale.NotFoundError
	return errors.As(err, &m)
}

func lostRace(err error) bool {
	var c *guavascale.ConditionError
	return errors.As(err, &c)
}

func unavailable(err error) bool {
	var u *guavascale.UnavailableError
	return errors.As(err, &u)
}

// uncertain reports whether a commit that failed with err may have applied.
func uncertain(err error) bool {
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
