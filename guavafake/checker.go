package guavafake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// ViolationKind identifies the guarantee that was violated.
	ViolationKind string

	// Violation is a violation of a scheduler guarantee that the fleet
	// observed.
	Violation struct {
		Kind    ViolationKind
		Task    guavascale.TaskID
		Attempt guavascale.AttemptID
		Worker  guavascale.WorkerID
		At      time.Time
		Detail  string
	}

	// Start records one start of an attempt.
	Start struct {
		Attempt guavascale.AttemptID
		Worker  guavascale.WorkerID
		Class   guavascale.TaskClass
		At      time.Time
	}

	// Verdict summarizes what the fleet has observed since it was created.
	Verdict struct {
		StartsByAttempt map[guavascale.AttemptID]int
		StartsByTask    map[guavascale.TaskID]int
		// StartsByZone contains the starts in each zone in chronological
		// order.
		StartsByZone map[guavascale.Zone][]Start
		// Done contains the batch tasks whose work was completed.
		Done map[guavascale.TaskID]bool
		// Ends counts the ended attempts by their final state. An attempt that
		// ended because its worker was killed counts as "Killed".
		Ends map[guavascale.AttemptState]int
		// NoRoom counts the starts that workers rejected for lack of capacity.
		// It stays 0 unless RejectFull is set.
		NoRoom int
		// Unreported counts the starts that repeat work whose end no delivered
		// report had contained, for example when a worker is cut off, completes
		// a task and its lease expires. No scheduler can prevent them, so they
		// are not violations.
		Unreported int
		Violations []Violation
	}

	// checker observes the starts and ends on all workers.
	checker struct {
		verdict Verdict
		// running holds the running batch attempts by task.
		running map[guavascale.TaskID]map[runningAttempt]bool
		// lastRun is the most recently started attempt of each task.
		lastRun map[guavascale.TaskID]*run
		// lastProgress is the progress of a task, in seconds of work, at the
		// start of its latest attempt, or at its end if it was stopped or its
		// lease expired. reportedProgress is the part that a delivered report has
		// contained; the next attempt has to resume from it. reportedDone holds
		// the tasks that a delivered report has said are done.
		lastProgress     map[guavascale.TaskID]float64
		reportedProgress map[guavascale.TaskID]float64
		reportedDone     map[guavascale.TaskID]bool
	}

	runningAttempt struct {
		worker  guavascale.WorkerID
		attempt guavascale.AttemptID
	}
)

const (
	// ViolationConcurrentRuns is a batch task with two concurrent runs.
	ViolationConcurrentRuns ViolationKind = "TwoRuns"
	// ViolationRestart is an attempt that was started more than once.
	ViolationRestart ViolationKind = "AttemptRestarted"
	// ViolationCapacity is a start with which a worker's tasks exceed its capacity, which
	// counts ShrinkDelay later if it has shrunk.
	ViolationCapacity ViolationKind = "Capacity"
	// ViolationLost is an attempt that resumes without some of the completed
	// work of its task.
	ViolationLost ViolationKind = "WorkLost"
	// ViolationRepeated is a task that was started after it was done.
	ViolationRepeated ViolationKind = "WorkRepeated"

	// endKilled is the final state of attempts that ended because their worker
	// was killed.
	endKilled guavascale.AttemptState = "Killed"

	// progressTolerance, in seconds of work, allows for rounding: progress is a
	// sum of floating-point products.
	progressTolerance = 1e-6
)

func (c *checker) init() {
	if c.running != nil {
		return
	}
	c.running = map[guavascale.TaskID]map[runningAttempt]bool{}
	c.lastRun = map[guavascale.TaskID]*run{}
	c.lastProgress = map[guavascale.TaskID]float64{}
	c.reportedProgress = map[guavascale.TaskID]float64{}
	c.reportedDone = map[guavascale.TaskID]bool{}
	c.verdict.StartsByAttempt = map[guavascale.AttemptID]int{}
	c.verdict.StartsByTask = map[guavascale.TaskID]int{}
	c.verdict.StartsByZone = map[guavascale.Zone][]Start{}
	c.verdict.Done = map[guavascale.TaskID]bool{}
	c.verdict.Ends = map[guavascale.AttemptState]int{}
}

