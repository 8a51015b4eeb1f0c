package guavascale

import (
	"context"
	"time"
)

type (
	// Runner sends orders to workers that check fencing tokens: a worker
	// refuses orders with a lower token than the highest it has seen, stops
	// all runs when its lease expires, and lists its running and ended runs.
	// Implementations are safe for concurrent use. Every method fails with
	// RunError if the worker refused the order, and with UnavailableError, in
	// which case the call may still take effect, even seconds later.
	Runner interface {
		// Start starts a run. It succeeds if the run is already running.
		Start(ctx context.Context, w Worker, s RunStart) (WorkerClock, error)
		// Stop stops a run. A run whose start order has not arrived yet is
		// prevented from starting.
		Stop(ctx context.Context, w Worker, r Run, token uint64) (WorkerClock, error)
		// Hold renews the worker's lease, which covers all of its runs,
		// acknowledges the ended runs up to h.Seen and returns the worker's
		// running runs and unacknowledged ended runs.
		Hold(ctx context.Context, w Worker, h Hold) (RunReport, error)
		// Pace throttles a run to a share of its CPU, 0 to 100 percent.
		Pace(ctx context.Context, w Worker, r Run, percent int, token uint64) (WorkerClock, error)
	}

	// Run identifies one attempt of a task of a submission.
	Run struct {
		Task    TaskRef
		Attempt int64
	}

	// RunStart is the order to start a run.
	RunStart struct {
		Run        Run
		Payload    string
		Checkpoint string
		// LeaseEnd is the end of the lease on the worker's clock. The lease
		// covers all runs of the worker.
		LeaseEnd time.Duration
		Token    uint64
		// Ticket is the admission ticket of the advice service; "" for none.
		Ticket string
	}

	// Hold is the request of Runner.Hold.
	Hold struct {
		Token uint64
		// Seen is the highest RunEnd.Number up to which the ended runs are
		// stored durably; the worker may forget them. 0 acknowledges none.
		Seen uint64
		// LeaseEnd is the new end of the lease on the worker's clock; 0 leaves
		// the lease unchanged.
		LeaseEnd time.Duration
		// Wait is the long-poll timeout: how long the worker may delay the
		// response until a run ends.
		Wait time.Duration
	}

	// WorkerClock is a reading of a worker's clock, which starts at an
	// arbitrary value and may run slow by up to 2%.
	WorkerClock time.Duration

	// RunReport lists the running and the ended runs of a worker.
	RunReport struct {
		Clock WorkerClock
		// Born is the start time of the worker in Unix milliseconds; 0 if not
		// reported. A worker that restarts under the same ID has no record of
		// its earlier runs.
		Born    int64
		Running []RunState
		// Ended holds the unacknowledged ends with the lowest numbers, as many as
		// the worker lists at a time. If it holds that many, a run in neither list
		// may have ended.
		Ended []RunEnd
	}

	// RunState is the state of a running run.
	RunState struct {
		Run        Run
		Checkpoint string
		Percent    int
		// Tail is the tail latency of a service task, Used the CPU usage of
		// any other task in thousandths of a core. Both are approximate and
		// lag by half a second.
		Tail time.Duration
		Used int64
	}

	// RunEnd reports that a run ended.
	RunEnd struct {
		// Number increases with each run that ends after the worker started,
		// from 1.
		Number     uint64
		Run        Run
		Outcome    RunOutcome
		Checkpoint string
	}

	// RunOutcome is how a run ended.
	RunOutcome string

	// RunError reports that a worker refused an order, which then had no
	// effect.
	RunError struct {
		Worker WorkerID
		Op     string
		Reason RunRefusal
		// Clock is the worker's clock; 0 if not reported.
		Clock WorkerClock
	}

	// RunRefusal is the reason why a worker refused an order.
	RunRefusal string
)

const (
	RunDone   RunOutcome = "Done"
	RunFailed RunOutcome = "Failed"
	// RunStopped means that the run was stopped by an order, RunLapsed that
	// the lease expired.
	RunStopped RunOutcome = "Stopped"
	RunLapsed  RunOutcome = "Lapsed"
	// RunGangEnded means that the run ended because another member of its gang
	// did, RunGangTimeout that the other members did not start in time.
	RunGangEnded   RunOutcome = "Broken"
	RunGangTimeout RunOutcome = "Alone"
)

const (
	// RefusedToken means that the worker has seen a higher fencing token.
	RefusedToken RunRefusal = "Token"
	// RefusedAttempt means that this or a later attempt has already ended on
	// the worker.
	RefusedAttempt RunRefusal = "Attempt"
	// RefusedLate means that the lease in the order had already expired.
	RefusedLate     RunRefusal = "Late"
	RefusedCapacity RunRefusal = "Room"
	// RefusedBoot means that the worker has restarted under another ID.
	RefusedBoot   RunRefusal = "Boot"
	RefusedTicket RunRefusal = "Ticket"
	// RefusedUnhealthy means that the worker is unhealthy.
	RefusedUnhealthy RunRefusal = "Sick"
	// RefusedInvalid means that the worker could not parse the order.
	RefusedInvalid RunRefusal = "Invalid"
)

// Error returns a message with the worker, the operation and the reason.
func (e *RunError) Error() string {
	return "worker " + string(e.Worker) + " refused " + e.Op + ": " + string(e.Reason)
}
