package guavascheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

// Guards against starts that a relay sends for an owner that may have been replaced, or
// whose list of workers is old: the relay's host may be in touch with the platform while
// the owner's is not. A worker's capacity may have shrunk since the list (LIMIT).
func TestRelaysStartNothingInDoubt(t *testing.T) {
	cases := map[string]struct {
		kind               guavaorder.Kind
		commitAge, listAge time.Duration
		// longList is set if the list may be older than the capacities.
		longList bool
		service  string
		want     time.Duration
	}{
		"start":                   {kind: guavaorder.Start, want: maxOrderAge},
		"start, commits are late": {kind: guavaorder.Start, commitAge: 900 * time.Millisecond, want: 180 * time.Millisecond},
		"start, another may own":  {kind: guavaorder.Start, commitAge: 2 * time.Second, want: readLease - 2*time.Second},
		"start, old list":         {kind: guavaorder.Start, listAge: 1500 * time.Millisecond, want: 200 * time.Millisecond},
		"start, old capacities":   {kind: guavaorder.Start, listAge: 2500 * time.Millisecond, longList: true, want: 200 * time.Millisecond},
		"start, guarded":          {kind: guavaorder.Start, listAge: 2500 * time.Millisecond, longList: true, service: "guarded", want: maxOrderAge},
		"hold, another may own":   {kind: guavaorder.Hold, commitAge: 2 * time.Second, want: maxOrderAge},
		"stop, old list":          {kind: guavaorder.Stop, listAge: time.Minute, want: maxOrderAge},
		"stop, the lease ends":    {kind: guavaorder.Stop, commitAge: 4500 * time.Millisecond, want: 500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{}
			clock.advance(time.Hour)
			tm := newTerm(clock, &countingRunner{})
			tm.scheduler.catalog.Store(&guavascale.Catalog{Pools: []guavascale.Pool{{Service: "guarded", Guarded: true}}})
			if tc.longList {
				tm.scheduler.MaxListAge = 10 * time.Second
			}
			now := clock.Now()
			tm.recordCommit(now.Add(-tc.commitAge))
			tm.listAsOf.Store(now.Add(-tc.listAge).UnixNano())
			// The store is known to be unreachable, in which case the owner's own
			// starts go on.
			tm.failures.Store(outageThreshold)
			until := tm.relayUntil(&guavaorder.Order{Kind: tc.kind, Worker: guavascale.Worker{Service: tc.service}, Sent: now})
			assert.Equal(t, tc.want, until.Sub(now))
		})
	}
}

// Guards against a new owner that makes all calls of a large fleet itself for a second,
// since it has chosen its relays before the first daemons have found it.
func TestRelaysAreInvitedAsTheyFindTheOwner(t *testing.T) {
	clock := &manualClock{}
	clock.advance(time.Hour)
	tm := newTerm(clock, &countingRunner{})
	tm.startedAt, tm.scheduler.Strength = clock.Now(), 0.5
	tm.inviteRelays(clock.Now())
	tm.hub = tm.newHub()
	changes := guavascale.WorkerChanges{}
	for i := range 1000 {
		w := guavascale.Worker{ID: guavascale.WorkerID(strconv.Itoa(i)), Zone: "a"}
		changes.Changes = append(changes.Changes, guavascale.WorkerChange{Worker: w})
	}
	tm.hub.ChangeWorkers(&changes)
	clock.advance(100 * time.Millisecond)
	tm.scheduler.successors.record(clock.Now(), pingIn{Instance: "b-1", Zone: "a", Strength: 0.5, CanRelay: true})
	tm.inviteRelays(clock.Now())
	assert.True(t, tm.invites("b-1"))
	clock.advance(100 * time.Millisecond)
	tm.scheduler.successors.record(clock.Now(), pingIn{Instance: "c-1", Zone: "a", Strength: 0.5, CanRelay: true})
	tm.inviteRelays(clock.Now())
	assert.True(t, tm.invites("c-1"))
}
