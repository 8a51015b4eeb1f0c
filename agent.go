package guavascale

type (
	// OrderKind is the type of an order.
	OrderKind string

	// Orders is one message to a worker. A message without orders requests a
	// report; it still fences off senders with lower epochs.
	Orders struct {
		// Shard is the sender's partition.
		Shard Partition
		// Epoch is the sender's epoch. The worker rejects the message if it
		// has seen a higher epoch for the shard.
		Epoch uint64
		// Incarnation is the worker incarnation that the orders are addressed
		// to. The worker rejects orders for any other incarnation. "" is
		// allowed only in a message without orders.
		Incarnation string
		// NotAfterMs is a deadline on the worker's own clock, in milliseconds.
		// The worker rejects orders that arrive later. This bounds the effect
		// of messages that were delayed or whose sender was paused.
		NotAfterMs int64
		// Since is the version of the latest report that the sender has from
		// this incarnation. The worker reports only later changes; 0 requests
		// a full report.
		Since  uint64
		Orders []Order
	}

	// Order is a single command to a worker. The worker applies the orders
	// of a message in sequence.
	Order struct {
		Kind OrderKind
		// Attempt is the attempt to act on, "<task>#<n>".
		Attempt AttemptID
		// Task is the task to run; set only for OrderStart.
		Task *Task
		// LeaseMs is the lease duration of the attempt in milliseconds,
		// counted from receipt of the order; set for OrderStart and
		// OrderRenew. The worker stops an attempt whose lease has expired.
		LeaseMs int64
		// Checkpoint requests a checkpoint before the attempt is stopped.
		Checkpoint bool
		// Percent is the share of its declared CPU that a throttled attempt
		// may use, 1 to 100.
		Percent int
	}

	// AttemptState is the state of an attempt as its worker reports it.
	AttemptState string

	// AttemptReport is a worker's report on one attempt.
	AttemptReport struct {
		Attempt AttemptID
		State   AttemptState
		// Reason explains why an attempt failed or was rejected.
		Reason string
		// Checkpoint references the saved state of a stopped attempt; "" if
		// there is none.
		Checkpoint string
		// Used is the measured resource usage, UsageAgeMs milliseconds old.
		Used       Resources
		UsageAgeMs int64
		// LatencyMs is the recent 99th percentile response time of a service
		// instance in milliseconds, as old as Used; 0 if not known.
		LatencyMs float64
	}

	// Report is a worker's response to an Orders message.
	Report struct {
		Worker WorkerID
		// Incarnation identifies one start of the worker and is never reused. All
		// attempts of earlier incarnations have ended.
		Incarnation string
		// ClockMs is the worker's monotonic clock at the time of the report.
		ClockMs int64
		// Epoch is the highest epoch the worker has seen for the shard since it
		// started.
		Epoch uint64
		// Version increases with each change of an attempt and is never
		// reused, even after a restart of the worker. Since is copied from
		// the message, or 0 if the report is full.
		Version uint64
		Since   uint64
		// Attempts lists the attempts that changed after Since. A full report
		// lists all running attempts, and ended ones for at least an hour
		// after they ended.
		Attempts []AttemptReport
	}
)

const (
	OrderStart    OrderKind = "Start"
	OrderStop     OrderKind = "Stop"
	OrderThrottle OrderKind = "Throttle"
	OrderRenew    OrderKind = "Renew"
	// OrderForget allows the worker to drop an ended attempt from its reports
	// early, once the shard owner has logged the end.
	OrderForget OrderKind = "Forget"
)

const (
	AttemptRunning AttemptState = "Running"
	// AttemptStopping is the state of an attempt that is saving its checkpoint
	// or finishing its requests.
	AttemptStopping AttemptState = "Stopping"
	AttemptDone     AttemptState = "Done"
	AttemptFailed   AttemptState = "Failed"
	AttemptStopped  AttemptState = "Stopped"
	// AttemptExpired is the state of an attempt that the worker stopped
	// because its lease expired.
	AttemptExpired AttemptState = "Expired"
	// AttemptRejected is the state of an attempt that was never started,
	// because of insufficient capacity or because its worker is leaving.
	AttemptRejected AttemptState = "Rejected"
)

// Ended reports whether an attempt in state s is guaranteed to have stopped
// running.
func (s AttemptState) Ended() bool { return s != AttemptRunning && s != AttemptStopping }
