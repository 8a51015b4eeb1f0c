package guavaclaim

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"guavascale.example"
)

// memTable is an in-memory table with faults.
type memTable struct {
	mu      sync.Mutex
	rows    map[string]guavascale.Row
	version uint64
	down    bool
	// loseAnswers is the number of commits to apply and then report as lost.
	loseAnswers int
	// dropCommits is the number of commits to report as lost and apply after
	// the next commit, or never when the conditions fail then.
	dropCommits int
	// hold keeps those commits back.
	hold  bool
	late  []guavascale.Commit
	delay time.Duration
}

func newMemTable() *memTable { return &memTable{rows: map[string]guavascale.Row{}} }

func tableDown(op string, applied bool) error {
	return &guavascale.UnavailableError{System: "table", Op: op, MayHaveApplied: applied, Cause: errors.New("injected")}
}

func (t *memTable) Get(_ context.Context, key string) (guavascale.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return guavascale.Row{}, tableDown("Get", false)
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
		return nil, tableDown("Scan", false)
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
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, tableDown("Commit", true)
	}
	if t.dropCommits > 0 {
		t.dropCommits--
		t.late = append(t.late, c)
		return 0, tableDown("Commit", true)
	}
	late := t.late
	if !t.hold {
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

func (t *memTable) apply(c guavascale.Commit) (uint64, error) {
	for _, cond := range c.Conditions {
		if have := t.rows[cond.Key].Version; have != cond.Version {
			return 0, &guavascale.ConditionError{Key: cond.Key, Want: cond.Version, Have: have}
		}
	}
	t.version++
	for _, w := range c.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = guavascale.Row{Key: w.Key, Version: t.version, WriteID: c.ID, Value: w.Value}
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return 0, tableDown("Commit", true)
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

// memObjects is an in-memory object store.
type memObjects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *memObjects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = data
	return nil
}

func (o *memObjects) Fetch(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data, ok := o.data[key]; ok {
		return data, nil
	}
	return nil, &guavascale.NotFoundError{Kind: "object", Name: key}
}

func (o *memObjects) Remove(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, key)
	return nil
}
