package guavascale

import "fmt"

type (
	// NotFoundError reports that a named thing does not exist.
	NotFoundError struct {
		// Kind is the sort of thing, such as "row" or "job".
		Kind string
		Name string
	}

	// ConditionError reports that a condition of a commit did not hold;
	// nothing was applied.
	ConditionError struct {
		Key string
		// Want and Have are row versions; 0 stands for a missing row.
		Want uint64
		Have uint64
	}

	// ConflictError reports that a configuration change was based on a version
	// that is no longer in force.
	ConflictError struct {
		Based   uint64
		InForce uint64
	}

	// UnavailableError reports that an outside system did not answer.
	UnavailableError struct {
		// System is what was called, such as "table" or "worker w12".
		System string
		// Op is the operation that failed.
		Op string
		// MayHaveApplied is set when the operation may have taken effect.
		MayHaveApplied bool
		Cause          error
	}

	// OrderError reports that a worker rejected a whole message of orders.
	OrderError struct {
		Worker WorkerID
		// Reason is one of the constants RejectEpoch, RejectIncarnation and
		// RejectLate.
		Reason string
		// Report is the worker's report all the same.
		Report Report
	}

	// LeaseError reports that a right to act has lapsed or belongs to another
	// daemon.
	LeaseError struct {
		Partition Partition
		Reason    string
	}

	// ValidationError reports a field with a value that is not allowed.
	ValidationError struct {
		// Field is the path of the field, such as "Presets.peak.RetryRatio".
		Field string
		// Value is the value as given, Allowed what would be accepted.
		Value   string
		Allowed string
	}

	// AlreadyRunError reports that an idempotency key is taken.
	AlreadyRunError struct {
		Key string
		// Answer is the recorded answer; nil when it is not known.
		Answer *Answer
	}
)

const (
	RejectEpoch       = "Epoch"
	RejectIncarnation = "Incarnation"
	RejectLate        = "Late"
)

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

func (e *ConditionError) Error() string {
	return fmt.Sprintf("row %q has version %d, the commit requires %d", e.Key, e.Have, e.Want)
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on configuration version %d, but version %d is in force", e.Based, e.InForce)
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s did not answer %s: %v", e.System, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

func (e *OrderError) Error() string {
	return fmt.Sprintf("worker %q rejected the orders: %s", e.Worker, e.Reason)
}

func (e *LeaseError) Error() string {
	return fmt.Sprintf("no right to act for partition %q: %s", e.Partition, e.Reason)
}

func (e *ValidationError) Error() string {
	return fmt.Sprintf("field %s has value %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

func (e *AlreadyRunError) Error() string {
	return fmt.Sprintf("a request with idempotency key %q ran or may have run", e.Key)
}
