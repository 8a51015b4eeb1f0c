package guavascheduler

import (
	"sync"
	"time"

	"guavascale.example"
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
	at       time.Time
	zone     guavascale.Zone
	strength float64
	canRelay bool
}

// maxSuccessorAge is the age at which a ping no longer counts. Daemons ping
// every 300 ms.
const maxSuccessorAge = 1200 * time.Millisecond

func (st *successorTracker) record(now time.Time, in pingIn) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.seen == nil {
		st.seen = make(map[string]successor)
	}
	for instance, o := range st.seen {
		if now.Sub(o.at) > maxSuccessorAge {
			delete(st.seen, instance)
		}
	}
	st.seen[in.Instance] = successor{at: now, zone: in.Zone, strength: in.Strength, canRelay: in.CanRelay}
}

// strongest returns the instance and strength of the strongest daemon that has
// pinged recently, or an empty instance if there is none.
func (st *successorTracker) strongest(now time.Time) (instance string, strength float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	best := ""
	for instance, o := range st.seen {
		if now.Sub(o.at) > maxSuccessorAge {
			continue
		}
		b := st.seen[best]
		if best == "" || o.strength > b.strength || o.strength == b.strength && o.at.After(b.at) {
			best = instance
		}
	}
	return best, st.seen[best].strength
}

// relayCandidates returns the daemons that have pinged recently and can be relays.
func (st *successorTracker) relayCandidates(now time.Time) []guavarelay.Candidate {
	st.mu.Lock()
	defer st.mu.Unlock()
	var candidates []guavarelay.Candidate
	for instance, o := range st.seen {
		if o.canRelay && now.Sub(o.at) <= maxSuccessorAge {
			candidates = append(candidates, guavarelay.Candidate{Instance: instance, Zone: o.zone, Strength: o.strength})
		}
	}
	return candidates
}
