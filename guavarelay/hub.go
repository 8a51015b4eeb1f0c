package guavarelay

import (
	"hash/maphash"
	"net"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

type (
	// Hub is the owner's end of the streams to its relays. The exported fields must
	// be set before use, and all methods must be called on one goroutine.
	Hub struct {
		Token uint64
		Clock guavascale.Clock
		Log   zerolog.Logger
		// Post runs a function on the hub's goroutine. It reports whether it will.
		Post func(f func()) bool
		// Answer receives the outcome of each order once. At is the time at which it
		// became known.
		Answer func(o guavaorder.Order, out guavaorder.Outcome, at time.Time)

		links map[string]*link
		// workers holds the zones of the workers, and assigned the instance of the
		// relay of each worker that has one.
		workers  map[guavascale.WorkerID]guavascale.Zone
		assigned map[guavascale.WorkerID]string
		// direct holds the workers that the owner calls itself, since their relay got
		// no answer from them.
		direct map[guavascale.WorkerID]*directCalls
		// excluded holds the instances that may not be relays until the given time,
		// since most of their workers answer only the owner.
		excluded map[string]time.Time
		seed     maphash.Seed
		// stale is set if relays or workers have changed since plannedAt, the time
		// of the last assignment.
		stale     bool
		plannedAt time.Time
		// expiredAt is the time of the last call of Expire.
		expiredAt time.Time
		// number is that of the last order.
		number uint64
	}

	pendingOrder struct {
		order guavaorder.Order
		// until is the time by which the relay must have sent the order.
		until time.Time
	}
)

const (
	// heartbeatInterval is the maximum time between two frames in each direction.
	heartbeatInterval = 100 * time.Millisecond
	// linkTimeout is the time without a frame after which a relay counts as lost. A
	// host that has used up its processor share may be silent for 100 ms.
	linkTimeout = 500 * time.Millisecond
	// stallTime is the time between two calls of Expire from which the owner itself
	// was stalled, so that the silence of a relay means nothing.
	stallTime = 200 * time.Millisecond
	// outcomeMargin is how long after an order's timeout its outcome may arrive.
	outcomeMargin = 1500 * time.Millisecond
	// minValidity is the remaining validity below which an order is not worth passing
	// on.
	minValidity = 150 * time.Millisecond
)

// Relays returns the number of connected relays.
func (h *Hub) Relays() int { return len(h.links) }

// Connected returns the instances of the connected relays.
func (h *Hub) Connected() map[string]bool {
	instances := make(map[string]bool, len(h.links))
	for instance := range h.links {
		instances[instance] = true
	}
	return instances
}

// ChangeWorkers applies changes of the list of workers.
func (h *Hub) ChangeWorkers(c *guavascale.WorkerChanges) {
	if h.workers == nil {
		h.workers = make(map[guavascale.WorkerID]guavascale.Zone, len(c.Changes))
		h.stale = true
	}
	for i := range c.Changes {
		w := &c.Changes[i].Worker
		switch {
		case c.Changes[i].Removed:
			delete(h.workers, w.ID)
			h.stale = true
		case h.workers[w.ID] != w.Zone:
			h.workers[w.ID] = w.Zone
			h.stale = true
		}
	}
}

// WorkersByZone returns the number of workers in each zone.
func (h *Hub) WorkersByZone() map[guavascale.Zone]int {
	n := make(map[guavascale.Zone]int)
	for _, zone := range h.workers {
		n[zone]++
	}
	return n
}

// Join adds a relay that has opened a stream. It replaces an earlier stream of the same
// relay.
func (h *Hub) Join(conn net.Conn, r *Stream) {
	if !h.MayJoin(r.hello.Instance) {
		_ = conn.Close()
		return
	}
	if old := h.links[r.hello.Instance]; old != nil {
		h.drop(old)
	}
	if h.links == nil {
		h.links = make(map[string]*link)
		h.seed = maphash.MakeSeed()
	}
	l := newLink(conn, r, h.Token, h.Clock)
	h.links[r.hello.Instance] = l
	h.stale = true
	go l.write()
	go l.read(
		func(f *outcomeFrame) bool { return h.Post(func() { h.receive(l, f) }) },
		func(err error) { h.Post(func() { h.lose(l, err) }) },
	)
	h.Log.Info().Str("Relay", r.hello.Instance).Str("Zone", string(r.hello.Zone)).Msg("relay: joined")
}

// Send passes an order to the relay of its worker, to be sent by the given time. It
// returns false if the owner has to send the order itself.
func (h *Hub) Send(now time.Time, o guavaorder.Order, until time.Time) bool {
	l := h.links[h.assigned[o.Worker.ID]]
	if l == nil || l.leaving || until.Sub(now) < minValidity || h.direct[o.Worker.ID] != nil {
		return false
	}
	h.number++
	l.enqueue(h.number, pendingOrder{order: o, until: until})
	return true
}

// Flush writes the orders that were passed to Send, and heartbeats that are due.
func (h *Hub) Flush(now time.Time) {
	for _, l := range h.links {
		if !l.flush(now) {
			h.lose(l, errLinkLost)
		}
	}
}

// Expire drops relays that have become silent, fails orders without an outcome and
// assigns the workers anew if relays or workers have changed.
func (h *Hub) Expire(now time.Time) {
	stalled := now.Sub(h.expiredAt) > stallTime
	h.expiredAt = now
	for _, l := range h.links {
		if stalled {
			l.receivedAt, l.checkedAt = now, now
		}
		if now.Sub(l.receivedAt) > linkTimeout {
			h.lose(l, errLinkLost)
			continue
		}
		for _, p := range l.takeOverdue(now) {
			h.callDirectly(now, l, p.order.Worker.ID)
			h.Answer(p.order, guavaorder.Outcome{Err: unavailable(&p.order, true, errLinkLost)}, now)
		}
	}
	h.expirePaths(now)
	if h.stale && now.Sub(h.plannedAt) >= planInterval {
		h.plan(now)
	}
}

// Close closes all streams. Orders on them get no outcome.
func (h *Hub) Close() {
	for _, l := range h.links {
		l.close()
	}
	h.links, h.assigned = nil, nil
}

func (h *Hub) plan(now time.Time) {
	h.stale, h.plannedAt = false, now
	relays := make([]Candidate, 0, len(h.links))
	for _, l := range h.links {
		if !l.leaving {
			relays = append(relays, Candidate{Instance: l.hello.Instance, Zone: l.hello.Zone, Strength: l.hello.Strength})
		}
	}
	h.assigned = assign(h.seed, h.workers, relays)
	for _, l := range h.links {
		l.workers = 0
	}
	for _, instance := range h.assigned {
		h.links[instance].workers++
	}
}

// receive handles a frame of a relay.
func (h *Hub) receive(l *link, f *outcomeFrame) {
	if h.links[l.hello.Instance] != l {
		return
	}
	now := h.Clock.Now()
	l.receivedAt = now
	if f.Leaving && !l.leaving {
		l.leaving, h.stale, h.plannedAt = true, true, time.Time{}
		h.Log.Info().Str("Relay", l.hello.Instance).Msg("relay: leaves")
	}
	for i := range f.Outcomes {
		w := &f.Outcomes[i]
		p, ok := l.take(w.Number)
		if !ok {
			continue
		}
		if w.Status == statusFailed || w.Status == statusUnknown || w.Status == statusEnded {
			h.callDirectly(now, l, p.order.Worker.ID)
		}
		h.Answer(p.order, w.outcome(&p.order), now)
	}
}

// lose drops a relay whose stream has failed.
func (h *Hub) lose(l *link, cause error) {
	if h.links[l.hello.Instance] != l {
		return
	}
	h.Log.Warn().Str("Relay", l.hello.Instance).Int("Orders", len(l.pending)).Err(cause).Msg("relay: lost")
	h.drop(l)
}

// drop removes a relay and answers its orders. Its loss says nothing about the workers, so
// holds count as not sent and are repeated. One that acknowledges ends may have been received.
func (h *Hub) drop(l *link) {
	l.close()
	delete(h.links, l.hello.Instance)
	h.stale, h.plannedAt = true, time.Time{}
	now := h.Clock.Now()
	for number, p := range l.pending {
		out := notSent(errLinkLost)
		if p.order.Kind != guavaorder.Hold && !l.isQueued(number) {
			out = guavaorder.Outcome{Err: unavailable(&p.order, true, errLinkLost)}
		}
		out.MayHaveApplied = p.order.Hold.Seen > 0 && !l.isQueued(number)
		h.Answer(p.order, out, now)
	}
	l.pending = nil
	h.forgetPaths(l)
}
