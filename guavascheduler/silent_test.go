package guavascheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavaowner"
	"guavascale.example/guavaqueue"
	"guavascale.example/internal/bubbletest"
)

type (
	// wallClock follows the time of the test's bubble.
	wallClock struct{}

	// outageTable answers no call that arrives during an outage. If applies is set, it
	// applies them, and if delay is, it applies and answers them after that time, whether
	// the caller still waits or not.
	outageTable struct {
		*guavafake.Table
		from, to time.Time
		applies  bool
		delay    time.Duration
		commits  atomic.Int64
	}
)

func (wallClock) Now() time.Time { return time.Now() }

func (o *outageTable) down() bool { return !time.Now().Before(o.from) && time.Now().Before(o.to) }

func (o *outageTable) lost(ctx context.Context, mutates bool) error {
	<-ctx.Done()
	return &guavascale.UnavailableError{System: "store", Op: "test", MayHaveApplied: mutates, Cause: errors.New("timeout")}
}

func (o *outageTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	switch {
	case o.down() && o.delay == 0:
		return guavascale.Row{}, o.lost(ctx, false)
	case o.down():
		sleep(ctx, o.delay)
	}
	return o.Table.Get(ctx, key)
}

func (o *outageTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	o.commits.Add(1)
	switch {
	case o.down() && o.delay > 0:
		time.Sleep(o.delay)
		version, err := o.Table.Commit(context.WithoutCancel(ctx), c)
		if ctx.Err() != nil {
			return 0, o.lost(ctx, true)
		}
		return version, err
	case o.down() && o.applies:
		_, _ = o.Table.Commit(ctx, c)
		return 0, o.lost(ctx, true)
	case o.down():
		return 0, o.lost(ctx, true)
	default:
		sleep(ctx, 10*time.Millisecond)
	}
	return o.Table.Commit(ctx, c)
}

// newOutageTerm returns the term of an owner whose store has an outage.
func newOutageTerm(table *outageTable) *term {
	table.Table = &guavafake.Table{}
	s := &Scheduler{
		Instance: "a", Clock: wallClock{}, Runner: &countingRunner{}, Table: table, Log: zerolog.Nop(),
		Limits: guavaqueue.Limits{OwnerLease: 5 * time.Second},
	}
	t := &term{scheduler: s, events: make(chan func(), 1024), done: make(chan struct{}), startedAt: time.Now()}
	t.engine.Token = 3
	t.chain = guavaowner.Chain{Head: guavaowner.Head{Epoch: 3, Owner: "a"}}
	t.recordCommit(time.Now())
	t.listAsOf.Store(time.Now().UnixNano())
	s.term.Store(t)
	return t
}

// Guards against an owner that learns late that the store answers again, since all of its
// open attempts were lost in the outage, and against one that sends a slow store more copies
// of a commit, or takes a commit whose answer was lost for one that was not applied.
func TestCommitAfterAnOutage(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		outage  time.Duration
		applies bool
		delay   time.Duration
		// took bounds the time that the commit takes, and commits the attempts.
		took    time.Duration
		commits int64
	}{
		"healthy":                   {took: 10 * time.Millisecond, commits: 1},
		"silent for a short time":   {outage: 700 * time.Millisecond, took: 900 * time.Millisecond, commits: 4},
		"silent, first copies lost": {outage: 1100 * time.Millisecond, took: 1300 * time.Millisecond, commits: 4},
		"silent":                    {outage: 4200 * time.Millisecond, took: 4400 * time.Millisecond, commits: 12},
		"silent for long":           {outage: 9 * second, took: 9200 * time.Millisecond, commits: 20},
		"answers are lost":          {outage: 4 * second, applies: true, took: 4200 * time.Millisecond, commits: 12},
		"late":                      {outage: 20 * second, delay: 800 * time.Millisecond, took: 810 * time.Millisecond, commits: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				start := time.Now()
				table := &outageTable{from: start, to: start.Add(tc.outage), applies: tc.applies, delay: tc.delay}
				tm := newOutageTerm(table)
				require.NoError(t, tm.attemptCommit(t.Context(), nil, false))
				assert.LessOrEqual(t, time.Since(start), tc.took)
				assert.LessOrEqual(t, table.commits.Load(), tc.commits)
				assert.Equal(t, uint64(1), tm.chain.Version)
				assert.Zero(t, tm.failures.Load())
				// The table may still have to answer a copy.
				time.Sleep(attemptTimeout)
			})
		})
	}
}

