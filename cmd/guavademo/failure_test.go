package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
)

// failure is what a scenario does to a running cluster, and what it expects
// beyond the promises that hold in every scenario.
type failure struct {
	inject func(t *testing.T, w *trial)
	// wholeTasks is set when no task may be interrupted, expires when leases
	// must have expired, without which the scenario proves nothing.
	wholeTasks bool
	expires    bool
	// zones is the number of availability zones, each of which is a shard; 0
	// stands for 3.
	zones int
	// lease is the lease of tasks, in seconds; 0 stands for the default.
	lease float64
	// runSeconds is the run time of the batch tasks; 0 stands for 8.
	runSeconds float64
}

var failures = map[string]failure{
	// Guards against tasks that run twice and keys that are claimed twice
	// around a takeover.
	"daemon killed": {inject: func(t *testing.T, w *trial) {
		i := w.owner(t)
		require.NoError(t, w.cluster.list()[i].signal(syscall.SIGKILL))
		w.pause(t, 4*time.Second)
		require.NoError(t, w.cluster.startDaemon(i))
	}},
	// Guards against a daemon that acts on authority that lapsed while it was
	// paused.
	"daemon frozen past its session": {inject: func(t *testing.T, w *trial) {
		d := w.cluster.list()[w.owner(t)]
		require.NoError(t, d.signal(syscall.SIGSTOP))
		w.pause(t, 9*time.Second)
		require.NoError(t, d.signal(syscall.SIGCONT))
	}},
	// Guards against a daemon that starts tasks in a zone, or sends requests
	// there, because it did not see that the zone was taken out.
	"zone taken out while a daemon is frozen": {inject: func(t *testing.T, w *trial) {
		w.declare(t, guavascale.Job{ID: "short-packs", Team: "audit", Kind: "audit-pack", Tasks: 120, RunSeconds: 1})
		owner := w.owner(t)
		zone := w.ownedZone(t, owner)
		d := w.cluster.list()[owner]
		require.NoError(t, d.signal(syscall.SIGSTOP))
		z, err := closeZone(w.ctx, &w.operator, zone, 8*time.Second, func() {
			w.pause(t, 2*time.Second)
			require.NoError(t, d.signal(syscall.SIGCONT))
		})
		require.NoError(t, err)
		state, err := w.cluster.control.State()
		require.NoError(t, err)
		require.Empty(t, z.starts(state.Verdict), "starts in the closed zone")
		require.Zero(t, z.after-z.before, "requests to the closed zone")
	}},
	// Guards against tasks that are interrupted or started again because of an
	// outage of the store that is shorter than their leases.
	"store down for 20 s": {wholeTasks: true, inject: func(t *testing.T, w *trial) {
		down := guavafake.StoreFaults{Down: true}
		require.NoError(t, w.cluster.control.SetTableFaults(down))
		require.NoError(t, w.cluster.control.SetObjectsFaults(down))
		w.pause(t, 10*time.Second)
		w.answered(t)
		w.pause(t, 10*time.Second)
		require.NoError(t, w.cluster.control.SetTableFaults(guavafake.StoreFaults{}))
		require.NoError(t, w.cluster.control.SetObjectsFaults(guavafake.StoreFaults{}))
	}},
	// Guards against endpoints that get no requests because the owner of their
	// shard is gone and no other daemon can take the shard over.
	"owner killed while the store is down": {zones: 1, inject: func(t *testing.T, w *trial) {
		i := w.owner(t)
		require.NoError(t, w.cluster.control.SetTableFaults(guavafake.StoreFaults{Down: true}))
		require.NoError(t, w.cluster.list()[i].signal(syscall.SIGKILL))
		w.pause(t, 10*time.Second)
		w.answered(t)
		require.NoError(t, w.cluster.control.SetTableFaults(guavafake.StoreFaults{}))
		require.NoError(t, w.cluster.startDaemon(i))
	}},
	// Guards against commits that are repeated, or taken for lost, without
	// reading them back.
	"answers of the store lost": {inject: func(t *testing.T, w *trial) {
		lossy := guavafake.StoreFaults{LoseProbability: 0.05, Seed: 1}
		require.NoError(t, w.cluster.control.SetTableFaults(lossy))
		require.NoError(t, w.cluster.control.SetObjectsFaults(lossy))
		for i := range 10 {
			w.putPreset(t, fmt.Sprintf("lossy-%d", i), 720)
			w.pause(t, time.Second)
		}
		w.declare(t, guavascale.Job{ID: "late-pack", Team: "audit", Kind: "audit-pack", Tasks: 12, RunSeconds: 2})
	}},
	// Guards against requests that a planned stop cuts, with one shard whose
	// owner stops.
	"daemon stopped gracefully": {zones: 1, inject: func(t *testing.T, w *trial) {
		i := w.owner(t)
		w.load.sendLong(w.cluster.list()[i], longRequests)
		w.pause(t, time.Second)
		require.NoError(t, w.cluster.stopGracefully(i))
		require.NoError(t, w.cluster.startDaemon(i))
	}},
	// Guards against faults that show only in combination.
	"store lossy, daemon killed, worker restarted": {inject: func(t *testing.T, w *trial) {
		lossy := guavafake.StoreFaults{LoseProbability: 0.05, Seed: 2}
		require.NoError(t, w.cluster.control.SetTableFaults(lossy))
		i := w.owner(t)
		first, second := w.busyWorkers(t)
		require.NoError(t, w.cluster.list()[i].signal(syscall.SIGKILL))
		require.NoError(t, w.cluster.control.Act(first, guavafake.ActionRestart))
		require.NoError(t, w.cluster.control.SetWorkerFaults(second, guavafake.WorkerFaults{LoseAnswers: 5}))
		w.declare(t, guavascale.Job{ID: "tally", Team: "ballots", Kind: "tally", Tasks: 12, RunSeconds: 2, Urgent: true})
		w.pause(t, 3*time.Second)
		require.NoError(t, w.cluster.startDaemon(i))
	}},
	// Guards against tasks that run elsewhere while a worker that cannot be
	// reached still runs them. One worker is back before the leases of its
	// tasks expire, the other one after.
	"workers cut off and back": {lease: 10, runSeconds: 14, expires: true, inject: func(t *testing.T, w *trial) {
		first, second := w.busyWorkers(t)
		cut := guavafake.WorkerFaults{CutOff: true}
		require.NoError(t, w.cluster.control.SetWorkerFaults(first, cut))
		require.NoError(t, w.cluster.control.SetWorkerFaults(second, cut))
		w.pause(t, 5*time.Second)
		require.NoError(t, w.cluster.control.SetWorkerFaults(first, guavafake.WorkerFaults{}))
		w.pause(t, 15*time.Second)
		require.NoError(t, w.cluster.control.SetWorkerFaults(second, guavafake.WorkerFaults{}))
	}},
	// Guards against attempts of an earlier incarnation that are taken for
	// running ones, or resumed more than once.
	"workers killed and restarted": {inject: func(t *testing.T, w *trial) {
		first, second := w.busyWorkers(t)
		require.NoError(t, w.cluster.control.Act(first, guavafake.ActionKill))
		require.NoError(t, w.cluster.control.Act(second, guavafake.ActionRestart))
		w.pause(t, 8*time.Second)
		require.NoError(t, w.cluster.control.Act(first, guavafake.ActionRestart))
	}},
	// Guards against accepted changes that get lost or are applied twice when
	// operators race on different daemons.
	"operators racing": {inject: func(t *testing.T, w *trial) {
		var wg sync.WaitGroup
		racers := make([]*operator, 4)
		errs := make([]error, len(racers))
		for i := range racers {
			racers[i] = &operator{cluster: w.cluster}
			wg.Go(func() { errs[i] = race(w.ctx, racers[i], i) })
		}
		wg.Wait()
		versions := map[uint64]bool{}
		for i, o := range racers {
			require.NoError(t, errs[i])
			for _, a := range o.changes {
				require.False(t, versions[a.Version], "two accepted changes reached version %d", a.Version)
				versions[a.Version] = true
			}
			w.operator.changes = append(w.operator.changes, o.changes...)
		}
		require.Len(t, versions, len(racers)*racerChanges)
	}},
}

