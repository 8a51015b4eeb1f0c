// Package guavaroute implements load balancing and admission control: it decides
// which endpoint serves a request and which requests are refused.
//
// A worker serves a fixed number of concurrent requests, its slots, on a bounded
// number of connections. The live daemons divide both among themselves without
// communicating: each of them ranks the daemons for a worker by rendezvous
// hashing and allocates the worker's slots in that order. A daemon sends a
// request only if it holds a free slot of the worker; all endpoints on a worker
// share its slots. If no slot is free, the request waits in a bounded priority
// queue whose capacity is the number of requests that the daemon's slots can
// complete within the maximum queueing time. Endpoints that fail repeatedly are
// ejected temporarily, but never more than a third of a service's endpoints.
// Retries are limited to a fraction of the recent requests.
//
// A Router holds the state of one daemon. It performs no I/O, starts no
// goroutines and reads no clock: each method takes the current time and returns
// the decisions, so that the gateway and the queueing simulation share the same
// code. A Router is not safe for concurrent use; its owner must synchronize
// access.
package guavaroute

import (
	"time"

	"guavascale.example"
)

type (
	// Priority is the priority of a request. Lower values are served first.
	Priority int

	// View is a Router's view of the fleet. It is immutable.
	View struct {
		// Daemon is the name of this daemon; it is one of Daemons.
		Daemon string
		Zone   guavascale.Zone
		// Daemons holds the names of all live daemons, in any order.
		Daemons   []string
		Endpoints []guavascale.Endpoint
		ZonesOut  map[guavascale.Zone]bool
		// Preset provides RetryRatio and QueueMs; 0 selects the default.
		Preset guavascale.Preset
	}

	// Request is a caller's request that needs a slot.
	Request struct {
		// ID is unique among the requests of a Router and not 0.
		ID       uint64
		Service  string
		Priority Priority
		// Deadline is the caller's deadline.
		Deadline time.Time
	}

	// Pick is the endpoint chosen for a request, together with the slot of its
	// worker that the request holds. It must be released with Done exactly once.
	Pick struct {
		Endpoint guavascale.Endpoint
		// Connections is the maximum number of connections that this daemon may
		// have open to the worker.
		Connections int

		state *endpointState
		probe bool
	}

	// Decision is the result of admission control for a request.
	Decision int

	// Event reports the decision on a request. Pick is set only if the decision
	// is Granted.
	Event struct {
		RequestID uint64
		Decision  Decision
		Pick      Pick
	}

	// Result describes how a request with a Pick ended.
	Result struct {
		// Elapsed is the time from sending the request until it ended.
		Elapsed time.Duration
		// Failed is set when the endpoint refused or closed the connection, did
		// not respond, or sent an invalid response.
		Failed bool
		// Rejected is set when the endpoint reported that it did not run the
		// request. Such a result counts neither as a failure nor as a latency
		// sample.
		Rejected bool
	}
)

const (
	Urgent Priority = iota
	Normal
	Low

	numPriorities = 3
)

const (
	// Granted requests hold a slot.
	Granted Decision = iota + 1
	// Queued requests wait for a slot; a later event carries the final decision.
	Queued
	// Refused requests were rejected by admission control.
	Refused
	// Expired requests reached the maximum queueing time.
	Expired
	// NoEndpoint requests are for a service without any usable endpoint.
	NoEndpoint
)

const (
	// SlotActivationDelay is how long a daemon waits before it uses a newly
	// allocated slot. It exceeds the 3 s of silence after which daemons remove a
	// peer from their lists, so the previous holder has stopped using the slot by
	// then.
	SlotActivationDelay = 5 * time.Second
	// DefaultRetryRatio is the default number of retries per recent request.
	DefaultRetryRatio = 0.1
	// DefaultQueueTimeout is the default limit on the time that a request waits
	// for a slot.
	DefaultQueueTimeout = 100 * time.Millisecond
)

// ParsePriority parses the value of a Request-Priority header. An empty value
// means Normal. Invalid values result in a guavascale.ValidationError.
func ParsePriority(s string) (Priority, error) {
	switch s {
	case "Urgent":
		return Urgent, nil
	case "", "Normal":
		return Normal, nil
	case "Low":
		return Low, nil
	default:
		return Normal, &guavascale.ValidationError{Field: "Request-Priority", Value: s, Allowed: "Urgent, Normal, Low"}
	}
}

func queueTimeout(p guavascale.Preset) time.Duration {
	if p.QueueMs <= 0 {
		return DefaultQueueTimeout
	}
	return time.Duration(p.QueueMs * float64(time.Millisecond))
}

func retryRatio(p guavascale.Preset) float64 {
	if p.RetryRatio <= 0 {
		return DefaultRetryRatio
	}
	return p.RetryRatio
}
