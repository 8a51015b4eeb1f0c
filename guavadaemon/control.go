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
	"guavascale.example/guavagateway"
	"guavascale.example/guavainterference"
	"guavascale.example/guavalease"
	"guavascale.example/guavaplace"
	"guavascale.example/guavashard"
)

// control is the state of the control goroutine. Only that goroutine touches
// it.
type control struct {
	d      *Daemon
	meters meters
	rng    *rand.Rand
	shards map[guavascale.Partition]*owned

	workers   []guavascale.Worker
	byShard   map[guavascale.Partition][]guavascale.Worker
	shardZone map[guavascale.Partition]guavascale.Zone
	// shardCores is the capacity of a shard's workers that are not leaving.
	shardCores map[guavascale.Partition]int64
	// leaving holds the workers that the host list calls leaving.
	leaving   map[guavascale.WorkerID]bool
	largest   []guavascale.Resources
	hostsBusy bool
	hostsNext time.Time
	// hostsTaken is when the host list was last taken over.
	hostsTaken time.Time
	// instances is the division of each service over the shards.
	instances map[string]map[guavascale.Partition]int
	// dividedAt and divided are the configuration and the capacities that
	// instances was made from.
	dividedAt     uint64
	divided       []guavaplace.ShardCapacity
	instancesNext time.Time
	others        []guavascale.PartitionSummary
	// known holds the latest summary of each partition, also without a live
	// owner; endpoints are those that requests may be sent to.
	known     map[guavascale.Partition]sighting
	endpoints []guavascale.Endpoint
	// ticked is the time of the latest tick. resumed is the end of a pause
	// after which the configuration has not been confirmed yet.
	ticked  time.Time
	resumed time.Time
	// ownerEpoch returns the epoch of a partition in the table.
	ownerEpoch func(guavascale.Partition) uint64
	// stoppingDaemons holds the daemons that shut down.
	stoppingDaemons []string
	publishNext     time.Time
	// published is the last snapshot that the gateway got. An unchanged one is
	// not set again, since the gateway's work grows with all endpoints.
	published       *guavagateway.Snapshot
	publishedConfig uint64
	summaryNext     time.Time
	// interference estimates how tasks disturb services; it starts empty.
	interference guavainterference.Controller
	mitigateNext time.Time
	forgetNext   time.Time
}

const (
	tickInterval = 100 * time.Millisecond
	// hostInterval is the time between reads of the host list.
	hostInterval = 2 * time.Second
	// hostRetake is the time after which an unchanged host list is taken over
	// all the same, since the wanted partitions also depend on the owned ones.
	hostRetake = 10 * time.Second
	// divideInterval is the time between divisions of service instances, and
	// between collections of summaries with a snapshot for the gateway.
	divideInterval = 500 * time.Millisecond
	// publishInterval is the time between summaries for peers.
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
		d: d, rng: rng, meters: newMeters(d.registry),
		shards:  make(map[guavascale.Partition]*owned),
		byShard: make(map[guavascale.Partition][]guavascale.Worker),
		known:   make(map[guavascale.Partition]sighting), ownerEpoch: d.tableEpoch,
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
	c.noticePause(now)
	c.refreshHosts(ctx, now)
	cfg, ok := c.d.watcher.Config()
	if !ok {
		return
	}
	preset := guavaconfig.ActivePreset(cfg)
	collected := now.After(c.summaryNext)
	if collected {
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
	c.mitigate(now, preset)
	if now.After(c.publishNext) {
		c.announce(now, &cfg)
		c.publishNext = now.Add(publishInterval)
	}
	if collected || c.publishedConfig != cfg.Version {
		c.publish(now, &cfg, preset)
		c.measure(now)
	}
}

// view describes the rest of the system to a shard.
func (c *control) view(now time.Time, o *owned, cfg *guavascale.Config, preset guavascale.Preset) (*guavashard.View, bool) {
	right, err := c.d.lease.Check(o.name)
	if err != nil || right.Epoch != o.epoch {
		return nil, false
	}
	v := &guavashard.View{
		Config: cfg, Preset: preset, ActUntil: right.Expires, StartUntil: now.Add(-time.Second),
		Workers: c.byShard[o.name], WorkerSizes: c.largest, OtherShards: c.others,
		Instances: make(map[string]int, len(c.instances)), Rand: c.rng,
		Interference:   c.interference.Estimator.Loss,
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
			if !sameList(workers, c.workers) || c.hostsNext.Sub(c.hostsTaken) > hostRetake {
				c.hostsTaken = c.hostsNext
				c.setWorkers(workers)
			}
		})
	})
}

