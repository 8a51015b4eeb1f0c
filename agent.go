package guavascale

type (
	// OrderKind is what an order asks of a worker.
	OrderKind string

	// Orders is one message to a worker. A message without orders asks for a
	// report and still fences lower epochs.
	Orders struct {
		// Shard is the sender's partition.
		Shard Partition
		// Epoch is the sender's epoch. The worker rejects the message when it
		// has seen a higher one.
		Epoch uint64
		// Incarnation is the worker's incarnation that the orders are meant
		// for. The worker rejects orders for another one; "" is allowed in a
		// message without orders only.
		Incarnation string
		// NotAfterMs is a time on the worker's own clock, in milliseconds.
		// The worker rejects orders that arrive later. It bounds the effect of
		// messages that were delayed or whose sender was paused.
		NotAfterMs int64
		// Since is the version of the latest report that the sender holds of
		// this incarnation; the worker reports only what changed after it. 0
		// asks for a whole report.
		Since  uint64
		Orders []Order
	}

	// Order is one order to a worker. The worker applies the orders of a
	// message in sequence.
	Order struct {
		Kind OrderKind
		// Attempt is the attempt that the order is about, "<task>#<n>".
		Attempt AttemptID
		// Task describes what to run; set for OrderStart only.
		Task *Task
		// LeaseMs is the lease of the attempt from receipt of the order, in
		// milliseconds; set for OrderStart and OrderRenew. The worker stops
		// an attempt whose lease is over.
		LeaseMs int64
		// Checkpoint asks for a checkpoint before the stop.
		Checkpoint bool
		// Percent is the share of its declared processors that a throttled
		// attempt may use, 1 to 100.
		Percent int
	}

	// AttemptState is the state of an attempt on its worker.
	AttemptState string

	// AttemptReport is what a worker knows of an attempt.
	AttemptReport struct {
		Attempt AttemptID
		State   AttemptState
		// Reason tells why a failed or rejected attempt ended.
		Reason string
		// Checkpoint refers to the saved state of a stopped attempt; "" when
		// there is none.
		Checkpoint string
		// Used is the measured usage. It lags by UsageAgeMs.
		Used       Resources
		UsageAgeMs int64
		// LatencyMs is the recent 99th percentile of the answers of a service
		// instance, in milliseconds, with the lag of Used; 0 when not known.
		LatencyMs float64
	}

	// Report is a worker's answer to a message.
	Report struct {
		Worker WorkerID
		// Incarnation changes with each start of the worker. All attempts of
		// an earlier incarnation have ended.
		Incarnation string
		// ClockMs is the worker's monotonic clock when it wrote the report.
		ClockMs int64
		// Epoch is the highest epoch that the worker has seen for the shard.
		Epoch uint64
		// Version grows with each change of an attempt and never repeats,
		// also not after a restart of the worker. Since is that of the
		// message, or 0 when the report is whole.
		Version uint64
		Since   uint64
		// Attempts holds the attempts that changed after Since. A whole
		// report holds the running attempts, and the ended ones for at least
		// an hour after their end.
		Attempts []AttemptReport
	}
)

const (
	OrderStart    OrderKind = "Start"
	OrderStop     OrderKind = "Stop"
	OrderThrottle OrderKind = "Throttle"
	OrderRenew    OrderKind = "Renew"
	// OrderForget allows the worker to drop an ended attempt from its reports
	// early, once the owner has logged the end.
	OrderForget OrderKind = "Forget"
)

const (
	AttemptRunning AttemptState = "Running"
	// AttemptStopping is an attempt that is saving its checkpoint or ending
	// its requests.
	AttemptStopping AttemptState = "Stopping"
	AttemptDone     AttemptState = "Done"
	AttemptFailed   AttemptState = "Failed"
	AttemptStopped  AttemptState = "Stopped"
	// AttemptExpired is an attempt that the worker stopped because its lease
	// was over.
	AttemptExpired AttemptState = "Expired"
	// AttemptRejected is an attempt that was never started, for lack of room
	// or because its worker is leaving.
	AttemptRejected AttemptState = "Rejected"
)

// Ended reports whether an attempt in state s certainly does not run any more.
func (s AttemptState) Ended() bool { return s != AttemptRunning && s != AttemptStopping }
