package guavadaemon

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavapeer"
	"guavascale.example/guavashard"
)

// startTestDaemon runs a daemon with short leases against an in-memory platform.
func startTestDaemon(t *testing.T, p *guavafake.Platform, name string, seeds ...string) *Daemon {
	t.Helper()
	local := guavaconfig.Listener{Listen: "127.0.0.1:0"}
	settings := guavaconfig.Settings{Name: name, Zone: "Rennes", Platform: "127.0.0.1:1", SeedPeers: seeds, Gateway: local, Operator: local, Peer: local}
	settings.Intervals = guavaconfig.Intervals{SessionRenewSeconds: 0.2, SessionTTLSeconds: 1, SessionMarginSeconds: 0.1, GossipSeconds: 0.1}
	d := &Daemon{
		Settings: settings.Defaults(), Log: zerolog.Nop(),
		Platform: Platform{Table: &p.Table, Objects: &p.Objects, Hosts: &p.Fleet, Agent: &p.Fleet},
	}
	d.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		d.Kill()
		require.NoError(t, <-done)
		cancel()
	})
	select {
	case <-d.Ready():
	case err := <-done:
		require.NoError(t, err)
	}
	return d
}

func placedTasks(t *testing.T, d *Daemon) int {
	t.Helper()
	w, err := d.Work(context.Background())
	require.NoError(t, err)
	n := 0
	for _, task := range w.Tasks {
		if task.Class == guavascale.ClassBatch && task.State.HoldsWorker() {
			n++
		}
	}
	return n
}

// Guards against tasks without an owner. The owner of a shard crashes, and the
// shard's workers may have left the host list meanwhile, so that the other
// daemons cannot learn of the shard from that list.
func TestShardOfKilledDaemonIsTakenOver(t *testing.T) {
	tests := map[string]struct{ workersLeave bool }{
		"workers answer":                {},
		"workers are off the host list": {workersLeave: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &guavafake.Platform{}
			for _, id := range []guavascale.WorkerID{"w0", "w1"} {
				p.Fleet.Add(guavascale.Worker{
					ID: id, Zone: "Rennes", AgentAddress: "agent",
					Capacity: guavascale.Resources{MilliCores: 8000, MemoryMB: 8192},
				})
			}
			first := startTestDaemon(t, p, "first")
			job := testJob("tally")
			job.RunSeconds = 1000
			svc := guavascale.Service{Name: "seats", Kind: "checkout", Team: "desk", Instances: 1, TargetMs: 50, Size: job.Size}
			require.NoError(t, first.DeclareForDev(context.Background(), svc, job))
			require.Eventually(t, func() bool { return placedTasks(t, first) == job.Tasks }, 20*time.Second, 50*time.Millisecond)
			if tt.workersLeave {
				require.NoError(t, p.Fleet.Kill("w0"))
				require.NoError(t, p.Fleet.Kill("w1"))
			}
			first.Kill()
			second := startTestDaemon(t, p, "second")
			require.Eventually(t, func() bool { return placedTasks(t, second) == job.Tasks }, 20*time.Second, 50*time.Millisecond)
			v := p.Fleet.Verdict()
			require.Empty(t, v.Violations)
			for id, n := range v.StartsByTask {
				require.Equal(t, 1, n, id)
			}
		})
	}
}

// Guards against tasks that are handed over to a shard without an owner. Its
// endpoints are covered by TestCollectEndpoints.
func TestNoCapacityInShardWithoutOwner(t *testing.T) {
	capacity := guavascale.Resources{MilliCores: 1000, MemoryMB: 1000}
	owner := func(now time.Time, daemon string, epoch uint64) *guavapeer.Members {
		m := &guavapeer.Members{}
		m.SetSelf(now, guavascale.Summary{Daemon: daemon, Instance: daemon + "-1", PeerAddress: daemon, Partitions: []guavascale.PartitionSummary{
			{Partition: testHome, Zone: "Rennes", Epoch: epoch, Capacity: capacity, Free: capacity, Total: capacity},
		}})
		return m
	}
	tests := map[string]struct {
		after time.Duration
		next  bool
		free  guavascale.Resources
	}{
		"owner lives":        {free: capacity},
		"owner is dead":      {after: 10 * time.Second},
		"dead for a minute":  {after: time.Minute},
		"next owner":         {after: 10 * time.Second, next: true, free: capacity},
		"next owner at once": {next: true, free: capacity},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, _ := newTestBackend(t)
			c, now := b.d.control, b.d.clock.Now()
			b.d.members.SetSelf(now, guavascale.Summary{Daemon: "a", Instance: b.d.instance()})
			guavapeer.ExchangeInProcess(now, &b.d.members, owner(now, "b", 1))
			c.collectSummaries(now)
			now = now.Add(tt.after)
			if tt.next {
				guavapeer.ExchangeInProcess(now, &b.d.members, owner(now, "c", 2))
			}
			c.collectSummaries(now)
			var free guavascale.Resources
			for _, p := range c.shardSummaries {
				free = free.Add(p.Free)
			}
			require.Equal(t, tt.free, free)
		})
	}
}

// Guards against a shard that reports no capacity before its first step, which
// moved its service instances to other shards.
func TestSummaryWaitsForFirstStep(t *testing.T) {
	for name, stepped := range map[string]bool{"log read": false, "first step done": true} {
		t.Run(name, func(t *testing.T) {
			b, _ := newTestBackend(t)
			c, now := b.d.control, b.d.clock.Now()
			b.d.members.SetSelf(now, guavascale.Summary{Daemon: "a", Instance: b.d.instance(), Sequence: 2})
			c.shards[testHome] = &ownedShard{partition: testHome, shard: guavashard.New(testHome, "Rennes", 1, now), stepped: stepped}
			c.collectSummaries(now)
			c.announceSummary(now, &guavascale.Config{})
			require.Equal(t, stepped, len(c.shardSummaries) == 1)
			require.Equal(t, stepped, len(b.d.members.Self().Partitions) == 1)
		})
	}
}