// lossyTable loses the first commit, refuses the second since there are too many calls,
// and answers all other calls.
type lossyTable struct {
	*guavafake.Table
	commits atomic.Int64
}

func (o *lossyTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	switch o.commits.Add(1) {
	case 1:
		<-ctx.Done()
		return 0, &guavascale.UnavailableError{System: "store", Op: "test", MayHaveApplied: true}
	case 2:
		return 0, &guavascale.UnavailableError{System: "store", Op: "test", Overloaded: true}
	default:
		return o.Table.Commit(ctx, c)
	}
}

// Guards against answered reads of the head that restart the wait for another attempt although
// no extra attempt may be made: after a refusal for too many calls the commit was only
// repeated when the lost attempt had timed out.
func TestAnsweredReadsDoNotDelayTheNextAttempt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		tm := newOutageTerm(&outageTable{})
		table := &lossyTable{Table: &guavafake.Table{}}
		tm.scheduler.Table = table
		start := time.Now()
		require.NoError(t, tm.attemptCommit(t.Context(), nil, false))
		// The second attempt is made after minRepeatAfter and the third twice that later,
		// besides the delays after a refusal.
		assert.Less(t, time.Since(start), 3*minRepeatAfter+200*time.Millisecond)
		var metrics strings.Builder
		tm.scheduler.meters.write(&metrics)
		assert.NotContains(t, metrics.String(), "commit.Extra", "no extra attempt was made")
		time.Sleep(attemptTimeout)
	})
}

