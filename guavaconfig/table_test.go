package guavaconfig

import (
	"context"
	"errors"
	"sync"

	"guavascale.example"
)

// memTable is a table in memory. It is down, loses the answers of the next
// lose commits after they took effect, and drops the next drop commits.
type memTable struct {
	guavascale.Table
	mu         sync.Mutex
	rows       map[string]guavascale.Row
	version    uint64
	down       bool
	lose, drop int
	// before runs ahead of each commit.
	before func()
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
	if t.before != nil {
		t.before()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := &guavascale.UnavailableError{System: "table", Op: "Commit", MayHaveApplied: true, Cause: errDown}
	if t.drop > 0 {
		t.drop--
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
	if t.lose > 0 {
		t.lose--
		return 0, lost
	}
	return t.version, nil
}

func (t *memTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}
