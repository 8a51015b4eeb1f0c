package guavacrash

import (
	"iter"
	"time"

	"guavascale.example"
)

// Hosts tells which workers are at an address, without a search of all workers for each
// start that has to be judged. The zero value knows none.
type Hosts struct {
	at     map[Mark][]guavascale.WorkerID
	readAt time.Time
}

// hostsAge is how old the index may be: a worker that takes the place of another stays for
// longer, or shows it by another sign.
const hostsAge = 100 * time.Millisecond

// Update reads the listed workers by address if the index is too old.
func (h *Hosts) Update(now time.Time, listed iter.Seq2[string, guavascale.WorkerID]) {
	if h.at != nil && now.Sub(h.readAt) < hostsAge {
		return
	}
	h.at, h.readAt = make(map[Mark][]guavascale.WorkerID), now
	for address, id := range listed {
		m := MarkAddress(address)
		h.at[m] = append(h.at[m], id)
	}
}

// Replaced returns the workers other than that of a start that may be at its address.
func (h *Hosts) Replaced(s Start) iter.Seq[guavascale.WorkerID] {
	return func(yield func(guavascale.WorkerID) bool) {
		m := MarkAddress(s.Address)
		if s.Mark != "" {
			m = s.Mark.address()
		}
		for _, id := range h.at[m] {
			if id != s.Worker && !yield(id) {
				return
			}
		}
	}
}
