package guavalog

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
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

const testPartition guavascale.Partition = "Claim-1"

// fakeLease simulates the ownership lease of one daemon; takeOwnership transfers
// ownership to it.
type fakeLease struct {
	mu    sync.Mutex
	lease guavalease.Lease
	err   error
}

func (o *fakeLease) current(guavascale.Partition) (guavalease.Lease, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease, o.err
}

func (o *fakeLease) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = &guavascale.LeaseError{Partition: testPartition, Reason: "lapsed"}
}

// takeOwnership writes the owner row as a takeover does.
func takeOwnership(t *storetest.Table, epoch uint64) *fakeLease {
	t.Mu.Lock()
	defer t.Mu.Unlock()
	key := guavalease.OwnerKey(testPartition)
	t.Version++
	t.Rows[key] = guavascale.Row{Key: key, Version: t.Version}
	return &fakeLease{lease: guavalease.Lease{Epoch: epoch, Owner: guavascale.Condition{Key: key, Version: t.Version}}}
}

func open(tb require.TestingT, table *storetest.Table, objects *storetest.Objects, o *fakeLease) (*Log, Recovered) {
	l := New(Options{Partition: testPartition, Table: table, Objects: objects, CheckLease: o.current})
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

func countRecords(rec Recovered) map[string]int {
	n := map[string]int{}
	for _, b := range rec.Batches {
		for _, r := range b.Records {
			n[string(r)]++
		}
	}
	return n
}

// Guards against records that are lost, written twice, or reported with the wrong
// result when the store fails during an append.
func TestAppendUnderFaults(t *testing.T) {
	badCond := guavascale.Condition{Key: "Inbox/x", Version: 99}
	cases := map[string]func(*storetest.Table){
		"NoFault":        func(*storetest.Table) {},
		"ResponseLost":   func(m *storetest.Table) { m.SetLoseAnswers(1) },
		"ResponsesLost":  func(m *storetest.Table) { m.SetLoseAnswers(3) },
		"CommitDelayed":  func(m *storetest.Table) { m.DelayCommits = 1 },
		"CommitsDelayed": func(m *storetest.Table) { m.DelayCommits = 3 },
		"Outage":         func(m *storetest.Table) { m.SetDown(true); time.AfterFunc(20*time.Second, func() { m.SetDown(false) }) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				l, _ := open(t, table, objects, takeOwnership(table, 1))
				fault(table)
				results := []<-chan Result{}
				for i := range 20 {
					if i == 7 {
						results = append(results, appendOne(l, i, badCond))
					} else {
						results = append(results, appendOne(l, i))
					}
				}
				for i, result := range results {
					r := <-result
					if i == 7 {
						var cond *guavascale.ConditionError
						require.ErrorAs(t, r.Err, &cond)
						continue
					}
					require.NoError(t, r.Err)
				}
				_, rec := open(t, table, objects, takeOwnership(table, 2))
				n := countRecords(rec)
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
// never get a result after the lease was lost.
func TestAppendAfterLeaseLoss(t *testing.T) {
	cases := map[string]func(*storetest.Table, *fakeLease){
		"OwnerRowChanged": func(m *storetest.Table, _ *fakeLease) { takeOwnership(m, 2) },
		"Expired":         func(_ *storetest.Table, o *fakeLease) { o.expire() },
		"ExpiredDuringOutage": func(m *storetest.Table, o *fakeLease) {
			m.SetDown(true)
			time.AfterFunc(9*time.Second, o.expire)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				o := takeOwnership(table, 1)
				l, _ := open(t, table, objects, o)
				require.NoError(t, (<-appendOne(l, 0)).Err)
				end(table, o)
				first, second := appendOne(l, 1), appendOne(l, 2)
				var lease *guavascale.LeaseError
				require.ErrorAs(t, (<-first).Err, &lease)
				require.ErrorAs(t, (<-second).Err, &lease)
				table.SetDown(false)
				_, rec := open(t, table, objects, takeOwnership(table, 3))
				assert.Equal(t, map[string]int{"0": 1}, countRecords(rec))
			})
		})
	}
}

// Guards against an append that was reported as failed and takes effect later,
// because its first commit was delayed until its condition held again.
func TestRejectedAppendIsNeverApplied(t *testing.T) {
	for name, others := range map[string]int{"Alone": 0, "WithOthers": 2} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table, objects := storetest.New(), storetest.NewObjects()
				l, _ := open(t, table, objects, takeOwnership(table, 1))
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
				_, rec := open(t, table, objects, takeOwnership(table, 2))
				n := countRecords(rec)
				assert.Zero(t, n["0"])
				assert.Len(t, n, others)
			})
		})
	}
}

