package guavaclaim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavascale.example"
	"guavascale.example/guavalease"
	"guavascale.example/internal/bubbletest"
	_ "guavascale.example/internal/fixedseed"
	"guavascale.example/internal/storetest"
)

// daemon is a Partitions with its leases, which expire and are renewed
// together.
type daemon struct {
	*Partitions
	mu     sync.Mutex
	err    error
	leases map[guavascale.Partition]guavalease.Lease
}

func (d *daemon) check(p guavascale.Partition) (guavalease.Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.leases[p]; !ok || d.err != nil {
		return guavalease.Lease{}, &guavascale.LeaseError{Partition: p, Reason: "expired"}
	}
	return d.leases[p], nil
}

func (d *daemon) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = context.Canceled
}

// renew makes the leases valid again after they expired without a takeover.
func (d *daemon) renew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = nil
}

// startOwner starts a daemon that takes over the partitions of the keys.
func startOwner(table *storetest.Table, objects *storetest.Objects, epoch uint64, opt Options, keys ...string) *daemon {
	d := &daemon{leases: map[guavascale.Partition]guavalease.Lease{}}
	opt.Table, opt.Objects, opt.CheckLease = table, objects, d.check
	d.Partitions = NewPartitions(opt)
	for _, key := range keys {
		p := PartitionOf(key)
		row := guavalease.OwnerKey(p)
		if _, ok := d.leases[p]; ok {
			continue
		}
		table.Mu.Lock()
		table.Version++
		table.Rows[row] = guavascale.Row{Key: row, Version: table.Version}
		cond := guavascale.Condition{Key: row, Version: table.Version}
		table.Mu.Unlock()
		d.leases[p] = guavalease.Lease{Epoch: epoch, Owner: cond}
		_ = d.Load(context.Background(), p)
	}
	return d
}

func newStore() (*storetest.Table, *storetest.Objects) {
	return storetest.New(), storetest.NewObjects()
}

func requireAlreadyRun(t require.TestingT, c guavascale.Claims, key string) *guavascale.Answer {
	_, err := c.Claim(context.Background(), key)
	var taken *guavascale.AlreadyRunError
	require.ErrorAs(t, err, &taken)
	return taken.Answer
}

// Guards against a key that is granted twice by one owner, or again by the
// next owner.
func TestClaimIsGrantedOnce(t *testing.T) {
	ctx := context.Background()
	answer := guavascale.Answer{Status: 201, Body: []byte("done")}
	cases := map[string]struct {
		act    func(*testing.T, *daemon, guavascale.ClaimToken)
		answer *guavascale.Answer
		free   bool
	}{
		"NoEnd": {act: func(*testing.T, *daemon, guavascale.ClaimToken) {}},
		"Finished": {answer: &answer, act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			require.NoError(t, d.Finish(ctx, token, answer))
		}},
		"LargeAnswer": {act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			require.NoError(t, d.Finish(ctx, token, guavascale.Answer{Body: bytes.Repeat([]byte("x"), MaxAnswerBytes+1)}))
		}},
		"Released": {free: true, act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			require.NoError(t, d.Release(ctx, token))
			require.NoError(t, d.Release(ctx, token))
		}},
		"ReleaseAnswerLost": {free: true, act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			d.opt.Table.(*storetest.Table).SetLoseAnswers(1)
			require.NoError(t, d.Release(ctx, token))
		}},
		"OldToken": {act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			token.ID = "other"
			require.NoError(t, d.Release(ctx, token))
		}},
		"AnswerTooOld": {act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			require.NoError(t, d.Finish(ctx, token, answer))
			time.Sleep(11 * time.Minute)
		}},
		"KeyTooOld": {free: true, act: func(t *testing.T, d *daemon, token guavascale.ClaimToken) {
			require.NoError(t, d.Finish(ctx, token, answer))
			time.Sleep(61 * time.Minute)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := newStore()
				d := startOwner(table, objects, 1, Options{}, "k")
				token, err := d.Claim(ctx, "k")
				require.NoError(t, err)
				tc.act(t, d, token)
				time.Sleep(time.Second)
				next := startOwner(table, objects, 2, Options{}, "k")
				if !tc.free {
					assert.Nil(t, requireAlreadyRun(t, next, "k"))
					return
				}
				if name == "KeyTooOld" {
					requireAlreadyRun(t, next, "k") // Its age counts from the recovery.
					time.Sleep(61 * time.Minute)
				}
				_, err = next.Claim(ctx, "k")
				require.NoError(t, err)
			})
		})
		t.Run(name+"SameOwner", func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := newStore()
				d := startOwner(table, objects, 1, Options{}, "k")
				token, err := d.Claim(ctx, "k")
				require.NoError(t, err)
				tc.act(t, d, token)
				if tc.free {
					_, err = d.Claim(ctx, "k")
					require.NoError(t, err)
					return
				}
				assert.Equal(t, tc.answer, requireAlreadyRun(t, d, "k"))
			})
		})
	}
}

