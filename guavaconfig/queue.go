package guavaconfig

import (
	"fmt"
	"os"
	"time"

	"guavascale.example"
)

type (
	// QueueSettings is what a daemon of the submission scheduler reads from its
	// file. Name, Zone, Callers, Peer and Platform are required.
	QueueSettings struct {
		// Name is the host's name.
		Name string
		Zone guavascale.Zone
		// Callers takes callers' requests, Ready the balancer's readiness
		// checks, Peer the calls of other daemons. Metrics is off unless set.
		Callers Listener
		Ready   Listener
		Peer    Listener
		Metrics Listener
		// Platform is host and port of the platform's store.
		Platform string
		// Advice is host and port of the service that tells which workers may
		// run a step; "" where there is none.
		Advice string
		// Guarantees are figures of the platform.
		Guarantees Guarantees
		Log        Log
	}

	// Guarantees are figures that the platform states. Zero fields stand for
	// defaults.
	Guarantees struct {
		// LeaseMaxMs is the longest lease that a worker grants.
		LeaseMaxMs float64
		// StopGraceMs is the longest time that a worker takes to stop a run.
		StopGraceMs float64
		// TermSeconds is the time between SIGTERM and SIGKILL.
		TermSeconds float64
		// DisturbMaxMs is how long fillers may keep a service over its target.
		DisturbMaxMs float64
		// KeepSeconds is how long the state of an ended submission is kept.
		KeepSeconds float64
		// RackPenalty is how many times longer a task takes away from its data.
		RackPenalty float64
		// MemoryMB is the memory of the process.
		MemoryMB float64
		// Cores is the processor time that the process has; 0 when not known.
		Cores float64
	}
)

const (
	defaultLeaseMax    = 6000.0
	defaultStopGrace   = 1000.0
	defaultTerm        = 6.0
	defaultDisturbMax  = 4000.0
	defaultKeep        = 120.0
	defaultRackPenalty = 2.0
	defaultMemory      = 256.0
)

// ReadQueueSettings reads, completes and validates a settings file of the
// submission scheduler. It fails with ValidationError, or with the error of the
// file system.
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

// Defaults returns s with the default of each zero field.
func (s QueueSettings) Defaults() QueueSettings {
	def(&s.Log.Level, "Info")
	def(&s.Log.Format, "JSON")
	def(&s.Guarantees.LeaseMaxMs, defaultLeaseMax)
	def(&s.Guarantees.StopGraceMs, defaultStopGrace)
	def(&s.Guarantees.TermSeconds, defaultTerm)
	def(&s.Guarantees.DisturbMaxMs, defaultDisturbMax)
	def(&s.Guarantees.KeepSeconds, defaultKeep)
	def(&s.Guarantees.RackPenalty, defaultRackPenalty)
	def(&s.Guarantees.MemoryMB, defaultMemory)
	return s
}

// Validate fails with ValidationError for the first field that is not allowed.
func (s QueueSettings) Validate() error {
	for field, value := range map[string]string{
		"Name": s.Name, "Zone": string(s.Zone), "Callers.Listen": s.Callers.Listen,
		"Peer.Listen": s.Peer.Listen, "Platform": s.Platform,
	} {
		if value == "" {
			return &guavascale.ValidationError{Field: field, Value: `""`, Allowed: "a value"}
		}
	}
	g := s.Guarantees
	for field, value := range map[string]float64{
		"LeaseMaxMs": g.LeaseMaxMs, "StopGraceMs": g.StopGraceMs, "TermSeconds": g.TermSeconds, "DisturbMaxMs": g.DisturbMaxMs,
		"KeepSeconds": g.KeepSeconds, "RackPenalty": g.RackPenalty, "MemoryMB": g.MemoryMB, "Cores": g.Cores,
	} {
		if value < 0 {
			return &guavascale.ValidationError{Field: "Guarantees." + field, Value: fmt.Sprint(value), Allowed: "more than 0"}
		}
	}
	return nil
}

// Milliseconds returns ms as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
