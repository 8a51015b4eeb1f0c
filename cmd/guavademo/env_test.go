package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
)

// testEnv is a cluster under load that also runs batch jobs.
type testEnv struct {
	ctx      context.Context
	cluster  *cluster
	operator operator
	load     *loadGenerator
	jobs     []guavascale.Job
}

const (
	testDaemons = 3
	testCallers = 8
	// testTimeout bounds one scenario, including all waits in it.
	testTimeout = 58 * time.Second
)

var (
	// programs is the directory of the programs, built with the race detector.
	programs string

	zones = []guavascale.Zone{"Rennes", "Brest", "Vannes"}
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs and runs the tests. It returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "guavademo-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, name := range []string{"guavaplatform", "guavascaled"} {
		cmd := exec.Command("go", "build", "-race", "-o", dir, "guavascale.example/cmd/"+name)
		if out, err := cmd.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build of %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// startEnv starts a cluster and returns when requests are answered and batch
// tasks run. The directory of a failed test is kept.
func startEnv(t *testing.T, f faultScenario) *testEnv {
	dir, err := os.MkdirTemp("", "guavademo-trial-")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	c, err := startCluster(clusterSpec{
		Programs: programs, Dir: dir, Daemons: testDaemons, Workers: 6,
		Zones: zones[:cmp.Or(f.zones, len(zones))],
		Intervals: guavaconfig.Intervals{
			SessionRenewSeconds: 0.7, SessionTTLSeconds: 4, SessionMarginSeconds: 0.5,
			ConfigPollSeconds: 0.5, GossipSeconds: 0.5,
		},
	})
	require.NoError(t, err)
	e := &testEnv{ctx: ctx, cluster: c, operator: operator{cluster: c}}
	t.Cleanup(func() {
		if t.Failed() {
			e.dump(t)
		}
		cancel()
		if e.load != nil {
			e.load.stop()
		}
		c.stop()
		if !t.Failed() {
			os.RemoveAll(dir)
		}
	})
	require.NoError(t, c.waitReady(ctx, testDaemons))
	if f.leaseSeconds > 0 {
		e.usePreset(t, "short-leases", f.leaseSeconds)
	}
	e.startWorkload(t, f)
	return e
}

// dump writes the state of all ready daemons next to the logs of a failed test.
func (e *testEnv) dump(t *testing.T) {
	dir := e.cluster.spec.Dir
	t.Logf("settings, logs and state dumps are in %s", dir)
	if e.load != nil {
		t.Logf("reasons: %v", e.load.log.reasons)
	}
	for _, d := range e.cluster.ready() {
		data, err := d.operator.State(context.Background())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, d.name+".state.json"), data, 0o600)
		}
		if err != nil {
			t.Logf("no state dump of %s: %v", d.name, err)
		}
	}
}

// startWorkload declares a service and a job, starts the load, and waits until
// requests are answered and batch tasks run.
func (e *testEnv) startWorkload(t *testing.T, f faultScenario) {
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	_, err := e.operator.submitChange(e.ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: demoService, Kind: "checkout", Team: "desk", Instances: 6, Size: size, TargetMs: 100,
	}})
	require.NoError(t, err)
	e.load = startLoad(e.cluster, demoService, testCallers)
	e.waitAnswered(t)
	e.declareJob(t, guavascale.Job{ID: "audit-pack", Team: "audit", Kind: "audit-pack", Tasks: 24, RunSeconds: cmp.Or(f.runSeconds, 8)})
	e.eventually(t, "batch tasks run", func() bool { return e.countBatchTasks(t) >= 12 })
}

// sleep lets the cluster run for d.
func (e *testEnv) sleep(t *testing.T, d time.Duration) {
	require.NoError(t, sleep(e.ctx, d))
}

// eventually waits until done returns true. The wait is bounded only by the
// timeout of the scenario.
func (e *testEnv) eventually(t *testing.T, what string, done func() bool) {
	for !done() {
		require.NoError(t, sleep(e.ctx, operatorRetryDelay), what)
	}
}

// waitAnswered waits until another POST request without a key is answered.
func (e *testEnv) waitAnswered(t *testing.T) {
	before := e.load.log.answeredByKind()[kindPost]
	e.eventually(t, "a request is answered", func() bool { return e.load.log.answeredByKind()[kindPost] > before })
}