// sameList reports whether two lists are the same slice. The client of the
// host list returns the last one again while nothing changed.
func sameList(a, b []guavascale.Worker) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// setWorkers takes over a host list. A shard that the list does not name any
// more stays wanted by all daemons, since it may hold tasks: when only its
// owner wanted it, nobody took it after a release or the owner's death.
func (c *control) setWorkers(workers []guavascale.Worker) {
	c.workers = workers
	c.byShard = make(map[guavascale.Partition][]guavascale.Worker)
	c.shardZone = make(map[guavascale.Partition]guavascale.Zone)
	c.shardCores = make(map[guavascale.Partition]int64)
	c.leaving = make(map[guavascale.WorkerID]bool)
	c.largest = c.largest[:0]
	for _, w := range workers {
		p := guavascale.ShardOf(w, c.d.Settings.RacksPerShard)
		c.byShard[p] = append(c.byShard[p], w)
		c.shardZone[p] = w.Zone
		if w.Leaving {
			c.leaving[w.ID] = true
		} else {
			c.shardCores[p] += w.Capacity.MilliCores
		}
		if !slices.Contains(c.largest, w.Capacity) {
			c.largest = append(c.largest, w.Capacity)
		}
	}
	wanted := guavaclaim.AllPartitions()
	for p := range c.byShard {
		wanted = append(wanted, p)
	}
	for _, p := range c.d.lease.Leases().Known() {
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
	latest := make(map[guavascale.Partition]sighting)
	settled := make(map[string]bool)
	for _, s := range c.d.members.Live(now) {
		settled[s.Instance] = true
		for _, p := range s.Partitions {
			if have, ok := latest[p.Partition]; !ok || p.Epoch > have.Epoch {
				latest[p.Partition] = sighting{p, s.Instance}
			}
		}
	}
	for _, o := range c.shards {
		if o.shard != nil && o.stepped {
			latest[o.name] = sighting{o.shard.Summary(), c.d.instance()}
		}
	}
	c.others = c.others[:0]
	for _, p := range latest {
		c.others = append(c.others, p.PartitionSummary)
	}
	slices.SortFunc(c.others, func(a, b guavascale.PartitionSummary) int { return cmp.Compare(a.Partition, b.Partition) })
	for _, instance := range c.d.members.Exited() {
		settled[instance] = true
	}
	c.route(latest, settled)
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
	for p := range c.byShard {
		if cfg.ZonesOut[c.shardZone[p]] {
			continue
		}
		s := guavaplace.ShardCapacity{Shard: p, Zone: c.shardZone[p], MilliCores: c.shardCores[p]}
		all = append(all, s)
		if !dead[p] {
			capacity = append(capacity, s)
		}
	}
	if len(capacity) == 0 {
		capacity = all
	}
	slices.SortFunc(capacity, func(a, b guavaplace.ShardCapacity) int { return cmp.Compare(a.Shard, b.Shard) })
	// One service takes 0.1 ms with 282 shards, so that thousands of them are
	// divided only when something changed.
	if c.instances != nil && c.dividedAt == cfg.Version && slices.Equal(capacity, c.divided) {
		return
	}
	c.dividedAt, c.divided = cfg.Version, capacity
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
		c.d.Log.Info().Str("Partition", string(e.Partition)).Uint64("Epoch", e.Epoch).Msg("shard: took over")
		c.gain(ctx, e.Partition, e.Epoch)
		return
	}
	c.d.Log.Info().Str("Partition", string(e.Partition)).Uint64("Epoch", e.Epoch).
		Str("reason", e.Reason).Msg("shard: ownership ended")
	if o := c.shards[e.Partition]; o != nil && o.epoch == e.Epoch {
		delete(c.shards, e.Partition)
	}
}
