package guavadaemon

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"guavascale.example"
	"guavascale.example/guavagateway"
)

// maxConfigAge is the time since the last confirmation of the configuration
// after which a daemon without live peers counts as isolated. It equals the
// 3 s within which leaving endpoints stop getting requests.
const maxConfigAge = 3 * time.Second

const (
	// snapshotValidity is how long the gateway may act on a snapshot. It is the
	// guaranteed time within which leaving endpoints stop getting requests.
	snapshotValidity = 3 * time.Second
	// pauseThreshold is the time between ticks above which the process counts as
	// paused. Together with one poll of the configuration, 1 s, it is less than
	// snapshotValidity.
	pauseThreshold = 1500 * time.Millisecond
)

// joinTimeout is how long a daemon with seed peers waits for the summary of a
// peer before it serves callers without one.
const joinTimeout = 5 * time.Second

// announceSummary updates the summary that gossip sends to peers.
func (c *control) announceSummary(now time.Time, cfg *guavascale.Config) {
	self := guavascale.Summary{
		Daemon: c.d.Settings.Name, Instance: c.d.instance(),
		PeerAddress: c.d.addresses.Peer, GatewayAddress: c.d.addresses.Gateway,
		OperatorAddress: c.d.addresses.Operator, Zone: c.d.Settings.Zone,
		Leaving: c.d.stopping.Load(), ConfigVersion: cfg.Version,
	}
	for _, o := range c.shards {
		if o.shard != nil && o.stepped {
			self.Partitions = append(self.Partitions, o.shard.Summary())
		}
	}
	if c.d.members.SetSelf(now, self) {
		c.d.triggerGossip()
	}
}

// publishSnapshot runs after summaries were collected or the configuration
// changed. It passes a new snapshot to the gateway if its content has changed,
// and otherwise extends the validity of the previous one.
func (c *control) publishSnapshot(now time.Time, cfg *guavascale.Config, preset guavascale.Preset) {
	s := &guavagateway.Snapshot{
		Daemon: c.d.Settings.Name, Zone: c.d.Settings.Zone, Services: cfg.Services,
		ZonesOut: cfg.ZonesOut, Preset: preset, Isolated: c.isolated(now),
		ValidUntil: c.snapshotExpiry(now),
	}
	var stopping []string
	for _, m := range c.d.members.Live(now) {
		// A leaving daemon still completes requests and keeps its share of the
		// slots.
		s.Daemons = append(s.Daemons, m.Daemon)
		if m.Leaving {
			stopping = append(stopping, m.Daemon)
		}
	}
	if !slices.Equal(stopping, c.leavingDaemons) {
		c.leavingDaemons = stopping
		c.d.leases.SetLeaving(stopping)
	}
	// A restarted daemon is listed twice until its previous run counts as dead.
	s.Daemons = slices.Compact(s.Daemons)
	c.d.writeLimiter.SetLimit(rate.Limit(maxStoreWritesPerSecond) / rate.Limit(max(len(s.Daemons), 1)))
	s.Endpoints = make([]guavascale.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		e.Leaving = e.Leaving || c.leaving[e.Worker]
		s.Endpoints = append(s.Endpoints, e)
	}
	if !c.joined(now) {
		return
	}
	if c.lastSnapshot == nil || c.lastSnapshotConfigVersion != cfg.Version || c.lastSnapshot.Isolated != s.Isolated ||
		!slices.Equal(c.lastSnapshot.Daemons, s.Daemons) || !slices.Equal(c.lastSnapshot.Endpoints, s.Endpoints) {
		c.d.gateway.SetSnapshot(s)
		c.lastSnapshot, c.lastSnapshotConfigVersion = s, cfg.Version
		return
	}
	c.d.gateway.SetValidUntil(s.ValidUntil)
}

// joined reports whether the daemon needs no peer, has received the summary of
// one or has waited long enough. The daemon becomes ready with the gateway's first
// snapshot. When that snapshot had no endpoints yet, callers arrived up to a
// second before any slot was usable and got status 429.
func (c *control) joined(now time.Time) bool {
	return len(c.d.Settings.SeedPeers) == 0 || c.d.members.Known() > 0 || now.Sub(c.d.started) > joinTimeout
}

// zoneOfShard returns the zone encoded in the name of a shard, see
// guavascale.ShardOf.
func zoneOfShard(p guavascale.Partition) guavascale.Zone {
	name := strings.TrimPrefix(string(p), "Shard-")
	if i := strings.LastIndexByte(name, '-'); i >= 0 {
		name = name[:i]
	}
	return guavascale.Zone(name)
}

// isolated reports whether the daemon reaches neither the store nor any of the
// peers that have not exited. When only the store is down, all daemons are in the
// same position and nobody can change the configuration.
func (c *control) isolated(now time.Time) bool {
	age, ok := c.d.watcher.Age()
	if ok && age < maxConfigAge {
		return false
	}
	return c.d.members.Known() > len(c.d.members.Exited()) && len(c.d.members.Live(now)) <= 1
}

// detectPause records that the process was paused, for example suspended or
// starved of CPU time, so that its configuration may be out of date.
func (c *control) detectPause(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseThreshold {
		c.resumedAt = now
		c.d.Log.Warn().Dur("Pause", now.Sub(c.lastTick)).Msg("daemon: the process was paused")
	}
	c.lastTick = now
}

// snapshotExpiry returns when a snapshot made now expires. After a pause nothing
// is routed until the store has confirmed the configuration, or until
// snapshotValidity has passed without a response, as in an outage of the store.
func (c *control) snapshotExpiry(now time.Time) time.Time {
	if c.resumedAt.IsZero() {
		return now.Add(snapshotValidity)
	}
	since := now.Sub(c.resumedAt)
	age, ok := c.d.watcher.Age()
	if since <= snapshotValidity && (!ok || age >= since) {
		return c.resumedAt
	}
	c.resumedAt = time.Time{}
	return now.Add(snapshotValidity)
}

// instance returns the identifier of this run of the daemon, which peers use to
// tell its runs apart.
func (d *Daemon) instance() string {
	return d.Settings.Name + "-" + d.started.UTC().Format("20060102T150405.000000000")
}

func isClaimPartition(p guavascale.Partition) bool { return strings.HasPrefix(string(p), "Claim-") }