const racerChanges = 8

func race(ctx context.Context, o *operator, racer int) error {
	for n := range racerChanges {
		name := fmt.Sprintf("racer-%d-%d", racer, n)
		_, err := o.change(ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &guavascale.Preset{Name: name}})
		if err != nil {
			return err
		}
	}
	return nil
}

// At most two clusters run at a time, so that the machine is not overloaded.
var clusters = make(chan struct{}, 2)

func TestFailures(t *testing.T) {
	for name, f := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clusters <- struct{}{}
			defer func() { <-clusters }()
			w := startTrial(t, f)
			f.inject(t, w)
			w.recovered(t)
			w.load.stop()
			w.verify(t, f)
		})
	}
}

// verify asserts the promises. Times are no part of it.
func (w *trial) verify(t *testing.T, f failure) {
	for _, job := range w.jobs {
		st, err := w.operator.await(w.ctx, job.ID)
		require.NoError(t, err)
		require.Equal(t, job.Tasks, st.Tasks[guavascale.TaskDone], "done tasks of job %s", job.ID)
	}
	var r report
	require.NoError(t, r.collect(w.cluster, w.load))
	t.Logf("%d requests, results %v, %d keys taken in vain, %d evictions, reasons %v",
		r.Requests, r.Results, r.KeysTakenInVain, r.Evictions, r.Reasons)
	require.Empty(t, r.Violations)
	require.Empty(t, r.Notes)
	require.Zero(t, r.Wrong, "wrong or incomplete answers")
	require.Zero(t, r.AnsweredWithoutRun, "answered requests that did not run")
	require.Zero(t, r.NotRunButRan, "requests answered NotRun that ran")
	require.LessOrEqual(t, r.MaxRuns, 1, "runs of a non-idempotent request")
	require.Zero(t, r.CutByGracefulStop, "requests cut by a graceful stop")
	require.Zero(t, r.Reverts, "reverted configurations")
	require.Positive(t, r.Results[resultAnswered])
	if f.wholeTasks {
		require.Zero(t, r.Evictions, "attempts after the first")
	}
	if f.expires {
		require.Positive(t, r.ends[guavascale.AttemptExpired], "expired leases")
		require.Positive(t, r.Evictions, "batch attempts after the first")
	}
	w.verifyConfig(t)
	w.verifyLogs(t)
}

// verifyConfig asserts that the document holds every accepted change.
func (w *trial) verifyConfig(t *testing.T) {
	d, err := w.operator.daemon()
	require.NoError(t, err)
	cfg, err := d.operator.Config(w.ctx)
	require.NoError(t, err)
	have := map[string]uint64{}
	for _, c := range cfg.Changes {
		have[c.ID] = c.Version
	}
	for _, a := range w.operator.changes {
		require.Equal(t, a.Version, have[a.ID], "change %s with ID %s", a.Change, a.ID)
	}
	require.Len(t, have, len(w.operator.changes), "changes that nobody submitted")
}

// verifyLogs asserts that no process raced or panicked.
func (w *trial) verifyLogs(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(w.cluster.spec.Dir, "*.log"))
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, mark := range []string{"DATA RACE", "panic:", "panicked", "fatal error"} {
			require.False(t, strings.Contains(string(data), mark), "%s contains %q", file, mark)
		}
	}
}
