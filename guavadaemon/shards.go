package guavadaemon

import (
	"context"
	"encoding/json"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavalease"
	"guavascale.example/guavalog"
	"guavascale.example/guavashard"
)

// ownedShard is a shard that this daemon owns.
type ownedShard struct {
	partition  guavascale.Partition
	zone       guavascale.Zone
	epoch      uint64
	ownedSince time.Time
	log        *guavalog.Log
	// shard is nil until the log has been read.
	shard *guavashard.Shard
	// stepped is set after the first step of the shard. Before it the shard
	// knows no workers, and a summary without capacity would move its service
	// instances to other shards.
	stepped bool
	// sequence is the number of the last log row applied; snapshotSequence is
	// that of the last snapshot.
	sequence         uint64
	snapshotSequence uint64
	snapshotWriting  bool
	inboxScanning    bool
	nextInboxScan    time.Time
}

const (
	// inboxInterval is the time between scans of a shard's inbox. It is part of
	// the 4.1 s within which urgent work must start.
	inboxInterval         = time.Second
	inboxPageSize         = 100
	recoveryRetryInterval = time.Second
	// rowsPerSnapshot is the number of log rows after which a snapshot replaces
	// the log. It bounds the number of rows read in a recovery.
	rowsPerSnapshot = 200
)

func (c *control) takeOverShard(ctx context.Context, p guavascale.Partition, epoch uint64) {
	o := &ownedShard{partition: p, zone: c.shardZone[p], epoch: epoch, ownedSince: c.d.clock.Now()}
	c.shards[p] = o
	c.openLog(ctx, o)
}

// openLog starts reading the log of an owned shard on the store pool.
func (c *control) openLog(ctx context.Context, o *ownedShard) {
	o.shard = nil
	o.log = guavalog.New(guavalog.Options{
		Partition: o.partition, Table: c.d.Platform.Table, Objects: c.d.Platform.Objects,
		CheckLease: c.leaseCheck(o.epoch), Linger: c.groupCommitDelay(), Limiter: c.d.writeLimiter,
	})
	log := o.log
	c.d.storePool.Submit(func() {
		rec, err := log.Recover(ctx)
		c.d.mailbox.post(func() { c.handleLogRecovered(ctx, o, log, rec, err) })
	})
}

// leaseCheck returns a lease check that succeeds for one epoch only, so that a
// log never commits under a later lease of the same daemon.
func (c *control) leaseCheck(epoch uint64) func(guavascale.Partition) (guavalease.Lease, error) {
	return func(p guavascale.Partition) (guavalease.Lease, error) {
		lease, err := c.d.leases.Check(p)
		if err == nil && lease.Epoch != epoch {
			return lease, &guavascale.LeaseError{Partition: p, Reason: "the epoch has changed"}
		}
		return lease, err
	}
}

// groupCommitDelay returns how long a shard's log collects entries for a group
// commit. It grows with the number of shards so that all of them together write
// at most 150 rows a second.
func (c *control) groupCommitDelay() time.Duration {
	base := guavaconfig.Seconds(c.d.Settings.Intervals.GroupCommitSeconds)
	return max(base, time.Duration(len(c.byShard))*time.Second/150)
}

func (c *control) handleLogRecovered(ctx context.Context, o *ownedShard, log *guavalog.Log, rec guavalog.Recovered, err error) {
	if c.shards[o.partition] != o || o.log != log {
		return
	}
	if err == nil {
		err = c.loadShard(o, &rec)
	}
	if err != nil {
		c.d.Log.Warn().Err(err).Str("Partition", string(o.partition)).Msg("shard: reading the log failed; retrying")
		time.AfterFunc(recoveryRetryInterval, func() {
			c.d.mailbox.post(func() {
				if c.shards[o.partition] == o {
					c.openLog(ctx, o)
				}
			})
		})
		return
	}
	c.d.Log.Info().Str("Partition", string(o.partition)).Int("Tasks", len(o.shard.Tasks())).Msg("shard: log read")
}

func (c *control) loadShard(o *ownedShard, rec *guavalog.Recovered) error {
	var records [][]byte
	o.sequence, o.snapshotSequence = rec.Sequence, rec.Sequence
	for _, b := range rec.Batches {
		for _, r := range b.Records {
			records = append(records, r)
		}
		o.sequence = b.Sequence
	}
	// This daemon's lease began before the log was read. Task leases granted by
	// an earlier owner are counted from now, which is later and therefore safe.
	s := guavashard.New(o.partition, o.zone, o.epoch, c.d.clock.Now())
	if err := s.Load(rec.Snapshot, records); err != nil {
		return err
	}
	o.shard, o.stepped = s, false
	return nil
}

