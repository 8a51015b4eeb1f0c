package guavalease

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavascan"
)

type (
	// Options holds the dependencies and settings of a driver.
	Options struct {
		Config Config
		Table  guavascale.Table
		// Clock defaults to the system clock.
		Clock guavascale.Clock
		// CallTimeout is the timeout of each store call; default 2 s.
		CallTimeout time.Duration
		Logger      zerolog.Logger
	}

	// Driver runs a machine on one goroutine and executes its calls. Its
	// methods are safe for concurrent use.
	Driver struct {
		opt     Options
		machine *Machine
		pool    pond.Pool
		calls   sync.WaitGroup
		inputs  chan func(time.Time) Output
		events  chan Event
		done    chan struct{}
		closing sync.Once
	}
)

const (
	scanPageSize = 500
	inputBuffer  = 64
)

// NewDriver returns a driver. Call Run to start it.
func NewDriver(opt Options) *Driver {
	if opt.Clock == nil {
		opt.Clock = guavascale.WallClock{}
	}
	setDuration(&opt.CallTimeout, 2*time.Second)
	opt.Config = opt.Config.withDefaults()
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // never fails
	// The pool has room for every call that the machine can have in flight,
	// so that takeovers never delay a renewal.
	size := 2*opt.Config.MaxTakeovers + 2*opt.Config.MaxReleases + 4
	return &Driver{
		opt:     opt,
		machine: NewMachine(opt.Config, rand.New(rand.NewChaCha8(seed))),
		pool:    pond.NewPool(size),
		inputs:  make(chan func(time.Time) Output, inputBuffer),
		events:  make(chan Event),
		done:    make(chan struct{}),
	}
}

// Leases returns the leases of this daemon.
func (d *Driver) Leases() *Leases { return d.machine.Leases() }

// Check returns the current lease for p, or a LeaseError.
func (d *Driver) Check(p guavascale.Partition) (Lease, error) {
	return d.machine.Leases().Check(d.opt.Clock.Now(), p)
}

// Events returns the changes of ownership in order. A slow receiver does not
// block the driver.
func (d *Driver) Events() <-chan Event { return d.events }

// SetMembers sets the live daemons by their IDs.
func (d *Driver) SetMembers(daemons []string) {
	d.enqueue(func(now time.Time) Output {
		d.machine.SetMembers(daemons)
		return d.machine.Tick(now)
	})
}

// SetLeaving sets the other daemons that are shutting down, by their IDs.
func (d *Driver) SetLeaving(daemons []string) {
	d.enqueue(func(now time.Time) Output {
		d.machine.SetLeaving(daemons)
		return d.machine.Tick(now)
	})
}

// SetWanted sets the partitions that should have an owner.
func (d *Driver) SetWanted(partitions []guavascale.Partition) {
	d.enqueue(func(now time.Time) Output {
		d.machine.SetWanted(partitions)
		return d.machine.Tick(now)
	})
}

// Close releases all partitions, deletes the session row and stops Run. It
// returns the context's error if the store does not allow this in time.
func (d *Driver) Close(ctx context.Context) error {
	d.closing.Do(func() {
		d.enqueue(func(now time.Time) Output {
			d.machine.Close()
			return d.machine.Tick(now)
		})
	})
	select {
	case <-d.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Driver) enqueue(in func(time.Time) Output) {
	select {
	case d.inputs <- in:
	case <-d.done:
	}
}

// Run drives the machine until the context is done or Close has finished.
func (d *Driver) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	// The goroutines of the pool end when idle, so it is enough to wait for
	// the calls.
	defer d.calls.Wait()
	defer cancel()
	defer close(d.done)
	var queue []Event
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var out Output
		var events chan<- Event
		var first Event
		if len(queue) > 0 {
			events, first = d.events, queue[0]
		}
		select {
		case <-ctx.Done():
			return
		case events <- first:
			queue = queue[1:]
			continue
		case in := <-d.inputs:
			out = in(d.opt.Clock.Now())
		case <-wake.C:
			out = d.machine.Tick(d.opt.Clock.Now())
		}
		for _, e := range out.Events {
			d.opt.Logger.Debug().Str("Partition", string(e.Partition)).Uint64("Epoch", e.Epoch).
				Str("Reason", e.Reason).Msg("lease: " + string(e.Kind))
		}
		queue = append(queue, out.Events...)
		for _, c := range out.Calls {
			d.calls.Add(1)
			_ = d.pool.Go(func() {
				defer d.calls.Done()
				d.perform(ctx, c)
			})
		}
		if out.Closed {
			return
		}
		wake.Reset(out.Wake.Sub(d.opt.Clock.Now()))
	}
}

func (d *Driver) perform(ctx context.Context, c Call) {
	r := Result{ID: c.ID}
	switch c.Kind {
	case CallCommit:
		ctx, cancel := context.WithTimeout(ctx, d.opt.CallTimeout)
		defer cancel()
		r.Version, r.Err = d.opt.Table.Commit(ctx, c.Commit)
	case CallGet:
		ctx, cancel := context.WithTimeout(ctx, d.opt.CallTimeout)
		defer cancel()
		r.Row, r.Err = d.opt.Table.Get(ctx, c.Key)
	case CallScan:
		if r.Owners, r.Err = d.scan(ctx, OwnerPrefix); r.Err == nil {
			r.Sessions, r.Err = d.scan(ctx, SessionPrefix)
		}
	}
	d.enqueue(func(now time.Time) Output { return d.machine.HandleResult(now, r) })
}

func (d *Driver) scan(ctx context.Context, prefix string) ([]guavascale.Row, error) {
	var rows []guavascale.Row
	err := guavascan.Pages(ctx, d.opt.Table, prefix, "", scanPageSize, d.opt.CallTimeout, func(page []guavascale.Row) error {
		rows = append(rows, page...)
		return nil
	})
	return rows, err
}
