package guavalog

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavascale.example"
	"guavascale.example/guavalease"
	_ "guavascale.example/internal/fixedseed"
	"guavascale.example/internal/storetest"
)

const testPartition guavascale.Partition = "Claim-1"

// owner stands for the lease of one daemon; take moves ownership to it.
type owner struct {
	mu    sync.Mutex
	right guavalease.Lease
	err   error
}

func (o *owner) may(guavascale.Partition) (guavalease.Lease, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.right, o.err
}

func (o *owner) lapse() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = &guavascale.LeaseError{Partition: testPartition, Reason: "lapsed"}
}

// take writes the owner row as a takeover does.
func take(t *storetest.Table, epoch uint64) *owner {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	key := guavalease.OwnerKey(testPartition)
	t.Version++
	t.Rows[key] = guavascale.Row{Key: key, Version: t.Version}
	return &owner{right: guavalease.Lease{Epoch: epoch, Owner: guavascale.Condition{Key: key, Version: t.Version}}}
}

func open(tb require.TestingT, table *storetest.Table, objects *storetest.Objects, o *owner) (*Log, Recovered) {
	l := New(Options{Partition: testPartition, Table: table, Objects: objects, Right: o.may})
	rec, err := l.Recover(context.Background())
	require.NoError(tb, err)
	return l, rec
}

func record(i int) json.RawMessage { return json.RawMessage(fmt.Sprint(i)) }

func appendOne(l *Log, i int, conds ...guavascale.Condition) <-chan Result {
	done := make(chan Result, 1)
	l.Append(Entry{Records: []json.RawMessage{record(i)}, Conditions: conds, Done: func(r Result) { done <- r }})
	return done
}

func records(rec Recovered) map[string]int {
	n := map[string]int{}
	for _, b := range rec.Batches {
		for _, r := range b.Records {
			n[string(r)]++
		}
	}
	return n
}

// Guards against records that are lost, written twice, or reported wrongly when
// the store fails during an append.
func TestAppendUnderFaults(t *testing.T) {
	badCond := guavascale.Condition{Key: "Inbox/x", Version: 99}
	cases := map[string]func(*storetest.Table){
		"NoFault":        func(*storetest.Table) {},
		"AnswerLost":     func(m *storetest.Table) { m.SetLoseAnswers(1) },
		"AnswersLost":    func(m *storetest.Table) { m.SetLoseAnswers(3) },
		"CommitLate":     func(m *storetest.Table) { m.DelayCommits = 1 },
		"CommitsLate":    func(m *storetest.Table) { m.DelayCommits = 3 },
		"DownThenReturn": func(m *storetest.Table) { m.SetDown(true); time.AfterFunc(20*time.Second, func() { m.SetDown(false) }) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				l, _ := open(t, table, objects, take(table, 1))
				fault(table)
				waits := []<-chan Result{}
				for i := range 20 {
					if i == 7 {
						waits = append(waits, appendOne(l, i, badCond))
					} else {
						waits = append(waits, appendOne(l, i))
					}
				}
				for i, wait := range waits {
					r := <-wait
					if i == 7 {
						var cond *guavascale.ConditionError
						require.ErrorAs(t, r.Err, &cond)
						continue
					}
					require.NoError(t, r.Err)
				}
				_, rec := open(t, table, objects, take(table, 2))
				n := records(rec)
				assert.Len(t, n, 19)
				assert.Zero(t, n["7"])
				for r, times := range n {
					assert.Equal(t, 1, times, r)
				}
			})
		})
	}
}

// Guards against a former owner that appends, and against waiting appends that
// never hear that the right ended.
func TestAppendAfterTheRightEnded(t *testing.T) {
	cases := map[string]func(*storetest.Table, *owner){
		"OwnerRowChanged": func(m *storetest.Table, _ *owner) { take(m, 2) },
		"Lapsed":          func(_ *storetest.Table, o *owner) { o.lapse() },
		"LapsedInOutage": func(m *storetest.Table, o *owner) {
			m.SetDown(true)
			time.AfterFunc(9*time.Second, o.lapse)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				o := take(table, 1)
				l, _ := open(t, table, objects, o)
				require.NoError(t, (<-appendOne(l, 0)).Err)
				end(table, o)
				first, second := appendOne(l, 1), appendOne(l, 2)
				var lease *guavascale.LeaseError
				require.ErrorAs(t, (<-first).Err, &lease)
				require.ErrorAs(t, (<-second).Err, &lease)
				table.SetDown(false)
				_, rec := open(t, table, objects, take(table, 3))
				assert.Equal(t, map[string]int{"0": 1}, records(rec))
			})
		})
	}
}

// Guards against an append that was reported as failed and takes effect later,
// when its first commit was delayed and its condition holds again.
func TestRejectedAppendStaysOut(t *testing.T) {
	for name, others := range map[string]int{"Alone": 0, "WithOthers": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				l, _ := open(t, table, objects, take(table, 1))
				l.opt.Linger = 10 * time.Millisecond
				table.DelayCommits, table.HoldDelayed = 1, true
				rejected := appendOne(l, 0, guavascale.Condition{Key: "Inbox/x"})
				for i := range others {
					appendOne(l, i+1)
				}
				time.Sleep(11 * time.Millisecond)
				put := guavascale.Commit{ID: "put", Writes: []guavascale.Write{{Key: "Inbox/x"}}}
				_, err := table.Commit(context.Background(), put)
				require.NoError(t, err)
				var cond *guavascale.ConditionError
				require.ErrorAs(t, (<-rejected).Err, &cond)
				table.HoldDelayed = false
				put.Writes[0].Delete = true
				_, err = table.Commit(context.Background(), put)
				require.NoError(t, err)
				_, rec := open(t, table, objects, take(table, 2))
				n := records(rec)
				assert.Zero(t, n["0"])
				assert.Len(t, n, others)
			})
		})
	}
}

