// Package guavaqueue decides on submissions: which of their tasks run on which
// workers, what a worker is asked, and what must be durable before what.
//
// The model: an Engine holds the submissions and workers of one shard. It has
// no clock, network or store. Its owner feeds it callers' requests, the lists of
// workers and the answers of orders, each with the current time, and carries out
// what it returns: orders to workers (Orders) and rows to commit (Batch). One
// goroutine uses an Engine.
//
// What a worker runs is known from the worker. Starts are not logged: each order
// carries the fencing token of the owner, a new owner has a higher one, and it
// starts nothing on a worker before that worker has answered under the new token
// and listed its runs. Three things are durable: a submission before it is
// accepted, the end of a task before the worker may forget it, and the set of
// workers that may hold runs before the first start on one of them. A new owner
// that misses a worker of this set waits until the worker's lease must have
// ended before it starts a task that may run there.
//
// A run whose order got no answer may still start later. It keeps its task and
// its room until the worker lists it, confirms a stop and no longer lists it, or
// its lease must have ended on the worker's own clock.
package guavaqueue

import (
	"time"

	"guavascale.example"
)

type (
	// Engine decides for one shard. Token and Limits must be set before use;
	// the other fields work as zero values.
	Engine struct {
		// Token is the owner's epoch, greater than that of any earlier owner.
		Token  uint64
		Limits Limits

		catalog *guavascale.Catalog
		queues  map[string]*guavascale.Queue
		subs    map[string]*submission
		workers map[guavascale.WorkerID]*worker
		// open holds the steps that have tasks to place.
		readySteps []*step
		// scheduled holds submissions with occurrences that are not due yet.
		scheduled map[*submission]struct{}
		// listed is the buffer of report.
		listedRuns map[guavascale.Run]bool
		// fullSizes holds sizes that found no worker in this decision.
		fullSizes map[placementClass]guavascale.Resources
		orders    []Order
		// deposed is set when a worker has seen a higher token.
		deposed bool
		// sole is set while no other daemon can own the shard.
		soleOwner bool

		dirty      []*submission
		dirtySince time.Time
		// urgent is set when a caller waits for the next commit.
		urgent bool
		// fleet is the durable set of workers that may hold runs.
		fleet      map[guavascale.WorkerID]bool
		fleetDirty bool
		// missing holds the workers of an earlier owner's fleet that have not
		// answered yet; until missingUntil its tasks may run there.
		missing      map[guavascale.WorkerID]bool
		missingUntil time.Time
		// suspicions holds what is known of kinds that disturb each other.
		interference interferenceModel
		// demands is the part of the processors on which the fillers of a kind
		// may run that their work takes, as of demandAt.
		demandByFiller map[string]float64
		// work is what demands were computed from, in thousandths of a core.
		fillerLoads      map[string]int64
		demandComputedAt time.Time
		// candidates holds the workers of each pool that may get starts in this
		// decision, and blocked what blockedBy has found in it.
		candidates               map[string][]*worker
		excludedServicesByFiller map[string]map[string]bool
		// spare counts for each pool the workers that services may still open
		// in this decision.
		spareWorkers map[string]int
		// events waits for Events; see there.
		events              []Event
		droppedEvents       int
		kindsWrittenAt      time.Time
		stragglersCheckedAt time.Time
		nextExpiry          time.Time
	}

	// Limits are figures of the platform.
	Limits struct {
		// LeaseMax is the longest lease that a worker grants.
		LeaseMax time.Duration
		// StopGrace is the longest time that a worker takes to stop a run.
		StopGrace time.Duration
		// OwnerLease is how long an owner that can't commit goes on giving
		// orders.
		OwnerLease time.Duration
		// DisturbMax is how long fillers may keep a service over its target; 0
		// stands for no bound.
		DisturbMax time.Duration
		// Keep is how long the state of an ended submission can be read.
		Keep time.Duration
		// RackPenalty is how many times longer a task takes away from its data
		// or from the other members of its step.
		RackPenalty float64
	}

	// Stats counts what an engine holds, for logs and metrics.
	Stats struct {
		// Submissions counts all that are kept, Open those that have not ended.
		Submissions int
		Open        int
		// Waiting counts tasks that could start, WaitingFillers those of them
		// that are fillers, Runs what runs or may run.
		Waiting        int
		WaitingFillers int
		Runs           int
		Workers        int
		// Known counts workers that have answered this owner, Usable those
		// that may get starts now.
		Known  int
		Usable int
		// Capacity is that of the usable workers, Used what runs take of it,
		// Fillers the declared processors of fillers there, in thousandths of
		// a core.
		Capacity guavascale.Resources
		Used     guavascale.Resources
		Fillers  int64
	}

	submission struct {
		guavascale.Submission
		// epoch is the token of the owner that accepted the submission.
		epoch    uint64
		accepted time.Time
		state    guavascale.SubmissionState
		ended    time.Time
		// durable is set when the submission's row is committed.
		durable bool
		// rowWritten is set when the row of the submission itself, which never
		// changes, is in a batch or committed.
		rowWritten bool
		steps      []*step
		// occurrences is the number of occurrences that have become due.
		occurrences int
		// isDirty is set when the progress is not in a batch yet, committing
		// while it is in one whose outcome is not known.
		dirty      bool
		committing bool
		waiters    []func(guavascale.SubmissionState)
		started    bool
		removed    bool
		// objective and rests are computed at the first decision: the time in
		// which the submission should be completed, and for each step the
		// estimated time from its start to the end.
		objective          time.Duration
		remainingEstimates []time.Duration
	}

	// step is a step of one occurrence.
	step struct {
		sub        *submission
		occurrence int
		index      int
		spec       *guavascale.Step
		tasks      []*task
		done       int
		waiting    int
		queued     bool
		// perWorker counts the runs on each worker.
		perWorker map[guavascale.WorkerID]int
		// durations holds how long finished runs took.
		durations []time.Duration
		// class, priority and latest order the steps that wait.
		urgency, priority int
		latest            time.Time
	}

	task struct {
		step  *step
		index int
		// attempt is that of the latest run.
		attempt int64
		// failed holds the attempts that have failed. Workers repeat ends, in
		// any order, and each counts once.
		failed []int64
		// failedOn holds the workers on which attempts have failed.
		avoidWorkers []guavascale.WorkerID
		done         bool
		checkpoint   string
		runs         []*run
		// notBefore delays a start after failures.
		notBefore time.Time
		// inherited is set when runs of an earlier owner, or their failures, may
		// be unknown until all workers that it used have answered.
		inherited bool
	}

	runPhase int

	// run is an attempt of a task that may be running on a worker.
	run struct {
		id     guavascale.Run
		task   *task
		worker *worker
		phase  runPhase
		// confirmed is when the worker answered the start or listed the run,
		// or answered the stop for a stopping run; zero before.
		confirmedAt time.Time
		// unanswered is set when an order to start got no answer.
		unanswered   bool
		sentAt       time.Time
		startedAt    time.Time
		startPending bool
		stopSentAt   time.Time
		percent      int
		// progressAt is when percent last changed.
		progressAt  time.Time
		pace        int
		tailLatency time.Duration
		// lastTail is the latency at the last observation.
		lastTailLatency time.Duration
		usedMilliCores  int64
	}

	worker struct {
		guavascale.Worker
		// listed is set while the platform's list holds the worker.
		listed bool
		// known is set when the worker has answered under this token since its
		// runs were last written off.
		known bool
		// sure is set when the current start of the worker was known while no
		// other daemon could own the shard. A worker that starts again forgets
		// the token of a later owner and would take any order.
		bootConfirmed bool
		// durable is set when the durable fleet holds the worker.
		durable bool
		runs    map[guavascale.Run]*run
		used    guavascale.Resources
		// fillers is the declared processors of filler tasks.
		fillerMilliCores int64
		// clock is the last reading of the worker's clock, from a call that
		// left at clockSent and was answered by clockAt.
		clock              time.Duration
		clockSent, clockAt time.Time
		// leaseEnd is the latest lease end that was sent, on the worker's clock.
		leaseEnd time.Duration
		// seen is the number of the last end that was applied, acked the last
		// that is durable.
		seen, acked uint64
		holdPending bool
		holdAt      time.Time
		misses      int
		// leavesAt is the earliest moment at which a leaving worker is gone.
		leavesAt      time.Time
		pendingStarts int
		// unsettled counts runs with an order to repeat, at most: it may count
		// a run that has settled since.
		unsettledRuns int
		// failures counts failed runs since the last success.
		failures     int
		backoffUntil time.Time
		// services is the declared processors of service tasks.
		serviceMilliCores int64
		// observedAt and relievedAt are when figures were last used and when
		// fillers were last slowed or stopped.
		observedAt, mitigatedAt time.Time
		// highest is the highest latency of a service at observedAt, in parts
		// of its target.
		worstLatencyRatio float64
		// demand is the sum of the demands of the kinds of fillers that may run
		// here.
		demand float64
		// suspectGone is when a filler last ended here that is suspect.
		suspectEndedAt time.Time
		// missedSince is since when a service here has missed its target.
		missedSince time.Time
		// loadsBuf holds what runs by kind while loadsValid is set.
		loadsBuf   []kindLoad
		loadsValid bool
	}
)