// Guards against committed records that recovery does not return, under random
// faults, snapshots and changes of ownership.
func TestNoCommittedRecordIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		bubbletest.Run(t, func(*testing.T) { runRandomHistory(rt, rand.New(rand.NewPCG(seed, 1))) })
	})
}

func runRandomHistory(t *rapid.T, rnd *rand.Rand) {
	table, objects := storetest.New(), storetest.NewObjects()
	committed, failed := map[string]bool{}, map[string]bool{}
	var mu sync.Mutex
	next := 0
	// Each epoch checks the records of the earlier ones, so those of the last
	// epoch are not checked.
	for epoch := uint64(1); epoch < 7; epoch++ {
		table.SetDown(false)
		l, rec := open(t, table, objects, takeOwnership(table, epoch))
		have := countRecords(rec)
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

// scanHookTable calls a function before the first scan of log rows.
type scanHookTable struct {
	*storetest.Table
	beforeScan func()
}

func (s *scanHookTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if s.beforeScan != nil {
		before := s.beforeScan
		s.beforeScan = nil
		before()
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// Guards against a log that loses its end in a recovery, since the table returns fewer rows
// per page than it is asked for.
func TestRecoverFromShortPages(t *testing.T) {
	table, objects := storetest.New(), storetest.NewObjects()
	o := takeOwnership(table, 1)
	old, _ := open(t, table, objects, o)
	for i := range 10 {
		require.NoError(t, (<-appendOne(old, i)).Err)
	}
	table.PageRows = 3
	_, rec := open(t, table, objects, o)
	assert.Len(t, countRecords(rec), 10)
}

// Guards against a recovery that misses rows because an earlier Log of the same
// ownership replaces them with a snapshot during the recovery.
func TestRecoverDuringSnapshot(t *testing.T) {
	table, objects := storetest.New(), storetest.NewObjects()
	o := takeOwnership(table, 1)
	old, _ := open(t, table, objects, o)
	for i := range 3 {
		require.NoError(t, (<-appendOne(old, i)).Err)
	}
	hooked := &scanHookTable{Table: table, beforeScan: func() {
		require.NoError(t, old.Snapshot(context.Background(), 3, []byte("state")))
	}}
	l := New(Options{Partition: testPartition, Table: hooked, Objects: objects, CheckLease: o.current})
	rec, err := l.Recover(context.Background())
	require.NoError(t, err)
	assert.Equal(t, Recovered{Snapshot: []byte("state"), Sequence: 3}, rec)
}

// Guards against replaced rows and objects that accumulate after snapshots.
func TestSnapshotRemovesReplacedRowsAndObjects(t *testing.T) {
	table, objects := storetest.New(), storetest.NewObjects()
	l, _ := open(t, table, objects, takeOwnership(table, 1))
	var last uint64
	for round := range 3 {
		for i := range 2*trimPageRows + 1 {
			r := <-appendOne(l, i)
			require.NoError(t, r.Err)
			last = r.Sequence
		}
		require.NoError(t, l.Snapshot(context.Background(), last, []byte{byte(round)}))
	}
	assert.Len(t, objects.Data, 1)
	assert.Len(t, table.Rows, 2)
	_, rec := open(t, table, objects, takeOwnership(table, 2))
	assert.Equal(t, Recovered{Snapshot: []byte{2}, Sequence: last}, rec)
}

// Guards against row decoders that panic on invalid input or accept an invalid key.
func FuzzDecodeRows(f *testing.F) {
	f.Add(logKey(testPartition, 7), []byte(`{"Epoch":1,"Records":[1,{"a":2}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		row := guavascale.Row{Key: key, Value: value}
		if b, err := decodeBatch(testPartition, row); err == nil {
			require.Equal(t, key, logKey(testPartition, b.Sequence))
		}
		_, _ = decodeSnapshotRow(row)
	})
}

// BenchmarkAppend measures appends per second with a commit latency of 2 ms.
func BenchmarkAppend(b *testing.B) {
	table, objects := storetest.New(), storetest.NewObjects()
	table.Latency = 2 * time.Millisecond
	l, _ := open(b, table, objects, takeOwnership(table, 1))
	b.SetParallelism(100)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			<-appendOne(l, 1)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
}
