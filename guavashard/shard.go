// Package guavashard implements the scheduling state machine of one shard.
//
// A Shard has no clock, store or network of its own. Its owner passes in the
// current time (Step), reports of workers (HandleReport), results of commits
// (HandleCommit) and inbox rows (HandleInbox). Each call returns Effects:
// records to append to the shard's log and messages to send to workers.
//
// A change of a task is proposed, committed to the log, and only then applied;
// orders are derived from the applied state alone. A start order is therefore
// sent only after the attempt is in the log (write-ahead), and a task with a
// proposed change gets no further change until the result of the commit is
// known. Orders are repeated with each message until the worker's report shows
// their effect; workers handle all of them idempotently.
//
// A Shard is not safe for concurrent use. When its owner loses the partition,
// the Shard is discarded; the next owner rebuilds it from the log with New and
// Load.
package guavashard

import (
	"math/rand/v2"
	"time"

	"guavascale.example"
	"guavascale.example/guavainterference"
)

type (
	// View is the state of the rest of the system as of one Step.
	View struct {
		// Config is never nil. Preset is the active preset with its defaults
		// filled in.
		Config *guavascale.Config
		Preset guavascale.Preset
		// StartUntil is the time until which the owner may start tasks, and
		// ActUntil the time until which it may act as owner at all. A time in
		// the past means that it may not.
		StartUntil time.Time
		ActUntil   time.Time
		// Workers holds the workers of this shard that are on the host list.
		Workers []guavascale.Worker
		// WorkerSizes holds the different worker capacities of the whole fleet.
		// A task that fits none of them can never run. If it is empty, every
		// task is assumed to fit.
		WorkerSizes []guavascale.Resources
		// OtherShards holds the summaries of the shards of the fleet. It may
		// include this shard, which is skipped.
		OtherShards []guavascale.PartitionSummary
		// Instances is the number of instances of each service that this shard
		// has to run.
		Instances map[string]int
		// ReportInterval is the interval at which a worker that needs no orders
		// is asked for a report; 0 means 1 s. A daemon with many workers raises
		// it to stay within its network budget.
		ReportInterval time.Duration
		// Interference estimates the interference of a task with the given load
		// on the same worker, as guavainterference.Estimator.Loss does; nil means
		// none.
		Interference func(t *guavascale.Task, load []guavainterference.Load) float64
		// Rand is the source of random choices and of the IDs of service instances.
		// A Shard that replaces another one must not get the same sequence.
		Rand *rand.Rand
	}

	// Append is a request to append records to the shard's log and to apply
	// the writes to the table in the same commit.
	Append struct {
		// ID is passed back to HandleCommit.
		ID         uint64
		Records    []Record
		Conditions []guavascale.Condition
		Writes     []guavascale.Write
		// Urgent requests a commit without waiting for the group commit
		// interval.
		Urgent bool
	}

	// Message holds orders to send to a worker.
	Message struct {
		Worker guavascale.Worker
		Orders guavascale.Orders
	}

	// Effects are the actions that the owner must perform after a call.
	Effects struct {
		Appends  []Append
		Messages []Message
	}

	// Counters counts events since the owner took over the shard.
	Counters struct {
		Starts      int64
		Completions int64
		Failures    int64
		Evictions   int64
		Expirations int64
		HandOvers   int64
		// Orphans counts unfinished attempts that a worker reported but that
		// are not in the log. A value above 0 indicates a bug.
		Orphans int64
	}

	// Shard is the state of one shard. Create it with New.
	Shard struct {
		Name  guavascale.Partition
		Zone  guavascale.Zone
		Epoch uint64
		Counters

		takenOverAt time.Time
		now         time.Time
		// lastStep is the time of the last step. resumedAt is the time of the
		// first step, or of the first one after a pause in which the owner had
		// no right to act.
		lastStep  time.Time
		resumedAt time.Time
		view      *View
		tasks     map[guavascale.TaskID]*taskEntry
		workers   map[guavascale.WorkerID]*workerState
		// sortedWorkers holds the workers sorted by ID. It is iterated instead
		// of the map where the order matters, so that equal inputs give equal
		// outputs.
		sortedWorkers []*workerState
		lastSeq       uint64
		// queue holds the tasks waiting for a worker in order of arrival.
		// placeWaiting sorts it by priority.
		queue      []*taskEntry
		jobs       map[string]*jobState
		jobHealths map[string]*jobHealth
		// cancelledJobs holds the cancelled jobs, cancellingJobs those that may
		// still have active tasks in this shard.
		cancelledJobs  map[string]bool
		cancellingJobs map[string]bool
		// finishedJobs holds the jobs with this home shard whose tasks have all
		// ended and whose final status has not been written yet.
		finishedJobs []string
		proposals    map[uint64]*proposal
		lastID       uint64
		startLimiter tokenBucket
		drainLimiter tokenBucket
		// teamUsage is the total size of the batch tasks of each team that are
		// assigned to workers of this shard.
		teamUsage map[string]guavascale.Resources
		// remoteTeamUsage is the team usage of all other shards according to
		// their summaries.
		remoteTeamUsage map[string]guavascale.Resources
		// pendingInbox holds the keys of inbox rows whose commit is pending.
		pendingInbox map[string]bool

		effects    Effects
		candidates candidateSet
	}

	// taskEntry holds a committed task and its volatile state.
	taskEntry struct {
		task guavascale.Task
		// attempt caches the ID of the current attempt, because formatting it
		// took a third of the time of each step.
		attempt guavascale.AttemptID
		// previousWorker is the worker that ran the previous attempt.
		previousWorker guavascale.WorkerID
		// seq is the sequence number of the task in order of arrival.
		seq uint64
		// appliedAt is the time when the committed state was applied.
		appliedAt time.Time
		// proposed is the state whose commit is pending, or nil.
		proposed *guavascale.Task
		// startSent is set once this owner has sent a start order for the
		// attempt, or when an earlier owner may have sent one.
		startSent bool
		// startInherited is set while an earlier owner may have sent a start order
		// for the attempt and this owner has sent none.
		startInherited bool
		// startExpiry is the time after which no start order that was sent for
		// the attempt has any effect.
		startExpiry time.Time
		// startUntil is the time until which the last start order that this owner
		// has sent for the attempt can take effect; zero if it has sent none.
		startUntil time.Time
		// reportedRunning is set once the worker has reported the attempt as
		// running or stopping.
		reportedRunning bool
		// leaseExpiry is the latest time at which the attempt's lease can end
		// on the worker.
		leaseExpiry time.Time
		renewedAt   time.Time
		// waitingSince is the time when the task began to wait for a worker.
		waitingSince time.Time
		// retryAt is the earliest time of the next attempt after a failure.
		retryAt time.Time
		queued  bool
		refusal string
		// leavingSince is the time when the removal of a service instance
		// began, or zero.
		leavingSince time.Time
		// throttlePercent is the percentage of its declared processors that the
		// attempt may use; 0 means that it was never set. throttleSetAt is the
		// time when it was set, and throttleSentAt when it was last sent.
		throttlePercent int
		throttleSetAt   time.Time
		throttleSentAt  time.Time
	}
)