// Guards against callers that wait until their time is over for an answer that could have
// been given before, and against an answer "has not run" for a submission that runs.
func TestCallersDuringAnOutage(t *testing.T) {
	const ms = time.Millisecond
	const accepted, rejected, unknown = "accepted", "rejected", "unknown"
	// All outages begin at 1 s.
	cases := map[string]struct {
		outage  time.Duration
		applies bool
		delay   time.Duration
		at      time.Duration
		left    time.Duration
		want    string
		// least and most bound the time after which the call is answered.
		least, most time.Duration
	}{
		"before":                           {outage: 4200 * ms, at: 500 * ms, left: 2940 * ms, want: accepted, most: 60 * ms},
		"in the commit that is lost":       {outage: 4200 * ms, at: 998 * ms, left: 2940 * ms, want: unknown, least: 2500 * ms, most: 2860 * ms},
		"behind the commit that is lost":   {outage: 4200 * ms, at: 1050 * ms, left: 2940 * ms, want: rejected, most: 600 * ms},
		"during a silent outage":           {outage: 4200 * ms, at: 1800 * ms, left: 2940 * ms, want: rejected, most: 50 * ms},
		"last try":                         {outage: 4200 * ms, at: 4900 * ms, left: 1100 * ms, want: rejected, most: 50 * ms},
		"little time":                      {outage: 4200 * ms, at: 3500 * ms, left: 900 * ms, want: rejected, most: 50 * ms},
		"no time":                          {outage: 4200 * ms, at: 3500 * ms, left: 60 * ms, want: rejected, most: 50 * ms},
		"late in a long outage":            {outage: 9 * time.Second, at: 6 * time.Second, left: 2940 * ms, want: rejected, most: 50 * ms},
		"after":                            {outage: 4200 * ms, at: 5700 * ms, left: 2940 * ms, want: accepted, most: 60 * ms},
		"behind a commit without answer":   {outage: 4200 * ms, applies: true, at: 1050 * ms, left: 2940 * ms, want: rejected, most: 600 * ms},
		"in the commit without answer":     {outage: 4200 * ms, applies: true, at: 998 * ms, left: 2940 * ms, want: unknown, least: 2500 * ms, most: 2860 * ms},
		"short outage":                     {outage: 300 * ms, at: 1050 * ms, left: 2940 * ms, want: accepted, most: 600 * ms},
		"store becomes slow":               {outage: 20 * time.Second, delay: 300 * ms, at: 1050 * ms, left: 2940 * ms, want: accepted, most: 700 * ms},
		"store has been slow":              {outage: 20 * time.Second, delay: 500 * ms, at: 15 * time.Second, left: 2940 * ms, want: accepted, most: 1100 * ms},
		"in a commit that is late":         {outage: 4200 * ms, delay: 1500 * ms, at: 998 * ms, left: 2940 * ms, want: unknown, least: 2500 * ms, most: 2860 * ms},
		"behind a commit that is late":     {outage: 4200 * ms, delay: 1500 * ms, at: 1050 * ms, left: 2940 * ms, want: rejected, most: 600 * ms},
		"during late commits":              {outage: 4200 * ms, delay: 1500 * ms, at: 2500 * ms, left: 2940 * ms, want: rejected, most: 50 * ms},
		"after late commits":               {outage: 4200 * ms, delay: 1500 * ms, at: 5700 * ms, left: 2940 * ms, want: accepted, most: 60 * ms},
		"store has been slow, little time": {outage: 20 * time.Second, delay: 900 * ms, at: 15 * time.Second, left: 300 * ms, want: unknown, most: 290 * ms},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				start := time.Now()
				table := &outageTable{from: start.Add(time.Second), to: start.Add(time.Second + tc.outage), applies: tc.applies, delay: tc.delay}
				tm := newOutageTerm(table)
				tm.openPools()
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					_ = tm.run(ctx)
					close(ended)
				}()
				sleep(ctx, tc.at)
				callCtx, cancelCall := context.WithTimeout(ctx, tc.left)
				arrived := time.Now()
				err := tm.scheduler.Submit(callCtx, guavascale.Submission{ID: "s", Queue: "q", Steps: []guavascale.Step{{Count: 1}}})
				cancelCall()
				took := time.Since(arrived)
				assert.Equal(t, tc.want, outcomeOf(err), "%v", err)
				assert.GreaterOrEqual(t, took, tc.least)
				assert.LessOrEqual(t, took, tc.most)
				sleep(ctx, tc.outage+10*time.Second)
				_, err = table.Table.Get(ctx, "Submission/s")
				assert.Equal(t, tc.want == rejected, err != nil, "a rejected submission never runs")
				cancel()
				<-ended
				tm.closePools()
				// The purge of a pool ends with its next tick.
				time.Sleep(idleCallTime + time.Second)
			})
		})
	}
}

// outcomeOf returns what a caller learns of its submission.
func outcomeOf(err error) string {
	var (
		rejectedErr *guavascale.RejectedError
		unavailable *guavascale.UnavailableError
	)
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &rejectedErr):
		return "rejected"
	case errors.As(err, &unavailable) && unavailable.MayHaveApplied:
		return "unknown"
	default:
		return err.Error()
	}
}

