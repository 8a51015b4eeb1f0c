package guavarelay

import (
	"time"

	"guavascale.example"
)

// Assumed failures: the path between a relay and its workers breaks, while the owner
// reaches both; or workers are down, which no relay can help.

// directCalls records that the owner calls a worker itself.
type directCalls struct {
	until time.Time
	// relay got no answer from the worker. Answered is set once the owner has got
	// one: the worker is alive, and the relay's path to it is broken.
	relay    *link
	answered bool
}

const (
	// directTime is how long the owner calls a worker itself after its relay got no
	// answer.
	directTime = 10 * time.Second
	// excludeTime is how long a daemon that can't reach its workers is no relay, and
	// minUnreached the least number of workers that shows it.
	excludeTime  = 30 * time.Second
	minUnreached = 4
)

// MayJoin reports whether a daemon may be a relay.
func (h *Hub) MayJoin(instance string) bool {
	_, excluded := h.excluded[instance]
	return !excluded
}

func (h *Hub) callDirectly(now time.Time, l *link, id guavascale.WorkerID) {
	if h.direct == nil {
		h.direct = make(map[guavascale.WorkerID]*directCalls)
	}
	h.direct[id] = &directCalls{until: now.Add(directTime), relay: l}
}

// Answered records that a worker has answered the owner itself. A relay that can't reach
// most of its workers, although they answer the owner, is excluded.
func (h *Hub) Answered(id guavascale.WorkerID) {
	d := h.direct[id]
	if d == nil || d.answered {
		return
	}
	d.answered = true
	l, unreached := d.relay, 0
	for _, other := range h.direct {
		if other.relay == l && other.answered {
			unreached++
		}
	}
	if unreached < minUnreached || 2*unreached <= l.workers || h.links[l.hello.Instance] != l {
		return
	}
	if h.excluded == nil {
		h.excluded = make(map[string]time.Time)
	}
	h.excluded[l.hello.Instance] = h.Clock.Now().Add(excludeTime)
	h.lose(l, errNoPath)
}

// expirePaths gives relays another try.
func (h *Hub) expirePaths(now time.Time) {
	for id, d := range h.direct {
		if !now.Before(d.until) {
			delete(h.direct, id)
		}
	}
	for instance, until := range h.excluded {
		if !now.Before(until) {
			delete(h.excluded, instance)
		}
	}
}

// forgetPaths removes what is known of the paths of a relay that is gone.
func (h *Hub) forgetPaths(l *link) {
	for id, d := range h.direct {
		if d.relay == l {
			delete(h.direct, id)
		}
	}
}
