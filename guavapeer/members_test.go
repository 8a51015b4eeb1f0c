package guavapeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// convergenceLimit is the virtual time within which all daemons must agree.
const convergenceLimit = 2 * time.Minute

// countEndpoints counts the endpoints in the member list of a daemon.
func countEndpoints(d *simulatedDaemon, now time.Time) (total, leaving int) {
	for _, s := range d.members.Live(now) {
		for _, p := range s.Partitions {
			for _, e := range p.Endpoints {
				total++
				if e.Leaving {
					leaving++
				}
			}
		}
	}
	return total, leaving
}

// Guards against daemons that, when messages are lost, never learn of a peer, its
// endpoints, a leaving endpoint, or a partition whose ownership changed.
func TestChangesReachAllDaemons(t *testing.T) {
	for name, n := range map[string]int{"two": 2, "seven": 7, "many": 40} {
		t.Run(name, func(t *testing.T) {
			m := newSimulation(uint64(n), n, 2, 20)
			m.lossRate = 0.1
			took := m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool {
				total, _ := countEndpoints(d, m.now)
				return total == n*2*20
			})
			require.Less(t, took, convergenceLimit, "all daemons know all endpoints")
			d := m.daemons[n-1]
			p := &d.summary.Partitions[1]
			p.Endpoints = append([]guavascale.Endpoint(nil), p.Endpoints...)
			p.Endpoints[3].Leaving = true
			require.True(t, d.members.SetSelf(m.now, d.summary), "a leaving endpoint is urgent")
			took = m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool {
				_, leaving := countEndpoints(d, m.now)
				return leaving == 1
			})
			require.Less(t, took, convergenceLimit, "all daemons know the leaving endpoint")
			// The daemon regains ownership at a higher epoch with other endpoints.
			parts := d.summary.Partitions
			d.summary.Partitions = parts[:1]
			d.members.SetSelf(m.now, d.summary)
			again := testPartition(n-1, 1, 5)
			again.Epoch = 2
			d.summary.Partitions = []guavascale.PartitionSummary{parts[0], again}
			d.members.SetSelf(m.now, d.summary)
			took = m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool {
				total, leaving := countEndpoints(d, m.now)
				return total == n*2*20-15 && leaving == 0
			})
			require.Less(t, took, convergenceLimit, "all daemons know only the endpoints of the new epoch")
		})
	}
}

// Guards against a dead daemon that stays live because peers relay stale digests
// and summaries, and against a daemon that is not readmitted after a pause or a
// one-way network partition.
func TestMembersLeaveAndReturn(t *testing.T) {
	m := newSimulation(3, 20, 1, 2)
	m.run(10 * time.Second)
	first := m.daemons[0]
	require.Equal(t, 20, m.liveCount(first))

	first.paused = true
	dropped := func(d *simulatedDaemon) bool { return m.liveCount(d) == 19 }
	require.Less(t, m.runUntil(convergenceLimit, dropped), convergenceLimit, "all daemons drop the silent one")
	for range 30 {
		m.run(time.Second)
		for _, d := range m.daemons[1:] {
			require.Equal(t, 19, m.liveCount(d), "stale summaries do not make it live again")
		}
	}
	first.paused = false
	recovered := func(d *simulatedDaemon) bool { return m.liveCount(d) == 20 }
	require.Less(t, m.runUntil(convergenceLimit, recovered), convergenceLimit, "live again after the pause")

	m.disconnected = func(from, _ *simulatedDaemon) bool { return from == m.daemons[5] }
	require.Less(t, m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool {
		return d == m.daemons[5] || m.liveCount(d) == 19
	}), convergenceLimit, "the others do not receive its messages")
	require.Equal(t, 20, m.liveCount(m.daemons[5]), "it receives the messages of the others")
	m.disconnected = nil
	require.Less(t, m.runUntil(convergenceLimit, recovered), convergenceLimit, "live again after the partition")
}

