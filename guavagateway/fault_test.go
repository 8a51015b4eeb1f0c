package guavagateway

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"guavascale.example/guavaroute"
)

// Guards against a panic in an attempt that keeps its slot for good, ends the
// process if the attempt has a goroutine of its own, or is reported as not run.
func TestPanicReleasesSlot(t *testing.T) {
	e := newTestEndpoint(t, 1, nil, echo)
	f := startGateway(t, &Gateway{Log: zerolog.Nop()}, nil, e)
	f.mu.Lock()
	event, _ := f.router.Submit(f.clock.Now(), guavaroute.Request{ID: 1 << 40, Service: "svc", Deadline: f.clock.Now().Add(time.Minute)})
	f.mu.Unlock()
	require.Equal(t, guavaroute.Granted, event.Decision)
	// The attempt has no request to write.
	a := &attempt{g: f.Gateway, pick: event.Pick, deadline: time.Now().Add(time.Second)}
	done := make(chan *attempt, 1)
	go a.executeTo(done)
	res := (<-done).result
	require.Error(t, res.err)
	require.True(t, res.wrote)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Zero(t, f.router.InUse())
}

// Guards against a hung endpoint that stays in use because timeouts of callers with
// short deadlines count as successes.
func TestShortTimeoutIsNoResult(t *testing.T) {
	tests := map[string]struct {
		result attemptResult
		want   guavaroute.Result
	}{
		"answered":        {attemptResult{elapsed: 50}, guavaroute.Result{Elapsed: 50}},
		"short timeout":   {attemptResult{err: os.ErrDeadlineExceeded, elapsed: 50}, guavaroute.Result{Elapsed: 50, Rejected: true}},
		"long timeout":    {attemptResult{err: os.ErrDeadlineExceeded, elapsed: 2 * time.Second}, guavaroute.Result{Elapsed: 2 * time.Second, Failed: true}},
		"another failure": {attemptResult{err: errors.New("reset"), elapsed: 50}, guavaroute.Result{Elapsed: 50, Failed: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.result.routeResult()) })
	}
}
