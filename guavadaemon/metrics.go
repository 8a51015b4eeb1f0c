package guavadaemon

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// gauges are the metrics of the scheduler. Event counts start when this daemon
// took over the shards that it currently owns.
type gauges struct {
	shards, pending, members, configAgeMs      metrics.Gauge
	starts, completions, failures, evictions   metrics.Gauge
	expirations, handOvers, orphans, claimKeys metrics.Gauge
}

func newGauges(r metrics.Registry) gauges {
	gauge := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	return gauges{
		shards: gauge("shard.owned"), pending: gauge("shard.pending"),
		members: gauge("peer.live"), configAgeMs: gauge("config.age-ms"),
		starts: gauge("shard.starts"), completions: gauge("shard.completions"),
		failures: gauge("shard.failures"), evictions: gauge("shard.evictions"),
		expirations: gauge("shard.expirations"), handOvers: gauge("shard.hand-overs"),
		orphans: gauge("shard.orphans"), claimKeys: gauge("claim.keys"),
	}
}

// updateGauges sets all gauges to their current values.
func (c *control) updateGauges(now time.Time) {
	var sum struct{ pending, starts, completions, failures, evictions, expirations, handOvers, orphans int64 }
	for _, o := range c.shards {
		if o.shard == nil {
			continue
		}
		n := o.shard.Counters
		sum.pending += int64(o.shard.Pending())
		sum.starts += n.Starts
		sum.completions += n.Completions
		sum.failures += n.Failures
		sum.evictions += n.Evictions
		sum.expirations += n.Expirations
		sum.handOvers += n.HandOvers
		sum.orphans += n.Orphans
	}
	m := &c.gauges
	m.shards.Update(int64(len(c.shards)))
	m.pending.Update(sum.pending)
	m.starts.Update(sum.starts)
	m.completions.Update(sum.completions)
	m.failures.Update(sum.failures)
	m.evictions.Update(sum.evictions)
	m.expirations.Update(sum.expirations)
	m.handOvers.Update(sum.handOvers)
	m.orphans.Update(sum.orphans)
	m.members.Update(int64(len(c.d.members.Live(now))))
	m.claimKeys.Update(int64(c.d.claims.Local.Keys()))
	if age, ok := c.d.watcher.Age(); ok {
		m.configAgeMs.Update(age.Milliseconds())
	}
}
