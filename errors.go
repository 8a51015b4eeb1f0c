package guavascale

import (
	"fmt"
	"time"
)

type (
	// NotFoundError reports that a named object does not exist.
	NotFoundError struct {
		// Kind is the type of object, such as "row" or "job".
		Kind string
		Name string
	}

	// ConditionError reports that a condition of a commit did not hold;
	// nothing was applied.
	ConditionError struct {
		Key string
		// Want and Have are the required and the actual row version; 0 means
		// that the row does not exist.
		Want uint64
		Have uint64
	}

	// ConflictError reports that a configuration change was based on a version
	// that is no longer the current one.
	ConflictError struct {
		Based   uint64
		InForce uint64
	}

	// UnavailableError reports that an external system did not respond.
	UnavailableError struct {
		// System is the system that was called, such as "table" or "worker w12".
		System string
		// Op is the failed operation.
		Op string
		// MayHaveApplied is set if the operation may have taken effect.
		MayHaveApplied bool
		// Refused is set if the system's host refused the connection, which shows
		// that the system's process has ended.
		Refused bool
		// Overloaded is set if the system refused the call since there are too many, and
		// RetryAfter is the delay that it asks for, or 0. The call had no effect.
		Overloaded bool
		RetryAfter time.Duration
		Cause      error
	}

	// RefusedError reports that an external system refuses the content of a request
	// and would refuse it again. The request had no effect.
	RefusedError struct {
		// System and Op are those of an UnavailableError.
		System string
		Op     string
		// Bytes is the size of the content.
		Bytes int
		Cause error
	}

	// UnauthorizedError reports that a call carries no API key of any account. The
	// call had no effect. It doesn't contain the key.
	UnauthorizedError struct {
		// Reason is one of a few fixed texts.
		Reason string
	}

	// ForbiddenError reports that a call carries the key of an account to which the
	// submission does not belong. The call had no effect.
	ForbiddenError struct {
		// Account is the name of the account whose key was used.
		Account string
	}

	// OrderError reports that a worker rejected an Orders message as a whole.
	OrderError struct {
		Worker WorkerID
		// Reason is one of the constants RejectEpoch, RejectIncarnation and
		// RejectLate.
		Reason string
		// Report is the report that the worker sent with the rejection.
		Report Report
	}

	// LeaseError reports that the daemon's lease on a partition has expired or
	// that another daemon owns the partition.
	LeaseError struct {
		Partition Partition
		Reason    string
	}

	// ValidationError reports a field with an invalid value.
	ValidationError struct {
		// Field is the path of the field, such as "Presets.peak.RetryRatio".
		Field string
		// Value is the given value; Allowed describes the valid values.
		Value   string
		Allowed string
	}

	// AlreadyRunError reports that an idempotency key was already used.
	AlreadyRunError struct {
		Key string
		// Answer is the recorded response; nil if it is not known.
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

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the content of %s (%d bytes): %v", e.System, e.Op, e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

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

func (e *UnauthorizedError) Error() string { return "unauthorized: " + e.Reason }

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("the submission does not belong to account %q", e.Account)
}