// Guards against accepting a stale heartbeat or a delta with a gap before it, and
// against a peer that changes the local daemon's summary.
func TestMergeIgnoresStaleAndIncompleteDeltas(t *testing.T) {
	owner := &Members{}
	owner.SetSelf(time.Unix(0, 0), guavascale.Summary{Daemon: "a", Instance: "a-1", PeerAddress: "a"})
	initial := delta{Instance: "a-1", Heartbeat: 5, Version: 1, Parts: []part{{Version: 1, Card: &card{Daemon: "a"}}}}
	for name, tt := range map[string]struct {
		next    delta
		version uint64
		live    bool
	}{
		"same heartbeat":  {delta{Instance: "a-1", Heartbeat: 5, Version: 1}, 1, false},
		"lower heartbeat": {delta{Instance: "a-1", Heartbeat: 4, Version: 1}, 1, false},
		"gap":             {delta{Instance: "a-1", Heartbeat: 5, Since: 3, Version: 4}, 1, false},
		"newer":           {delta{Instance: "a-1", Heartbeat: 6, Since: 1, Version: 2}, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			var m Members
			at := time.Unix(100, 0)
			m.merge(at, []delta{initial})
			require.Len(t, m.Live(at), 1)
			at = at.Add(deadAfter)
			m.merge(at, []delta{tt.next})
			assert.Equal(t, tt.live, len(m.Live(at)) == 1)
			assert.Equal(t, tt.version, m.lookup(keyOfInstance("a-1")).version)
			owner.merge(at, []delta{{Instance: "a-1", Heartbeat: 99, Version: 99}})
			assert.Equal(t, uint64(1), owner.Self().Sequence)
			assert.Len(t, owner.Live(at), 1, "peers cannot change the local summary")
		})
	}
}

// BenchmarkGossip measures the bytes sent and received and the CPU time of one
// daemon per second of gossip, after convergence and with loads that change every
// second.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []struct{ daemons, endpoints int }{{7, 10}, {7, 100}, {7, 400}, {30, 10}, {30, 100}, {100, 10}, {100, 100}, {200, 10}, {200, 50}} {
		b.Run(fmt.Sprintf("daemons=%d/endpoints=%d", size.daemons, size.endpoints), func(b *testing.B) {
			m := newSimulation(1, size.daemons, 1, size.endpoints)
			m.run(40 * time.Second)
			m.bytes, m.calls = 0, 0
			b.ResetTimer()
			for range b.N {
				m.run(time.Second)
			}
			b.StopTimer()
			n := float64(b.N * size.daemons)
			b.ReportMetric(2*float64(m.bytes+m.calls*callOverhead)/n, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/n, "cpu-us/s")
		})
	}
}

// BenchmarkSpread measures, with one in ten messages lost, the virtual time until
// all daemons know of a new configuration, a leaving endpoint and a dead daemon,
// and the share of daemons wrongly considered dead.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{7, 30, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var config, leaves, dropped time.Duration
			wrong := 0
			for range b.N {
				for seed := range uint64(5) {
					m := newSimulation(seed, n, 1, 2)
					m.lossRate = 0.1
					m.run(20 * time.Second)
					m.offerConfig(m.daemons[1], 7)
					config = max(config, m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool { return d.members.Self().ConfigVersion == 7 }))
					d := m.daemons[2]
					d.summary.Partitions[0].Endpoints[0].Leaving = true
					m.advanceNextRound(d, d.members.SetSelf(m.now, d.summary))
					leaves = max(leaves, m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool { _, l := countEndpoints(d, m.now); return l == 1 }))
					for range 30 {
						m.run(time.Second)
						for _, d := range m.daemons {
							wrong += n - m.liveCount(d)
						}
					}
					m.daemons[3].paused = true
					dropped = max(dropped, m.runUntil(convergenceLimit, func(d *simulatedDaemon) bool { return m.liveCount(d) == n-1 }))
				}
			}
			b.ReportMetric(config.Seconds(), "config-s")
			b.ReportMetric(leaves.Seconds(), "leaving-s")
			b.ReportMetric(dropped.Seconds(), "dropped-s")
			b.ReportMetric(float64(wrong)/float64(b.N)/5/30/float64(n*n), "wrongly-dead")
		})
	}
}
