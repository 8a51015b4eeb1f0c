package guavascheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

// lateTable applies the first commit only once apply is closed, whatever becomes of its
// caller. Scans wait until it has arrived.
type lateTable struct {
	guavafake.Table
	late           atomic.Bool
	arrived, apply chan struct{}
}

func (l *lateTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	if l.late.CompareAndSwap(false, true) {
		close(l.arrived)
		<-l.apply
	}
	return l.Table.Commit(context.WithoutCancel(ctx), c)
}

func (l *lateTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	select {
	case <-l.arrived:
		return l.Table.Scan(ctx, prefix, after, limit)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newLateTerm returns a term whose claim is in its table.
func newLateTerm(t *testing.T) (*term, *lateTable) {
	table := &lateTable{arrived: make(chan struct{}), apply: make(chan struct{})}
	tm := newTerm(&manualClock{}, &countingRunner{})
	tm.scheduler.Table = table
	tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}}
	claim, err := tm.chain.Next("claim", nil, false, "")
	require.NoError(t, err)
	version, err := table.Table.Commit(t.Context(), claim)
	require.NoError(t, err)
	tm.chain.Applied(version)
	return tm, table
}

func (l *lateTable) head(t *testing.T) guavaowner.Head {
	row, err := l.Get(t.Context(), guavaowner.HeadKey)
	require.NoError(t, err)
	h, err := guavaowner.ParseHead(row)
	require.NoError(t, err)
	return h
}

// Guards against a heartbeat that is given up at the end of the load and applied in the
// place of the first batch of the term: callers were told that their submissions are
// stored, and the next owner did not find them.
func TestHeartbeatOfTheLoadIsNotTakenForTheFirstBatch(t *testing.T) {
	tm, table := newLateTerm(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := tm.loadRows(ctx)
	require.NoError(t, err)
	close(table.apply)
	require.Eventually(t, func() bool { return table.head(t).Number == 2 }, 10*time.Second, time.Millisecond)
	for tm.committing {
		(<-tm.events)()
	}
	batch := &guavaqueue.Batch{Writes: []guavascale.Write{{Key: "Test/row", Value: []byte("{}")}}}
	require.NoError(t, tm.attemptCommit(ctx, batch, false))
	_, err = table.Get(ctx, "Test/row")
	assert.NoError(t, err, "the batch was said to be applied")
}

// Guards against a commit that is sent while one that was given up may still be applied.
func TestNoCommitFollowsOneThatWasGivenUp(t *testing.T) {
	tm, table := newLateTerm(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-table.arrived
		cancel()
	}()
	require.ErrorIs(t, tm.attemptCommit(ctx, nil, false), context.Canceled)
	var unsettled *guavaowner.UnsettledError
	require.ErrorAs(t, tm.attemptCommit(t.Context(), nil, false), &unsettled)
	close(table.apply)
}
