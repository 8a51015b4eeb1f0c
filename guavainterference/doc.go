// Package guavainterference estimates how batch tasks disturb services beside
// them, and decides what to do about it.
//
// The model: the ratio of a service instance's 99th percentile to its target is
// a constant of the service's kind plus, for each batch kind on the worker, a
// disturbance per busy core times the busy cores of that kind. Estimator learns
// the constants and the disturbances from lagging measurements, with one
// Kalman filter for each service kind. Between measurements each value drifts
// back to its prior and its uncertainty grows, so that what was learned under
// another load is forgotten, and a kind that was kept away is tried again.
//
// Mitigator decides on steps for one worker at a time: it throttles batch tasks
// at once, evicts when a breach lasts, and releases throttles when the service
// has been calm. A step is based only on measurements taken after the previous
// step took effect. Evictions of a shard are bounded by a Budget.
//
// Everything is plain data: time is passed in, and nothing reads a clock.
package guavainterference

import (
	"time"

	"guavascale.example"
)

type (
	// Worker is what was measured on one worker.
	Worker struct {
		ID guavascale.WorkerID
		// MilliCores is the capacity of the worker.
		MilliCores int64
		Services   []Service
		Batch      []Batch
	}

	// Service is a measured instance of a service.
	Service struct {
		Task guavascale.TaskID
		Kind string
		// Ratio is the 99th percentile divided by the service's target.
		Ratio float64
		// MeasuredAt is when the measurement was taken, not when it arrived.
		MeasuredAt time.Time
	}

	// Batch is a batch task that runs on the worker.
	Batch struct {
		Task   guavascale.TaskID
		Kind   string
		Urgent bool
		// Cores is the number of busy cores at the time of the measurement.
		Cores float64
		// Percent is the throttle in force, 1 to 100; 0 stands for 100.
		Percent int
		// Evictions counts the earlier evictions of the task.
		Evictions int
		// Movable is set when the task can be evicted now.
		Movable bool
	}

	// Load is the work of one kind on a worker, as placement sees it.
	Load struct {
		Kind  string
		Class guavascale.TaskClass
		// Tasks is the number of tasks of the kind.
		Tasks int
		// MilliCores is the declared size of all tasks of the kind.
		MilliCores int64
	}
)

// percent returns the throttle in force.
func (b *Batch) percent() int {
	if b.Percent <= 0 {
		return fullPercent
	}
	return b.Percent
}

const (
	fullPercent    = 100
	coreMilliCores = 1000.0
)
