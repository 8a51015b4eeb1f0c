package guavadaemon

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"guavascale.example"
	"guavascale.example/guavagateway"
)

// maxConfigAge is the age of the last confirmation of the configuration from
// which on a daemon without live peers counts as isolated. Endpoints that leave
// get no requests after 3 s.
const maxConfigAge = 3 * time.Second

// joinTime is how long a daemon without news of its seed peers waits before it
// serves callers alone.
const joinTime = 5 * time.Second

// publish gives the gateway a new snapshot and the peers a new summary.
func (c *control) publish(now time.Time, cfg *guavascale.Config, preset guavascale.Preset) {
	c.sequence++
	self := guavascale.Summary{
		Daemon: c.d.Settings.Name, Instance: c.d.instance(), Sequence: c.sequence,
		PeerAddress: c.d.addresses.Peer, GatewayAddress: c.d.addresses.Gateway,
		OperatorAddress: c.d.addresses.Operator, Zone: c.d.Settings.Zone,
		Leaving: c.d.stopping.Load(), ConfigVersion: cfg.Version,
	}
	for _, o := range c.shards {
		if o.shard != nil && o.stepped {
			self.Partitions = append(self.Partitions, o.shard.Summary())
		}
	}
	c.d.members.SetSelf(self)
	s := &guavagateway.Snapshot{
		Daemon: c.d.Settings.Name, Zone: c.d.Settings.Zone, Services: cfg.Services,
		ZonesOut: cfg.ZonesOut, Preset: preset, Isolated: c.isolated(now),
	}
	var leaving []string
	for _, m := range c.d.members.Live(now) {
		// A leaving daemon still completes requests and keeps its slots.
		s.Daemons = append(s.Daemons, m.Daemon)
		if m.Leaving {
			leaving = append(leaving, m.Daemon)
		}
	}
	if !slices.Equal(leaving, c.leaving) {
		c.leaving = leaving
		c.d.lease.SetLeaving(leaving)
	}
	// A restarted daemon is listed twice until its earlier run counts as dead.
	s.Daemons = slices.Compact(s.Daemons)
	c.d.writes.SetLimit(rate.Limit(storeWrites) / rate.Limit(max(len(s.Daemons), 1)))
	workerLeaves := make(map[guavascale.WorkerID]bool)
	for _, w := range c.workers {
		workerLeaves[w.ID] = w.Leaving
	}
	for i := range c.others {
		for _, e := range c.others[i].Endpoints {
			e.Leaving = e.Leaving || workerLeaves[e.Worker]
			s.Endpoints = append(s.Endpoints, e)
		}
	}
	if c.joined(now) {
		c.d.gateway.Set(s)
	}
}

// joined reports whether the daemon has heard from a peer, or waited long
// enough. Readiness counts from the gateway's first snapshot. When that held no
// endpoints yet, callers came up to a second before any slot was usable and got
// 429.
func (c *control) joined(now time.Time) bool {
	return len(c.d.Settings.SeedPeers) == 0 || c.d.members.Known() > 0 || now.Sub(c.d.started) > joinTime
}

// zoneOf returns the zone in the name of a shard, see guavascale.ShardOf.
func zoneOf(p guavascale.Partition) guavascale.Zone {
	name := strings.TrimPrefix(string(p), "Shard-")
	if i := strings.LastIndexByte(name, '-'); i >= 0 {
		name = name[:i]
	}
	return guavascale.Zone(name)
}

// isolated reports whether the daemon reaches neither the store nor any of the
// peers that it knows. With the store alone down all daemons are in the same
// position, and nobody can change the configuration.
func (c *control) isolated(now time.Time) bool {
	age, ok := c.d.watcher.Age()
	if ok && age < maxConfigAge {
		return false
	}
	return c.d.members.Known() > 0 && len(c.d.members.Live(now)) <= 1
}

// instance names this run of the daemon towards peers.
func (d *Daemon) instance() string {
	return d.Settings.Name + "-" + d.started.UTC().Format("20060102T150405.000000000")
}

func isClaim(p guavascale.Partition) bool { return strings.HasPrefix(string(p), "Claim-") }
