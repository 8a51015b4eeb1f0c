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

// owned is a shard that this daemon owns. Its shard is nil until the log has
// been read.
type owned struct {
	name  guavascale.Partition
	zone  guavascale.Zone
	epoch uint64
	since time.Time
	log   *guavalog.Log
	shard *guavashard.Shard
	// stepped is set with the first step of the shard. Before that it knows no
	// workers, and a summary without capacity would move its service instances
	// to other shards.
	stepped bool
	// sequence is that of the last log row applied, snapshotAt that of the
	// last snapshot.
	sequence     uint64
	snapshotAt   uint64
	snapshotBusy bool
	inboxBusy    bool
	inboxNext    time.Time
}

const (
	// inboxInterval is the time between scans of a shard's inbox. It counts
	// towards the 4.1 s within which urgent work starts.
	inboxInterval = time.Second
	inboxPage     = 100
	recoverRetry  = time.Second
	// snapshotRows is the number of log rows after which the log is replaced
	// by a snapshot; it bounds the reads of a recovery.
	snapshotRows = 200
)

func (c *control) gain(ctx context.Context, p guavascale.Partition, epoch uint64) {
	o := &owned{name: p, zone: c.shardZone[p], epoch: epoch, since: c.d.clock.Now()}
	c.shards[p] = o
	c.open(ctx, o)
}

// open reads the log of an owned shard, on the store pool.
func (c *control) open(ctx context.Context, o *owned) {
	o.shard = nil
	o.log = guavalog.New(guavalog.Options{
		Partition: o.name, Table: c.d.Platform.Table, Objects: c.d.Platform.Objects,
		Right: c.rightAt(o.epoch), Linger: c.linger(), Limiter: c.d.writes,
	})
	log := o.log
	c.d.storePool.Submit(func() {
		rec, err := log.Recover(ctx)
		c.d.mail.post(func() { c.opened(ctx, o, log, rec, err) })
	})
}

// rightAt returns a check that holds for one epoch only, so that a log never
// commits under a later ownership of the same daemon.
func (c *control) rightAt(epoch uint64) func(guavascale.Partition) (guavalease.Lease, error) {
	return func(p guavascale.Partition) (guavalease.Lease, error) {
		r, err := c.d.lease.Check(p)
		if err == nil && r.Epoch != epoch {
			return r, &guavascale.LeaseError{Partition: p, Reason: "the epoch has changed"}
		}
		return r, err
	}
}

// linger is the group commit time. With many shards it grows so that all of
// them together write at most 150 rows a second.
func (c *control) linger() time.Duration {
	base := guavaconfig.Seconds(c.d.Settings.Intervals.GroupCommitSeconds)
	return max(base, time.Duration(len(c.byShard))*time.Second/150)
}

func (c *control) opened(ctx context.Context, o *owned, log *guavalog.Log, rec guavalog.Recovered, err error) {
	if c.shards[o.name] != o || o.log != log {
		return
	}
	if err == nil {
		err = c.load(o, &rec)
	}
	if err != nil {
		c.d.Log.Warn().Err(err).Str("Partition", string(o.name)).Msg("shard: the log could not be read; trying again")
		time.AfterFunc(recoverRetry, func() {
			c.d.mail.post(func() {
				if c.shards[o.name] == o {
					c.open(ctx, o)
				}
			})
		})
		return
	}
	c.d.Log.Info().Str("Partition", string(o.name)).Int("Tasks", len(o.shard.Tasks())).Msg("shard: log read")
}

func (c *control) load(o *owned, rec *guavalog.Recovered) error {
	var records [][]byte
	o.sequence, o.snapshotAt = rec.Sequence, rec.Sequence
	for _, b := range rec.Batches {
		for _, r := range b.Records {
			records = append(records, r)
		}
		o.sequence = b.Sequence
	}
	// The right to act was gained before the log was read; leases of an
	// earlier owner are counted from now, which is later.
	s := guavashard.New(o.name, o.zone, o.epoch, c.d.clock.Now())
	if err := s.Load(rec.Snapshot, records); err != nil {
		return err
	}
	o.shard, o.stepped = s, false
	return nil
}

