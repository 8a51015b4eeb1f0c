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

// trial is a cluster under load with batch work.
type trial struct {
	ctx      context.Context
	cluster  *cluster
	operator operator
	load     *load
	jobs     []guavascale.Job
}

const (
	testDaemons = 3
	testCallers = 8
	// testTimeout bounds one scenario; the waits for outcomes share it.
	testTimeout = 58 * time.Second
)

var (
	// programs is the folder of the programs, built with the race detector.
	programs string

	zones = []guavascale.Zone{"Rennes", "Brest", "Vannes"}
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

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

// startTrial starts a cluster and returns once requests are answered and batch
// tasks run. The logs of a failed test are kept.
func startTrial(t *testing.T, f failure) *trial {
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
	w := &trial{ctx: ctx, cluster: c, operator: operator{cluster: c}}
	t.Cleanup(func() {
		if t.Failed() {
			w.dump(t)
		}
		cancel()
		if w.load != nil {
			w.load.stop()
		}
		c.stop()
		if !t.Failed() {
			os.RemoveAll(dir)
		}
	})
	require.NoError(t, c.waitReady(ctx, testDaemons))
	if f.lease > 0 {
		w.usePreset(t, "short-leases", f.lease)
	}
	w.prepare(t, f)
	return w
}

// dump writes the state of all daemons beside the logs of a failed test.
func (w *trial) dump(t *testing.T) {
	dir := w.cluster.spec.Dir
	t.Logf("settings, logs and state dumps are in %s", dir)
	if w.load != nil {
		t.Logf("reasons: %v", w.load.ledger.reasons)
	}
	for _, d := range w.cluster.ready() {
		data, err := d.operator.State(context.Background())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, d.name+".state.json"), data, 0o600)
		}
		if err != nil {
			t.Logf("no state dump of %s: %v", d.name, err)
		}
	}
}

func (w *trial) prepare(t *testing.T, f failure) {
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	_, err := w.operator.change(w.ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: demoService, Kind: "checkout", Team: "desk", Instances: 6, Size: size, TargetMs: 100,
	}})
	require.NoError(t, err)
	w.load = startLoad(w.cluster, demoService, testCallers)
	w.answered(t)
	w.declare(t, guavascale.Job{ID: "audit-pack", Team: "audit", Kind: "audit-pack", Tasks: 24, RunSeconds: cmp.Or(f.runSeconds, 8)})
	w.until(t, "batch tasks run", func() bool { return w.runningTasks(t) >= 12 })
}

// pause lets the cluster run with what was injected.
func (w *trial) pause(t *testing.T, d time.Duration) {
	require.NoError(t, pause(w.ctx, d))
}

// until waits for an outcome; the time that it takes is not judged.
func (w *trial) until(t *testing.T, what string, done func() bool) {
	for !done() {
		require.NoError(t, pause(w.ctx, operatorPause), what)
	}
}

// answered waits until a request without key was answered.
func (w *trial) answered(t *testing.T) {
	before := w.load.ledger.results()[kindPost]
	w.until(t, "a request is answered", func() bool { return w.load.ledger.results()[kindPost] > before })
}

// recovered waits until all daemons are ready again and requests of each kind
// are answered.
func (w *trial) recovered(t *testing.T) {
	require.NoError(t, w.cluster.waitReady(w.ctx, testDaemons))
	before := w.load.ledger.results()
	w.until(t, "requests of each kind are answered", func() bool {
		now := w.load.ledger.results()
		for _, k := range kinds {
			if now[k] <= before[k] {
				return false
			}
		}
		return true
	})
}

// results counts the answered requests by kind.
func (l *ledger) results() map[kind]int {
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

func (w *trial) declare(t *testing.T, job guavascale.Job) {
	job.Size = guavascale.Resources{MilliCores: 2000, MemoryMB: 1024}
	require.NoError(t, w.operator.declare(w.ctx, job))
	w.jobs = append(w.jobs, job)
}

func (w *trial) putPreset(t *testing.T, name string, lease float64) {
	p := guavascale.Preset{Name: name, BatchLeaseSeconds: lease, ServiceLeaseSeconds: lease}
	_, err := w.operator.change(w.ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &p})
	require.NoError(t, err)
}

func (w *trial) usePreset(t *testing.T, name string, lease float64) {
	w.putPreset(t, name, lease)
	_, err := w.operator.change(w.ctx, guavaconfig.Change{Kind: guavaconfig.UsePreset, Name: name})
	require.NoError(t, err)
}

// owner returns the index of a daemon that owns shards and claim partitions.
func (w *trial) owner(t *testing.T) int {
	found := -1
	w.until(t, "a daemon owns shards and claim partitions", func() bool {
		for i, d := range w.cluster.list() {
			var st guavadaemon.State
			data, err := d.operator.State(w.ctx)
			if err != nil || json.Unmarshal(data, &st) != nil {
				continue
			}
			if owns(st.Held, "Shard-") && owns(st.Held, "Claim-") {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// ownedZone returns the zone of a shard that daemon i owns.
func (w *trial) ownedZone(t *testing.T, i int) guavascale.Zone {
	var st guavadaemon.State
	data, err := w.cluster.list()[i].operator.State(w.ctx)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &st))
	require.NotEmpty(t, st.Shards)
	return st.Shards[0].Summary.Zone
}

func owns(held []guavascale.Partition, prefix string) bool {
	return slices.ContainsFunc(held, func(p guavascale.Partition) bool { return strings.HasPrefix(string(p), prefix) })
}

// runningTasks counts the batch attempts that run at the stand-in.
func (w *trial) runningTasks(t *testing.T) int {
	n := 0
	for _, attempts := range w.batch(t) {
		n += attempts
	}
	return n
}

func (w *trial) batch(t *testing.T) map[guavascale.WorkerID]int {
	state, err := w.cluster.control.State()
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

// busyWorkers returns the two workers that run the most batch tasks.
func (w *trial) busyWorkers(t *testing.T) (first, second guavascale.WorkerID) {
	counts := w.batch(t)
	ids := make([]guavascale.WorkerID, 0, len(counts))
	for id := range counts {
		ids = append(ids, id)
	}
	require.GreaterOrEqual(t, len(ids), 2, "workers with batch tasks")
	slices.SortFunc(ids, func(a, b guavascale.WorkerID) int { return counts[b] - counts[a] })
	return ids[0], ids[1]
}
