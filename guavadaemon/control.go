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

// control is the state of the control goroutine. No other goroutine may access
// it.
type control struct {
	d      *Daemon
	gauges gauges
	rng    *rand.Rand
	shards map[guavascale.Partition]*ownedShard

	workers   []guavascale.Worker
	byShard   map[guavascale.Partition][]guavascale.Worker
	shardZone map[guavascale.Partition]guavascale.Zone
	// shardCores is the total CPU capacity, in millicores, of each shard's
	// workers that are not leaving.
	shardCores map[guavascale.Partition]int64
	// leaving holds the workers that the host list marks as leaving.
	leaving         map[guavascale.WorkerID]bool
	workerSizes     []guavascale.Resources
	hostsRefreshing bool
	nextHostRefresh time.Time
	// hostsAppliedAt is when a host list was last applied by setWorkers.
	hostsAppliedAt time.Time
	// instances is the number of instances of each service in each shard.
	instances map[string]map[guavascale.Partition]int
	// divisionConfigVersion and divisionCapacities are the inputs from which
	// instances was computed.
	divisionConfigVersion uint64
	divisionCapacities    []guavaplace.ShardCapacity
	nextDivision          time.Time
	shardSummaries        []guavascale.PartitionSummary
	// lastSummaries holds the latest summary of each partition, including
	// partitions without a live owner. endpoints holds those that requests may be
	// routed to.
	lastSummaries map[guavascale.Partition]sourcedSummary
	endpoints     []guavascale.Endpoint
	// lastTick is the time of the latest tick. resumedAt is the end of a process
	// pause since which the store has not confirmed the configuration; zero when
	// there is none.
	lastTick  time.Time
	resumedAt time.Time
	// ownerEpoch returns the epoch of a partition according to the table.
	ownerEpoch func(guavascale.Partition) uint64
	// leavingDaemons holds the live daemons that are shutting down.
	leavingDaemons   []string
	nextAnnouncement time.Time
	// lastSnapshot is the last snapshot passed to the gateway. An unchanged one
	// is not passed again, since the gateway's cost of applying a snapshot grows
	// with the total number of endpoints.
	lastSnapshot              *guavagateway.Snapshot
	lastSnapshotConfigVersion uint64
	nextSummaryCollection     time.Time
	// interference estimates how batch tasks slow down services on the same
	// worker. It holds no measurements after a start.
	interference         guavainterference.Controller
	nextMitigation       time.Time
	nextEstimatorCleanup time.Time
}

const (
	tickInterval = 100 * time.Millisecond
	// hostRefreshInterval is the time between reads of the host list.
	hostRefreshInterval = 2 * time.Second
	// hostReapplyInterval is the time after which an unchanged host list is
	// applied again, since the wanted partitions also depend on the owned ones.
	hostReapplyInterval = 10 * time.Second
	// divideInterval is the time between divisions of service instances over
	// the shards. It is also the time between collections of summaries, each of
	// which is followed by a snapshot for the gateway.
	divideInterval = 500 * time.Millisecond
	// announceInterval is the time between updates of the summary for peers.
	announceInterval = 200 * time.Millisecond
	callTimeout      = 2 * time.Second

	// reportExchangeBytes is the size of a message to a worker whose state is
	// stable plus the size of its report, including HTTP headers.
	// reportBytesPerSecond is the share of a daemon's control traffic, 25 KB/s,
	// that these exchanges may use.
	reportExchangeBytes  = 600
	reportBytesPerSecond = 15_000
	minReportInterval    = time.Second
	maxReportInterval    = 5 * time.Second
)