// step advances a shard and carries out its effects.
func (c *control) step(ctx context.Context, now time.Time, o *owned, cfg *guavascale.Config, preset guavascale.Preset) {
	v, ok := c.view(now, o, cfg, preset)
	if !ok {
		return
	}
	if err := o.log.Err(); err != nil {
		c.d.Log.Warn().Err(err).Str("Partition", string(o.name)).Msg("shard: the log is closed; reading it again")
		c.open(ctx, o)
		return
	}
	c.perform(ctx, o, o.shard.Step(now, v))
	o.stepped = true
	c.scanInbox(ctx, now, o)
	c.snapshot(ctx, o)
}

func (c *control) perform(ctx context.Context, o *owned, e guavashard.Effects) {
	for _, a := range e.Appends {
		c.append(ctx, o, a)
	}
	for _, m := range e.Messages {
		c.send(ctx, o, m)
	}
}

func (c *control) append(ctx context.Context, o *owned, a guavashard.Append) {
	shard := o.shard
	entry := guavalog.Entry{
		Conditions: a.Conditions, Writes: a.Writes, Urgent: a.Urgent,
		Done: func(r guavalog.Result) {
			c.d.mail.post(func() { c.committed(ctx, o, shard, a.ID, r) })
		},
	}
	for _, rec := range a.Records {
		data, err := json.Marshal(rec)
		if err != nil {
			c.d.Log.Error().Err(err).Str("Partition", string(o.name)).Msg("shard: a record could not be encoded")
			return
		}
		entry.Records = append(entry.Records, data)
	}
	o.log.Append(entry)
}

func (c *control) committed(ctx context.Context, o *owned, shard *guavashard.Shard, id uint64, r guavalog.Result) {
	if c.shards[o.name] != o || o.shard != shard {
		return
	}
	if r.MayHaveApplied {
		// The state in memory may lack what the log holds.
		c.open(ctx, o)
		return
	}
	if r.Err == nil {
		o.sequence = max(o.sequence, r.Sequence)
	}
	c.perform(ctx, o, shard.HandleCommit(id, r.Err))
}

// send delivers a message to a worker. The rights are checked again immediately
// before the call, since the goroutine may have waited or the process may have
// been paused; the worker itself rejects the message after its NotAfter.
func (c *control) send(ctx context.Context, o *owned, m guavashard.Message) {
	shard := o.shard
	right := c.rightAt(o.epoch)
	c.d.workerPool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := c.d.clock.Now()
		var report guavascale.Report
		_, err := right(o.name)
		if err == nil {
			report, err = c.d.Platform.Agent.Send(ctx, m.Worker, m.Orders)
		}
		received := c.d.clock.Now()
		c.d.mail.post(func() {
			if c.shards[o.name] == o && o.shard == shard {
				c.perform(ctx, o, shard.HandleReport(received, sentAt, m.Worker.ID, report, err))
			}
		})
	})
}

func (c *control) scanInbox(ctx context.Context, now time.Time, o *owned) {
	if o.inboxBusy || now.Before(o.inboxNext) {
		return
	}
	o.inboxBusy = true
	shard := o.shard
	c.d.storePool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, err := c.d.Platform.Table.Scan(ctx, "Inbox/"+string(o.name)+"/", "", inboxPage)
		c.d.mail.post(func() {
			o.inboxBusy = false
			o.inboxNext = c.d.clock.Now().Add(inboxInterval)
			if err == nil && c.shards[o.name] == o && o.shard == shard {
				c.perform(ctx, o, shard.HandleInbox(rows))
			}
		})
	})
}

// snapshot replaces the log by a snapshot once it is long. The state may
// already hold a part of the row that is being applied, so the snapshot stands
// for the rows before it; replaying that row changes nothing.
func (c *control) snapshot(ctx context.Context, o *owned) {
	if o.shard == nil || o.snapshotBusy || o.sequence < o.snapshotAt+snapshotRows {
		return
	}
	data, err := o.shard.Snapshot()
	if err != nil {
		c.d.Log.Error().Err(err).Str("Partition", string(o.name)).Msg("shard: the snapshot could not be encoded")
		return
	}
	o.snapshotBusy = true
	sequence, log := o.sequence-1, o.log
	c.d.storePool.Submit(func() {
		err := log.Snapshot(ctx, sequence, data)
		c.d.mail.post(func() {
			o.snapshotBusy = false
			if err != nil {
				c.d.Log.Warn().Err(err).Str("Partition", string(o.name)).Msg("shard: the snapshot failed")
			}
			// After an error the next snapshot is due after as many rows
			// again, so that a store under load gets no extra writes.
			o.snapshotAt = max(o.snapshotAt, sequence)
		})
	})
}
