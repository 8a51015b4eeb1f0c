package guavalease

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"guavascale.example"
)

// memTable is an in-memory table with faults.
type memTable struct {
	mu      sync.Mutex
	rows    map[string]guavascale.Row
	version uint64
	commits int
	down    bool
	// loseAnswers is the number of commits to apply and then report as lost.
	loseAnswers int
}

func newMemTable() *memTable { return &memTable{rows: map[string]guavascale.Row{}} }

func unavailable(op string, applied bool) error {
	return &guavascale.UnavailableError{System: "table", Op: op, MayHaveApplied: applied, Cause: errors.New("injected")}
}

func (t *memTable) Get(_ context.Context, key string) (guavascale.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return guavascale.Row{}, unavailable("Get", false)
	}
	row, ok := t.rows[key]
	if !ok {
		return guavascale.Row{}, &guavascale.NotFoundError{Kind: "row", Name: key}
	}
	return row, nil
}

func (t *memTable) Scan(_ context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, unavailable("Scan", false)
	}
	var rows []guavascale.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b guavascale.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *memTable) Commit(_ context.Context, c guavascale.Commit) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, unavailable("Commit", true)
	}
	for _, cond := range c.Conditions {
		if have := t.rows[cond.Key].Version; have != cond.Version {
			return 0, &guavascale.ConditionError{Key: cond.Key, Want: cond.Version, Have: have}
		}
	}
	t.version++
	t.commits++
	for _, w := range c.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = guavascale.Row{Key: w.Key, Version: t.version, WriteID: c.ID, Value: w.Value}
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return 0, unavailable("Commit", true)
	}
	return t.version, nil
}

func (t *memTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *memTable) lose(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseAnswers = n
}

func (t *memTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// cutTable is one daemon's connection to the table, which can be cut.
type cutTable struct {
	*memTable
	cut atomic.Bool
}

func (c *cutTable) setCut(cut bool) { c.cut.Store(cut) }

func (c *cutTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if c.cut.Load() {
		return guavascale.Row{}, unavailable("Get", false)
	}
	return c.memTable.Get(ctx, key)
}

func (c *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if c.cut.Load() {
		return nil, unavailable("Scan", false)
	}
	return c.memTable.Scan(ctx, prefix, after, limit)
}

func (c *cutTable) Commit(ctx context.Context, commit guavascale.Commit) (uint64, error) {
	if c.cut.Load() {
		return 0, unavailable("Commit", true)
	}
	return c.memTable.Commit(ctx, commit)
}
