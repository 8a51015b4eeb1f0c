package guavadaemon

import (
	"context"
	"encoding/json"
	"io"
	"runtime"

	"guavascale.example"
	"guavascale.example/guavagateway"
	"guavascale.example/guavashard"
)

type (
	// State is the state dump of a daemon. It holds no credentials.
	State struct {
		Daemon        string
		Instance      string
		Zone          guavascale.Zone
		UptimeSeconds float64
		Stopping      bool
		Addresses     Addresses
		ConfigVersion uint64
		// ConfigAgeMs is the time in milliseconds since the store last
		// confirmed the configuration, or -1 if it never did.
		ConfigAgeMs int64
		Preset      string
		ZonesOut    []guavascale.Zone
		Goroutines  int
		HeapBytes   uint64
		Gateway     guavagateway.State
		Members     []guavascale.Summary
		Held        []guavascale.Partition
		Shards      []ShardState
		// Interference holds the interference estimates and the latest
		// mitigation steps.
		Interference InterferenceState
	}

	// ShardState describes one owned shard in a state dump.
	ShardState struct {
		Partition guavascale.Partition
		Epoch     uint64
		// Open is set once the log has been read, Acts while the daemon holds
		// the lease of the shard.
		Open bool
		Acts bool
		// BatchTasks is the number of batch tasks that have not ended.
		BatchTasks int
		// Answering is the number of workers that responded recently.
		Answering int
		Sequence  uint64
		Pending   int
		Counters  guavashard.Counters
		Summary   guavascale.PartitionSummary
	}
)

// ConfigVersion returns the version of the configuration that this daemon uses,
// or 0 if it has none yet.
func (d *Daemon) ConfigVersion() uint64 {
	cfg, _ := d.watcher.Config()
	return cfg.Version
}

// State returns a state dump. If ctx ends before the control goroutine responds,
// it returns the error of ctx and a dump without Shards and Interference.
func (d *Daemon) State(ctx context.Context) (State, error) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	st := State{
		Daemon: d.Settings.Name, Instance: d.instance(), Zone: d.Settings.Zone,
		UptimeSeconds: d.clock.Now().Sub(d.started).Seconds(), Stopping: d.stopping.Load(),
		Addresses: d.addresses, ConfigAgeMs: -1,
		Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
		Gateway: d.gateway.State(), Members: d.members.Live(d.clock.Now()), Held: d.leases.Leases().Held(),
	}
	if cfg, ok := d.watcher.Config(); ok {
		st.ConfigVersion, st.Preset = cfg.Version, cfg.Preset
		for z := range cfg.ZonesOut {
			st.ZonesOut = append(st.ZonesOut, z)
		}
	}
	if age, ok := d.watcher.Age(); ok {
		st.ConfigAgeMs = age.Milliseconds()
	}
	// The closure fills its own copy, since this function may already have
	// returned.
	done := make(chan State, 1)
	d.mailbox.post(func() {
		complete := st
		complete.Shards, complete.Interference = d.control.shardStates(), d.control.interferenceState()
		done <- complete
	})
	select {
	case complete := <-done:
		return complete, nil
	case <-ctx.Done():
		return st, ctx.Err()
	}
}

func (c *control) shardStates() []ShardState {
	list := make([]ShardState, 0, len(c.shards))
	for _, o := range c.shards {
		s := ShardState{Partition: o.partition, Epoch: o.epoch, Open: o.shard != nil, Sequence: o.sequence}
		lease, err := c.d.leases.Check(o.partition)
		s.Acts = err == nil && lease.Epoch == o.epoch
		if o.shard != nil {
			s.BatchTasks = countBatch(o.shard.Tasks())
			s.Answering = countAnswering(o.shard.Workers())
			s.Summary = o.shard.Summary()
			s.Pending = s.Summary.Pending
			s.Counters = o.shard.Counters
		}
		list = append(list, s)
	}
	return list
}

func countBatch(tasks []guavascale.Task) int {
	n := 0
	for i := range tasks {
		if tasks[i].Class == guavascale.ClassBatch && !tasks[i].State.Ended() {
			n++
		}
	}
	return n
}

func countAnswering(workers []guavascale.WorkerStatus) int {
	n := 0
	for i := range workers {
		if !workers[i].Silent {
			n++
		}
	}
	return n
}

// Dump writes the state dump as JSON.
func (d *Daemon) Dump(ctx context.Context, w io.Writer) error {
	st, err := d.State(ctx)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(st)
}

// Work returns the tasks, jobs and workers of the owned shards.
func (d *Daemon) Work(ctx context.Context) (guavascale.Work, error) {
	return (&peerHandler{d}).Work(ctx)
}
