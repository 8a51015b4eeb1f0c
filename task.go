package guavascale

import (
	"fmt"
	"time"
)

type (
	// TaskID names a task: "<job>/<index>" for batch work,
	// "<service>/<shard>/<index>" for a service instance.
	TaskID string

	// AttemptID names one run of a task on one worker, "<task>#<n>".
	AttemptID string

	// TaskClass separates latency-critical work from batch work.
	TaskClass string

	// TaskState is the state of a task in the log of its shard.
	TaskState string

	// Task is a unit of work that runs on one worker at a time.
	Task struct {
		ID    TaskID
		Class TaskClass
		// Job is the job of a batch task, Service the service of an instance.
		Job     string
		Service string
		// Home is the shard that counts the ended tasks of the job.
		Home Partition
		Team string
		// Kind groups tasks that behave alike; interference is estimated per
		// pair of kinds.
		Kind   string
		Urgent bool
		// Size is the declared size. It may be far off; the worker enforces it.
		Size Resources
		// RunSeconds is the declared run time; 0 when not declared.
		RunSeconds float64
		State      TaskState
		// Attempt counts the attempts, from 1; 0 before the first.
		Attempt int
		// Worker and Incarnation are where the current attempt runs; empty
		// unless the state is Starting, Running or Stopping.
		Worker      WorkerID
		Incarnation string
		// Checkpoint is the saved state from which the next attempt resumes.
		Checkpoint string
		// LeaseSeconds is the lease of the current attempt, fixed at its start,
		// so that a new owner knows how long the attempt may still run.
		LeaseSeconds float64
		// MovedTo is the shard that a task in state HandedOver went to.
		MovedTo Partition
		// Hops counts the hand-overs between shards.
		Hops int
		// Failures counts attempts that the task itself failed.
		Failures int
		// Evictions counts attempts that were stopped to protect a service
		// or to empty a zone.
		Evictions int
		// Used is the latest measured usage, for operators; it is never logged
		// and zero unless an attempt runs.
		Used Resources `json:",omitzero"`
		// Reason tells why the task is in its state, for operators.
		Reason string
	}

	// Job is a declared batch job.
	Job struct {
		// ID is chosen by the operator or derived from the change ID; it is
		// unique and declaring it again is harmless.
		ID     string
		Team   string
		Kind   string
		Urgent bool
		// Tasks is the number of equal tasks, 1 to MaxJobTasks.
		Tasks      int
		Size       Resources
		RunSeconds float64
		// Cancelled is set when an operator cancelled the job.
		Cancelled bool
		// Shard is the shard to which the job was handed first.
		Shard Partition
		// Declared is the time of acceptance, for display only.
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
	// TaskSuspended is a task that was evicted and waits to resume.
	TaskSuspended TaskState = "Suspended"
	TaskDone      TaskState = "Done"
	TaskFailed    TaskState = "Failed"
	TaskCancelled TaskState = "Cancelled"
	// TaskUnplaceable is a task that no worker of the fleet can hold.
	TaskUnplaceable TaskState = "Unplaceable"
	// TaskHandedOver is a task that now belongs to another shard.
	TaskHandedOver TaskState = "HandedOver"
)

// MaxJobTasks bounds the tasks of one job, so that one inbox row holds a job.
const MaxJobTasks = 1000

// Ended reports whether a task in state s never runs again in this shard.
func (s TaskState) Ended() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskHandedOver:
		return true
	default:
		return false
	}
}

// HoldsWorker reports whether a task in state s counts against the capacity of
// its worker. It does until the worker confirmed that the attempt ended.
func (s TaskState) HoldsWorker() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// AttemptID returns the ID of the task's current attempt.
func (t Task) AttemptID() AttemptID {
	return AttemptID(fmt.Sprintf("%s#%d", t.ID, t.Attempt))
}