func newControl(d *Daemon, rng *rand.Rand) *control {
	return &control{
		d: d, rng: rng, gauges: newGauges(d.registry),
		shards:        make(map[guavascale.Partition]*ownedShard),
		byShard:       make(map[guavascale.Partition][]guavascale.Worker),
		lastSummaries: make(map[guavascale.Partition]sourcedSummary), ownerEpoch: d.tableEpoch,
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.d.leases.Events():
			c.handleLeaseEvent(ctx, e)
		case <-c.d.mailbox.wake:
			for _, f := range c.d.mailbox.drain() {
				f()
			}
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *control) tick(ctx context.Context) {
	now := c.d.clock.Now()
	c.detectPause(now)
	c.refreshHosts(ctx, now)
	cfg, ok := c.d.watcher.Config()
	if !ok {
		return
	}
	preset := guavaconfig.ActivePreset(cfg)
	summariesCollected := now.After(c.nextSummaryCollection)
	if summariesCollected {
		c.collectSummaries(now)
		c.nextSummaryCollection = now.Add(divideInterval)
	}
	if now.After(c.nextDivision) {
		c.divideInstances(&cfg)
		c.nextDivision = now.Add(divideInterval)
	}
	for _, o := range c.shards {
		if o.shard != nil {
			c.stepShard(ctx, now, o, &cfg, preset)
		}
	}
	c.mitigateInterference(now, preset)
	if now.After(c.nextAnnouncement) {
		c.announceSummary(now, &cfg)
		c.nextAnnouncement = now.Add(announceInterval)
	}
	if summariesCollected || c.lastSnapshotConfigVersion != cfg.Version {
		c.publishSnapshot(now, &cfg, preset)
		c.updateGauges(now)
	}
}

// shardView returns the input of a shard's step: its workers, the configuration
// and the state of the other shards. It returns false when this daemon holds no
// lease on the shard with the epoch of o.
func (c *control) shardView(now time.Time, o *ownedShard, cfg *guavascale.Config, preset guavascale.Preset) (*guavashard.View, bool) {
	lease, err := c.d.leases.Check(o.partition)
	if err != nil || lease.Epoch != o.epoch {
		return nil, false
	}
	view := &guavashard.View{
		Config: cfg, Preset: preset, ActUntil: lease.Expires, StartUntil: now.Add(-time.Second),
		Workers: c.byShard[o.partition], WorkerSizes: c.workerSizes, OtherShards: c.shardSummaries,
		Instances: make(map[string]int, len(c.instances)), Rand: c.rng,
		Interference:   c.interference.Estimator.Loss,
		ReportInterval: c.reportInterval(),
	}
	if startAuthority, ok := c.d.watcher.MayStart(cfg.Version); ok {
		view.StartUntil = now.Add(startAuthority)
	}
	for service, byShard := range c.instances {
		view.Instances[service] = byShard[o.partition]
	}
	return view, true
}

// reportInterval returns the time between reports of a worker. It grows with the
// number of workers in the owned shards, so that their reports stay within
// reportBytesPerSecond.
func (c *control) reportInterval() time.Duration {
	n := 0
	for p := range c.shards {
		n += len(c.byShard[p])
	}
	interval := time.Duration(n) * reportExchangeBytes * time.Second / reportBytesPerSecond
	return min(max(interval, minReportInterval), maxReportInterval)
}

func (c *control) refreshHosts(ctx context.Context, now time.Time) {
	if c.hostsRefreshing || now.Before(c.nextHostRefresh) {
		return
	}
	c.hostsRefreshing = true
	c.d.storePool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		workers, err := c.d.Platform.Hosts.Workers(ctx)
		c.d.mailbox.post(func() {
			c.hostsRefreshing = false
			c.nextHostRefresh = c.d.clock.Now().Add(hostRefreshInterval)
			if err != nil {
				c.d.Log.Debug().Err(err).Msg("hosts: reading the host list failed; the previous list stays in use")
				return
			}
			if !sameSlice(workers, c.workers) || c.nextHostRefresh.Sub(c.hostsAppliedAt) > hostReapplyInterval {
				c.hostsAppliedAt = c.nextHostRefresh
				c.setWorkers(workers)
			}
		})
	})
}

// sameSlice reports whether two lists share their backing array. The client of
// the host list returns the same slice again while the list is unchanged.
func sameSlice(a, b []guavascale.Worker) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// setWorkers applies a host list. A shard that is no longer in the list stays
// wanted by all daemons, since it may still hold tasks. If only its owner wanted
// it, no other daemon would take it over after a release or a crash of the owner.
func (c *control) setWorkers(workers []guavascale.Worker) {
	c.workers = workers
	c.byShard = make(map[guavascale.Partition][]guavascale.Worker)
	c.shardZone = make(map[guavascale.Partition]guavascale.Zone)
	c.shardCores = make(map[guavascale.Partition]int64)
	c.leaving = make(map[guavascale.WorkerID]bool)
	c.workerSizes = c.workerSizes[:0]
	for _, w := range workers {
		p := guavascale.ShardOf(w, c.d.Settings.RacksPerShard)
		c.byShard[p] = append(c.byShard[p], w)
		c.shardZone[p] = w.Zone
		if w.Leaving {
			c.leaving[w.ID] = true
		} else {
			c.shardCores[p] += w.Capacity.MilliCores
		}
		if !slices.Contains(c.workerSizes, w.Capacity) {
			c.workerSizes = append(c.workerSizes, w.Capacity)
		}
	}
	wanted := guavaclaim.AllPartitions()
	for p := range c.byShard {
		wanted = append(wanted, p)
	}
	for _, p := range c.d.leases.Leases().Known() {
		if !isClaimPartition(p) && c.byShard[p] == nil {
			c.shardZone[p] = zoneOfShard(p)
			wanted = append(wanted, p)
		}
	}
	c.d.leases.SetWanted(wanted)
}