// stepShard advances a shard by one step and applies the effects. When the
// shard's log has failed, stepShard reads the log again instead.
func (c *control) stepShard(ctx context.Context, now time.Time, o *ownedShard, cfg *guavascale.Config, preset guavascale.Preset) {
	v, ok := c.shardView(now, o, cfg, preset)
	if !ok {
		return
	}
	if err := o.log.Err(); err != nil {
		c.d.Log.Warn().Err(err).Str("Partition", string(o.partition)).Msg("shard: the log failed; reading it again")
		c.openLog(ctx, o)
		return
	}
	c.applyEffects(ctx, o, o.shard.Step(now, v))
	o.stepped = true
	c.scanInbox(ctx, now, o)
	c.snapshotIfDue(ctx, o)
}

func (c *control) applyEffects(ctx context.Context, o *ownedShard, e guavashard.Effects) {
	for _, a := range e.Appends {
		c.appendToLog(ctx, o, a)
	}
	for _, m := range e.Messages {
		c.sendOrders(ctx, o, m)
	}
}

func (c *control) appendToLog(ctx context.Context, o *ownedShard, a guavashard.Append) {
	shard := o.shard
	entry := guavalog.Entry{
		Conditions: a.Conditions, Writes: a.Writes, Urgent: a.Urgent,
		Done: func(r guavalog.Result) {
			c.d.mailbox.post(func() { c.handleCommit(ctx, o, shard, a.ID, r) })
		},
	}
	for _, rec := range a.Records {
		data, err := json.Marshal(rec)
		if err != nil {
			c.d.Log.Error().Err(err).Str("Partition", string(o.partition)).Msg("shard: encoding a record failed")
			c.d.mailbox.post(func() { c.handleCommit(ctx, o, shard, a.ID, guavalog.Result{Err: err}) })
			return
		}
		entry.Records = append(entry.Records, data)
	}
	o.log.Append(entry)
}

func (c *control) handleCommit(ctx context.Context, o *ownedShard, shard *guavashard.Shard, id uint64, r guavalog.Result) {
	if c.shards[o.partition] != o || o.shard != shard {
		return
	}
	if r.MayHaveApplied {
		c.d.Log.Warn().Err(r.Err).Str("Partition", string(o.partition)).Msg("shard: a commit has no known outcome; reading the log again")
		// The log may hold entries that are missing from the state in memory.
		c.openLog(ctx, o)
		return
	}
	if r.Err == nil {
		o.sequence = max(o.sequence, r.Sequence)
	}
	c.applyEffects(ctx, o, shard.HandleCommit(id, r.Err))
}

// sendOrders delivers a message to a worker. The lease is checked again
// immediately before the call, since the call may have waited in the pool or the
// process may have been paused. The worker itself rejects the message after its
// NotAfter.
func (c *control) sendOrders(ctx context.Context, o *ownedShard, m guavashard.Message) {
	shard := o.shard
	checkLease := c.leaseCheck(o.epoch)
	c.d.workerPool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := c.d.clock.Now()
		var report guavascale.Report
		_, err := checkLease(o.partition)
		if err == nil {
			report, err = c.d.Platform.Agent.Send(ctx, m.Worker, m.Orders)
		}
		received := c.d.clock.Now()
		c.d.mailbox.post(func() {
			if c.shards[o.partition] == o && o.shard == shard {
				c.applyEffects(ctx, o, shard.HandleReport(received, sentAt, m.Worker.ID, report, err))
			}
		})
	})
}

func (c *control) scanInbox(ctx context.Context, now time.Time, o *ownedShard) {
	if o.inboxScanning || now.Before(o.nextInboxScan) {
		return
	}
	o.inboxScanning = true
	shard := o.shard
	c.d.storePool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, err := c.d.Platform.Table.Scan(ctx, "Inbox/"+string(o.partition)+"/", "", inboxPageSize)
		c.d.mailbox.post(func() {
			o.inboxScanning = false
			o.nextInboxScan = c.d.clock.Now().Add(inboxInterval)
			if err == nil && c.shards[o.partition] == o && o.shard == shard {
				c.applyEffects(ctx, o, shard.HandleInbox(rows))
			}
		})
	})
}

// snapshotIfDue replaces the log by a snapshot once rowsPerSnapshot rows have
// been added. The state may already include part of the row that is being
// applied, so the snapshot covers only the rows before it; replaying that row
// changes nothing.
func (c *control) snapshotIfDue(ctx context.Context, o *ownedShard) {
	if o.shard == nil || o.snapshotWriting || o.sequence < o.snapshotSequence+rowsPerSnapshot {
		return
	}
	data, err := o.shard.Snapshot()
	if err != nil {
		c.d.Log.Error().Err(err).Str("Partition", string(o.partition)).Msg("shard: encoding the snapshot failed")
		return
	}
	o.snapshotWriting = true
	sequence, log := o.sequence-1, o.log
	c.d.storePool.Submit(func() {
		err := log.Snapshot(ctx, sequence, data)
		c.d.mailbox.post(func() {
			o.snapshotWriting = false
			if err != nil {
				c.d.Log.Warn().Err(err).Str("Partition", string(o.partition)).Msg("shard: writing the snapshot failed")
			}
			// After an error the next snapshot waits for another
			// rowsPerSnapshot rows, so that retries add no writes to an
			// overloaded store.
			o.snapshotSequence = max(o.snapshotSequence, sequence)
		})
	})
}
