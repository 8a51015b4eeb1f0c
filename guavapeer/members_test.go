package guavapeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

const patience = 2 * time.Minute

func endpointsOf(d *modelDaemon, now time.Time) (total, leaving int) {
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

// Guards against daemons that never learn of a peer, of its endpoints, of a
// leaving endpoint or of a partition that changed hands, with messages lost.
func TestNewsReachAll(t *testing.T) {
	for name, n := range map[string]int{"two": 2, "today": 7, "many": 40} {
		t.Run(name, func(t *testing.T) {
			m := newModel(uint64(n), n, 2, 20)
			m.loss = 0.1
			took := m.until(patience, func(d *modelDaemon) bool {
				total, _ := endpointsOf(d, m.now)
				return total == n*2*20
			})
			require.Less(t, took, patience, "endpoints of all daemons")
			d := m.daemons[n-1]
			p := &d.summary.Partitions[1]
			p.Endpoints = append([]guavascale.Endpoint(nil), p.Endpoints...)
			p.Endpoints[3].Leaving = true
			require.True(t, d.members.SetSelf(m.now, d.summary), "leaving is urgent")
			took = m.until(patience, func(d *modelDaemon) bool {
				_, leaving := endpointsOf(d, m.now)
				return leaving == 1
			})
			require.Less(t, took, patience, "the leaving endpoint")
			// Ownership comes back at a higher epoch with other endpoints.
			parts := d.summary.Partitions
			d.summary.Partitions = parts[:1]
			d.members.SetSelf(m.now, d.summary)
			again := testPartition(n-1, 1, 5)
			again.Epoch = 2
			d.summary.Partitions = []guavascale.PartitionSummary{parts[0], again}
			d.members.SetSelf(m.now, d.summary)
			took = m.until(patience, func(d *modelDaemon) bool {
				total, leaving := endpointsOf(d, m.now)
				return total == n*2*20-15 && leaving == 0
			})
			require.Less(t, took, patience, "endpoints of the new epoch only")
		})
	}
}

// Guards against a dead daemon that digests and summaries passed around keep in
// the ranking, and against one that stays out after a pause or a one-way cut.
func TestMembersLeaveAndReturn(t *testing.T) {
	m := newModel(3, 20, 1, 2)
	m.run(10 * time.Second)
	first := m.daemons[0]
	require.Equal(t, 20, m.liveCount(first))

	first.paused = true
	gone := func(d *modelDaemon) bool { return m.liveCount(d) == 19 }
	require.Less(t, m.until(patience, gone), patience, "all drop the silent daemon")
	for range 30 {
		m.run(time.Second)
		for _, d := range m.daemons[1:] {
			require.Equal(t, 19, m.liveCount(d), "stale summaries do not bring it back")
		}
	}
	first.paused = false
	back := func(d *modelDaemon) bool { return m.liveCount(d) == 20 }
	require.Less(t, m.until(patience, back), patience, "back after the pause")

	m.cut = func(from, _ *modelDaemon) bool { return from == m.daemons[5] }
	require.Less(t, m.until(patience, func(d *modelDaemon) bool {
		return d == m.daemons[5] || m.liveCount(d) == 19
	}), patience, "it cannot be heard")
	require.Equal(t, 20, m.liveCount(m.daemons[5]), "it hears the others")
	m.cut = nil
	require.Less(t, m.until(patience, back), patience, "back after the cut")
}

// Guards against a stale heartbeat or a delta that leaves out parts being taken
// for news, and against a peer that changes the own summary.
func TestMergeIgnores(t *testing.T) {
	owner := &Members{}
	owner.SetSelf(time.Unix(0, 0), guavascale.Summary{Daemon: "a", Instance: "a-1", PeerAddress: "a"})
	whole := delta{Instance: "a-1", Beat: 5, Version: 1, Parts: []part{{Version: 1, Card: &card{Daemon: "a"}}}}
	for name, tt := range map[string]struct {
		next    delta
		version uint64
		live    bool
	}{
		"same heartbeat":  {delta{Instance: "a-1", Beat: 5, Version: 1}, 1, false},
		"lower heartbeat": {delta{Instance: "a-1", Beat: 4, Version: 1}, 1, false},
		"gap":             {delta{Instance: "a-1", Beat: 5, Since: 3, Version: 4}, 1, false},
		"newer":           {delta{Instance: "a-1", Beat: 6, Since: 1, Version: 2}, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			var m Members
			at := time.Unix(100, 0)
			m.merge(at, []delta{whole})
			require.Len(t, m.Live(at), 1)
			at = at.Add(deadAfter)
			m.merge(at, []delta{tt.next})
			assert.Equal(t, tt.live, len(m.Live(at)) == 1)
			assert.Equal(t, tt.version, m.find(keyOf("a-1")).version)
			owner.merge(at, []delta{{Instance: "a-1", Beat: 99, Version: 99}})
			assert.Equal(t, uint64(1), owner.Self().Sequence)
			assert.Len(t, owner.Live(at), 1, "the own summary comes from nobody else")
		})
	}
}

// BenchmarkGossip measures bytes sent and received and processor time of one
// daemon per second of gossip, settled, with loads that change each second, and
// the virtual time until news are everywhere with one in ten messages lost.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []struct{ daemons, endpoints int }{{7, 10}, {7, 100}, {7, 400}, {30, 10}, {30, 100}, {100, 10}, {100, 100}, {200, 10}, {200, 50}} {
		b.Run(fmt.Sprintf("daemons=%d/endpoints=%d", size.daemons, size.endpoints), func(b *testing.B) {
			m := newModel(1, size.daemons, 1, size.endpoints)
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

// BenchmarkSpread measures in virtual time.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{7, 30, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var config, leaves, dropped time.Duration
			wrong := 0
			for range b.N {
				for seed := range uint64(5) {
					m := newModel(seed, n, 1, 2)
					m.loss = 0.1
					m.run(20 * time.Second)
					m.config(m.daemons[1], 7)
					config = max(config, m.until(patience, func(d *modelDaemon) bool { return d.members.Self().ConfigVersion == 7 }))
					d := m.daemons[2]
					d.summary.Partitions[0].Endpoints[0].Leaving = true
					m.wake(d, d.members.SetSelf(m.now, d.summary))
					leaves = max(leaves, m.until(patience, func(d *modelDaemon) bool { _, l := endpointsOf(d, m.now); return l == 1 }))
					for range 30 {
						m.run(time.Second)
						for _, d := range m.daemons {
							wrong += n - m.liveCount(d)
						}
					}
					m.daemons[3].paused = true
					dropped = max(dropped, m.until(patience, func(d *modelDaemon) bool { return m.liveCount(d) == n-1 }))
				}
			}
			b.ReportMetric(config.Seconds(), "config-s")
			b.ReportMetric(leaves.Seconds(), "leaving-s")
			b.ReportMetric(dropped.Seconds(), "dropped-s")
			b.ReportMetric(float64(wrong)/float64(b.N)/5/30/float64(n*n), "wrongly-dead")
		})
	}
}
