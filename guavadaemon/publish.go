package guavadaemon

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"guavascale.example"
	"guavascale.example/guavagateway"
)

// announce gives the peers a new summary.
func (c *control) announce(now time.Time, cfg *guavascale.Config) {
	self := guavascale.Summary{
		Daemon: c.d.Settings.Name, Instance: c.d.instance(),
		PeerAddress: c.d.addresses.Peer, GatewayAddress: c.d.addresses.Gateway,
		OperatorAddress: c.d.addresses.Operator, Zone: c.d.Settings.Zone,
		Leaving: c.d.stopping.Load(), ConfigVersion: cfg.Version,
	}
	for _, o := range c.shards {
		if o.shard != nil {
			self.Partitions = append(self.Partitions, o.shard.Summary())
		}
	}
	if c.d.members.SetSelf(now, self) {
		c.d.spread()
	}
}

// publish gives the gateway a new snapshot after the summaries were collected
// or the configuration changed.
func (c *control) publish(now time.Time, cfg *guavascale.Config, preset guavascale.Preset) {
	s := &guavagateway.Snapshot{
		Daemon: c.d.Settings.Name, Zone: c.d.Settings.Zone, Services: cfg.Services,
		ZonesOut: cfg.ZonesOut, Preset: preset,
	}
	for _, m := range c.d.members.Live(now) {
		// A leaving daemon still completes requests and keeps its slots.
		s.Daemons = append(s.Daemons, m.Daemon)
	}
	c.d.writes.SetLimit(rate.Limit(storeWrites) / rate.Limit(max(len(s.Daemons), 1)))
	if c.published != nil {
		s.Endpoints = make([]guavascale.Endpoint, 0, len(c.published.Endpoints))
	}
	for i := range c.others {
		for _, e := range c.others[i].Endpoints {
			e.Leaving = e.Leaving || c.leaving[e.Worker]
			s.Endpoints = append(s.Endpoints, e)
		}
	}
	if c.published == nil || c.publishedConfig != cfg.Version ||
		!slices.Equal(c.published.Daemons, s.Daemons) || !slices.Equal(c.published.Endpoints, s.Endpoints) {
		c.d.gateway.Set(s)
		c.published, c.publishedConfig = s, cfg.Version
	}
}

// instance names this run of the daemon towards peers.
func (d *Daemon) instance() string {
	return d.Settings.Name + "-" + d.started.UTC().Format("20060102T150405.000000000")
}

func isClaim(p guavascale.Partition) bool { return strings.HasPrefix(string(p), "Claim-") }
