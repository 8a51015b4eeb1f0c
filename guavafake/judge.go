package guavafake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// ViolationKind is the sort of a violation.
	ViolationKind string

	// Violation is a broken promise that the fleet observed.
	Violation struct {
		Kind    ViolationKind
		Task    guavascale.TaskID
		Attempt guavascale.AttemptID
		Worker  guavascale.WorkerID
		At      time.Time
		Detail  string
	}

	// Start is one start of an attempt.
	Start struct {
		Attempt guavascale.AttemptID
		Worker  guavascale.WorkerID
		Class   guavascale.TaskClass
		At      time.Time
	}

	// Verdict is what the fleet observed since it was made.
	Verdict struct {
		StartsByAttempt map[guavascale.AttemptID]int
		StartsByTask    map[guavascale.TaskID]int
		// StartsByZone holds the starts of each zone in the order of their
		// occurrence.
		StartsByZone map[guavascale.Zone][]Start
		// Done holds the batch tasks whose work was completed.
		Done map[guavascale.TaskID]bool
		// Ends counts the ended attempts by their last state. An attempt that
		// ended with its worker counts as "Killed".
		Ends map[guavascale.AttemptState]int
		// NoRoom counts the starts that workers rejected for lack of room,
		// which needs RejectFull.
		NoRoom int
		// Unreported counts the starts that repeat work whose end no answered
		// report had told, as when a worker completes a task, is cut off and
		// its lease expires. No scheduler can prevent them, so they are no
		// violations.
		Unreported int
		Violations []Violation
	}

	// judge observes the starts and ends of all workers.
	judge struct {
		verdict Verdict
		// live holds the batch attempts that run, by task.
		live map[guavascale.TaskID]map[liveRun]bool
		// last is the attempt of a task that was started last.
		last map[guavascale.TaskID]*run
		// reached is the progress of a task, in seconds of work, at its last
		// end. kept is the part that a report has told; the next attempt has
		// to resume from it. doneTold holds the tasks of which a report has
		// told that they are done.
		reached  map[guavascale.TaskID]float64
		kept     map[guavascale.TaskID]float64
		doneTold map[guavascale.TaskID]bool
	}

	liveRun struct {
		worker  guavascale.WorkerID
		attempt guavascale.AttemptID
	}
)

const (
	// ViolationTwice is a batch task that runs in two places at once.
	ViolationTwice ViolationKind = "TwoRuns"
	// ViolationRestart is an attempt that was started more than once.
	ViolationRestart ViolationKind = "AttemptRestarted"
	// ViolationCapacity is a worker whose running tasks exceed its capacity.
	ViolationCapacity ViolationKind = "Capacity"
	// ViolationLost is an attempt that does not resume from all completed
	// work of its task.
	ViolationLost ViolationKind = "WorkLost"
	// ViolationRepeated is a task that was started after it was done.
	ViolationRepeated ViolationKind = "WorkRepeated"

	// endKilled counts attempts that ended because their worker did.
	endKilled guavascale.AttemptState = "Killed"

	// progressTolerance is in seconds of work; progress is a sum of floating
	// point products and differs by rounding only.
	progressTolerance = 1e-6
)

func (j *judge) init() {
	if j.live != nil {
		return
	}
	j.live = map[guavascale.TaskID]map[liveRun]bool{}
	j.last = map[guavascale.TaskID]*run{}
	j.reached = map[guavascale.TaskID]float64{}
	j.kept = map[guavascale.TaskID]float64{}
	j.doneTold = map[guavascale.TaskID]bool{}
	j.verdict.StartsByAttempt = map[guavascale.AttemptID]int{}
	j.verdict.StartsByTask = map[guavascale.TaskID]int{}
	j.verdict.StartsByZone = map[guavascale.Zone][]Start{}
	j.verdict.Done = map[guavascale.TaskID]bool{}
	j.verdict.Ends = map[guavascale.AttemptState]int{}
}

