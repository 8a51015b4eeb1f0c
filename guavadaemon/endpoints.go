package guavadaemon

import (
	"maps"
	"slices"

	"guavascale.example"
)

// sourcedSummary is the latest summary of a partition together with the instance
// of the daemon that sent it.
type sourcedSummary struct {
	guavascale.PartitionSummary
	instance string
}

// collectEndpoints collects the endpoints that requests may be routed to, from
// the summaries in latest, which are those of live daemons. statusKnown holds
// the daemon instances that are live or known to have exited.
//
// A partition without a live owner keeps its last endpoints as long as no daemon
// can act for it, since only an owner stops instances. This holds if the last
// owner's process has exited or released the partition, which statusKnown
// shows, and the table has no later epoch. Without this rule the instances of a
// shard would get no requests until another daemon takes the shard over, which
// takes 11 s or more and never happens while the store is down.
//
// The endpoints of an owner that is merely unreachable are dropped, since it may
// be stopping them.
func (c *control) collectEndpoints(latest map[guavascale.Partition]sourcedSummary, statusKnown map[string]bool) {
	for p, s := range latest {
		if s.Epoch >= c.lastSummaries[p].Epoch {
			c.lastSummaries[p] = s
		}
	}
	listed := make(map[guavascale.WorkerID]bool, len(c.workers))
	for i := range c.workers {
		listed[c.workers[i].ID] = true
	}
	c.endpoints = nil
	for _, p := range slices.Sorted(maps.Keys(c.lastSummaries)) {
		last := c.lastSummaries[p]
		live, ok := latest[p]
		switch {
		case ok && live.Epoch == last.Epoch:
			c.endpoints = append(c.endpoints, last.Endpoints...)
		case c.byShard[p] == nil:
			delete(c.lastSummaries, p)
		case statusKnown[last.instance] && c.ownerEpoch(p) <= last.Epoch:
			for _, e := range last.Endpoints {
				if listed[e.Worker] {
					c.endpoints = append(c.endpoints, e)
				}
			}
		}
	}
}

// tableEpoch returns the epoch of a partition as of the last scan of the table.
func (d *Daemon) tableEpoch(p guavascale.Partition) uint64 {
	row, _ := d.leases.Leases().Owner(p)
	return row.Epoch
}
