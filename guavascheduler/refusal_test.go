package guavascheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

// refusingTable refuses each commit with other rows than the head, and keeps the head. It
// applies the first commit without an answer if loseFirst is set, and has no answer to it
// either way if silentFirst is set. If lateFirst is set, it applies the first commit once
// the third arrives.
type refusingTable struct {
	guavascale.Table
	mu                                sync.Mutex
	silentFirst, loseFirst, lateFirst bool
	commits                           int
	first                             guavascale.Commit
	head                              guavascale.Row
}

func (r *refusingTable) Commit(_ context.Context, c guavascale.Commit) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits++
	first := r.commits == 1
	if first {
		r.first = c
	}
	if r.commits == 3 && r.lateFirst {
		r.head = guavascale.Row{Key: guavaowner.HeadKey, Version: r.head.Version + 1, Value: r.first.Writes[0].Value}
		return 0, &guavascale.ConditionError{Key: guavaowner.HeadKey}
	}
	if len(c.Writes) == 1 || first && r.loseFirst {
		r.head = guavascale.Row{Key: guavaowner.HeadKey, Version: r.head.Version + 1, Value: c.Writes[0].Value}
	}
	switch {
	case first && (r.silentFirst || r.loseFirst || r.lateFirst):
		return 0, &guavascale.UnavailableError{System: "store", Op: "commit", MayHaveApplied: true, Cause: errors.New("test")}
	case len(c.Writes) > 1:
		return 0, &guavascale.RefusedError{System: "store", Op: "commit", Bytes: 70_000, Cause: errors.New("status 413")}
	default:
		return r.head.Version, nil
	}
}

func (r *refusingTable) Get(context.Context, string) (guavascale.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head.Version == 0 {
		return r.head, &guavascale.NotFoundError{Kind: "row", Name: guavaowner.HeadKey}
	}
	return r.head, nil
}

// Guards against a commit that is repeated for ever though the store refuses its content,
// and against one that is given up though it was applied.
func TestRefusedContentIsNotRepeated(t *testing.T) {
	cases := map[string]struct {
		table   *refusingTable
		applied bool
		commits int
	}{
		"refused at once":       {&refusingTable{}, false, 1},
		"unknown, then refused": {&refusingTable{silentFirst: true}, false, 3},
		"applied, then refused": {&refusingTable{loseFirst: true}, true, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tm := newTerm(&manualClock{}, &countingRunner{})
			tm.scheduler.Table = tc.table
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}}
			require.NoError(t, tm.attemptCommit(ctx, nil, false), "the head of the term")
			tc.table.mu.Lock()
			tc.table.commits = 0
			tc.table.mu.Unlock()
			err := tm.attemptCommit(ctx, &guavaqueue.Batch{Writes: []guavascale.Write{{Key: "Progress/a"}}}, false)
			assert.Equal(t, tc.applied, err == nil)
			assert.Equal(t, !tc.applied, isRefusal(err))
			assert.Equal(t, tc.commits, tc.table.commits)
			require.NoError(t, tm.attemptCommit(ctx, nil, false), "the next heartbeat")
		})
	}
}

// Guards against callers who are told that a commit was refused, though a copy of it was
// applied after the head had been read.
func TestLateCopyOfRefusedCommitIsNotRefused(t *testing.T) {
	tm := newTerm(&manualClock{}, &countingRunner{})
	table := &refusingTable{}
	tm.scheduler.Table = table
	tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}}
	require.NoError(t, tm.attemptCommit(t.Context(), nil, false), "the head of the term")
	table.commits, table.lateFirst = 0, true
	err := tm.attemptCommit(t.Context(), &guavaqueue.Batch{Writes: []guavascale.Write{{Key: "Progress/a"}}}, false)
	require.Error(t, err)
	assert.False(t, isRefusal(err), err)
	var unavailable *guavascale.UnavailableError
	assert.False(t, errors.As(err, &unavailable), err)
}

// Guards against a term that ends, or that commits no heartbeat, because of a row that the
// store refuses.
func TestTermGoesOnAfterRefusal(t *testing.T) {
	clock := &manualClock{}
	clock.advance(time.Hour)
	tm := newTerm(clock, &countingRunner{})
	table := &refusingTable{}
	tm.scheduler.Table = table
	tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}}
	replies := make(chan guavascale.SubmissionState, 1)
	s := guavascale.Submission{ID: "a", Queue: "q", Steps: []guavascale.Step{{Count: 1}}}
	require.NoError(t, tm.engine.Submit(clock.Now(), s, func(state guavascale.SubmissionState) { replies <- state }))
	for range 200 {
		clock.advance(stepInterval)
		tm.step(t.Context(), clock.Now())
		if tm.committing {
			(<-tm.events)()
		}
		require.NoError(t, tm.err)
	}
	assert.Empty(t, <-replies, "it is not stored and never runs")
	assert.Less(t, tm.commitAge(clock.Now()), guavaowner.Heartbeat+4*stepInterval)
	assert.Less(t, table.commits, 20)
}
