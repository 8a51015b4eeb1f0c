// Package storetest is the platform's table and object store for tests of
// packages that commit.
//
// The model: everything is in maps, and faults are fields: the store is down,
// answers of commits are lost after they took effect, and commits take effect
// after their caller gave up.
package storetest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"guavascale.example"
)

// Table is an in-memory table with faults. Mu guards the fields.
type Table struct {
	Mu      sync.Mutex
	Rows    map[string]guavascale.Row
	Version uint64
	Down    bool
	// LoseAnswers is the number of commits to apply and then report as lost.
	LoseAnswers int
	// DownAfterCommit lets the next commit take effect, loses its answer and
	// starts an outage.
	DownAfterCommit bool
	// DropCommits is the number of commits to report as lost and apply after
	// the next commit, or never when the conditions fail then.
	DropCommits int
	// hold keeps those commits back.
	Hold bool
	// Commits counts the commits that took effect.
	Commits int
	late    []guavascale.Commit
	Delay   time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{Rows: map[string]guavascale.Row{}} }

// Unavailable returns the error of an injected fault.
func Unavailable(op string, applied bool) error {
	return &guavascale.UnavailableError{System: "table", Op: op, MayHaveApplied: applied, Cause: errors.New("injected")}
}

// Get returns a row.
func (t *Table) Get(_ context.Context, key string) (guavascale.Row, error) {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	if t.Down {
		return guavascale.Row{}, Unavailable("Get", false)
	}
	row, ok := t.Rows[key]
	if !ok {
		return guavascale.Row{}, &guavascale.NotFoundError{Kind: "row", Name: key}
	}
	return row, nil
}

// Scan returns rows in key order.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	if t.Down {
		return nil, Unavailable("Scan", false)
	}
	var rows []guavascale.Row
	for key, row := range t.Rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b guavascale.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit applies a transaction.
func (t *Table) Commit(_ context.Context, c guavascale.Commit) (uint64, error) {
	time.Sleep(t.Delay)
	t.Mu.Lock()
	defer t.Mu.Unlock()
	if t.Down {
		return 0, Unavailable("Commit", true)
	}
	if t.DropCommits > 0 {
		t.DropCommits--
		t.late = append(t.late, c)
		return 0, Unavailable("Commit", true)
	}
	late := t.late
	if !t.Hold {
		t.late = nil
	} else {
		late = nil
	}
	version, err := t.apply(c)
	for _, c := range late {
		_, _ = t.apply(c)
	}
	return version, err
}

func (t *Table) apply(c guavascale.Commit) (uint64, error) {
	for _, cond := range c.Conditions {
		if have := t.Rows[cond.Key].Version; have != cond.Version {
			return 0, &guavascale.ConditionError{Key: cond.Key, Want: cond.Version, Have: have}
		}
	}
	t.Version++
	t.Commits++
	for _, w := range c.Writes {
		if w.Delete {
			delete(t.Rows, w.Key)
			continue
		}
		t.Rows[w.Key] = guavascale.Row{Key: w.Key, Version: t.Version, WriteID: c.ID, Value: w.Value}
	}
	if t.DownAfterCommit {
		t.DownAfterCommit, t.Down = false, true
		return 0, Unavailable("Commit", true)
	}
	if t.LoseAnswers > 0 {
		t.LoseAnswers--
		return 0, Unavailable("Commit", true)
	}
	return t.Version, nil
}

// SetDown switches the outage.
func (t *Table) SetDown(down bool) {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	t.Down = down
}

// Lose sets the number of commits whose answers are lost.
func (t *Table) Lose(n int) {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	t.LoseAnswers = n
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{Data: map[string][]byte{}} }

// Objects is an in-memory object store.
type Objects struct {
	mu   sync.Mutex
	Data map[string][]byte
}

// Put stores an object.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Data[key] = data
	return nil
}

// Fetch returns an object.
func (o *Objects) Fetch(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data, ok := o.Data[key]; ok {
		return data, nil
	}
	return nil, &guavascale.NotFoundError{Kind: "object", Name: key}
}

// Remove deletes an object.
func (o *Objects) Remove(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.Data, key)
	return nil
}

// Count returns the number of commits that took effect.
func (t *Table) Count() int {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	return t.Commits
}