// started records the start of run r on worker w. The caller has already applied
// the ends that are due on all workers that run the same task.
func (c *checker) started(w *worker, r *run, now time.Time) {
	c.init()
	v := &c.verdict
	v.StartsByAttempt[r.id]++
	v.StartsByTask[r.task.ID]++
	s := Start{Attempt: r.id, Worker: w.info.ID, Class: r.task.Class, At: now}
	v.StartsByZone[w.info.Zone] = append(v.StartsByZone[w.info.Zone], s)

	if n := v.StartsByAttempt[r.id]; n > 1 {
		c.addViolation(ViolationRestart, w, r, now, fmt.Sprintf("start number %d", n))
	}
	if used, capacity := w.used().Add(r.task.Size), w.usableCapacity(now); !capacity.Fits(used) {
		c.addViolation(ViolationCapacity, w, r, now, fmt.Sprintf("used %+v, capacity %+v", used, capacity))
	}
	if r.task.Class != guavascale.ClassBatch {
		return
	}
	for other := range c.running[r.task.ID] {
		c.addViolation(ViolationConcurrentRuns, w, r, now, fmt.Sprintf("%s runs on %s", other.attempt, other.worker))
	}
	c.checkProgress(w, r, now)
	c.lastRun[r.task.ID] = r
	if c.running[r.task.ID] == nil {
		c.running[r.task.ID] = map[runningAttempt]bool{}
	}
	c.running[r.task.ID][runningAttempt{w.info.ID, r.id}] = true
}

// checkProgress compares the progress at which run r starts with the completed
// work of its task.
func (c *checker) checkProgress(w *worker, r *run, now time.Time) {
	id := r.task.ID
	switch {
	case c.reportedDone[id]:
		c.addViolation(ViolationRepeated, w, r, now, "a report told before that the task is done")
	case r.progress < c.reportedProgress[id]-progressTolerance:
		c.addViolation(ViolationLost, w, r, now, fmt.Sprintf("resumes at %.3f s of work, completed were %.3f s", r.progress, c.reportedProgress[id]))
	case c.verdict.Done[id] || r.progress < c.lastProgress[id]-progressTolerance:
		c.verdict.Unreported++
	}
	c.lastProgress[id] = r.progress
}

// ended records the end of run r in the given state. Work that an attempt
// completed counts unless the attempt ended because its worker was killed, which
// no scheduler can prevent.
func (c *checker) ended(w *worker, r *run, state guavascale.AttemptState) {
	c.init()
	c.verdict.Ends[state]++
	id := r.task.ID
	if r.task.Class != guavascale.ClassBatch {
		return
	}
	delete(c.running[id], runningAttempt{w.info.ID, r.id})
	if len(c.running[id]) == 0 {
		delete(c.running, id)
	}
	switch state {
	case guavascale.AttemptDone:
		c.verdict.Done[id] = true
	case guavascale.AttemptStopped, guavascale.AttemptExpired:
		c.lastProgress[id] = max(c.lastProgress[id], r.progress)
	}
}

// endReported records that a delivered report contained the end of run r, if it
// has ended. The end no longer matters once another attempt of the task was
// started.
func (c *checker) endReported(r *run) {
	if r.endReported || !r.state.Ended() {
		return
	}
	r.endReported = true
	if c.lastRun[r.task.ID] != r {
		return
	}
	switch r.state {
	case guavascale.AttemptDone:
		c.reportedDone[r.task.ID] = true
	case guavascale.AttemptStopped, guavascale.AttemptExpired:
		c.reportedProgress[r.task.ID] = r.progress
	}
}

func (c *checker) addViolation(kind ViolationKind, w *worker, r *run, now time.Time, detail string) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Kind:    kind,
		Task:    r.task.ID,
		Attempt: r.id,
		Worker:  w.info.ID,
		At:      now,
		Detail:  detail,
	})
}

// snapshot returns a deep copy of the verdict so far.
func (c *checker) snapshot() Verdict {
	c.init()
	v := c.verdict
	v.StartsByAttempt = maps.Clone(v.StartsByAttempt)
	v.StartsByTask = maps.Clone(v.StartsByTask)
	v.StartsByZone = maps.Clone(v.StartsByZone)
	for zone, starts := range v.StartsByZone {
		v.StartsByZone[zone] = slices.Clone(starts)
	}
	v.Done = maps.Clone(v.Done)
	v.Ends = maps.Clone(v.Ends)
	v.Violations = slices.Clone(v.Violations)
	return v
}
