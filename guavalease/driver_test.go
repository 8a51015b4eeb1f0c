package guavalease

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/internal/bubbletest"
	"guavascale.example/internal/storetest"
)

var testPartitions = []guavascale.Partition{"Claim-0", "Claim-1", "Claim-2", "Claim-3", "Shard-a-0", "Shard-a-1"}

func startDriver(t *testing.T, table guavascale.Table, daemon string) *Driver {
	d := NewDriver(Options{Config: Config{Daemon: daemon}, Table: table})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Run(ctx)
	d.SetWanted(testPartitions)
	return d
}

func readOwners(t *testing.T, table *storetest.Table) map[guavascale.Partition]OwnerRow {
	rows, err := table.Scan(context.Background(), OwnerPrefix, "", 100)
	require.NoError(t, err)
	all := map[guavascale.Partition]OwnerRow{}
	for _, row := range rows {
		o, err := DecodeOwner(row.Value)
		require.NoError(t, err)
		all[guavascale.Partition(row.Key[len(OwnerPrefix):])] = o
	}
	return all
}

// Guards against lost or duplicate ownership after lost responses or a store
// outage, and against takeovers from a live owner when the outage ends.
func TestDriversKeepOwnership(t *testing.T) {
	cases := map[string]func(*storetest.Table){
		"NoFault": func(*storetest.Table) {},
		"Outage": func(m *storetest.Table) {
			m.SetDown(true)
			time.Sleep(60 * time.Second)
			m.SetDown(false)
		},
		"RenewalAnswersLost": func(m *storetest.Table) {
			m.SetLoseAnswers(6)
			time.Sleep(20 * time.Second)
		},
		"OutageTwice": func(m *storetest.Table) {
			for range 2 {
				m.SetDown(true)
				time.Sleep(11 * time.Second)
				m.SetDown(false)
				time.Sleep(2 * time.Second)
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table := storetest.New()
				a, b := startDriver(t, table, "a"), startDriver(t, table, "b")
				time.Sleep(90 * time.Second)
				before := readOwners(t, table)
				require.Len(t, before, len(testPartitions))
				for p, o := range before {
					first := PreferredOwner(p, []string{"a", "b"})
					assert.Equal(t, first, o.Instance[:1], "%s is not at the daemon that ranks first", p)
				}
				fault(table)
				time.Sleep(30 * time.Second)
				assert.Equal(t, before, readOwners(t, table))
				for _, p := range testPartitions {
					_, errA := a.Check(p)
					_, errB := b.Check(p)
					assert.True(t, (errA == nil) != (errB == nil), "%s: %v, %v", p, errA, errB)
				}
			})
		})
	}
}

// Guards against partitions that stay without an owner after the response to
// a session creation, takeover or release was lost.
func TestRecoversFromLostResponses(t *testing.T) {
	for name, lost := range map[string]int{"Creation": 1, "FirstTakeovers": 4, "AllTakeovers": 7} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				table := storetest.New()
				table.SetLoseAnswers(lost)
				d := startDriver(t, table, "a")
				time.Sleep(60 * time.Second)
				for _, p := range testPartitions {
					lease, err := d.Check(p)
					require.NoError(t, err)
					assert.Equal(t, uint64(1), lease.Epoch)
				}
				table.SetLoseAnswers(lost)
				require.NoError(t, d.Close(context.Background()))
				for p, o := range readOwners(t, table) {
					assert.Equal(t, OwnerRow{Epoch: 1}, o, p)
				}
				rows, err := table.Scan(context.Background(), SessionPrefix, "", 10)
				require.NoError(t, err)
				assert.Empty(t, rows)
			})
		})
	}
}

// Guards against a paused daemon that acts after its partition was taken
// over: the lease check must fail, and so must a commit whose check passed
// before the pause.
func TestPausedOwnerIsFenced(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		table := storetest.New()
		link := &disconnectableTable{Table: table}
		a := startDriver(t, link, "a")
		time.Sleep(10 * time.Second)
		stale, err := a.Check("Claim-0")
		require.NoError(t, err)
		link.setDisconnected(true)
		b := startDriver(t, table, "b")
		time.Sleep(25 * time.Second) // Less than MinHold after the takeover, so that b keeps the partition.
		taken, err := b.Check("Claim-0")
		require.NoError(t, err)
		assert.Greater(t, taken.Epoch, stale.Epoch)
		_, err = a.Check("Claim-0")
		var lease *guavascale.LeaseError
		require.ErrorAs(t, err, &lease)
		_, err = table.Commit(context.Background(), guavascale.Commit{ID: "x", Conditions: []guavascale.Condition{stale.Owner}})
		var cond *guavascale.ConditionError
		require.ErrorAs(t, err, &cond)
		link.setDisconnected(false)
		time.Sleep(5 * time.Second)
		// The new owner may have returned the partition by now, which
		// increments the epoch again; the old lease must never become valid
		// again.
		again, err := a.Check("Claim-0")
		if err != nil {
			require.ErrorAs(t, err, &lease)
			return
		}
		assert.Greater(t, again.Epoch, taken.Epoch)
		_, err = b.Check("Claim-0")
		require.ErrorAs(t, err, &lease)
	})
}

// Guards against one write per partition in the steady state.
func TestSteadyStateWrites(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		table := storetest.New()
		startDriver(t, table, "a")
		time.Sleep(30 * time.Second)
		before := table.Count()
		time.Sleep(300 * time.Second)
		assert.LessOrEqual(t, table.Count()-before, 101)
	})
}

// Guards against decoders that panic or lose data in a round trip.
func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"Instance":"a-1","Epoch":3}`))
	f.Add([]byte(`{"Daemon":"a","Counter":18446744073709551616}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if o, err := DecodeOwner(value); err == nil {
			again, err := DecodeOwner(encode(o))
			require.NoError(t, err)
			require.Equal(t, o, again)
		}
		_, _ = DecodeSession(value)
	})
}

// Guards against owners and sessions that a scan leaves out, since the table returns fewer
// rows per page than it is asked for: their partitions count as free, and the commits that
// take them over fail again and again.
func TestScanReadsShortPages(t *testing.T) {
	table := storetest.New()
	for _, daemon := range []string{"a", "b", "c", "d", "e"} {
		key := SessionPrefix + daemon
		table.Rows[key] = guavascale.Row{Key: key, Version: 1}
	}
	table.PageRows = 2
	rows, err := NewDriver(Options{Config: Config{Daemon: "a"}, Table: table}).scan(t.Context(), SessionPrefix)
	require.NoError(t, err)
	require.Len(t, rows, 5)
}
