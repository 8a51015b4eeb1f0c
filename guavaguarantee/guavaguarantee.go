// Package guavaguarantee holds what a shard's scheduler relies on: the guarantees of workers
// and of the platform, and the settings that follow from them.
//
// A wrong value lets two runs of a task overlap, or stops runs that could go on. The values
// come from the settings of the daemon and stay the same while it runs.
package guavaguarantee

import (
	"time"

	"guavascale.example/guavaclock"
)

// Limits holds guarantees and settings that the scheduling depends on.
type Limits struct {
	guavaclock.Terms
	// StopGrace is the longest time that a worker takes to stop a run.
	StopGrace time.Duration
	// OwnerLease is how long an owner that can't commit continues to give
	// orders.
	OwnerLease time.Duration
	// DisturbMax is how long fillers may keep a service over its target; 0
	// means no limit.
	DisturbMax time.Duration
	// Keep is how long the state of an ended submission is retained.
	Keep time.Duration
	// RackPenalty is the factor by which a task runs longer on another rack
	// than its data or the other tasks of its step.
	RackPenalty float64
	// EndsPerReport is the number of ends that a worker lists at a time; 0
	// means no limit. The list of a report with fewer is complete. Starts are
	// bounded so that this is the rule.
	EndsPerReport int
	// LookAheadFrom is the size of the largest worker of a pool from which on placement
	// looks ahead (package guavabackfill) and stragglers are found by learned durations
	// (package guavastraggler), in thousandths of a core; 0 means any size.
	LookAheadFrom int64
	// CompareFrom is the size of the largest worker of a pool from which on services are
	// compared with their peers to find the fillers that disturb them (packages guavapair and
	// guavadisturb), in thousandths of a core; 0 means no pool.
	CompareFrom int64
}
