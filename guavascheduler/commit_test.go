package guavascheduler

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
)

// scriptedTable answers the n-th commit by calling commits[n], and reads of the head
// row with head or, without one, with the head of the latest commit.
type scriptedTable struct {
	guavascale.Table
	commits []func(ctx context.Context) (uint64, error)
	head    *guavaowner.Head
	// headVersion is the version of the head row.
	headVersion uint64
	n           atomic.Int64
	latest      atomic.Pointer[guavascale.Commit]
}

func (s *scriptedTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	s.latest.Store(&c)
	n := int(s.n.Add(1)) - 1
	return s.commits[min(n, len(s.commits)-1)](ctx)
}

func (s *scriptedTable) Get(context.Context, string) (guavascale.Row, error) {
	if s.head == nil {
		return guavascale.Row{Key: guavaowner.HeadKey, Version: s.headVersion, Value: s.latest.Load().Writes[0].Value}, nil
	}
	value, err := json.Marshal(s.head)
	return guavascale.Row{Key: guavaowner.HeadKey, Version: s.headVersion, Value: value}, err
}

// Guards against an owner that gives up an attempt in a slow store, which applies it
// nevertheless: the next attempt then fails its condition, and every commit took
// several times as long as the store. And against outcomes that are reported wrongly
// if attempts overlap.
func TestCommitAttempts(t *testing.T) {
	unavailable := func(mayHaveApplied bool) error {
		return &guavascale.UnavailableError{System: "store", Op: "commit", Cause: errors.New("test"), MayHaveApplied: mayHaveApplied}
	}
	after := func(d time.Duration, version uint64, err error) func(context.Context) (uint64, error) {
		return func(ctx context.Context) (uint64, error) {
			sleep(ctx, d)
			if ctx.Err() != nil {
				return 0, unavailable(true)
			}
			return version, err
		}
	}
	silent := after(time.Hour, 0, nil)
	outdated := after(0, 0, &guavascale.ConditionError{Key: guavaowner.HeadKey})
	cases := map[string]struct {
		commits []func(context.Context) (uint64, error)
		head    *guavaowner.Head
		// version is the version of the head row that the chain ends with.
		version    uint64
		notApplied bool
		lost       bool
		// maxFailures bounds the failures, of which outageThreshold are an outage.
		maxFailures int64
	}{
		"prompt":             {commits: []func(context.Context) (uint64, error){after(0, 7, nil)}, version: 7},
		"slow":               {commits: []func(context.Context) (uint64, error){after(400*time.Millisecond, 7, nil), silent}, version: 7, maxFailures: 1},
		"response lost":      {commits: []func(context.Context) (uint64, error){silent, outdated}, version: 9, maxFailures: 1},
		"request lost":       {commits: []func(context.Context) (uint64, error){silent, after(0, 8, nil)}, version: 8, maxFailures: 1},
		"refused":            {commits: []func(context.Context) (uint64, error){after(0, 0, unavailable(false))}, notApplied: true, maxFailures: 1},
		"slow, then refused": {commits: []func(context.Context) (uint64, error){after(400*time.Millisecond, 7, nil), after(0, 0, unavailable(false)), silent}, version: 7, maxFailures: 3},
		"lost, then refused": {commits: []func(context.Context) (uint64, error){after(0, 0, unavailable(true)), after(0, 0, unavailable(false)), after(0, 8, nil)}, version: 8, maxFailures: 2},
		"another owner":      {commits: []func(context.Context) (uint64, error){outdated}, head: &guavaowner.Head{Epoch: 4, Owner: "b"}, lost: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tm := newTerm(&manualClock{}, &countingRunner{})
			tm.scheduler.meters.count("commit.Failed", 0)
			tm.scheduler.Table = &scriptedTable{commits: tc.commits, head: tc.head, headVersion: 9}
			tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}, Version: 5}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			err := tm.attemptCommit(ctx, &guavaqueue.Batch{}, false)
			var (
				lost       *guavaowner.LostError
				notApplied *guavascale.UnavailableError
			)
			switch {
			case tc.lost:
				require.ErrorAs(t, err, &lost)
			case tc.notApplied:
				require.ErrorAs(t, err, &notApplied)
				assert.False(t, notApplied.MayHaveApplied)
			default:
				require.NoError(t, err)
				assert.Equal(t, tc.version, tm.chain.Version)
				assert.Equal(t, uint64(1), tm.chain.Number)
			}
			assert.LessOrEqual(t, metrics.GetOrRegisterCounter("commit.Failed", tm.scheduler.meters.counters).Count(), tc.maxFailures)
		})
	}
}

