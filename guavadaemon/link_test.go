package guavadaemon

import (
	"context"
	"time"

	"guavascale.example"
)

type (
	linkTable struct{ l *link }
	linkAgent struct{ l *link }
)

func tableUnavailable(op string, mayHaveApplied bool, cause error) error {
	return &guavascale.UnavailableError{System: "table", Op: op, MayHaveApplied: mayHaveApplied, Cause: cause}
}

// performLater performs a call after a delay, possibly after its caller has
// given up.
func performLater(ctx context.Context, d time.Duration, call func()) {
	go func() {
		time.Sleep(d)
		call()
	}()
	select {
	case <-ctx.Done():
	case <-time.After(min(d, callTimeout)):
	}
}

func (t linkTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if d, cut := t.l.nextCallDelay(); cut || d > 0 {
		return guavascale.Row{}, tableUnavailable("Get", false, errCut)
	}
	return t.l.table.Get(ctx, key)
}

func (t linkTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if d, cut := t.l.nextCallDelay(); cut || d > 0 {
		return nil, tableUnavailable("Scan", false, errCut)
	}
	return t.l.table.Scan(ctx, prefix, after, limit)
}

func (t linkTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	d, cut := t.l.nextCallDelay()
	switch {
	case cut:
		return 0, tableUnavailable("Commit", true, errCut)
	case d > 0:
		performLater(ctx, d, func() { _, _ = t.l.table.Commit(context.Background(), c) })
		return 0, tableUnavailable("Commit", true, errLate)
	default:
		return t.l.table.Commit(ctx, c)
	}
}

func (a linkAgent) Send(ctx context.Context, w guavascale.Worker, o guavascale.Orders) (guavascale.Report, error) {
	if d, _ := a.l.nextCallDelay(); d > 0 {
		performLater(ctx, d, func() { _, _ = a.l.fleet.Send(context.Background(), w, o) })
		return guavascale.Report{}, &guavascale.UnavailableError{System: "worker", Op: "Send", MayHaveApplied: true, Cause: errLate}
	}
	return a.l.fleet.Send(ctx, w, o)
}
