package guavadaemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaclaim"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavalease"
	"guavascale.example/guavaplace"
	"guavascale.example/guavashard"
)

// control is the state of the control goroutine. Only that goroutine touches
// it.
type control struct {
	d      *Daemon
	rng    *rand.Rand
	shards map[guavascale.Partition]*owned

	workers   []guavascale.Worker
	byShard   map[guavascale.Partition][]guavascale.Worker
	shardZone map[guavascale.Partition]guavascale.Zone
	largest   []guavascale.Resources
	hostsBusy bool
	hostsNext time.Time
	// instances is the division of each service over the shards.
	instances     map[string]map[guavascale.Partition]int
	instancesNext time.Time
	others        []guavascale.PartitionSummary
	// kept holds the last summary of each shard.
	kept        map[guavascale.Partition]keptSummary
	sequence    uint64
	publishNext time.Time
	// leaving holds the daemons that shut down.
	leaving     []string
	summaryNext time.Time
}

// keptSummary is the last summary of a shard and the time up to which it is
// used when no live daemon publishes one.
type keptSummary struct {
	summary guavascale.PartitionSummary
	until   time.Time
}

const (
	// keepSummary covers the 11 to 14 s of a takeover after the death of an
	// owner.
	keepSummary = 20 * time.Second

	tickInterval = 100 * time.Millisecond
	// hostInterval is the time between reads of the host list.
	hostInterval = 2 * time.Second
	// divideInterval is the time between divisions of service instances.
	divideInterval = 500 * time.Millisecond
	// publishInterval is the time between gateway snapshots.
	publishInterval = 200 * time.Millisecond
	callTimeout     = 2 * time.Second

	// reportSize is the bytes of a message to a settled worker and of its
	// report, HTTP headers included; reportBytes is the part of a daemon's
	// 25 KB/s of control traffic that they may take.
	reportSize        = 600
	reportBytes       = 15_000
	minReportInterval = time.Second
	maxReportInterval = 5 * time.Second
)

func newControl(d *Daemon, rng *rand.Rand) *control {
	return &control{
		d: d, rng: rng,
		shards:  make(map[guavascale.Partition]*owned),
		byShard: make(map[guavascale.Partition][]guavascale.Worker),
		kept:    make(map[guavascale.Partition]keptSummary),
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.d.lease.Events():
			c.ownership(ctx, e)
		case <-c.d.mail.wake:
			for _, f := range c.d.mail.take() {
				f()
			}
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *control) tick(ctx context.Context) {
	now := c.d.clock.Now()
	c.refreshHosts(ctx, now)
	cfg, ok := c.d.watcher.Config()
	if !ok {
		return
	}
	preset := guavaconfig.InForce(cfg)
	if now.After(c.summaryNext) {
		c.collectSummaries(now)
		c.summaryNext = now.Add(divideInterval)
	}
	if now.After(c.instancesNext) {
		c.divide(&cfg)
		c.instancesNext = now.Add(divideInterval)
	}
	for _, o := range c.shards {
		if o.shard != nil {
			c.step(ctx, now, o, &cfg, preset)
		}
	}
	if now.After(c.publishNext) {
		c.publish(now, &cfg, preset)
		c.publishNext = now.Add(publishInterval)
	}
}

// view describes the rest of the system to a shard.
func (c *control) view(now time.Time, o *owned, cfg *guavascale.Config, preset guavascale.Preset) (*guavashard.View, bool) {
	right, err := c.d.lease.May(o.name)
	if err != nil || right.Epoch != o.epoch {
		return nil, false
	}
	v := &guavashard.View{
		Config: cfg, Preset: preset, ActUntil: right.Until, StartUntil: now.Add(-time.Second),
		Workers: c.byShard[o.name], Largest: c.largest, Others: c.others,
		Instances: make(map[string]int, len(c.instances)), Rand: c.rng,
		ReportInterval: c.reportInterval(),
	}
	if left, ok := c.d.watcher.MayStart(cfg.Version); ok {
		v.StartUntil = now.Add(left)
	}
	for service, shares := range c.instances {
		v.Instances[service] = shares[o.name]
	}
	return v, true
}

// reportInterval grows with the number of workers that this daemon owns, so
// that their reports stay within reportBytes.
func (c *control) reportInterval() time.Duration {
	n := 0
	for p := range c.shards {
		n += len(c.byShard[p])
	}
	wanted := time.Duration(n) * reportSize * time.Second / reportBytes
	return min(max(wanted, minReportInterval), maxReportInterval)
}

func (c *control) refreshHosts(ctx context.Context, now time.Time) {
	if c.hostsBusy || now.Before(c.hostsNext) {
		return
	}
	c.hostsBusy = true
	c.d.storePool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		workers, err := c.d.Platform.Hosts.Workers(ctx)
		c.d.mail.post(func() {
			c.hostsBusy = false
			c.hostsNext = c.d.clock.Now().Add(hostInterval)
			if err != nil {
				c.d.Log.Debug().Err(err).Msg("hosts: the host list does not answer; the last one stays in use")
				return
			}
			c.setWorkers(workers)
		})
	})
}

