package guavarelay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"guavascale.example"
)

type (
	// Relay makes calls to workers for an owner, on one stream. The exported fields
	// must be set before Run is called.
	Relay struct {
		Instance string
		Zone     guavascale.Zone
		// Strength is the processor time available to the daemon, in cores.
		Strength float64
		Runner   guavascale.Runner
		Clock    guavascale.Clock
		Log      zerolog.Logger

		leaving atomic.Bool
		mu      sync.Mutex
		// outcomes holds the outcomes to send. ready has an element if there are
		// any.
		outcomes []wireOutcome
		ready    chan struct{}
	}
)

const (
	// maxRelayCalls bounds the concurrent calls of a relay, most of which are holds
	// that wait for a run to end.
	maxRelayCalls = 1024
	// idleCallTime is how long a goroutine for calls stays without one.
	idleCallTime = 10 * time.Second
	// flushInterval is the minimum time between two frames with outcomes. The owner
	// wakes up for each of them.
	flushInterval = 10 * time.Millisecond
	dialTimeout   = time.Second
	// ownerTimeout is the time without a frame of the owner after which the stream
	// counts as broken.
	ownerTimeout = time.Second
)

// Leave tells the owner that the relay wants no more orders.
func (r *Relay) Leave() { r.leaving.Store(true) }

// Run opens a stream to the owner at an address and carries out its orders until the
// stream breaks or ctx is done. It must be called once.
func (r *Relay) Run(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to the owner: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	pool, err := ants.NewPool(maxRelayCalls, ants.WithNonblocking(true), ants.WithExpiryDuration(idleCallTime))
	if err != nil {
		return fmt.Errorf("start the goroutines of the relay: %w", err)
	}
	defer pool.Release()
	r.ready = make(chan struct{}, 1)
	w := bufio.NewWriter(conn)
	if err := r.introduce(conn, w); err != nil {
		return err
	}
	go func() {
		r.write(ctx, conn, w)
		cancel()
	}()
	return r.read(ctx, conn, pool)
}

func (r *Relay) introduce(conn net.Conn, w *bufio.Writer) error {
	if _, err := w.WriteString(Preamble); err != nil {
		return err
	}
	in := hello{Instance: r.Instance, Zone: r.Zone, Strength: r.Strength, Clock: r.Clock.Now().UnixNano()}
	return sendFrame(conn, w, encoding.NewEncoder(w), in)
}

// read carries out orders until the stream breaks.
func (r *Relay) read(ctx context.Context, conn net.Conn, pool *ants.Pool) error {
	dec := decoding.NewDecoder(bufio.NewReader(conn))
	for {
		if err := conn.SetReadDeadline(time.Now().Add(ownerTimeout)); err != nil {
			return err
		}
		f := orderFrame{}
		if err := dec.Decode(&f); err != nil {
			return fmt.Errorf("read from the owner: %w", err)
		}
		for i := range f.Orders {
			r.execute(ctx, pool, &f, &f.Orders[i])
		}
	}
}

// execute sends an order in the background, unless it has become invalid.
func (r *Relay) execute(ctx context.Context, pool *ants.Pool, f *orderFrame, w *wireOrder) {
	deadline := time.Unix(0, f.Echo).Add(w.Valid)
	err := pool.Submit(func() {
		out := notSent(ErrOrderTooLate)
		if ctx.Err() == nil && r.Clock.Now().Before(deadline) {
			o := w.order(f.Token)
			out = Execute(ctx, &r.Log, r.Runner, f.Token, &o)
		}
		r.add(toWireOutcome(w.Number, &out))
	})
	if err != nil {
		out := notSent(errNoCapacity)
		r.add(toWireOutcome(w.Number, &out))
	}
}

func (r *Relay) add(w wireOutcome) {
	r.mu.Lock()
	r.outcomes = append(r.outcomes, w)
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// write sends outcomes, and heartbeats without them, until ctx is done or the stream
// breaks.
func (r *Relay) write(ctx context.Context, conn net.Conn, w *bufio.Writer) {
	enc := encoding.NewEncoder(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ready:
		case <-heartbeat.C:
		}
		r.mu.Lock()
		f := outcomeFrame{Outcomes: r.outcomes, Leaving: r.leaving.Load()}
		r.outcomes = nil
		r.mu.Unlock()
		f.Clock = r.Clock.Now().UnixNano()
		if err := sendFrame(conn, w, enc, &f); err != nil {
			return
		}
		if len(f.Outcomes) > 0 {
			pause(ctx, flushInterval)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
