package guavascheduler

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

const (
	// loadPageSize is the page size of the scans at the start of a term, and
	// maxLoadRetries the number of retries per page.
	loadPageSize   = 500
	maxLoadRetries = 20
)

// loadRows reads all rows of the shard. Meanwhile it commits heartbeats: a slow store
// takes seconds to return the rows of a large shard, after which another daemon would
// claim it, and load the rows in vain as well.
func (t *term) loadRows(ctx context.Context) ([]guavascale.Row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	prefixes := guavaqueue.RowPrefixes()
	pages := make([][]guavascale.Row, len(prefixes))
	g, ctx := errgroup.WithContext(ctx)
	for i, prefix := range prefixes {
		g.Go(func() (err error) {
			pages[i], err = t.scheduler.scanRows(ctx, prefix)
			return err
		})
	}
	loaded := make(chan error, 1)
	go func() { loaded <- g.Wait() }()
	heartbeat := time.NewTicker(guavaowner.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case err := <-loaded:
			var rows []guavascale.Row
			for _, p := range pages {
				rows = append(rows, p...)
			}
			return rows, err
		case <-heartbeat.C:
			err := t.attemptCommit(ctx, nil, false)
			var lost *guavaowner.LostError
			if errors.As(err, &lost) {
				return nil, err
			}
			if err != nil {
				t.scheduler.Log.Warn().Uint64("Epoch", t.chain.Epoch).Uint64("Number", t.chain.Number).Err(err).
					Msg("scheduler: a heartbeat during the load was given up")
			}
		}
	}
}

// scanRows reads all rows with a prefix.
func (s *Scheduler) scanRows(ctx context.Context, prefix string) ([]guavascale.Row, error) {
	var rows []guavascale.Row
	after := ""
	for failures := 0; ; {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		page, err := s.Table.Scan(callCtx, prefix, after, loadPageSize)
		cancel()
		if err != nil {
			if failures++; failures > maxLoadRetries || ctx.Err() != nil {
				return nil, err
			}
			sleep(ctx, headReadInterval)
			continue
		}
		failures = 0
		if len(page) == 0 {
			return rows, nil
		}
		rows = append(rows, page...)
		after = page[len(page)-1].Key
	}
}
