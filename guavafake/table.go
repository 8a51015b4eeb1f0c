package guavafake

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"

	"guavascale.example"
)

type (
	// Table is an in-memory transactional table. The zero value is empty.
	Table struct {
		faultyStore
		version uint64
		rows    map[string]guavascale.Row
		// keys holds the sorted keys of rows, for scans.
		keys []string
	}

	// Objects is an in-memory object store. The zero value is empty.
	Objects struct {
		faultyStore
		objects map[string][]byte
	}
)

const (
	systemTable   = "table"
	systemObjects = "objects"
)

var (
	_ guavascale.Table   = (*Table)(nil)
	_ guavascale.Objects = (*Objects)(nil)
)

// Get returns the row of a key.
func (t *Table) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if err := t.beginCall(ctx, systemTable, "Get", false); err != nil {
		return guavascale.Row{}, err
	}
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	if !ok {
		return guavascale.Row{}, &guavascale.NotFoundError{Kind: "row", Name: key}
	}
	return cloneRow(r), nil
}

// Scan returns up to limit rows whose keys have the prefix and follow after, in
// key order. A limit of 0 or less returns none.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if err := t.beginCall(ctx, systemTable, "Scan", false); err != nil {
		return nil, err
	}
	defer t.mu.Unlock()
	var rows []guavascale.Row
	i, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for ; i < len(t.keys) && len(rows) < limit; i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, cloneRow(t.rows[key]))
		}
	}
	return rows, nil
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	if err := validateCommit(c); err != nil {
		return 0, err
	}
	if err := t.beginCall(ctx, systemTable, "Commit", true); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	for _, cond := range c.Conditions {
		if have := t.rows[cond.Key].Version; have != cond.Version {
			return 0, &guavascale.ConditionError{Key: cond.Key, Want: cond.Version, Have: have}
		}
	}
	t.version++
	for _, w := range c.Writes {
		t.apply(c.ID, w)
	}
	if err := t.maybeLoseResponse(systemTable, "Commit"); err != nil {
		return 0, err
	}
	return t.version, nil
}

func (t *Table) apply(id string, w guavascale.Write) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	if t.rows == nil {
		t.rows = map[string]guavascale.Row{}
	}
	t.rows[w.Key] = guavascale.Row{Key: w.Key, Version: t.version, WriteID: id, Value: bytes.Clone(w.Value)}
}

// Put stores an object. It fails with ConditionError when the key already has
// different data.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := o.beginCall(ctx, systemObjects, "Put", true); err != nil {
		return err
	}
	defer o.mu.Unlock()
	if old, ok := o.objects[key]; ok && !bytes.Equal(old, data) {
		return &guavascale.ConditionError{Key: key, Want: 0, Have: 1}
	}
	if o.objects == nil {
		o.objects = map[string][]byte{}
	}
	o.objects[key] = bytes.Clone(data)
	return o.maybeLoseResponse(systemObjects, "Put")
}

// Fetch returns an object.
func (o *Objects) Fetch(ctx context.Context, key string) ([]byte, error) {
	if err := o.beginCall(ctx, systemObjects, "Fetch", false); err != nil {
		return nil, err
	}
	defer o.mu.Unlock()
	data, ok := o.objects[key]
	if !ok {
		return nil, &guavascale.NotFoundError{Kind: "object", Name: key}
	}
	return bytes.Clone(data), nil
}

// Remove deletes an object.
func (o *Objects) Remove(ctx context.Context, key string) error {
	if err := o.beginCall(ctx, systemObjects, "Remove", true); err != nil {
		return err
	}
	defer o.mu.Unlock()
	delete(o.objects, key)
	return o.maybeLoseResponse(systemObjects, "Remove")
}

func validateCommit(c guavascale.Commit) error {
	if c.ID == "" {
		return &guavascale.ValidationError{Field: "Commit.ID", Value: `""`, Allowed: "a random ID"}
	}
	seen := make(map[string]bool, len(c.Writes))
	for i, w := range c.Writes {
		if w.Key == "" || seen[w.Key] {
			field := fmt.Sprintf("Commit.Writes[%d].Key", i)
			return &guavascale.ValidationError{Field: field, Value: w.Key, Allowed: "each key once, none empty"}
		}
		seen[w.Key] = true
	}
	return nil
}

func cloneRow(r guavascale.Row) guavascale.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
