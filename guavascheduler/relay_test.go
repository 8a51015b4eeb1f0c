package guavascheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"guavascale.example/guavaqueue"
)

// Guards against starts that a relay sends for an owner that may have been replaced, or
// whose list of workers is old: the relay's host may be in touch with the platform while
// the owner's is not.
func TestRelaysStartNothingInDoubt(t *testing.T) {
	cases := map[string]struct {
		kind               guavaqueue.OrderKind
		commitAge, listAge time.Duration
		want               time.Duration
	}{
		"start":                   {kind: guavaqueue.OrderStart, want: maxOrderAge},
		"start, commits are late": {kind: guavaqueue.OrderStart, commitAge: 900 * time.Millisecond, want: 180 * time.Millisecond},
		"start, another may own":  {kind: guavaqueue.OrderStart, commitAge: 2 * time.Second, want: readLease - 2*time.Second},
		"start, old list":         {kind: guavaqueue.OrderStart, listAge: 1500 * time.Millisecond, want: 200 * time.Millisecond},
		"hold, another may own":   {kind: guavaqueue.OrderHold, commitAge: 2 * time.Second, want: maxOrderAge},
		"stop, old list":          {kind: guavaqueue.OrderStop, listAge: time.Minute, want: maxOrderAge},
		"stop, the lease ends":    {kind: guavaqueue.OrderStop, commitAge: 4500 * time.Millisecond, want: 500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{}
			clock.advance(time.Hour)
			tm := newTerm(clock, &countingRunner{})
			now := clock.Now()
			tm.recordCommit(now.Add(-tc.commitAge))
			tm.listAsOf.Store(now.Add(-tc.listAge).UnixNano())
			// The store is known to be unreachable, in which case the owner's own
			// starts go on.
			tm.failures.Store(outageThreshold)
			until := tm.relayUntil(&guavaqueue.Order{Kind: tc.kind, Sent: now})
			assert.Equal(t, tc.want, until.Sub(now))
		})
	}
}