// Guards against daemons that forget the owner during an outage of the store, which only the
// store could tell them again: callers waited 400 ms for "no owner is known", and were rejected
// after the outage until each daemon had read the head.
func TestDaemonsKeepAnOwnerThatCannotCommit(t *testing.T) {
	table := &outageTable{Table: &guavafake.Table{}, from: time.Now(), to: time.Now().Add(time.Hour)}
	a, b := newPeer(t, "a", wallClock{}, &guavafake.Table{}), newPeer(t, "b", wallClock{}, table)
	tm := newOwnerTerm(t, a)
	t.Cleanup(tm.closePools)
	tm.failures.Store(outageThreshold)
	tm.lastCommit.Store(time.Now().Add(-2 * staleCommitAge).UnixNano())
	go func() {
		for f := range tm.events {
			f()
		}
	}()
	t.Cleanup(func() { close(tm.events) })
	b.ownerAddr.Store(&a.Address)
	start(t, b)
	time.Sleep(2*pingInterval + pingTimeout)
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err := b.Submit(ctx, guavascale.Submission{ID: "s", Steps: []guavascale.Step{{Count: 1}}})
	assert.ErrorContains(t, err, "the store can't be reached")
	assert.Less(t, time.Since(arrived), ownerWaitTimeout)

	tm.recordCommit(time.Now())
	_, err = b.Pending(ctx, guavascale.Queue{Name: "q"})
	require.NoError(t, err, "the owner is reached as soon as it commits")
}

// Guards against reads that cost their callers all of their time during an outage, whether
// the owner is known or not: of 24 calls that were held, most asked for a state.
func TestReadsDuringAnOutage(t *testing.T) {
	cases := map[string]struct{ owns bool }{"owner": {true}, "no owner is known": {false}}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				now := time.Now()
				tm := newOutageTerm(&outageTable{from: now, to: now.Add(time.Hour)})
				if !tc.owns {
					tm.scheduler.term.Store(nil)
				}
				tm.failures.Store(outageThreshold)
				go func() {
					for f := range tm.events {
						f()
					}
				}()
				defer close(tm.events)
				time.Sleep(2 * staleCommitAge)
				ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
				defer cancel()
				start := time.Now()
				_, err := tm.scheduler.State(ctx, "s")
				assert.Equal(t, "rejected", outcomeOf(err))
				assert.LessOrEqual(t, time.Since(start), 1600*time.Millisecond)
			})
		})
	}
}

// Guards against an answer that is not true in an outage of any kind: what is accepted is
// stored, and what is rejected is not and never will be.
func TestAnswersInRandomOutagesAreTrue(t *testing.T) {
	const calls = 60
	outcomes := make(map[string]int)
	for seed := range uint64(40) {
		bubbletest.Run(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			random := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
			from := time.Now().Add(random(2 * time.Second))
			table := &outageTable{from: from, to: from.Add(random(6 * time.Second)), applies: seed%3 == 1}
			if seed%3 == 2 {
				table.delay = random(2 * time.Second)
			}
			tm := newOutageTerm(table)
			tm.openPools()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				_ = tm.run(ctx)
				close(ended)
			}()
			results := make(chan [2]string, calls)
			for i := range calls {
				at, left, id := random(9*time.Second), 50*time.Millisecond+random(3*time.Second), strconv.Itoa(i)
				go func() {
					time.Sleep(at)
					callCtx, cancelCall := context.WithTimeout(ctx, left)
					defer cancelCall()
					err := tm.scheduler.Submit(callCtx, guavascale.Submission{ID: id, Queue: "q", Steps: []guavascale.Step{{Count: 1}}})
					results <- [2]string{id, outcomeOf(err)}
				}()
			}
			answers := make(map[string]string)
			for range calls {
				res := <-results
				answers[res[0]] = res[1]
			}
			time.Sleep(10 * time.Second)
			for id, outcome := range answers {
				outcomes[outcome]++
				_, err := table.Table.Get(ctx, "Submission/"+id)
				switch outcome {
				case "accepted":
					assert.NoError(t, err, "seed %d: %s was accepted", seed, id)
				case "rejected":
					assert.Error(t, err, "seed %d: %s was rejected", seed, id)
				default:
					assert.Equal(t, "unknown", outcome)
				}
			}
			cancel()
			<-ended
			tm.closePools()
			time.Sleep(idleCallTime + time.Second)
		})
	}
	t.Log(outcomes)
	for _, outcome := range []string{"accepted", "rejected", "unknown"} {
		assert.Positive(t, outcomes[outcome], outcome)
	}
}