const (
	// leaseMargin is added to the duration of a lease before the owner treats
	// it as expired. It covers clock drift: 5 s is 0.7% of a 720 s lease.
	leaseMargin = 5 * time.Second
	// maxOrderDelay is the longest time between sending an order and the
	// deadline (NotAfterMs) after which workers ignore it. It equals the
	// session TTL, which bounds View.ActUntil.
	maxOrderDelay = 10 * time.Second
	// maxInheritedLease is the lease assumed for a task of an earlier owner
	// whose record has none. It is the longest lease that can be granted.
	maxInheritedLease = time.Hour
)

// New returns an empty shard for an owner that took it over at the given time.
func New(name guavascale.Partition, zone guavascale.Zone, epoch uint64, takenOverAt time.Time) *Shard {
	return &Shard{
		Name: name, Zone: zone, Epoch: epoch, takenOverAt: takenOverAt, now: takenOverAt,
		tasks:         make(map[guavascale.TaskID]*taskEntry),
		workers:       make(map[guavascale.WorkerID]*workerState),
		jobs:          make(map[string]*jobState),
		jobHealths:    make(map[string]*jobHealth),
		cancelledJobs: make(map[string]bool), cancellingJobs: make(map[string]bool),
		proposals:       make(map[uint64]*proposal),
		teamUsage:       make(map[string]guavascale.Resources),
		remoteTeamUsage: make(map[string]guavascale.Resources),
		pendingInbox:    make(map[string]bool),
	}
}

// Step advances the shard to the given time and returns the resulting effects.
// Messages are built only for workers without a message in flight.
func (s *Shard) Step(now time.Time, v *View) Effects {
	if now.Sub(s.lastStep) > unresponsiveMargin {
		s.resumedAt = now
	}
	s.now, s.lastStep, s.view = now, now, v
	s.updateWorkers()
	s.updateRemoteUsage()
	s.expireLeases()
	s.cancelTasks()
	s.drain()
	s.reconcileServices()
	s.placeWaiting()
	s.finishJobs()
	s.buildMessages()
	return s.takeEffects()
}

// inGracePeriod reports whether the owner has only recently started to act,
// after a takeover or a store outage. Workers have not had time to report yet,
// so a missing report does not mean that a worker is unresponsive.
func (s *Shard) inGracePeriod() bool {
	return s.lastStep.IsZero() || s.now.Sub(s.resumedAt) < s.responseTimeout()
}

func (s *Shard) takeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}
