package guavalease

import (
	"context"
	"sync/atomic"

	"guavascale.example"
	"guavascale.example/internal/storetest"
)

// disconnectableTable is one daemon's connection to the table, which can be
// interrupted.
type disconnectableTable struct {
	*storetest.Table
	disconnected atomic.Bool
}

func (c *disconnectableTable) setDisconnected(disconnected bool) { c.disconnected.Store(disconnected) }

func (c *disconnectableTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if c.disconnected.Load() {
		return guavascale.Row{}, storetest.Unavailable("Get", false)
	}
	return c.Table.Get(ctx, key)
}

func (c *disconnectableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if c.disconnected.Load() {
		return nil, storetest.Unavailable("Scan", false)
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c *disconnectableTable) Commit(ctx context.Context, commit guavascale.Commit) (uint64, error) {
	if c.disconnected.Load() {
		return 0, storetest.Unavailable("Commit", true)
	}
	return c.Table.Commit(ctx, commit)
}
