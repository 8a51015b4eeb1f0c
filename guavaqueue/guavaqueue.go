// Package guavaqueue schedules submissions: it decides which tasks run on which
// workers, which orders are sent to workers, and in which order state is made
// durable.
//
// An Engine holds the submissions and workers of one shard. It has no clock,
// network or store. Its owner passes in callers' requests, the platform's worker
// list and the responses to orders, each with the current time, and carries out
// what the engine returns: orders to workers (Orders) and rows to commit (Batch).
// An Engine must be used by one goroutine at a time.
//
// In each scheduling pass the owner states what it may do (Permissions): an owner
// that has fallen behind, or whose commits fail, may do less. No lease ends later
// than a fixed time after the owner's last commit, which tells the next owner how long
// it has to wait for workers that it can't reach.
//
// The workers are the source of truth for what they run; most starts are not stored. Each
// order carries the owner's fencing token. A new owner has a higher token and starts nothing
// on a worker before that worker has answered under the new token and reported its runs.
// Four things are made durable: a submission before it is accepted, the end of a task before
// the worker may discard it, the set of workers that may hold runs (the fleet) before the
// first start on one of them, and the start of a task that may crash its worker before it is
// ordered. A new owner that can't reach a worker of the fleet waits until the worker's lease
// must have expired before it starts a task that may run there.
//
// A run whose start order got no response may still start later. It keeps its task
// and its resources until the worker reports it, until the worker confirms a stop
// and no longer reports it, or until its lease must have expired, by the worker's own
// clock or, where that is unknown, by the owner's (package guavaclock).
package guavaqueue

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavaattempt"
	"guavascale.example/guavabackfill"
	"guavascale.example/guavabatch"
	"guavascale.example/guavabinding"
	"guavascale.example/guavaclock"
	"guavascale.example/guavacrash"
	"guavascale.example/guavademand"
	"guavascale.example/guavadisturb"
	"guavascale.example/guavaestimate"
	"guavascale.example/guavaevent"
	"guavascale.example/guavafairness"
	"guavascale.example/guavaguarantee"
	"guavascale.example/guavahold"
	"guavascale.example/guavaload"
	"guavascale.example/guavamissing"
	"guavascale.example/guavaorder"
	"guavascale.example/guavapair"
	"guavascale.example/guavaquota"
	"guavascale.example/guavarank"
	"guavascale.example/guavarefusal"
	"guavascale.example/guavarow"
	"guavascale.example/guavastarvation"
	"guavascale.example/guavastate"
	"guavascale.example/guavastraggler"
	"guavascale.example/guavavacancy"
)

