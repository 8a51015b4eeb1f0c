package guavaroute

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// State is the content of a Router for the state dump.
	State struct {
		Endpoints []EndpointState
		// Queued counts waiting tickets by service.
		Queued map[string]int
		// RetryTokens is the number of retries that the budget allows now.
		// Retries and RetriesRefused count since the start.
		RetryTokens    float64
		Retries        uint64
		RetriesRefused uint64
	}

	// EndpointState is the state of an endpoint that may get requests.
	EndpointState struct {
		Service string
		Task    guavascale.TaskID
		Worker  guavascale.WorkerID
		Zone    guavascale.Zone
		// InUse counts requests at the endpoint, WorkerInUse those at its
		// worker, both of this daemon.
		InUse       int
		WorkerInUse int
		// Slots is the share of the worker, Usable the part in use already.
		Slots   int
		Usable  int
		Ejected bool
		// LatencyMs is the recent latency in milliseconds.
		LatencyMs float64
	}
)

// State returns a copy of the router's state, ordered by task.
func (r *Router) State(now time.Time) State {
	st := State{
		Queued:         map[string]int{},
		RetryTokens:    r.Budget.tokens,
		Retries:        r.Budget.retries,
		RetriesRefused: r.Budget.refused,
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
			Usable:      es.worker.usable(now),
			Ejected:     es.ejection.ejected,
			LatencyMs:   es.latency.value / float64(time.Millisecond),
		})
	}
	slices.SortFunc(st.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.Task, b.Task) })
	return st
}

// InUse returns the number of requests at listed endpoints.
func (s State) InUse() int {
	n := 0
	for _, e := range s.Endpoints {
		n += e.InUse
	}
	return n
}

// InUse returns the number of slots in use.
func (r *Router) InUse() int {
	n := 0
	for _, w := range r.workers {
		n += w.inUse
	}
	return n
}
