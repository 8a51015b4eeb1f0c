package guavascale

import (
	"context"
	"slices"
	"time"
)

type (
	// SubmissionState is the state of a submission that is reported to callers.
	SubmissionState string

	// Submission is a dependency graph of steps, submitted under an ID that the
	// caller chose. Accepting the same ID again has no effect.
	Submission struct {
		ID    string
		Queue string
		// Origin is the declaration of the queue under which a daemon took the
		// submission; zero if a daemon without this field did.
		Origin Origin `json:",omitzero"`
		// Account is the name of the client account that submitted the submission; "" on
		// public queues and in catalogs without accounts.
		Account string `json:",omitempty"`
		// Payload is passed to every task unchanged.
		Payload string
		Steps   []Step
		// Repeat is the number of occurrences. Occurrence k is due at
		// StartAt + k*Interval. 0 means one occurrence that is due
		// immediately.
		Repeat   int           `json:",omitempty"`
		StartAt  time.Time     `json:",omitzero"`
		Interval time.Duration `json:",omitempty"`
	}

	// Step is a set of identical tasks.
	Step struct {
		Count int
		Size  Resources
		// Estimate is the caller's estimate of the run time of a task. It may
		// be far off.
		Estimate time.Duration `json:",omitempty"`
		// After lists the indexes of the steps this step depends on. Its tasks
		// start when all of their tasks are done.
		After []int `json:",omitempty"`
		// Checkpoints is set if the tasks save checkpoints.
		Checkpoints bool `json:",omitempty"`
		// Gang is set if the tasks make progress only while all of them run
		// (gang scheduling); they end together. OneRack is set if they run
		// slower when spread over several racks.
		Gang    bool `json:",omitempty"`
		OneRack bool `json:",omitempty"`
		// Label is a label that the worker must have; "" for none.
		Label string `json:",omitempty"`
		// DataRack is the label of the rack that stores the input data, or "".
		DataRack string `json:",omitempty"`
		// MaxPerWorker limits the tasks per worker of one occurrence of the
		// step; 0 means no limit.
		MaxPerWorker int `json:",omitempty"`
		// Copies is set if several attempts of a task may run at the same time.
		Copies bool `json:",omitempty"`
		// Service is set for tasks that run until the submission is cancelled.
		Service bool `json:",omitempty"`
		// Kind groups tasks with similar resource behaviour.
		Kind string `json:",omitempty"`
		// Target is the tail latency target of a service task.
		Target time.Duration `json:",omitempty"`
		// Filler is set for best-effort tasks, which use the CPU time that
		// other tasks on the worker leave idle. Their CPU does not count
		// against capacity.
		Filler bool `json:",omitempty"`
		// MaxAway is the disruption budget of a service step: how many of its
		// tasks may be down at a time because of scheduler decisions.
		MaxAway int `json:",omitempty"`
	}

	// Submissions accepts and manages submissions. Implementations are safe for
	// concurrent use. Every method fails with UnavailableError if the result is
	// not known in time.
	Submissions interface {
		// Submit returns once the submission is stored durably. It fails with
		// RejectedError if no task will ever run as a result of this call.
		Submit(ctx context.Context, s Submission) error
		// State fails with NotFoundError if the submission does not exist.
		State(ctx context.Context, id string) (SubmissionState, error)
		// Cancel returns once the end of the submission is stored durably. It
		// fails with NotFoundError if the submission does not exist.
		Cancel(ctx context.Context, id string) error
		// Pending returns the number of accepted submissions of a queue of
		// which no task has started.
		Pending(ctx context.Context, q Queue) (int, error)
	}

	// RejectedError reports that a request was rejected and has no effect.
	RejectedError struct {
		Reason string
		// RetryAfter is the recommended delay before a retry.
		RetryAfter time.Duration
	}

	// TaskRef identifies a task of a submission.
	TaskRef struct {
		Submission string
		Occurrence int
		Step       int
		Index      int
	}

	// Queue is the policy for the submissions of one route.
	Queue struct {
		Name string
		// Host and PathPrefix select the queue for a caller's request; the
		// longest matching prefix wins.
		Host       string
		PathPrefix string
		// Service is the name of the worker pool that runs the tasks.
		Service string
		// Priority orders the queues; 0 is the highest priority.
		Priority int
		// MaxAttempts is the number of failed attempts after which a task and
		// its submission fail; 0 means that there is no limit.
		MaxAttempts int
		// Slack and Target define the completion time objective of a
		// submission: Slack times the length of its critical path, plus
		// Target.
		Slack  float64
		Target time.Duration
		// Timeout limits the time until a caller's request is answered.
		Timeout time.Duration
		// Advised is set if a step may run only on workers that the advice
		// service allows.
		Advised bool
		// Public is set if calls need no API key although the catalog declares
		// accounts.
		Public bool `json:",omitempty"`
	}

	// Origin is a queue as a version of the catalog declares it.
	Origin struct {
		Version uint64
		Queue   Queue
	}

	// Pool describes the workers of a service.
	Pool struct {
		Service string
		// Guarded is set if the workers reject tasks that exceed their free
		// capacity. Others start whatever they are told to.
		Guarded bool
		// Standby is set if the machines of the pool are switched off.
		Standby bool
	}

	// Catalog is one version of the operators' queue declarations. It is
	// immutable once shared.
	Catalog struct {
		Version uint64
		Queues  []Queue
		Pools   []Pool
		// Closed is the set of availability zones that get no new tasks.
		Closed map[Zone]bool
		// Accounts holds the client accounts. Nil means that the operators declare
		// none, so that calls are not authenticated; a list without entries means
		// that every call to a queue that isn't public is rejected.
		Accounts []Account
	}
)

const (
	SubmissionQueued    SubmissionState = "queued"
	SubmissionRunning   SubmissionState = "running"
	SubmissionCompleted SubmissionState = "completed"
	SubmissionFailed    SubmissionState = "failed"
	SubmissionCancelled SubmissionState = "cancelled"
)

// Due returns when occurrence k is due.
func (s *Submission) Due(k int) time.Time { return s.StartAt.Add(time.Duration(k) * s.Interval) }

// Class returns the class of the step's tasks.
func (st *Step) Class() TaskClass {
	if st.Service {
		return ClassService
	}
	return ClassBatch
}

// Ended reports whether a submission in state s starts no further task.
func (s SubmissionState) Ended() bool {
	return s == SubmissionCompleted || s == SubmissionFailed || s == SubmissionCancelled
}

// Placed returns the resources that a task takes up on its worker. Fillers take up no processors,
// since they only get what other tasks leave.
func (st *Step) Placed() Resources {
	r := st.Size
	if st.Filler {
		r.MilliCores = 0
	}
	return r
}

// Guards reports whether the workers of a service are known to guard their capacity. It is
// false for a nil catalog.
func (c *Catalog) Guards(service string) bool {
	return c != nil && slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.Service == service && p.Guarded })
}

func (e *RejectedError) Error() string { return "rejected: " + e.Reason }