// started records the start of run r on worker w. The ends that are due on all
// workers that run the same task have been recorded before.
func (j *judge) started(w *worker, r *run, now time.Time) {
	j.init()
	v := &j.verdict
	v.StartsByAttempt[r.id]++
	v.StartsByTask[r.task.ID]++
	s := Start{Attempt: r.id, Worker: w.info.ID, Class: r.task.Class, At: now}
	v.StartsByZone[w.info.Zone] = append(v.StartsByZone[w.info.Zone], s)

	if n := v.StartsByAttempt[r.id]; n > 1 {
		j.report(ViolationRestart, w, r, now, fmt.Sprintf("start number %d", n))
	}
	if used := w.used().Add(r.task.Size); !w.info.Capacity.Fits(used) {
		j.report(ViolationCapacity, w, r, now, fmt.Sprintf("used %+v, capacity %+v", used, w.info.Capacity))
	}
	if r.task.Class != guavascale.ClassBatch {
		return
	}
	for other := range j.live[r.task.ID] {
		j.report(ViolationTwice, w, r, now, fmt.Sprintf("%s runs on %s", other.attempt, other.worker))
	}
	j.checkProgress(w, r, now)
	j.last[r.task.ID] = r
	if j.live[r.task.ID] == nil {
		j.live[r.task.ID] = map[liveRun]bool{}
	}
	j.live[r.task.ID][liveRun{w.info.ID, r.id}] = true
}

// checkProgress compares where run r begins with the completed work of its task.
func (j *judge) checkProgress(w *worker, r *run, now time.Time) {
	id := r.task.ID
	switch {
	case j.doneTold[id]:
		j.report(ViolationRepeated, w, r, now, "a report told before that the task is done")
	case r.progress < j.kept[id]-progressTolerance:
		j.report(ViolationLost, w, r, now, fmt.Sprintf("resumes at %.3f s of work, completed were %.3f s", r.progress, j.kept[id]))
	case j.verdict.Done[id] || r.progress < j.reached[id]-progressTolerance:
		j.verdict.Unreported++
	}
	j.reached[id] = r.progress
}

// ended records the end of run r in the given state. Work that an attempt
// completed counts unless the attempt ended with its worker, which no
// scheduler can prevent.
func (j *judge) ended(w *worker, r *run, state guavascale.AttemptState) {
	j.init()
	j.verdict.Ends[state]++
	id := r.task.ID
	if r.task.Class != guavascale.ClassBatch {
		return
	}
	delete(j.live[id], liveRun{w.info.ID, r.id})
	if len(j.live[id]) == 0 {
		delete(j.live, id)
	}
	switch state {
	case guavascale.AttemptDone:
		j.verdict.Done[id] = true
	case guavascale.AttemptStopped, guavascale.AttemptExpired:
		j.reached[id] = max(j.reached[id], r.progress)
	}
}

// told records that an answered report told the end of run r. The end of an
// attempt that was followed by another one no longer matters.
func (j *judge) told(r *run) {
	if r.told || !r.state.Ended() {
		return
	}
	r.told = true
	if j.last[r.task.ID] != r {
		return
	}
	switch r.state {
	case guavascale.AttemptDone:
		j.doneTold[r.task.ID] = true
	case guavascale.AttemptStopped, guavascale.AttemptExpired:
		j.kept[r.task.ID] = r.progress
	}
}

func (j *judge) report(kind ViolationKind, w *worker, r *run, now time.Time, detail string) {
	j.verdict.Violations = append(j.verdict.Violations, Violation{
		Kind:    kind,
		Task:    r.task.ID,
		Attempt: r.id,
		Worker:  w.info.ID,
		At:      now,
		Detail:  detail,
	})
}

// copy returns the verdict so far, sharing nothing with the judge.
func (j *judge) copy() Verdict {
	j.init()
	v := j.verdict
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