type (
	// Engine is the scheduler of one shard. Token and Limits must be set before
	// use; the zero values of the other fields are ready to use.
	Engine struct {
		// Token is the owner's epoch, greater than that of any earlier owner.
		Token  uint64
		Limits Limits

		catalog *guavascale.Catalog
		// bindings tells which queue's policy applies to a submission.
		bindings guavabinding.Book
		// quota holds what the accounts have running, and unclaimed the submissions that have
		// no claim yet in the order between accounts.
		quota     guavaquota.Book
		order     guavafairness.Order
		unclaimed []*submission
		subs      map[string]*submission
		workers   map[guavascale.WorkerID]*worker
		// workerList holds all workers, and pools the workers of each service. They
		// spare a scheduling pass most of the map operations, which would be most of
		// its cost for a thousand workers.
		workerList []*worker
		pools      map[string]*pool
		// holdOffset is the index in workerList at which the next pass begins to send
		// holds.
		holdOffset int
		// readySteps holds the steps with tasks to place.
		readySteps []*step
		// scheduled holds submissions with occurrences that are not due yet.
		scheduled map[*submission]struct{}
		// listedRuns is a buffer that applyReport reuses.
		listedRuns map[guavascale.Run]bool
		// fullSizes holds, by placement class, a task size that found no worker
		// in this scheduling pass.
		fullSizes guavabackfill.Full[placementClass]
		orders    []guavaorder.Order
		// recording holds the runs whose starts have to be stored before they are ordered.
		recording []*run
		// deposed is set when a worker has seen a higher token.
		deposed bool
		// soleOwner is set while no other daemon can own the shard.
		soleOwner bool
		// oldCapacity is set while the capacities of workers may have shrunk.
		oldCapacity bool
		// answeredSent is when the latest order was sent that a worker has answered.
		answeredSent time.Time
		// firstHolds bounds the holds in progress to workers that are not known.
		firstHolds guavahold.Window
		delays     guavahold.Delays
		// leasesUntil bounds the leases that are granted in this pass.
		leasesUntil time.Time

		dirty      []*submission
		dirtySince time.Time
		// changes counts the changes of submissions.
		changes uint64
		// urgent is set when a caller waits for the next commit.
		urgent bool
		// fleet is the durable set of workers that may hold runs.
		fleet      map[guavascale.WorkerID]bool
		fleetDirty bool
		// refusals holds the submissions that were in a commit that the store has refused
		// for good, or that can't be encoded or read.
		refusals guavarefusal.Ledger[*submission]
		// sharedRowsRefused is set while rows that are not of a submission are committed
		// without others, since such a commit was refused for good, and sharedRetryAt is
		// the earliest time of the next one.
		sharedRowsRefused bool
		sharedRetryAt     time.Time
		// missing holds the workers of an earlier owner's fleet that have not
		// answered yet.
		missing guavamissing.Workers
		// inheritedUnknownAt is the last time at which runs of earlier owners were unknown.
		inheritedUnknownAt time.Time
		// openStarts holds the starts whose workers may have crashed before they answered
		// this owner, or lapsed.
		openStarts guavacrash.Ledger[*task]
		hosts      guavacrash.Hosts
		// interference estimates which filler kinds disturb which service kinds.
		interference guavapair.Model
		// demand tells which filler kinds depend on which workers.
		demand guavademand.Book
		// excludedServicesByFiller caches the results of excludedServices during a
		// scheduling pass.
		excludedServicesByFiller map[string]map[string]bool
		// ranked is a buffer that rankWorkers reuses.
		ranked              guavarank.Ranking[*worker]
		events              guavaevent.Buffer
		kindsWrittenAt      time.Time
		stragglersCheckedAt time.Time
		vacatedAt           time.Time
		// estimates tells how long runs of ordinary tasks take.
		estimates guavaestimate.Model
		// speeds tells how long runs take that were at full pace from start to end.
		speeds guavaestimate.Model
		// starvation is the rule for starved fillers in this scheduling pass.
		starvation guavastarvation.Rule
		nextExpiry time.Time
	}

	// Limits holds guarantees and settings that the scheduling depends on.
	Limits = guavaguarantee.Limits

	submission struct {
		guavascale.Submission
		// binding is nil if an earlier owner has ended the submission.
		binding *guavabinding.Binding
		account *guavaquota.Account
		claim   guavafairness.Claim
		// epoch is the token of the owner that accepted the submission.
		epoch    uint64
		accepted time.Time
		state    guavascale.SubmissionState
		ended    time.Time
		// durable is set when the submission's row is committed.
		durable bool
		// rowWritten is set when the row of the submission itself, which never
		// changes, is part of a batch or committed.
		rowWritten bool
		// row is the encoded row until it is durable.
		row   []byte
		steps []*step
		// doneSteps is the number of the first steps of which all tasks are done.
		doneSteps int
		// occurrences is the number of occurrences that have become due.
		occurrences int
		guavabatch.Durability
		startRoom guavarow.StartRoom
		waiters   []func(guavascale.SubmissionState)
		// runs counts the runs that are or may be active.
		runs int
		// started is set once a worker has confirmed or reported a run.
		started bool
		removed bool
		// cut is what the latest progress row lacks.
		cut guavarow.Cut
		// chains holds the estimated time from the start of each step to the end of the
		// submission. It is computed on first use.
		chains []time.Duration
	}

	// step is a step of one occurrence.
	step struct {
		sub        *submission
		occurrence int
		index      int
		spec       *guavascale.Step
		tasks      []*task
		done       int
		// waiting counts the tasks that are neither done nor have a run. queued is
		// set while the step is in Engine.readySteps.
		waiting int
		queued  bool
		// perWorker counts the runs on each worker.
		perWorker map[guavascale.WorkerID]int
		durations guavastraggler.Durations
		place     guavafairness.Place
		// waitingSince is when the step was first seen with waiting tasks, or the time of
		// its latest start after that; zero while no task waits.
		waitingSince time.Time
		// starved applies to one task in this scheduling pass.
		starved guavastarvation.Level
		// noRoom is set if no worker had room in this scheduling pass, and access is what
		// reservations mean for the step in it.
		noRoom bool
		access guavabackfill.Access[*step]
		// undisturbedTail is the latency of undisturbed tasks of a service at undisturbedAt.
		undisturbedTail time.Duration
		undisturbedAt   time.Time
	}

	task struct {
		step  *step
		index int
		// attempt is the attempt number of the latest run.
		attempt int64
		failed  guavaattempt.Failures
		// avoidWorkers holds the workers on which attempts have failed or were
		// slow, or that crashed under them.
		avoidWorkers []guavascale.WorkerID
		record       guavacrash.Record
		done         bool
		checkpoint   string
		runs         []*run
		// notBefore is the earliest time of the next start.
		notBefore time.Time
		// inherited is set when an earlier owner may have started runs. They, or
		// their failures, may be unknown until all workers of its fleet have
		// answered.
		inherited bool
	}

	runPhase int

	// run is an attempt of a task that is or may be running on a worker.
	run struct {
		id     guavascale.Run
		task   *task
		worker *worker
		phase  runPhase
		// confirmedAt is when the worker answered the start order or reported the
		// run, or for a stopping run, when it answered the stop order; zero
		// before that.
		confirmedAt time.Time
		// unlisted is set when the start order was answered, which doesn't tell by
		// which boot of the worker, until a report lists the run.
		unlisted bool
		// strayUntil is the time until which a start order that got no response may have
		// effects, although a later one was answered; zero if all were.
		strayUntil time.Time
		// judged is set if another owner has started the run, or after recordCrash.
		judged bool
		// heard is set if the worker was heard from right before the first start order.
		heard bool
		// recording is set until the start is ordered if it has to be stored before.
		// recordedBy is the value of Engine.changes from which on it is stored.
		recording  bool
		recordedBy uint64
		// unanswered is set when a start order got no response, startBroke if the
		// latest one broke off before its timeout.
		unanswered   bool
		startBroke   bool
		sentAt       time.Time
		startedAt    time.Time
		startPending bool
		// startEnd is the latest lease end in a start order to the current boot of
		// the worker, which refuses the order afterwards.
		startEnd   time.Duration
		stopSentAt time.Time
		percent    int
		seen       guavastraggler.Seen
		pace       int
		// paceUnknown is set while an earlier owner may have set another pace.
		paceUnknown    bool
		latency        guavadisturb.Latency
		usedMilliCores int64
	}

	// pool holds the workers of a service in one scheduling pass.
	pool struct {
		// candidates may get starts.
		candidates []*worker
		// listed counts the listed workers, spare those without services on which
		// services may still be started.
		listed, spare int
		// largest is the most processors that a candidate has, size the most that a listed
		// worker has, in thousandths of a core, and total the capacity of all candidates.
		largest, size int64
		total         guavascale.Resources
		// window is the part of candidates among which services move.
		window guavavacancy.Window
		// ahead holds what large tasks need of the candidates.
		ahead      guavabackfill.Pool[*step, *worker]
		stragglers guavastraggler.Search[*run]
	}

	worker struct {
		guavascale.Worker
		pool *pool
		// index is the position in Engine.workerList.
		index int
		// listed is set while the worker is in the platform's worker list.
		listed bool
		// largest is the largest capacity that the list has shown of the boot largestBorn.
		largest     guavascale.Resources
		largestBorn int64
		// known is set when the worker has answered under this token since its
		// runs were last marked as lost.
		known bool
		// bootConfirmed is set when the worker was known, since its latest boot,
		// at a time when no other daemon could own the shard. A worker that
		// restarts loses the token of a later owner and would accept orders of
		// an earlier one.
		bootConfirmed bool
		// durable is set while the worker is in the durable fleet.
		durable bool
		runs    map[guavascale.Run]*run
		used    guavascale.Resources
		// strays holds the latest reported runs of ended submissions, which are part of used.
		strays guavaquota.Strays
		// fillerMilliCores is the sum of the declared processors of fillers.
		fillerMilliCores int64
		// aliveAt is the latest time at which the worker was certainly running, and
		// askedAt when it was sent its first start after that.
		aliveAt, askedAt time.Time
		clock            guavaclock.Clock
		lease            guavaclock.Lease
		// jumpedAt is when the clock showed a restart that nothing else has shown yet.
		jumpedAt time.Time
		ends     guavahold.Ends
		// moreEnds is set while the worker may have ends that the latest report did
		// not list. A run in neither list is not lost then.
		moreEnds    bool
		holdPending bool
		holdNotSent bool
		holdAt      time.Time
		// reportedAt is when the last report arrived.
		reportedAt time.Time
		// failedHolds counts the holds that failed since the last response, and
		// processEnded is set if one of them showed that the worker's process has
		// ended.
		failedHolds  int
		processEnded bool
		// leavesAt is the earliest time at which a leaving worker may be gone.
		leavesAt      time.Time
		pendingStarts int
		// unsettledRuns is an upper bound on the number of runs whose orders may
		// have to be resent: it may include runs that need no order any more.
		unsettledRuns int
		attempts      guavaattempt.Worker
		speed         guavastraggler.Worker
		// trials is avoided by tasks while one under which another worker has crashed has
		// just started there.
		trials guavacrash.Place[*task]
		// serviceMilliCores is the sum of the declared processors of service
		// tasks.
		serviceMilliCores int64
		// observedAt is when measurements were last used, mitigatedAt when
		// fillers were last throttled or stopped.
		observedAt, mitigatedAt time.Time
		// worstLatencyRatio is the highest latency of a service at observedAt, as
		// a fraction of its target.
		worstLatencyRatio float64
		// demand is the sum of the demands of all filler kinds that may run on the
		// worker.
		demand float64
		// suspectEndedAt is when a filler last ended on the worker that may have
		// disturbed a service on it.
		suspectEndedAt time.Time
		// missedSince is the time since which a service on the worker has missed
		// its target.
		missedSince time.Time
		// vacatedUntil is the time until which services avoid the worker, since its
		// services were moved away for waiting fillers.
		vacatedUntil time.Time
		// loadsBuf holds the result of loads while loadsValid is set.
		loadsBuf   guavaload.Loads
		loadsValid bool
	}
)

