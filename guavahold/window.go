package guavahold

import (
	"time"

	"guavascale.example"
)

// Window bounds the calls in progress to workers that have not answered a new owner yet. A
// weak host that asks a thousand workers at once answers none of the calls in time.
//
// Assumed failure: a zone is lost with the owner. The workers of the zone answer no call, and
// each call lasts until its timeout, so that with a single bound they take all places after
// some hundred milliseconds and the others are not asked. So each zone has its share of the
// places, a call that lasts longer than an answer takes leaves its place, and workers that
// didn't answer before have a share of their own, of which each zone has its part as well.
//
// Count must be called for each call in progress before MayAsk in a pass. The zero value is
// ready to use.
type Window struct {
	// young counts the calls in progress that hold a place, by the zones seen so far, and
	// retries those to workers that didn't answer the call before.
	young, retries map[guavascale.Zone]int
	total          int
}

const (
	// MaxYoung bounds the calls in progress that are younger than youngTime, by which a
	// worker that is reached has answered.
	MaxYoung  = 128
	youngTime = 200 * time.Millisecond
	// maxCalls bounds all first calls in progress, and maxRetries those to workers that
	// didn't answer the call before.
	maxCalls   = 512
	maxRetries = 64
)

// Reset begins a pass.
func (w *Window) Reset() {
	for zone := range w.young {
		w.young[zone], w.retries[zone] = 0, 0
	}
	w.total = 0
}

// Count counts a call in progress to a worker. Failed is the number of calls that it has not
// answered since it last did.
func (w *Window) Count(zone guavascale.Zone, age time.Duration, failed int) {
	w.total++
	w.see(zone)
	if failed > 0 {
		w.retries[zone]++
	} else if age < youngTime {
		w.young[zone]++
	}
}

// MayAsk reports whether a worker may be asked now, and counts the call.
func (w *Window) MayAsk(zone guavascale.Zone, failed int) bool {
	w.see(zone)
	share, inProgress := max(MaxYoung/len(w.young), 1), w.young[zone]
	if failed > 0 {
		share, inProgress = max(maxRetries/len(w.young), 1), w.retries[zone]
	}
	if w.total >= maxCalls || inProgress >= share {
		return false
	}
	w.Count(zone, 0, failed)
	return true
}

// see adds a zone to those that share the places.
func (w *Window) see(zone guavascale.Zone) {
	if w.young == nil {
		w.young, w.retries = make(map[guavascale.Zone]int), make(map[guavascale.Zone]int)
	}
	w.young[zone] += 0
}
