package guavalease

import (
	"context"
	"sync/atomic"

	"guavascale.example"
	"guavascale.example/internal/storetest"
)

// cutTable is one daemon's connection to the table, which can be cut.
type cutTable struct {
	*storetest.Table
	cut atomic.Bool
}

func (c *cutTable) setCut(cut bool) { c.cut.Store(cut) }

func (c *cutTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if c.cut.Load() {
		return guavascale.Row{}, storetest.Unavailable("Get", false)
	}
	return c.Table.Get(ctx, key)
}

func (c *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if c.cut.Load() {
		return nil, storetest.Unavailable("Scan", false)
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c *cutTable) Commit(ctx context.Context, commit guavascale.Commit) (uint64, error) {
	if c.cut.Load() {
		return 0, storetest.Unavailable("Commit", true)
	}
	return c.Table.Commit(ctx, commit)
}
