package guavaroute

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// State is a copy of a Router's state for the state dump.
	State struct {
		Endpoints []EndpointState
		// Queued is the number of queued requests by service.
		Queued map[string]int
		// RetryTokens is the number of retries that the budget currently allows.
		// Retries and RetriesRefused count since the daemon started.
		RetryTokens    float64
		Retries        uint64
		RetriesRefused uint64
	}

	// EndpointState is the state of an endpoint that accepts new requests.
	EndpointState struct {
		Service string
		Task    guavascale.TaskID
		Worker  guavascale.WorkerID
		Zone    guavascale.Zone
		// InUse and WorkerInUse count this daemon's requests in progress at the
		// endpoint and at its worker.
		InUse       int
		WorkerInUse int
		// Slots is the number of the worker's slots allocated to this daemon,
		// and Usable the number of them that are already active.
		Slots   int
		Usable  int
		Ejected bool
		// LatencyMs is the recent mean latency in milliseconds.
		LatencyMs float64
	}
)

// State returns a copy of the router's state, with endpoints ordered by task.
func (r *Router) State(now time.Time) State {
	st := State{
		Queued:         map[string]int{},
		RetryTokens:    r.RetryBudget.tokens,
		Retries:        r.RetryBudget.retries,
		RetriesRefused: r.RetryBudget.refused,
	}
	for name, s := range r.services {
		st.Queued[name] = s.queue.len()
	}
	for _, es := range r.endpoints {
		st.Endpoints = append(st.Endpoints, EndpointState{
			Service:     es.endpoint.Service,
			Task:        es.endpoint.Task,
			Worker:      es.endpoint.Worker,
			Zone:        es.endpoint.Zone,
			InUse:       es.inUse,
			WorkerInUse: es.worker.inUse,
			Slots:       es.worker.slots.target(),
			Usable:      es.worker.usableSlots(now),
			Ejected:     es.ejection.ejected,
			LatencyMs:   es.latency.value / float64(time.Millisecond),
		})
	}
	slices.SortFunc(st.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.Task, b.Task) })
	return st
}

// InUse returns the number of requests in progress at the endpoints of s.
func (s State) InUse() int {
	n := 0
	for _, e := range s.Endpoints {
		n += e.InUse
	}
	return n
}

// InUse returns the number of slots in use on all workers.
func (r *Router) InUse() int {
	n := 0
	for _, w := range r.workers {
		n += w.inUse
	}
	return n
}