// waitRecovered waits until all daemons are ready and further requests of each
// kind are answered.
func (e *testEnv) waitRecovered(t *testing.T) {
	require.NoError(t, e.cluster.waitReady(e.ctx, testDaemons))
	before := e.load.log.answeredByKind()
	e.eventually(t, "requests of each kind are answered", func() bool {
		now := e.load.log.answeredByKind()
		for _, k := range kinds {
			if now[k] <= before[k] {
				return false
			}
		}
		return true
	})
}

// answeredByKind counts the answered requests by kind.
func (l *requestLog) answeredByKind() map[kind]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[kind]int{}
	for _, r := range l.requests {
		if slices.Contains(r.Results, resultAnswered) {
			counts[r.Kind]++
		}
	}
	return counts
}

// declareJob declares a job with tasks of a fixed size and records it.
func (e *testEnv) declareJob(t *testing.T, job guavascale.Job) {
	job.Size = guavascale.Resources{MilliCores: 2000, MemoryMB: 1024}
	require.NoError(t, e.operator.declareJob(e.ctx, job))
	e.jobs = append(e.jobs, job)
}

// putPreset stores a preset with a lease duration in seconds.
func (e *testEnv) putPreset(t *testing.T, name string, lease float64) {
	p := guavascale.Preset{Name: name, BatchLeaseSeconds: lease, ServiceLeaseSeconds: lease}
	_, err := e.operator.submitChange(e.ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &p})
	require.NoError(t, err)
}

// usePreset stores a preset and puts it in force.
func (e *testEnv) usePreset(t *testing.T, name string, lease float64) {
	e.putPreset(t, name, lease)
	_, err := e.operator.submitChange(e.ctx, guavaconfig.Change{Kind: guavaconfig.UsePreset, Name: name})
	require.NoError(t, err)
}

// ownerIndex waits until a daemon owns both shards and claim partitions and
// returns its index.
func (e *testEnv) ownerIndex(t *testing.T) int {
	found := -1
	e.eventually(t, "a daemon owns shards and claim partitions", func() bool {
		for i, d := range e.cluster.current() {
			var st guavadaemon.State
			data, err := d.operator.State(e.ctx)
			if err != nil || json.Unmarshal(data, &st) != nil {
				continue
			}
			if holdsPrefix(st.Held, "Shard-") && holdsPrefix(st.Held, "Claim-") {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// ownedZone returns the zone of a shard that daemon i owns.
func (e *testEnv) ownedZone(t *testing.T, i int) guavascale.Zone {
	var st guavadaemon.State
	data, err := e.cluster.current()[i].operator.State(e.ctx)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &st))
	require.NotEmpty(t, st.Shards)
	return st.Shards[0].Summary.Zone
}

// holdsPrefix reports whether the name of a held partition has a prefix.
func holdsPrefix(held []guavascale.Partition, prefix string) bool {
	return slices.ContainsFunc(held, func(p guavascale.Partition) bool { return strings.HasPrefix(string(p), prefix) })
}

// countBatchTasks returns the number of tasks of job audit-pack that run on the
// platform's workers.
func (e *testEnv) countBatchTasks(t *testing.T) int {
	n := 0
	for _, attempts := range e.batchTasksByWorker(t) {
		n += attempts
	}
	return n
}

// batchTasksByWorker counts the running tasks of job audit-pack by worker.
func (e *testEnv) batchTasksByWorker(t *testing.T) map[guavascale.WorkerID]int {
	state, err := e.cluster.control.State()
	require.NoError(t, err)
	counts := map[guavascale.WorkerID]int{}
	for id, attempts := range state.Running {
		for _, a := range attempts {
			if strings.HasPrefix(string(a), "audit-pack/") {
				counts[id]++
			}
		}
	}
	return counts
}

// busyWorkers returns the two workers that run the most batch tasks, the busiest
// first.
func (e *testEnv) busyWorkers(t *testing.T) (first, second guavascale.WorkerID) {
	counts := e.batchTasksByWorker(t)
	ids := make([]guavascale.WorkerID, 0, len(counts))
	for id := range counts {
		ids = append(ids, id)
	}
	require.GreaterOrEqual(t, len(ids), 2, "workers with batch tasks")
	slices.SortFunc(ids, func(a, b guavascale.WorkerID) int { return counts[b] - counts[a] })
	return ids[0], ids[1]
}
