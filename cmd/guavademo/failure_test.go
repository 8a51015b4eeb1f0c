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

// faultScenario describes the faults that are injected into a running cluster
// and what is asserted in addition to the guarantees, which hold in every
// scenario.
type faultScenario struct {
	inject func(t *testing.T, e *testEnv)
	// noEvictions asserts that no batch task was started more than once.
	// wantExpiredLeases asserts that leases expired and that batch tasks were
	// started again; otherwise the scenario would prove nothing.
	noEvictions       bool
	wantExpiredLeases bool
	// zones is the number of availability zones, each with one shard. The zero
	// value stands for 3.
	zones int
	// leaseSeconds is the lease duration of all tasks. The zero value stands for
	// the default.
	leaseSeconds float64
	// runSeconds is the run time of the batch tasks. The zero value stands for 8.
	runSeconds float64
}

var scenarios = map[string]faultScenario{
	// Guards against tasks that run twice and idempotency keys that are claimed
	// twice when another daemon takes over shards and claim partitions.
	"daemon killed": {inject: func(t *testing.T, e *testEnv) {
		i := e.ownerIndex(t)
		require.NoError(t, e.cluster.current()[i].signal(syscall.SIGKILL))
		e.sleep(t, 4*time.Second)
		require.NoError(t, e.cluster.startDaemon(i))
	}},
	// Guards against a daemon that still acts as owner after its session
	// expired while it was paused by SIGSTOP.
	"daemon frozen past its session": {inject: func(t *testing.T, e *testEnv) {
		d := e.cluster.current()[e.ownerIndex(t)]
		require.NoError(t, d.signal(syscall.SIGSTOP))
		e.sleep(t, 9*time.Second)
		require.NoError(t, d.signal(syscall.SIGCONT))
	}},
	// Guards against a daemon that starts tasks in a zone or sends requests to
	// it because it was paused when the zone was taken out of service.
	"zone taken out while a daemon is frozen": {inject: func(t *testing.T, e *testEnv) {
		e.declareJob(t, guavascale.Job{ID: "short-packs", Team: "audit", Kind: "audit-pack", Tasks: 120, RunSeconds: 1})
		owner := e.ownerIndex(t)
		zone := e.ownedZone(t, owner)
		d := e.cluster.current()[owner]
		require.NoError(t, d.signal(syscall.SIGSTOP))
		z, err := closeZone(e.ctx, &e.operator, zone, 8*time.Second, func() {
			e.sleep(t, 2*time.Second)
			require.NoError(t, d.signal(syscall.SIGCONT))
		})
		require.NoError(t, err)
		state, err := e.cluster.control.State()
		require.NoError(t, err)
		require.Empty(t, z.starts(state.Verdict), "starts in the closed zone")
		require.Zero(t, z.requestsAfter-z.requestsBefore, "requests to the closed zone")
	}},
	// Guards against tasks that are interrupted or restarted by a store outage
	// that is shorter than their leases.
	"store down for 20 s": {noEvictions: true, inject: func(t *testing.T, e *testEnv) {
		down := guavafake.StoreFaults{Down: true}
		require.NoError(t, e.cluster.control.SetTableFaults(down))
		require.NoError(t, e.cluster.control.SetObjectsFaults(down))
		e.sleep(t, 10*time.Second)
		e.waitAnswered(t)
		e.sleep(t, 10*time.Second)
		require.NoError(t, e.cluster.control.SetTableFaults(guavafake.StoreFaults{}))
		require.NoError(t, e.cluster.control.SetObjectsFaults(guavafake.StoreFaults{}))
	}},
	// Guards against endpoints that get no requests after the owner of their
	// shard was killed, while no other daemon can take over the shard.
	"owner killed while the store is down": {zones: 1, inject: func(t *testing.T, e *testEnv) {
		i := e.ownerIndex(t)
		require.NoError(t, e.cluster.control.SetTableFaults(guavafake.StoreFaults{Down: true}))
		require.NoError(t, e.cluster.current()[i].signal(syscall.SIGKILL))
		e.sleep(t, 10*time.Second)
		e.waitAnswered(t)
		require.NoError(t, e.cluster.control.SetTableFaults(guavafake.StoreFaults{}))
		require.NoError(t, e.cluster.startDaemon(i))
	}},
	// Guards against commits that are repeated or treated as failed after a lost
	// response without reading back whether they were applied.
	"answers of the store lost": {inject: func(t *testing.T, e *testEnv) {
		lossy := guavafake.StoreFaults{LoseProbability: 0.05, Seed: 1}
		require.NoError(t, e.cluster.control.SetTableFaults(lossy))
		require.NoError(t, e.cluster.control.SetObjectsFaults(lossy))
		for i := range 10 {
			e.putPreset(t, fmt.Sprintf("lossy-%d", i), 720)
			e.sleep(t, time.Second)
		}
		e.declareJob(t, guavascale.Job{ID: "late-pack", Team: "audit", Kind: "audit-pack", Tasks: 12, RunSeconds: 2})
	}},
	// Guards against requests that are cut off by a graceful stop of the owner
	// of the only shard.
	"daemon stopped gracefully": {zones: 1, inject: func(t *testing.T, e *testEnv) {
		i := e.ownerIndex(t)
		e.load.sendLongRequests(e.cluster.current()[i], longRequestCount)
		e.sleep(t, time.Second)
		require.NoError(t, e.cluster.stopGracefully(i))
		require.NoError(t, e.cluster.startDaemon(i))
	}},
	// Guards against failures that occur only when these faults are combined.
	"store lossy, daemon killed, worker restarted": {inject: func(t *testing.T, e *testEnv) {
		lossy := guavafake.StoreFaults{LoseProbability: 0.05, Seed: 2}
		require.NoError(t, e.cluster.control.SetTableFaults(lossy))
		i := e.ownerIndex(t)
		first, second := e.busyWorkers(t)
		require.NoError(t, e.cluster.current()[i].signal(syscall.SIGKILL))
		require.NoError(t, e.cluster.control.Act(first, guavafake.ActionRestart))
		require.NoError(t, e.cluster.control.SetWorkerFaults(second, guavafake.WorkerFaults{LoseAnswers: 5}))
		e.declareJob(t, guavascale.Job{ID: "tally", Team: "ballots", Kind: "tally", Tasks: 12, RunSeconds: 2, Urgent: true})
		e.sleep(t, 3*time.Second)
		require.NoError(t, e.cluster.startDaemon(i))
	}},
	// Guards against tasks that are started on another worker while an
	// unreachable worker still runs them. One worker becomes reachable before
	// the leases of its tasks expire, the other one after that.
	"workers cut off and back": {leaseSeconds: 10, runSeconds: 14, wantExpiredLeases: true, inject: func(t *testing.T, e *testEnv) {
		first, second := e.busyWorkers(t)
		cut := guavafake.WorkerFaults{CutOff: true}
		require.NoError(t, e.cluster.control.SetWorkerFaults(first, cut))
		require.NoError(t, e.cluster.control.SetWorkerFaults(second, cut))
		e.sleep(t, 5*time.Second)
		require.NoError(t, e.cluster.control.SetWorkerFaults(first, guavafake.WorkerFaults{}))
		e.sleep(t, 15*time.Second)
		require.NoError(t, e.cluster.control.SetWorkerFaults(second, guavafake.WorkerFaults{}))
	}},
	// Guards against attempts of a worker's earlier incarnation that are
	// considered running or are resumed more than once.
	"workers killed and restarted": {inject: func(t *testing.T, e *testEnv) {
		first, second := e.busyWorkers(t)
		require.NoError(t, e.cluster.control.Act(first, guavafake.ActionKill))
		require.NoError(t, e.cluster.control.Act(second, guavafake.ActionRestart))
		e.sleep(t, 8*time.Second)
		require.NoError(t, e.cluster.control.Act(first, guavafake.ActionRestart))
	}},
	// Guards against accepted changes that are lost or applied twice when
	// operators submit changes to different daemons concurrently.
	"operators racing": {inject: func(t *testing.T, e *testEnv) {
		var wg sync.WaitGroup
		operators := make([]*operator, 4)
		errs := make([]error, len(operators))
		for i := range operators {
			operators[i] = &operator{cluster: e.cluster}
			wg.Go(func() { errs[i] = submitPresets(e.ctx, operators[i], i) })
		}
		wg.Wait()
		versions := map[uint64]bool{}
		for i, o := range operators {
			require.NoError(t, errs[i])
			for _, a := range o.changes {
				require.False(t, versions[a.Version], "two accepted changes reached version %d", a.Version)
				versions[a.Version] = true
			}
			e.operator.changes = append(e.operator.changes, o.changes...)
		}
		require.Len(t, versions, len(operators)*changesPerOperator)
	}},
}

