package guavaconfig

import (
	"fmt"
	"os"
	"time"

	"guavascale.example"
)

type (
	// QueueSettings is the settings file of a submission scheduler daemon. Name,
	// Zone, Callers, Peer and Platform are required.
	QueueSettings struct {
		// Name is the host's name.
		Name string
		Zone guavascale.Zone
		// Callers accepts requests from callers, Ready the load balancer's
		// readiness checks, and Peer calls from other daemons. Metrics is
		// disabled unless set.
		Callers Listener
		Ready   Listener
		Peer    Listener
		Metrics Listener
		// Platform is the host and port of the platform's store.
		Platform string
		// Advice is the host and port of the service that determines which
		// workers may run a step; "" if there is none.
		Advice string
		// MaxDescriptors is the number of descriptors from which the bounds of connections
		// are derived; 0 means the limit of the process.
		MaxDescriptors int
		Guarantees     Guarantees
		// BoundQueues is set if submissions are rejected while the backlog of their pool or
		// queue drains too slowly for their objective. Backlogs of client accounts are
		// always bounded.
		BoundQueues bool
		// LookAheadFrom is the size of the largest worker of a pool from which on placement
		// keeps and reserves room for large tasks and stragglers are found by learned
		// durations, in thousandths of a core. 0 is replaced by a default; 1 means any size.
		LookAheadFrom int64
		// CompareFrom is the size of the largest worker of a pool from which on the latencies
		// of services are compared with those of the other tasks of their step to find the
		// fillers that disturb them, in thousandths of a core. 0 is replaced by a default; 1
		// means any size.
		CompareFrom int64
		Log         Log
	}

	// Guarantees holds limits that the platform guarantees. Zero fields are
	// replaced by defaults.
	Guarantees struct {
		// LeaseMaxMs is the maximum lease that a worker grants.
		LeaseMaxMs float64
		// OrderDelayMs is how long after it was sent an order to a worker that got
		// no response may still be carried out.
		OrderDelayMs float64
		// StopGraceMs is the maximum time that a worker takes to stop a run.
		StopGraceMs float64
		// TermSeconds is the time between SIGTERM and SIGKILL.
		TermSeconds float64
		// DisturbMaxMs is how long filler tasks may keep a service above its
		// latency target.
		DisturbMaxMs float64
		// LeaveMaxMs is how long after a worker has announced that it leaves
		// runs may still be started on it.
		LeaveMaxMs float64
		// ShrinkMaxMs is how long after the worker list has shown the smaller
		// capacity of a worker runs may still be started in the former one.
		ShrinkMaxMs float64
		// RevokeMaxMs is how long after the configuration that removes an API key was
		// stored calls with the key may be answered; 0 means that there is no bound.
		RevokeMaxMs float64
		// KeepSeconds is how long the state of an ended submission is
		// retained.
		KeepSeconds float64
		// RackPenalty is the factor by which a task runs longer in a rack other
		// than that of its data.
		RackPenalty float64
		// MemoryMB is the memory available to the process.
		MemoryMB float64
		// Cores is the number of CPU cores available to the process; 0 if
		// unknown.
		Cores float64
	}
)

const (
	defaultLeaseMaxMs   = 6000.0
	defaultOrderDelayMs = 12000.0
	defaultStopGraceMs  = 1000.0
	defaultTermSeconds  = 6.0
	defaultDisturbMaxMs = 4000.0
	defaultLeaveMaxMs   = 2000.0
	defaultShrinkMaxMs  = 3000.0
	defaultKeepSeconds  = 120.0
	defaultRackPenalty  = 2.0
	defaultMemoryMB     = 256.0
	// defaultLookAheadFrom leaves out pools of workers with up to 48 cores. In four of five
	// plays with 3,000 workers of 32 cores and look-ahead, service tasks of a lost zone waited
	// for over 13 s; the cause is not known.
	defaultLookAheadFrom = int64(64_000)
	// defaultCompareFrom leaves out pools of smaller workers, on which comparing services
	// with their peers has not been measured.
	defaultCompareFrom = int64(64_000)
)

// ReadQueueSettings reads a settings file of the submission scheduler, fills in
// defaults and validates the result. It fails with ValidationError or with the
// file system's error.
func ReadQueueSettings(path string) (QueueSettings, error) {
	var s QueueSettings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := Decode(data, &s); err != nil {
		return s, err
	}
	s = s.Defaults()
	return s, s.Validate()
}

// Defaults returns s with zero fields replaced by their defaults.
func (s QueueSettings) Defaults() QueueSettings {
	setDefault(&s.Log.Level, "Info")
	setDefault(&s.Log.Format, "JSON")
	setDefault(&s.Guarantees.LeaseMaxMs, defaultLeaseMaxMs)
	setDefault(&s.Guarantees.OrderDelayMs, defaultOrderDelayMs)
	setDefault(&s.Guarantees.StopGraceMs, defaultStopGraceMs)
	setDefault(&s.Guarantees.TermSeconds, defaultTermSeconds)
	setDefault(&s.Guarantees.DisturbMaxMs, defaultDisturbMaxMs)
	setDefault(&s.Guarantees.LeaveMaxMs, defaultLeaveMaxMs)
	setDefault(&s.Guarantees.ShrinkMaxMs, defaultShrinkMaxMs)
	setDefault(&s.Guarantees.KeepSeconds, defaultKeepSeconds)
	setDefault(&s.Guarantees.RackPenalty, defaultRackPenalty)
	setDefault(&s.Guarantees.MemoryMB, defaultMemoryMB)
	setDefault(&s.LookAheadFrom, defaultLookAheadFrom)
	setDefault(&s.CompareFrom, defaultCompareFrom)
	return s
}

// Validate checks settings with defaults filled in. It fails with
// ValidationError for the first invalid field that it finds.
func (s QueueSettings) Validate() error {
	for field, value := range map[string]string{
		"Name": s.Name, "Zone": string(s.Zone), "Callers.Listen": s.Callers.Listen,
		"Peer.Listen": s.Peer.Listen, "Platform": s.Platform,
	} {
		if value == "" {
			return &guavascale.ValidationError{Field: field, Value: `""`, Allowed: "a value"}
		}
	}
	if s.MaxDescriptors < 0 {
		return &guavascale.ValidationError{Field: "MaxDescriptors", Value: fmt.Sprint(s.MaxDescriptors), Allowed: "0 or more"}
	}
	for field, value := range map[string]int64{"LookAheadFrom": s.LookAheadFrom, "CompareFrom": s.CompareFrom} {
		if value < 0 {
			return &guavascale.ValidationError{Field: field, Value: fmt.Sprint(value), Allowed: "0 or more"}
		}
	}
	g := s.Guarantees
	for field, value := range map[string]float64{
		"LeaseMaxMs": g.LeaseMaxMs, "OrderDelayMs": g.OrderDelayMs, "StopGraceMs": g.StopGraceMs, "TermSeconds": g.TermSeconds, "DisturbMaxMs": g.DisturbMaxMs,
		"LeaveMaxMs": g.LeaveMaxMs, "ShrinkMaxMs": g.ShrinkMaxMs, "RevokeMaxMs": g.RevokeMaxMs,
		"KeepSeconds": g.KeepSeconds, "RackPenalty": g.RackPenalty, "MemoryMB": g.MemoryMB, "Cores": g.Cores,
	} {
		if value < 0 {
			return &guavascale.ValidationError{Field: "Guarantees." + field, Value: fmt.Sprint(value), Allowed: "more than 0"}
		}
	}
	return nil
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
