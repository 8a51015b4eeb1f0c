package guavadaemon

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavaoperator"
	"guavascale.example/guavashard"
)

const testHome = guavascale.Partition("Shard-Rennes-0")

// newTestBackend returns the backend of a daemon that is assembled but not
// running, with one shard that has free capacity.
func newTestBackend(t *testing.T) (*backend, *guavafake.Table) {
	t.Helper()
	p := &guavafake.Platform{}
	d := &Daemon{
		Settings: guavaconfig.Settings{Name: "a", Zone: "Rennes", Platform: "127.0.0.1:1"}.Defaults(),
		Platform: Platform{Table: &p.Table, Objects: &p.Objects, Hosts: &p.Fleet, Agent: &p.Fleet},
	}
	d.assemble(listeners{})
	d.members.SetSelf(time.Now(), guavascale.Summary{
		Daemon: "a", Instance: d.instance(), Sequence: 1,
		Partitions: []guavascale.PartitionSummary{{
			Partition: testHome, Zone: "Rennes", Free: guavascale.Resources{MilliCores: 4000, MemoryMB: 4096},
		}},
	})
	return &backend{d}, &p.Table
}

func testJob(id string) guavascale.Job {
	return guavascale.Job{
		ID: id, Team: "audit", Kind: "audit-pack", Tasks: 2, RunSeconds: 5,
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
}

func inboxRows(t *testing.T, table *guavafake.Table) int {
	t.Helper()
	rows, err := table.Scan(context.Background(), "Inbox/", "", 100)
	require.NoError(t, err)
	return len(rows)
}

// Guards against a job that is declared twice, or reported as refused although
// it was stored, when responses of the store are lost and operators retry.
func TestDeclareJob(t *testing.T) {
	tests := map[string]struct {
		faults guavafake.StoreFaults
		second guavascale.Job
		// wantFirst and wantSecond are errors.As targets for the results of the
		// two declarations; nil expects no error.
		wantFirst, wantSecond any
		wantInbox             int
	}{
		"repeated":               {second: testJob("tally"), wantInbox: 1},
		"answer lost":            {faults: guavafake.StoreFaults{LoseAnswers: 1}, second: testJob("tally"), wantInbox: 1},
		"another job, same ID":   {second: guavascale.Job{ID: "tally", Tasks: 7}, wantSecond: new(*guavascale.ConditionError), wantInbox: 1},
		"store down, then again": {faults: guavafake.StoreFaults{Down: true}, second: testJob("tally"), wantFirst: new(*guavascale.UnavailableError), wantInbox: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, table := newTestBackend(t)
			table.SetFaults(tt.faults)
			_, err := b.DeclareJob(context.Background(), testJob("tally"))
			requireError(t, tt.wantFirst, err)
			table.SetFaults(guavafake.StoreFaults{})
			_, err = b.DeclareJob(context.Background(), tt.second)
			requireError(t, tt.wantSecond, err)
			require.Equal(t, tt.wantInbox, inboxRows(t, table))
		})
	}
}

func encodeStatus(t *testing.T, st guavascale.JobStatus) []byte {
	t.Helper()
	value, err := json.Marshal(st)
	require.NoError(t, err)
	return value
}

func requireError(t *testing.T, target any, err error) {
	t.Helper()
	if target == nil {
		require.NoError(t, err)
		return
	}
	require.True(t, errors.As(err, target), "%v", err)
}

// Guards against a lost cancellation, and against one that overwrites the row of
// a job that has ended.
func TestCancelJob(t *testing.T) {
	ctx := context.Background()
	b, table := newTestBackend(t)
	_, err := b.CancelJob(ctx, "c1", "tally")
	var missing *guavascale.NotFoundError
	require.ErrorAs(t, err, &missing)

	_, err = b.DeclareJob(ctx, testJob("tally"))
	require.NoError(t, err)
	for range 2 {
		st, err := b.CancelJob(ctx, "c1", "tally")
		require.NoError(t, err)
		require.True(t, st.Job.Cancelled)
	}
	require.Equal(t, 2, inboxRows(t, table), "the job and its cancellation")

	ended := guavascale.JobStatus{Job: testJob("done"), Ended: true, Done: 2}
	value := encodeStatus(t, ended)
	_, err = table.Commit(ctx, guavascale.Commit{ID: "x", Writes: []guavascale.Write{{Key: guavashard.JobKey("done"), Value: value}}})
	require.NoError(t, err)
	st, err := b.CancelJob(ctx, "c2", "done")
	require.NoError(t, err)
	require.Equal(t, guavaoperator.JobDone, st.State)
	require.Equal(t, 2, inboxRows(t, table))
}

// Guards against job states that hide why a job does not proceed.
func TestJobStatus(t *testing.T) {
	tests := map[string]struct {
		status guavascale.JobStatus
		tasks  []guavascale.Task
		want   guavaoperator.JobState
		reason string
	}{
		"running":     {tasks: []guavascale.Task{{State: guavascale.TaskRunning}}, want: guavaoperator.JobActive},
		"waiting":     {tasks: []guavascale.Task{{State: guavascale.TaskPending, Reason: "quota"}}, want: guavaoperator.JobActive, reason: "quota"},
		"unplaceable": {tasks: []guavascale.Task{{State: guavascale.TaskPending, Reason: "x"}, {State: guavascale.TaskUnplaceable, Reason: "too large"}}, want: guavaoperator.JobUnplaceable, reason: "too large"},
		"done":        {status: guavascale.JobStatus{Ended: true, Done: 3}, want: guavaoperator.JobDone},
		"failed":      {status: guavascale.JobStatus{Ended: true, Done: 2, Failed: 1}, want: guavaoperator.JobFailed},
		"cancelled":   {status: guavascale.JobStatus{Ended: true, Cancelled: 1}, want: guavaoperator.JobCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := jobStatus(tt.status, tt.tasks)
			require.Equal(t, tt.want, got.State)
			require.Equal(t, tt.reason, got.Reason)
		})
	}
}