// Guards against an owner that counts a commit from the moment at which it learned of
// its outcome. Another daemon may have seen the head since the commit was applied, and
// may own the shard before this one stops acting.
func TestCommitCountsFromItsFirstAttempt(t *testing.T) {
	clock := &manualClock{}
	clock.advance(time.Hour)
	tm := newTerm(clock, &countingRunner{})
	tm.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}, Version: 5}
	tm.scheduler.Table = &scriptedTable{
		headVersion: 9,
		commits: []func(context.Context) (uint64, error){func(context.Context) (uint64, error) {
			clock.advance(time.Second)
			return 0, &guavascale.ConditionError{Key: guavaowner.HeadKey}
		}},
	}
	require.NoError(t, tm.attemptCommit(t.Context(), nil, false))
	assert.Equal(t, time.Second, tm.commitAge(clock.Now()))
}

// slowScanTable returns the rows of a scan only after a commit has been made.
type slowScanTable struct {
	guavascale.Table
	committed chan struct{}
	lost      bool
}

func (s *slowScanTable) Commit(context.Context, guavascale.Commit) (uint64, error) {
	if s.lost {
		return 0, &guavascale.ConditionError{Key: guavaowner.HeadKey}
	}
	select {
	case s.committed <- struct{}{}:
	default:
	}
	return 7, nil
}

func (s *slowScanTable) Get(context.Context, string) (guavascale.Row, error) {
	value, err := json.Marshal(guavaowner.Head{Epoch: 9, Owner: "b"})
	return guavascale.Row{Key: guavaowner.HeadKey, Version: 9, Value: value}, err
}

func (s *slowScanTable) Scan(ctx context.Context, prefix, after string, _ int) ([]guavascale.Row, error) {
	if prefix == "Fleet/" && after == "" {
		select {
		case <-s.committed:
			return []guavascale.Row{{Key: "Fleet/all", Value: []byte("{}")}}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, nil
}

// Guards against a new owner that makes no commit while it loads the rows: on a site
// of 1,100 workers with a slow store, other daemons claimed the shard one after the
// other, and nobody owned it for ten seconds.
func TestLoadingOwnerCommitsHeartbeats(t *testing.T) {
	cases := map[string]struct{ lost bool }{
		"owner":              {false},
		"shard is lost soon": {true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tm := newTerm(&manualClock{}, &countingRunner{})
			tm.scheduler.Table = &slowScanTable{committed: make(chan struct{}, 1), lost: tc.lost}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			rows, err := tm.loadRows(ctx)
			if tc.lost {
				var lost *guavaowner.LostError
				require.ErrorAs(t, err, &lost)
				return
			}
			require.NoError(t, err)
			assert.Len(t, rows, 1)
		})
	}
}

// Guards against an owner that answers reads after the release of the shard may have been
// applied: its heir owns the shard at once.
func TestReleasingOwnerServesNoReads(t *testing.T) {
	cases := map[string]struct {
		err    error
		serves bool
	}{
		"applied": {},
		"refused": {err: &guavascale.UnavailableError{System: "store", Op: "commit", Cause: errors.New("test")}, serves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tm := newTerm(&manualClock{}, &countingRunner{})
			arrived, answer := make(chan struct{}), make(chan struct{})
			tm.scheduler.Table = &scriptedTable{commits: []func(context.Context) (uint64, error){func(context.Context) (uint64, error) {
				close(arrived)
				<-answer
				return 7, tc.err
			}}}
			now := tm.scheduler.Clock.Now()
			require.True(t, tm.canServeReads(now))
			tm.commit(t.Context(), nil, true)
			<-arrived
			assert.False(t, tm.canServeReads(now), "the outcome is unknown")
			close(answer)
			(<-tm.events)()
			assert.Equal(t, tc.serves, tm.canServeReads(now))
		})
	}
}
