package guavafake

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

func write(key, value string) guavascale.Write {
	return guavascale.Write{Key: key, Value: []byte(value)}
}

// Guards against commits that ignore a condition or apply only partially.
func TestCommitConditions(t *testing.T) {
	cases := map[string]struct {
		conditions []guavascale.Condition
		failsAt    string
	}{
		"version matches":       {conditions: []guavascale.Condition{{Key: "A", Version: 1}}},
		"absent row is absent":  {conditions: []guavascale.Condition{{Key: "X"}}},
		"deleted row is absent": {conditions: []guavascale.Condition{{Key: "Gone"}}},
		"version is old":        {conditions: []guavascale.Condition{{Key: "B", Version: 1}}, failsAt: "B"},
		"row exists":            {conditions: []guavascale.Condition{{Key: "A"}}, failsAt: "A"},
		"row is missing":        {conditions: []guavascale.Condition{{Key: "X", Version: 1}}, failsAt: "X"},
		"second one fails":      {conditions: []guavascale.Condition{{Key: "A", Version: 1}, {Key: "B"}}, failsAt: "B"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			var table Table
			mustCommit(t, &table, guavascale.Commit{ID: "1", Writes: []guavascale.Write{write("A", "1"), write("B", "1"), write("Gone", "1")}})
			mustCommit(t, &table, guavascale.Commit{ID: "2", Writes: []guavascale.Write{write("B", "2"), {Key: "Gone", Delete: true}}})
			_, err := table.Commit(ctx, guavascale.Commit{
				ID: "3", Conditions: c.conditions, Writes: []guavascale.Write{write("A", "3"), write("C", "3")},
			})
			rows, scanErr := table.Scan(ctx, "", "", 10)
			require.NoError(t, scanErr)
			if c.failsAt == "" {
				require.NoError(t, err)
				require.Len(t, rows, 3)
				require.Equal(t, guavascale.Row{Key: "C", Version: 3, WriteID: "3", Value: []byte("3")}, rows[2])
				return
			}
			var ce *guavascale.ConditionError
			require.ErrorAs(t, err, &ce)
			require.Equal(t, c.failsAt, ce.Key)
			require.Len(t, rows, 2)
			require.Equal(t, "1", rows[0].WriteID)
		})
	}
}

func mustCommit(t *testing.T, table guavascale.Table, c guavascale.Commit) {
	t.Helper()
	_, err := table.Commit(context.Background(), c)
	require.NoError(t, err)
}

// Guards against scans that skip, repeat or reorder rows across pages.
func TestScanPages(t *testing.T) {
	var table Table
	for _, key := range []string{"Log/b", "Log/a", "Log/c", "Job/x", "Logs"} {
		mustCommit(t, &table, guavascale.Commit{ID: key, Writes: []guavascale.Write{write(key, "")}})
	}
	var got []string
	for after := ""; ; {
		rows, err := table.Scan(context.Background(), "Log/", after, 2)
		require.NoError(t, err)
		if len(rows) == 0 {
			break
		}
		for _, r := range rows {
			got = append(got, r.Key)
		}
		after = got[len(got)-1]
	}
	require.Equal(t, []string{"Log/a", "Log/b", "Log/c"}, got)
}

// Guards against faults that report an effect other than the actual one.
func TestTableFaults(t *testing.T) {
	cases := map[string]struct {
		faults  StoreFaults
		fails   bool
		applied bool
	}{
		"none":                    {applied: true},
		"down":                    {faults: StoreFaults{Down: true}, fails: true},
		"slow":                    {faults: StoreFaults{DelayMs: 1}, applied: true},
		"response lost":           {faults: StoreFaults{LoseAnswers: 1}, fails: true, applied: true},
		"response always lost":    {faults: StoreFaults{LoseProbability: 1}, fails: true, applied: true},
		"lost with probability 0": {faults: StoreFaults{LoseProbability: 0, Seed: 7}, applied: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.SetFaults(c.faults)
			_, err := table.Commit(context.Background(), guavascale.Commit{ID: "w", Writes: []guavascale.Write{write("A", "1")}})
			require.Equal(t, c.fails, err != nil)
			if c.fails {
				var ue *guavascale.UnavailableError
				require.ErrorAs(t, err, &ue)
				require.Equal(t, c.applied, ue.MayHaveApplied)
			}
			table.SetFaults(StoreFaults{})
			row, err := table.Get(context.Background(), "A")
			require.Equal(t, c.applied, err == nil)
			if c.applied {
				require.Equal(t, "w", row.WriteID, "the write ID proves that the commit took effect")
			}
			require.Equal(t, int64(1), table.Counts().Writes)
			require.Equal(t, int64(1), table.Counts().Reads)
		})
	}
}

// Guards against objects that change after they were written.
func TestObjectsAreImmutable(t *testing.T) {
	ctx := context.Background()
	var o Objects
	require.NoError(t, o.Put(ctx, "k", []byte("a")))
	require.NoError(t, o.Put(ctx, "k", []byte("a")))
	var ce *guavascale.ConditionError
	require.ErrorAs(t, o.Put(ctx, "k", []byte("b")), &ce)
	data, err := o.Fetch(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "a", string(data))
	require.NoError(t, o.Remove(ctx, "k"))
	_, err = o.Fetch(ctx, "k")
	var nf *guavascale.NotFoundError
	require.ErrorAs(t, err, &nf)
}
