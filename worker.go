package guavascale

import (
	"strconv"
	"time"
)

type (
	// WorkerID identifies a worker.
	WorkerID string

	// Zone is the name of an availability zone.
	Zone string

	// Partition is the name of a unit of ownership, "Shard-<zone>-<n>" or
	// "Claim-<n>".
	Partition string

	// Worker is a machine of the platform, as described by the host list.
	Worker struct {
		// ID is unique in the fleet and survives restarts of the worker.
		ID   WorkerID
		Zone Zone
		// Rack is the index of the rack in its zone, from 0.
		Rack     int
		Capacity Resources
		// AgentAddress is the "host:port" of the worker's agent.
		AgentAddress string
		// EndpointAddress is the "host:port" that serves requests for service
		// instances; all instances on the worker share it.
		EndpointAddress string
		// Slots is the number of requests that the worker serves concurrently.
		Slots int
		// Connections is the maximum number of connections to the worker.
		Connections int
		// Leaving is set if the platform is going to remove the worker.
		Leaving bool
		// LeavesAfter is the minimum time between the platform's announcement
		// and the removal of a leaving worker.
		LeavesAfter time.Duration
		// Service is the pool that the worker belongs to; "" if the platform
		// has no pools.
		Service string
		// Labels contains the type of the worker and its rack.
		Labels []string
		// Born is the start time of the worker in Unix milliseconds; 0 if not
		// known.
		Born int64
	}

	// WorkerStatus is the state of a worker as known to the owner of its shard.
	WorkerStatus struct {
		Worker      Worker
		Shard       Partition
		Incarnation string
		// Free is the capacity that is not taken by attempts.
		Free Resources
		// Tasks is the number of attempts that count against the capacity.
		Tasks int
		// Silent is set if the worker has not responded recently.
		Silent bool
		// BackoffMs is how long no tasks are started on the worker because
		// tasks failed on it, in milliseconds.
		BackoffMs int64
		// ReportAgeMs is the age of the last report in milliseconds; -1 if
		// there was none.
		ReportAgeMs int64
	}

	// WorkerChanges describes how the list of workers has changed. The first ones are of an
	// empty list.
	WorkerChanges struct {
		// AsOf is a time at which no change was missing.
		AsOf time.Time
		// Size is the number of workers in the list after the changes.
		Size int
		// Changes are in the order in which they were made, in which they have to be
		// applied: a worker that has left and returned has one for each.
		Changes []WorkerChange
	}

	// WorkerChange is the change of one worker in the list.
	WorkerChange struct {
		// Worker is the worker as it is in the list now. Only its ID is set if it was
		// removed.
		Worker Worker
		// Removed is set if the worker is no longer in the list.
		Removed bool
	}

	// Work lists the tasks, jobs and workers that shard owners report.
	Work struct {
		Tasks   []Task
		Jobs    []JobStatus
		Workers []WorkerStatus
	}

	// Endpoint is a service instance that requests can be sent to.
	Endpoint struct {
		Service string
		Task    TaskID
		Worker  WorkerID
		Zone    Zone
		// Address is the worker's EndpointAddress.
		Address string
		// Slots and Connections are the limits of the worker. All endpoints on
		// it and all daemons share them.
		Slots       int
		Connections int
		// Leaving is set if no new requests may be sent to the endpoint.
		Leaving bool
	}
)

// ShardOf returns the shard of a worker when each shard consists of
// racksPerShard racks. Values below 1 are treated as 1.
func ShardOf(w Worker, racksPerShard int) Partition {
	n := w.Rack / max(racksPerShard, 1)
	return Partition("Shard-" + string(w.Zone) + "-" + strconv.Itoa(n))
}
