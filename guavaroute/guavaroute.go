// Package guavaroute decides which endpoint serves a request, and which
// requests are refused.
//
// The model: a worker serves a fixed number of requests at a time on a bounded
// number of connections. The live daemons divide both without messages: all of
// them rank the daemons of a worker by rendezvous hashing and assign its slots
// in that order. A daemon sends a request only while it holds a free slot of
// the worker; all endpoints on the worker share its slots. A request for which
// no slot is free waits in a bounded queue by priority, whose length is the
// number of requests that the daemon's slots complete within the longest
// waiting time. Endpoints that fail repeatedly are ejected for a while, but
// never more than a third of a service. Retries are limited to a part of the
// recent requests.
//
// A Router holds the state of one daemon. It opens no connection, starts no
// goroutine and reads no clock: each method takes the time and returns what to
// do, so that the gateway and a queueing model use the same code. A Router is
// not safe for concurrent use; its owner guards it.
package guavaroute

import (
	"time"

	"guavascale.example"
)

type (
	// Priority orders requests; a smaller value is served first.
	Priority int

	// View is what a Router knows of the fleet. It is immutable.
	View struct {
		// Daemon is the name of this daemon; it is one of Daemons.
		Daemon string
		Zone   guavascale.Zone
		// Daemons holds the names of all live daemons, in any order.
		Daemons   []string
		Endpoints []guavascale.Endpoint
		ZonesOut  map[guavascale.Zone]bool
		// Preset gives RetryRatio and QueueMs; 0 stands for the default.
		Preset guavascale.Preset
	}

	// Ticket is a request that asks for a slot.
	Ticket struct {
		// ID is unique among the tickets of a Router.
		ID       uint64
		Service  string
		Priority Priority
		// Deadline is the caller's deadline.
		Deadline time.Time
	}

	// Pick is a slot of a worker that a request holds. It must be given back
	// with Done exactly once.
	Pick struct {
		Endpoint guavascale.Endpoint
		// Connections is the number of connections that this daemon may have
		// open to the worker.
		Connections int

		state *endpointState
		probe bool
	}

	// Verdict is what became of a ticket.
	Verdict int

	// Event is a verdict on a ticket. Pick is set when it was granted.
	Event struct {
		Ticket  uint64
		Verdict Verdict
		Pick    Pick
	}

	// Result tells how a request with a Pick ended.
	Result struct {
		// Elapsed is the time from sending to the end.
		Elapsed time.Duration
		// Failed is set when the endpoint refused or broke the connection,
		// did not answer, or answered incorrectly.
		Failed bool
		// Rejected is set when the endpoint itself refused the request as
		// not run. It neither counts as a failure nor as a latency.
		Rejected bool
	}
)

const (
	Urgent Priority = iota
	Normal
	Low

	priorities = 3
)

const (
	// Granted tickets hold a slot.
	Granted Verdict = iota + 1
	// Queued tickets wait; a later event decides on them.
	Queued
	// Refused tickets were rejected by admission control.
	Refused
	// Expired tickets waited for the longest time allowed.
	Expired
	// NoEndpoint tickets ask for a service without any usable endpoint.
	NoEndpoint
)

const (
	// GainDelay is how long a daemon waits before it uses a gained slot. It
	// is longer than the 3 s of silence after which daemons drop a peer from
	// their lists, so that the former holder has stopped by then.
	GainDelay = 5 * time.Second
	// DefaultRetryRatio is the number of retries per recent request.
	DefaultRetryRatio = 0.1
	// DefaultQueue is the longest time that a request waits for a slot.
	DefaultQueue = 100 * time.Millisecond
)

// ParsePriority returns the priority of a Request-Priority header; an empty
// value is Normal. It fails with guavascale.ValidationError.
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

func queueTime(p guavascale.Preset) time.Duration {
	if p.QueueMs <= 0 {
		return DefaultQueue
	}
	return time.Duration(p.QueueMs * float64(time.Millisecond))
}

func retryRatio(p guavascale.Preset) float64 {
	if p.RetryRatio <= 0 {
		return DefaultRetryRatio
	}
	return p.RetryRatio
}