// setWorkers takes over a host list. A shard that the list does not name any
// more stays wanted by all daemons, since it may hold tasks: when only its
// owner wanted it, nobody took it after a release or the owner's death.
func (c *control) setWorkers(workers []guavascale.Worker) {
	c.workers = workers
	c.byShard = make(map[guavascale.Partition][]guavascale.Worker)
	c.shardZone = make(map[guavascale.Partition]guavascale.Zone)
	c.largest = c.largest[:0]
	for _, w := range workers {
		p := guavascale.ShardOf(w, c.d.Settings.RacksPerShard)
		c.byShard[p] = append(c.byShard[p], w)
		c.shardZone[p] = w.Zone
		if !slices.Contains(c.largest, w.Capacity) {
			c.largest = append(c.largest, w.Capacity)
		}
	}
	wanted := guavaclaim.AllPartitions()
	for p := range c.byShard {
		wanted = append(wanted, p)
	}
	for _, p := range c.d.lease.Rights().Known() {
		if !isClaim(p) && c.byShard[p] == nil {
			c.shardZone[p] = zoneOf(p)
			wanted = append(wanted, p)
		}
	}
	c.d.lease.SetWanted(wanted)
}

// collectSummaries joins the summaries of the own shards and of live peers. Of
// two owners of a partition the one with the higher epoch counts.
func (c *control) collectSummaries(now time.Time) {
	latest := make(map[guavascale.Partition]guavascale.PartitionSummary)
	for p, k := range c.kept {
		if now.Before(k.until) {
			latest[p] = k.summary
		}
	}
	for _, s := range c.d.members.Live(now) {
		for _, p := range s.Partitions {
			if have, ok := latest[p.Partition]; !ok || p.Epoch >= have.Epoch {
				latest[p.Partition] = p
				c.keep(now, p)
			}
		}
	}
	for _, o := range c.shards {
		if o.shard != nil && o.stepped {
			latest[o.name] = o.shard.Summary()
			c.keep(now, latest[o.name])
		}
	}
	c.others = c.others[:0]
	for _, p := range latest {
		c.others = append(c.others, p)
	}
	slices.SortFunc(c.others, func(a, b guavascale.PartitionSummary) int { return cmp.Compare(a.Partition, b.Partition) })
}

// keep remembers a summary beyond the death or the shutdown of the owner until
// the next one publishes its own: the instances go on running, and without
// their endpoints the others would carry their load. The summary offers no
// room, because nobody places tasks meanwhile.
func (c *control) keep(now time.Time, p guavascale.PartitionSummary) {
	p.Free, p.Total = guavascale.Resources{}, guavascale.Resources{}
	c.kept[p.Partition] = keptSummary{p, now.Add(keepSummary)}
}

// divide splits the instances of all services over the shards of the zones in
// service. A shard whose owner reports no answering worker gets none.
func (c *control) divide(cfg *guavascale.Config) {
	dead := make(map[guavascale.Partition]bool)
	for i := range c.others {
		if c.others[i].Capacity.IsZero() {
			dead[c.others[i].Partition] = true
		}
	}
	var capacity, all []guavaplace.ShardCapacity
	for p, workers := range c.byShard {
		if cfg.ZonesOut[c.shardZone[p]] {
			continue
		}
		s := guavaplace.ShardCapacity{Shard: p, Zone: c.shardZone[p]}
		for _, w := range workers {
			if !w.Leaving {
				s.MilliCores += w.Capacity.MilliCores
			}
		}
		all = append(all, s)
		if !dead[p] {
			capacity = append(capacity, s)
		}
	}
	if len(capacity) == 0 {
		capacity = all
	}
	c.instances = make(map[string]map[guavascale.Partition]int, len(cfg.Services))
	for name, svc := range cfg.Services {
		c.instances[name] = guavaplace.Divide(name, svc.Instances, capacity)
	}
}

// ownership handles a change of ownership.
func (c *control) ownership(ctx context.Context, e guavalease.Event) {
	if isClaim(e.Partition) {
		c.d.claimOwnership(ctx, e)
		return
	}
	if e.Kind == guavalease.EventGained {
		c.d.Log.Info().Str("partition", string(e.Partition)).Uint64("epoch", e.Epoch).Msg("shard: took over")
		c.gain(ctx, e.Partition, e.Epoch)
		return
	}
	c.d.Log.Info().Str("partition", string(e.Partition)).Uint64("epoch", e.Epoch).
		Str("reason", e.Reason).Msg("shard: ownership ended")
	if o := c.shards[e.Partition]; o != nil && o.epoch == e.Epoch {
		delete(c.shards, e.Partition)
	}
}
