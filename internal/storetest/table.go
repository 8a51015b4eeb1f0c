// Package storetest provides in-memory fakes of the platform's table and object
// store for tests of packages that commit.
//
// Fields of Table inject faults: the store is down, the response to a commit is
// lost after the commit took effect, or a commit takes effect after its caller
// has given up.
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

// Table is an in-memory table with fault injection. Mu guards the fields.
type Table struct {
	Mu      sync.Mutex
	Rows    map[string]guavascale.Row
	Version uint64
	Down    bool
	// LoseAnswers is the number of commits that are applied and then fail with
	// UnavailableError.
	LoseAnswers int
	// DownAfterCommit starts an outage after the next commit, which takes
	// effect but fails with UnavailableError.
	DownAfterCommit bool
	// DelayCommits is the number of commits that fail with UnavailableError and
	// are applied after the next commit, unless their conditions fail by then.
	DelayCommits int
	// HoldDelayed keeps the delayed commits from being applied while it is set.
	HoldDelayed bool
	// Commits is the number of commits that took effect.
	Commits int
	delayed []guavascale.Commit
	// Latency is added to each commit.
	Latency time.Duration
	// PageRows bounds the rows of a page beside the caller's limit; 0 means no bound.
	PageRows int
}

// New returns an empty table.
func New() *Table { return &Table{Rows: map[string]guavascale.Row{}} }

// Unavailable returns the error for an injected fault. The argument applied is
// its MayHaveApplied.
func Unavailable(op string, applied bool) error {
	return &guavascale.UnavailableError{System: "table", Op: op, MayHaveApplied: applied, Cause: errors.New("injected")}
}

// Get implements [guavascale.Table].
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

// Scan implements [guavascale.Table].
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
	if t.PageRows > 0 {
		limit = min(limit, t.PageRows)
	}
	return rows[:min(limit, len(rows))], nil
}

// Commit implements [guavascale.Table].
func (t *Table) Commit(_ context.Context, c guavascale.Commit) (uint64, error) {
	time.Sleep(t.Latency)
	t.Mu.Lock()
	defer t.Mu.Unlock()
	if t.Down {
		return 0, Unavailable("Commit", true)
	}
	if t.DelayCommits > 0 {
		t.DelayCommits--
		t.delayed = append(t.delayed, c)
		return 0, Unavailable("Commit", true)
	}
	delayed := t.delayed
	if !t.HoldDelayed {
		t.delayed = nil
	} else {
		delayed = nil
	}
	version, err := t.apply(c)
	for _, c := range delayed {
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

// SetDown starts or ends an outage.
func (t *Table) SetDown(down bool) {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	t.Down = down
}

// SetLoseAnswers sets LoseAnswers.
func (t *Table) SetLoseAnswers(n int) {
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

// Put implements [guavascale.Objects], but overwrites an existing object.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Data[key] = data
	return nil
}

// Fetch implements [guavascale.Objects].
func (o *Objects) Fetch(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data, ok := o.Data[key]; ok {
		return data, nil
	}
	return nil, &guavascale.NotFoundError{Kind: "object", Name: key}
}

// Remove implements [guavascale.Objects].
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
