package guavascheduler

import (
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavarelay"
)

// successorTracker records which daemons have pinged the owner recently, so
// that a leaving owner can name one that is ready to take over. The zero value
// is ready to use. It is safe for concurrent use.
type successorTracker struct {
	mu   sync.Mutex
	seen map[string]successor
}

type successor struct {
	guavahandover.Daemon
	zone     guavascale.Zone
	canRelay bool
	// leaving is set if the daemon is shutting down or doesn't want the shard.
	leaving bool
}

// maxSuccessorAge is the age at which a ping no longer counts. Daemons ping
// every 300 ms.
const maxSuccessorAge = 1200 * time.Millisecond

func (st *successorTracker) record(now time.Time, in pingIn) {
	st.set(now, in.Instance, successor{
		Daemon: guavahandover.Daemon{Instance: in.Instance, Address: in.Address, Strength: in.Strength, Uptime: in.Uptime, SeenAt: now},
		zone:   in.Zone, canRelay: in.CanRelay,
	})
}

// leave records that a daemon is not to be named. Its pings of before may arrive later.
func (st *successorTracker) leave(now time.Time, instance string) {
	st.set(now, instance, successor{Daemon: guavahandover.Daemon{Instance: instance, SeenAt: now}, leaving: true})
}

func (st *successorTracker) set(now time.Time, instance string, o successor) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.seen == nil {
		st.seen = make(map[string]successor)
	}
	for instance, o := range st.seen {
		if now.Sub(o.SeenAt) > maxSuccessorAge {
			delete(st.seen, instance)
		}
	}
	if st.seen[instance].leaving && !o.leaving {
		return
	}
	st.seen[instance] = o
}

// isLeaving reports whether a daemon is not to be named.
func (st *successorTracker) isLeaving(now time.Time, instance string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	o := st.seen[instance]
	return o.leaving && now.Sub(o.SeenAt) <= maxSuccessorAge
}

// heir returns the daemon that should own the shard next, of those that have pinged
// recently. It returns false if there is none.
func (st *successorTracker) heir(now time.Time) (guavahandover.Daemon, bool) {
	return guavahandover.Heir(st.recent(now))
}

// strongest returns the strength of the strongest daemon that has pinged recently, or 0.
func (st *successorTracker) strongest(now time.Time) (strength float64) {
	for _, d := range st.recent(now) {
		strength = max(strength, d.Strength)
	}
	return strength
}

// recent returns the daemons that have pinged recently.
func (st *successorTracker) recent(now time.Time) []guavahandover.Daemon {
	st.mu.Lock()
	defer st.mu.Unlock()
	daemons := make([]guavahandover.Daemon, 0, len(st.seen))
	for _, o := range st.seen {
		if !o.leaving && now.Sub(o.SeenAt) <= maxSuccessorAge {
			daemons = append(daemons, o.Daemon)
		}
	}
	return daemons
}

// relayCandidates returns the daemons that have pinged recently and can be relays.
func (st *successorTracker) relayCandidates(now time.Time) []guavarelay.Candidate {
	st.mu.Lock()
	defer st.mu.Unlock()
	var candidates []guavarelay.Candidate
	for instance, o := range st.seen {
		if o.canRelay && now.Sub(o.SeenAt) <= maxSuccessorAge {
			candidates = append(candidates, guavarelay.Candidate{Instance: instance, Zone: o.zone, Strength: o.Strength})
		}
	}
	return candidates
}
