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
	// maxOpenScans limits the concurrent scans. The store's client has eight connections,
	// of which the commits and the reads of the head need some.
	maxOpenScans = 6
)

// loadRows returns all rows of the shard. It reads them, unless this daemon has prepared and
// the former owner's head shows that it has them. Meanwhile it commits heartbeats: a slow store
// takes seconds to return the rows of a large shard, after which another daemon would
// claim it, and load the rows in vain as well. The heartbeat that is in progress when
// the rows are there goes on, as the term's commit in progress.
func (t *term) loadRows(ctx context.Context) ([]guavascale.Row, error) {
	type result struct {
		rows   []guavascale.Row
		copied bool
		err    error
	}
	loaded := make(chan result, 1)
	go func() {
		var res result
		if t.prepared != nil {
			res.rows, res.err = t.prepared.merge(ctx, &t.former, t.formerVersion)
			if res.copied = res.err == nil; !res.copied {
				t.scheduler.Log.Warn().Err(res.err).Msg("scheduler: the rows that were loaded before the claim are not used")
			}
		}
		if !res.copied {
			res.rows, res.err = t.scheduler.scanShard(ctx)
		}
		loaded <- res
	}()
	heartbeat := time.NewTicker(guavaowner.Heartbeat)
	defer heartbeat.Stop()
	for t.err == nil {
		select {
		case res := <-loaded:
			t.takeover.Copied = res.copied
			return res.rows, res.err
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

// scanShard reads all rows of the shard.
func (s *Scheduler) scanShard(ctx context.Context) ([]guavascale.Row, error) {
	ranges := guavarow.Ranges()
	pages := make([][]guavascale.Row, len(ranges))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxOpenScans)
	for i, r := range ranges {
		g.Go(func() (err error) {
			pages[i], err = s.scanRows(ctx, r)
			return err
		})
	}
	err := g.Wait()
	return slices.Concat(pages...), err
}

// scanRows reads all rows of a range.
func (s *Scheduler) scanRows(ctx context.Context, r guavarow.Range) ([]guavascale.Row, error) {
	var rows []guavascale.Row
	after := r.After
	for failures := 0; ; {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		page, err := s.Table.Scan(callCtx, r.Prefix, after, loadPageSize)
		cancel()
		if err != nil {
			if failures++; failures > maxLoadRetries || ctx.Err() != nil {
				return nil, err
			}
			sleep(ctx, retryDelayAfter(err, headReadInterval))
			continue
		}
		failures = 0
		for _, row := range page {
			if r.Until != "" && row.Key > r.Until {
				return rows, nil
			}
			rows = append(rows, row)
		}
		if len(page) == 0 {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