const (
	phaseStarting runPhase = iota
	phaseRunning
	phaseStopping
)

// Stats returns current counts.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Submissions: len(e.subs), Workers: len(e.workers)}
	for _, sub := range e.subs {
		if !sub.state.Ended() {
			s.Open++
		}
	}
	for _, st := range e.readySteps {
		s.Waiting += st.waiting
		if st.spec.Filler {
			s.WaitingFillers += st.waiting
		}
	}
	for _, w := range e.workers {
		s.Runs += len(w.runs)
		if w.known {
			s.Known++
		}
		if e.usable(now, w) {
			s.Usable++
			s.Capacity = s.Capacity.Add(w.Capacity)
			s.Used = s.Used.Add(w.used)
			s.Fillers += w.fillerMilliCores
		}
	}
	return s
}

// Deposed reports whether a worker has seen the token of a later owner.
func (e *Engine) Deposed() bool { return e.deposed }

// SetCatalog takes over a catalog. Older versions are ignored.
func (e *Engine) SetCatalog(c *guavascale.Catalog) {
	e.catalog = c
	e.queues = make(map[string]*guavascale.Queue, len(c.Queues))
	for i := range c.Queues {
		e.queues[c.Queues[i].Name] = &c.Queues[i]
	}
}

func (e *Engine) queue(s *submission) *guavascale.Queue { return e.queues[s.Queue] }

func (t *task) ref() guavascale.TaskRef {
	return guavascale.TaskRef{
		Submission: t.step.sub.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index,
	}
}

// wanted reports whether the task still has to run.
func (t *task) wanted() bool { return !t.done && !t.step.sub.state.Ended() }

// Size returns what a run of the task takes from the room of its worker.
func (t *task) size() guavascale.Resources {
	r := t.step.spec.Size
	if t.step.spec.Filler {
		r.MilliCores = 0
	}
	return r
}
