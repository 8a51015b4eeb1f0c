package guavascheduler

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavarow"
)

const (
	// loadPageSize is the page size of the scans at the start of a term, and
	// maxLoadRetries the number of retries per page.
	loadPageSize   = 500
	maxLoadRetries = 20
)

// loadRows reads all rows of the shard. Meanwhile it commits heartbeats: a slow store
// takes seconds to return the rows of a large shard, after which another daemon would
// claim it, and load the rows in vain as well. The heartbeat that is in progress when
// the rows are there goes on, as the term's commit in progress.
func (t *term) loadRows(ctx context.Context) ([]guavascale.Row, error) {
	prefixes := guavarow.Prefixes()
	pages := make([][]guavascale.Row, len(prefixes))
	// The end of the scans cancels scanCtx and must not end a commit.
	g, scanCtx := errgroup.WithContext(ctx)
	for i, prefix := range prefixes {
		g.Go(func() (err error) {
			pages[i], err = t.scheduler.scanRows(scanCtx, prefix)
			return err
		})
	}
	loaded := make(chan error, 1)
	go func() { loaded <- g.Wait() }()
	heartbeat := time.NewTicker(guavaowner.Heartbeat)
	defer heartbeat.Stop()
	for t.err == nil {
		select {
		case err := <-loaded:
			return slices.Concat(pages...), err
		case f := <-t.events:
			f()
		case <-heartbeat.C:
			if !t.committing {
				t.commit(ctx, nil, false)
			}
		}
	}
	return nil, t.err
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
