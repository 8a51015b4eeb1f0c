package guavaconfig

import (
	"context"
	"errors"
	"sync"

	"guavascale.example"
)

// memTable is an in-memory table that simulates faults: an outage while down is
// set, the loss of the responses to the next loseResponses commits, which are
// applied, and the loss of the next dropCommits commits, which are not.
type memTable struct {
	guavascale.Table
	mu                         sync.Mutex
	rows                       map[string]guavascale.Row
	version                    uint64
	down                       bool
	loseResponses, dropCommits int
	// beforeCommit is called at the start of each commit.
	beforeCommit func()
}

var errDown = errors.New("down")

func (t *memTable) Get(_ context.Context, key string) (guavascale.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return guavascale.Row{}, &guavascale.UnavailableError{System: "table", Op: "Get", Cause: errDown}
	}
	row, ok := t.rows[key]
	if !ok {
		return row, &guavascale.NotFoundError{Kind: "row", Name: key}
	}
	return row, nil
}

func (t *memTable) Commit(_ context.Context, c guavascale.Commit) (uint64, error) {
	if t.beforeCommit != nil {
		t.beforeCommit()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := &guavascale.UnavailableError{System: "table", Op: "Commit", MayHaveApplied: true, Cause: errDown}
	if t.dropCommits > 0 {
		t.dropCommits--
		return 0, lost
	}
	if t.down {
		return 0, &guavascale.UnavailableError{System: "table", Op: "Commit", Cause: errDown}
	}
	for _, cond := range c.Conditions {
		if have := t.rows[cond.Key].Version; have != cond.Version {
			return 0, &guavascale.ConditionError{Key: cond.Key, Want: cond.Version, Have: have}
		}
	}
	t.version++
	if t.rows == nil {
		t.rows = map[string]guavascale.Row{}
	}
	for _, w := range c.Writes {
		t.rows[w.Key] = guavascale.Row{Key: w.Key, Version: t.version, WriteID: c.ID, Value: w.Value}
	}
	if t.loseResponses > 0 {
		t.loseResponses--
		return 0, lost
	}
	return t.version, nil
}

func (t *memTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}
