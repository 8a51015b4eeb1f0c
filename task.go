package guavascale

import (
	"fmt"
	"time"
)

type (
	// TaskID identifies a task: "<job>/<index>" for a batch task,
	// "<service>/<shard>/<index>" for a service instance.
	TaskID string

	// AttemptID identifies one attempt to run a task on a worker, "<task>#<n>".
	AttemptID string

	// TaskClass distinguishes latency-critical service instances from batch
	// tasks.
	TaskClass string

	// TaskState is the state of a task as recorded in the log of its shard.
	TaskState string

	// Task is a unit of work that runs on one worker at a time.
	Task struct {
		ID    TaskID
		Class TaskClass
		// Job is the job of a batch task, Service the service of an instance.
		Job     string
		Service string
		// Home is the job's home shard, which counts the ended tasks.
		Home Partition
		Team string
		// Kind groups tasks with similar resource behaviour. Interference is
		// estimated per pair of kinds.
		Kind   string
		Urgent bool
		// Size is the declared resource demand. It may differ a lot from the
		// actual demand; the worker enforces it as a limit.
		Size Resources
		// RunSeconds is the declared run time; 0 if not declared.
		RunSeconds float64
		State      TaskState
		// Attempt is the number of the current attempt, from 1; 0 before the
		// first attempt.
		Attempt int
		// Worker and Incarnation identify where the current attempt runs; empty
		// unless the state is Starting, Running or Stopping.
		Worker      WorkerID
		Incarnation string
		// Checkpoint references the saved state from which the next attempt
		// resumes.
		Checkpoint string
		// LeaseSeconds is the lease duration of the current attempt. It is
		// fixed when the attempt starts, so that a new shard owner can
		// determine how long the attempt may still run.
		LeaseSeconds float64
		// MovedTo is the shard to which a task in state HandedOver was moved.
		MovedTo Partition
		// Hops is the number of hand-overs between shards.
		Hops int
		// Failures is the number of attempts that failed because of the task
		// itself.
		Failures int
		// Evictions is the number of attempts that were stopped to protect a
		// service or to drain a zone.
		Evictions int
		// Used is the latest measured resource usage, shown to operators. It
		// is not written to the shard log, and is zero unless an attempt runs.
		Used Resources `json:",omitzero"`
		// Reason explains the state of the task to operators.
		Reason string
	}

	// Job is the declaration of a batch job.
	Job struct {
		// ID is unique. It is chosen by the operator or derived from the
		// change ID. Declaring the same ID again has no effect.
		ID     string
		Team   string
		Kind   string
		Urgent bool
		// Tasks is the number of identical tasks, 1 to MaxJobTasks.
		Tasks      int
		Size       Resources
		RunSeconds float64
		// Cancelled is set if an operator cancelled the job.
		Cancelled bool
		// Shard is the shard to which the job was first assigned.
		Shard Partition
		// Declared is the time when the job was accepted, for display only.
		Declared time.Time
	}
)

const (
	ClassService TaskClass = "Service"
	ClassBatch   TaskClass = "Batch"
)

const (
	TaskPending  TaskState = "Pending"
	TaskStarting TaskState = "Starting"
	TaskRunning  TaskState = "Running"
	TaskStopping TaskState = "Stopping"
	// TaskSuspended is the state of a task that was evicted and waits to
	// resume.
	TaskSuspended TaskState = "Suspended"
	TaskDone      TaskState = "Done"
	TaskFailed    TaskState = "Failed"
	TaskCancelled TaskState = "Cancelled"
	// TaskUnplaceable is the state of a task that is too large for every worker
	// of the fleet.
	TaskUnplaceable TaskState = "Unplaceable"
	// TaskHandedOver is the state of a task that was moved to another shard.
	TaskHandedOver TaskState = "HandedOver"
)

// MaxJobTasks limits the number of tasks per job, so that a job fits into one
// inbox row.
const MaxJobTasks = 1000

// Ended reports whether a task in state s will never run again in this shard.
func (s TaskState) Ended() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskHandedOver:
		return true
	default:
		return false
	}
}

// HoldsWorker reports whether a task in state s counts against the capacity of
// its worker, which it does until the end of the attempt is confirmed.
func (s TaskState) HoldsWorker() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// AttemptID returns the ID of the task's current attempt.
func (t Task) AttemptID() AttemptID {
	return AttemptID(fmt.Sprintf("%s#%d", t.ID, t.Attempt))
}