// Guards against a key that stays claimed although its caller gave up before
// the claim was granted, so that its request was not sent, and against a log
// that rejects claims after the lease expired in an outage and was renewed. In
// that case the claim may be in the log although its caller got an error and
// did not send the request.
func TestKeyIsFreeAfterAnOutage(t *testing.T) {
	tests := map[string]struct{ expires, committed bool }{
		"CallerGaveUp": {},
		"LeaseExpired": {expires: true},
		"AnswerLost":   {expires: true, committed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := newStore()
				d := startOwner(table, objects, 1, Options{}, "k")
				if tt.committed {
					table.DownAfterCommit = true
				} else {
					table.SetDown(true)
				}
				if tt.expires {
					time.AfterFunc(5*time.Second, d.expire)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_, err := d.Claim(ctx, "k")
				var down *guavascale.UnavailableError
				require.ErrorAs(t, err, &down)
				time.Sleep(20 * time.Second)
				table.SetDown(false)
				d.renew()
				time.Sleep(5 * time.Second)
				token, err := d.Claim(context.Background(), "k")
				if tt.expires {
					require.ErrorAs(t, err, &down) // This claim starts the recovery.
					time.Sleep(5 * time.Second)
					token, err = d.Claim(context.Background(), "k")
				}
				require.NoError(t, err)
				assert.Equal(t, "k", token.Key)
			})
		})
	}
}

// Guards against keys beyond the limit, and against old keys being dropped at
// the limit.
func TestFullTableRefusesNewKeys(t *testing.T) {
	table, objects := newStore()
	d := startOwner(table, objects, 1, Options{MaxKeys: 2}, "a", "b", "c")
	ctx := context.Background()
	for _, key := range []string{"a", "b"} {
		_, err := d.Claim(ctx, key)
		require.NoError(t, err)
	}
	_, err := d.Claim(ctx, "c")
	var full *FullError
	require.ErrorAs(t, err, &full)
	var down *guavascale.UnavailableError
	require.ErrorAs(t, err, &down)
	requireAlreadyRun(t, d, "a")
	assert.Equal(t, 2, d.Keys())
}

// Guards against a table that fills up because one claim whose commit has no outcome
// yet keeps all later keys from expiring.
func TestKeysExpireBehindAPendingClaim(t *testing.T) {
	p := &Partitions{opt: Options{KeepKeys: time.Minute}}
	table := newTable("Claim-0", nil)
	old := time.Unix(1000, 0)
	for i, state := range []claimState{statePending, stateClaimed, stateClaimed} {
		table.add(&claim{key: fmt.Sprint(i), claimedAt: old, state: state})
	}
	table.add(&claim{key: "new", claimedAt: old.Add(time.Hour), state: stateClaimed})
	p.expireKeys(table, old.Add(time.Hour))
	assert.Len(t, table.keys, 2)
	assert.Contains(t, table.keys, "0", "its outcome is not known")
	assert.Contains(t, table.keys, "new")
}

// Guards against a key that is granted twice, or granted again after a
// release that was not logged, under faults, pauses and ownership changes.
func TestEachKeyIsGrantedAtMostOnce(t *testing.T) {
	total := new(atomic.Int64)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		bubbletest.Run(t, func(*testing.T) { runClaims(rt, rand.New(rand.NewPCG(seed, 1)), total) })
	})
	assert.Positive(t, total.Load())
}