const (
	phaseStarting runPhase = iota
	phaseRunning
	phaseStopping
)

// Stats returns the current counts.
func (e *Engine) Stats(now time.Time) guavastate.Stats {
	s := guavastate.Stats{Submissions: len(e.subs), Workers: len(e.workers)}
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
	for _, p := range e.pools {
		s.Reservations = s.Reservations.Add(p.ahead.Plan.Counts())
		s.KeepsRoom = s.KeepsRoom || p.ahead.Fit.Active()
	}
	for _, w := range e.workerList {
		s.Runs += len(w.runs)
		if w.listed {
			s.Listed++
		}
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

// SetCatalog replaces the catalog, unless c is older. A catalog of the same version
// may close other zones.
func (e *Engine) SetCatalog(c *guavascale.Catalog) {
	if e.catalog != nil && c.Version < e.catalog.Version {
		return
	}
	e.catalog = c
	guavaquota.SetAccounts(&e.quota, c.Accounts, e.subs, func(s *submission) *guavaquota.Account { return s.account })
	e.bindings.SetCatalog(c, func(yield func(*guavabinding.Binding) bool) {
		for _, s := range e.subs {
			if !s.state.Ended() && !yield(s.binding) {
				return
			}
		}
	})
}

// queue returns the newest known policy for a submission that has not ended, or nil.
func (e *Engine) queue(s *submission) *guavascale.Queue { return s.binding.Queue() }

func (t *task) ref() guavascale.TaskRef {
	return guavascale.TaskRef{
		Submission: t.step.sub.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index,
	}
}

// wanted reports whether the task still has to run.
func (t *task) wanted() bool { return !t.done && !t.step.sub.state.Ended() }

func (t *task) size() guavascale.Resources { return t.step.spec.Placed() }
