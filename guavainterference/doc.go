// Package guavainterference estimates how much batch tasks slow down the
// services on the same worker, and decides which batch tasks to throttle or
// evict.
//
// The model is linear: the ratio of a service instance's 99th percentile latency
// to its target is a base ratio of the service kind plus, for each batch kind on
// the worker, an interference coefficient times the busy cores of that kind.
// Estimator learns the base ratios and the coefficients from delayed
// measurements, with one Kalman filter per service kind. Between measurements
// each estimate decays to its prior and its variance grows, so that estimates
// made under a different load expire and a batch kind that placement has kept
// away from a service is tried again.
//
// Mitigator decides on the steps for one worker: it throttles batch tasks at
// once, evicts one when a breach of the target lasts, and releases throttles
// after the latency has been low for a while. A step is based only on
// measurements taken after the previous step took effect. A Budget limits the
// evictions in a shard.
//
// The package does no I/O and reads no clock; the caller passes the time.
package guavainterference

import (
	"time"

	"guavascale.example"
)

type (
	// Worker holds the measurements of one worker.
	Worker struct {
		ID guavascale.WorkerID
		// MilliCores is the capacity of the worker.
		MilliCores int64
		Services   []Service
		Batch      []Batch
	}

	// Service is a measurement of one service instance.
	Service struct {
		Task guavascale.TaskID
		Kind string
		// Ratio is the 99th percentile latency divided by the service's target.
		Ratio float64
		// MeasuredAt is when the measurement was taken, not when it arrived.
		MeasuredAt time.Time
	}

	// Batch is a measurement of one batch task.
	Batch struct {
		Task   guavascale.TaskID
		Kind   string
		Urgent bool
		// Cores is the number of busy cores at the time of the measurement.
		Cores float64
		// Percent is the current throttle as a percentage of full speed, 1 to
		// 100; 0 means 100.
		Percent int
		// Evictions is the number of times that the task was evicted before.
		Evictions int
		// Evictable reports whether the task can be evicted now.
		Evictable bool
	}

	// Load is the declared load of all tasks of one kind on a worker, as used
	// by placement.
	Load struct {
		Kind  string
		Class guavascale.TaskClass
		Tasks int
		// MilliCores is the sum of the declared sizes.
		MilliCores int64
	}
)

// percent returns the current throttle, 1 to 100.
func (b *Batch) percent() int {
	if b.Percent <= 0 {
		return fullPercent
	}
	return b.Percent
}

const (
	fullPercent       = 100
	milliCoresPerCore = 1000.0
)