// changesPerOperator is the number of changes that each concurrent operator
// submits.
const changesPerOperator = 8

// submitPresets submits presets whose names contain the index of the operator.
func submitPresets(ctx context.Context, o *operator, index int) error {
	for n := range changesPerOperator {
		name := fmt.Sprintf("racer-%d-%d", index, n)
		_, err := o.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &guavascale.Preset{Name: name}})
		if err != nil {
			return err
		}
	}
	return nil
}

// clusterSlots limits the clusters that run at a time, so that the machine is
// not overloaded.
var clusterSlots = make(chan struct{}, 2)

// Injects each fault into a cluster under load and checks the guarantees.
func TestFailures(t *testing.T) {
	for name, f := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clusterSlots <- struct{}{}
			defer func() { <-clusterSlots }()
			e := startEnv(t, f)
			f.inject(t, e)
			e.waitRecovered(t)
			e.load.stop()
			e.verify(t, f)
		})
	}
}

// verify asserts the guarantees, except for those about durations.
func (e *testEnv) verify(t *testing.T, f faultScenario) {
	for _, job := range e.jobs {
		st, err := e.operator.awaitJob(e.ctx, job.ID)
		require.NoError(t, err)
		require.Equal(t, job.Tasks, st.Tasks[guavascale.TaskDone], "done tasks of job %s", job.ID)
	}
	var r report
	require.NoError(t, r.collect(e.cluster, e.load))
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
	if f.noEvictions {
		require.Zero(t, r.Evictions, "attempts after the first")
	}
	if f.wantExpiredLeases {
		require.Positive(t, r.ends[guavascale.AttemptExpired], "expired leases")
		require.Positive(t, r.Evictions, "batch attempts after the first")
	}
	e.verifyConfig(t)
	e.verifyLogs(t)
}

// verifyConfig asserts that the document holds every accepted change.
func (e *testEnv) verifyConfig(t *testing.T) {
	d, err := e.operator.readyDaemon()
	require.NoError(t, err)
	cfg, err := d.operator.Config(e.ctx)
	require.NoError(t, err)
	have := map[string]uint64{}
	for _, c := range cfg.Changes {
		have[c.ID] = c.Version
	}
	for _, a := range e.operator.changes {
		require.Equal(t, a.Version, have[a.ID], "change %s with ID %s", a.Change, a.ID)
	}
	require.Len(t, have, len(e.operator.changes), "changes that nobody submitted")
}

// verifyLogs asserts that no process raced or panicked.
func (e *testEnv) verifyLogs(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(e.cluster.spec.Dir, "*.log"))
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, mark := range []string{"DATA RACE", "panic:", "panicked", "fatal error"} {
			require.False(t, strings.Contains(string(data), mark), "%s contains %q", file, mark)
		}
	}
}