// collectSummaries merges the summaries of the owned shards with those of live
// peers. If two daemons report the same partition, the higher epoch wins.
func (c *control) collectSummaries(now time.Time) {
	latest := make(map[guavascale.Partition]sourcedSummary)
	statusKnown := make(map[string]bool)
	for _, s := range c.d.members.Live(now) {
		statusKnown[s.Instance] = true
		for _, p := range s.Partitions {
			if have, ok := latest[p.Partition]; !ok || p.Epoch > have.Epoch {
				latest[p.Partition] = sourcedSummary{p, s.Instance}
			}
		}
	}
	for _, o := range c.shards {
		if o.shard != nil && o.stepped {
			latest[o.partition] = sourcedSummary{o.shard.Summary(), c.d.instance()}
		}
	}
	c.shardSummaries = c.shardSummaries[:0]
	for _, p := range latest {
		c.shardSummaries = append(c.shardSummaries, p.PartitionSummary)
	}
	slices.SortFunc(c.shardSummaries, func(a, b guavascale.PartitionSummary) int { return cmp.Compare(a.Partition, b.Partition) })
	for _, instance := range c.d.members.Exited() {
		statusKnown[instance] = true
	}
	c.collectEndpoints(latest, statusKnown)
}

// divideInstances distributes the instances of all services over the shards of
// the zones in service. A shard whose owner reports no capacity, because none of
// its workers responds, gets no instances.
func (c *control) divideInstances(cfg *guavascale.Config) {
	noCapacity := make(map[guavascale.Partition]bool)
	for i := range c.shardSummaries {
		if c.shardSummaries[i].Capacity.IsZero() {
			noCapacity[c.shardSummaries[i].Partition] = true
		}
	}
	var capacity, all []guavaplace.ShardCapacity
	for p := range c.byShard {
		if cfg.ZonesOut[c.shardZone[p]] {
			continue
		}
		s := guavaplace.ShardCapacity{Shard: p, Zone: c.shardZone[p], MilliCores: c.shardCores[p]}
		all = append(all, s)
		if !noCapacity[p] {
			capacity = append(capacity, s)
		}
	}
	if len(capacity) == 0 {
		capacity = all
	}
	slices.SortFunc(capacity, func(a, b guavaplace.ShardCapacity) int { return cmp.Compare(a.Shard, b.Shard) })
	// Dividing one service takes 0.1 ms with 282 shards. With thousands of
	// services this is too slow to repeat without a change.
	if c.instances != nil && c.divisionConfigVersion == cfg.Version && slices.Equal(capacity, c.divisionCapacities) {
		return
	}
	c.divisionConfigVersion, c.divisionCapacities = cfg.Version, capacity
	c.instances = make(map[string]map[guavascale.Partition]int, len(cfg.Services))
	for name, svc := range cfg.Services {
		c.instances[name] = guavaplace.Divide(name, svc.Instances, capacity)
	}
}

// handleLeaseEvent handles the gain or loss of a partition.
func (c *control) handleLeaseEvent(ctx context.Context, e guavalease.Event) {
	if isClaimPartition(e.Partition) {
		c.d.handleClaimLeaseEvent(ctx, e)
		return
	}
	if e.Kind == guavalease.EventGained {
		c.d.Log.Info().Str("Partition", string(e.Partition)).Uint64("Epoch", e.Epoch).Msg("shard: ownership gained")
		c.takeOverShard(ctx, e.Partition, e.Epoch)
		return
	}
	c.d.Log.Info().Str("Partition", string(e.Partition)).Uint64("Epoch", e.Epoch).
		Str("reason", e.Reason).Msg("shard: ownership lost")
	if o := c.shards[e.Partition]; o != nil && o.epoch == e.Epoch {
		delete(c.shards, e.Partition)
	}
}