// Guards against committed records that a recovery does not return, under
// random faults, snapshots and changes of the owner.
func TestNoCommittedRecordIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) { runHistory(rt, rand.New(rand.NewPCG(seed, 1))) })
	})
}

func runHistory(t *rapid.T, rnd *rand.Rand) {
	table, objects := storetest.New(), storetest.NewObjects()
	committed, failed := map[string]bool{}, map[string]bool{}
	var mu sync.Mutex
	next := 0
	// The last epoch checks the one before it.
	for epoch := uint64(1); epoch < 7; epoch++ {
		table.SetDown(false)
		l, rec := open(t, table, objects, take(table, epoch))
		have := records(rec)
		for _, r := range decodeState(rec.Snapshot) {
			have[r]++
		}
		mu.Lock()
		for r := range committed {
			require.Equal(t, 1, have[r], "record %s", r)
		}
		for r := range failed {
			require.Zero(t, have[r], "record %s", r)
		}
		mu.Unlock()
		var state []string
		for r := range have {
			state = append(state, r)
		}
		last := rec.Sequence + uint64(len(rec.Batches))
		if rnd.IntN(2) == 0 {
			value, _ := json.Marshal(state)
			table.SetLoseAnswers(rnd.IntN(2))
			_ = l.Snapshot(context.Background(), last, value)
		}
		for range rnd.IntN(30) {
			table.Mu.Lock()
			table.Down = rnd.IntN(6) == 0
			table.LoseAnswers = rnd.IntN(8) / 7
			table.DelayCommits = rnd.IntN(8) / 7
			table.Mu.Unlock()
			name := string(record(next))
			l.Append(Entry{Records: []json.RawMessage{record(next)}, Done: func(r Result) {
				mu.Lock()
				defer mu.Unlock()
				if r.Err == nil {
					committed[name] = true
				} else if !r.MayHaveApplied {
					failed[name] = true
				}
			}})
			next++
			time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
		}
	}
	table.SetDown(false)
	time.Sleep(time.Minute)
}

func decodeState(value []byte) []string {
	var state []string
	_ = json.Unmarshal(value, &state)
	return state
}

// snapshotTable runs a function before the first read of log rows.
type snapshotTable struct {
	*storetest.Table
	before func()
}

func (s *snapshotTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// Guards against a recovery that misses rows which an earlier log of the same
// ownership replaced by a snapshot meanwhile.
func TestRecoverDuringSnapshot(t *testing.T) {
	table, objects := storetest.New(), storetest.NewObjects()
	o := take(table, 1)
	old, _ := open(t, table, objects, o)
	for i := range 3 {
		require.NoError(t, (<-appendOne(old, i)).Err)
	}
	hooked := &snapshotTable{Table: table, before: func() {
		require.NoError(t, old.Snapshot(context.Background(), 3, []byte("state")))
	}}
	l := New(Options{Partition: testPartition, Table: hooked, Objects: objects, Right: o.may})
	rec, err := l.Recover(context.Background())
	require.NoError(t, err)
	assert.Equal(t, Recovered{Snapshot: []byte("state"), Sequence: 3}, rec)
}

// Guards against rows and objects that pile up after snapshots.
func TestSnapshotRemovesWhatItReplaces(t *testing.T) {
	table, objects := storetest.New(), storetest.NewObjects()
	l, _ := open(t, table, objects, take(table, 1))
	var last uint64
	for round := range 3 {
		for i := range 2*trimPage + 1 {
			r := <-appendOne(l, i)
			require.NoError(t, r.Err)
			last = r.Sequence
		}
		require.NoError(t, l.Snapshot(context.Background(), last, []byte{byte(round)}))
	}
	assert.Len(t, objects.Data, 1)
	assert.Len(t, table.Rows, 2)
	_, rec := open(t, table, objects, take(table, 2))
	assert.Equal(t, Recovered{Snapshot: []byte{2}, Sequence: last}, rec)
}

// Guards against row decoders that fail in other ways than with an error.
func FuzzDecodeRows(f *testing.F) {
	f.Add(logKey(testPartition, 7), []byte(`{"Epoch":1,"Records":[1,{"a":2}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := guavascale.Row{Key: key, Value: value}
		if b, err := decodeBatch(testPartition, row); err == nil {
			require.Equal(t, key, logKey(testPartition, b.Sequence))
		}
		_, _ = decodeSnap(row)
	})
}

// BenchmarkAppend measures appends per second with 2 ms per commit.
func BenchmarkAppend(b *testing.B) {
	table, objects := storetest.New(), storetest.NewObjects()
	table.Latency = 2 * time.Millisecond
	l, _ := open(b, table, objects, take(table, 1))
	b.SetParallelism(100)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			<-appendOne(l, 1)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
}