func runClaims(t *rapid.T, rnd *rand.Rand, total *atomic.Int64) {
	table, objects := newStore()
	keys := []string{}
	for i := range 12 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	var mu sync.Mutex
	granted := map[string]int{}
	var calls sync.WaitGroup
	request := func(d *daemon, key string, timeout time.Duration, release bool) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		token, err := d.Claim(ctx, key)
		if err != nil {
			return
		}
		total.Add(1)
		mu.Lock()
		granted[key]++
		n := granted[key]
		mu.Unlock()
		if n > 1 {
			t.Errorf("key %s was granted twice", key)
		}
		if !release {
			_ = d.Finish(ctx, token, guavascale.Answer{Status: 200})
			return
		}
		// The request did not run; it counts as not granted from here on.
		mu.Lock()
		granted[key]--
		mu.Unlock()
		_ = d.Release(ctx, token)
	}
	var daemons []*daemon
	for epoch := uint64(1); epoch < 6; epoch++ {
		table.SetDown(false)
		daemons = append(daemons, startOwner(table, objects, epoch, Options{SnapshotRecords: 3}, keys...))
		for range 40 {
			table.Mu.Lock()
			table.Down = rnd.IntN(6) == 0
			table.LoseAnswers = rnd.IntN(6) / 5
			table.DelayCommits = rnd.IntN(6) / 5
			table.Mu.Unlock()
			d := daemons[max(len(daemons)-1-rnd.IntN(2), 0)]
			key, timeout, release := keys[rnd.IntN(len(keys))], time.Duration(rnd.IntN(3000)+1)*time.Millisecond, rnd.IntN(3) == 0
			calls.Go(func() { request(d, key, timeout, release) })
			if rnd.IntN(10) == 0 {
				d.expire()
				time.AfterFunc(time.Duration(rnd.IntN(3000))*time.Millisecond, d.renew)
			}
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		}
	}
	table.SetDown(false)
	calls.Wait()
	for _, d := range daemons {
		d.expire()
	}
	time.Sleep(time.Minute)
}

// remoteStub records the partitions of the calls that leave the daemon.
type remoteStub struct{ calls []guavascale.Partition }

func (r *remoteStub) Claim(_ context.Context, p guavascale.Partition, _ string) (guavascale.ClaimToken, error) {
	r.calls = append(r.calls, p)
	return guavascale.ClaimToken{}, nil
}

func (r *remoteStub) Finish(_ context.Context, t guavascale.ClaimToken, _ guavascale.Answer) error {
	r.calls = append(r.calls, t.Partition)
	return nil
}

func (r *remoteStub) Release(_ context.Context, t guavascale.ClaimToken) error {
	r.calls = append(r.calls, t.Partition)
	return nil
}

// Guards against a key that is claimed anywhere but at its owner.
func TestRouterPicksTheOwner(t *testing.T) {
	table, objects := newStore()
	remote := &remoteStub{}
	r := &Router{Local: startOwner(table, objects, 1, Options{}, "mine").Partitions, Remote: remote}
	ctx := context.Background()
	token, err := r.Claim(ctx, "mine")
	require.NoError(t, err)
	require.NoError(t, r.Release(ctx, token))
	assert.Empty(t, remote.calls)
	other := PartitionOf("other")
	require.NotEqual(t, PartitionOf("mine"), other)
	_, err = r.Claim(ctx, "other")
	require.NoError(t, err)
	require.NoError(t, r.Finish(ctx, guavascale.ClaimToken{Partition: other}, guavascale.Answer{}))
	require.NoError(t, r.Release(ctx, guavascale.ClaimToken{Partition: other}))
	assert.Equal(t, []guavascale.Partition{other, other, other}, remote.calls)
}

// Guards against record decoders that panic or lose data in a round trip.
func FuzzDecodeRecords(f *testing.F) {
	f.Add([]byte(`{"Kind":"Claim","Key":"k","ID":"1"}`))
	f.Add([]byte(`[{"Key":"k","ID":"1","AgeMs":5}]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := decodeRecord(value); err == nil {
			again, err := decodeRecord(encodeRecord(r))
			require.NoError(t, err)
			require.Equal(t, r, again)
		}
		_, _ = decodeSnapshot(value)
	})
}

// BenchmarkClaim measures claims per second at one owner of all partitions,
// with 2 ms per commit.
func BenchmarkClaim(b *testing.B) {
	table, objects := newStore()
	table.Latency = 2 * time.Millisecond
	keys := make([]string, 2000)
	for i := range keys {
		keys[i] = fmt.Sprint(i)
	}
	d := startOwner(table, objects, 1, Options{MaxKeys: 1 << 30}, keys...)
	var n atomic.Int64
	b.SetParallelism(100)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			token, err := d.Claim(context.Background(), fmt.Sprintf("key-%d", n.Add(1)))
			if err != nil {
				b.Error(err)
				return
			}
			_ = d.Finish(context.Background(), token, guavascale.Answer{})
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}
