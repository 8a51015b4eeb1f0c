package guavashard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Record is an entry of a shard's log. Exactly one field is set.
	Record struct {
		// Task is the new state of a task.
		Task *guavascale.Task `json:",omitempty"`
		// Job adds a job with this home shard and creates its tasks.
		Job *guavascale.Job `json:",omitempty"`
		// Ended records that a task of a job with this home shard ended in
		// another shard.
		Ended *guavascale.EndedTask `json:",omitempty"`
		// Cancel is the ID of a job whose tasks are cancelled, including tasks
		// that arrive later.
		Cancel string `json:",omitempty"`
		// JobDone is the ID of a job whose final status has been written to its
		// row.
		JobDone string `json:",omitempty"`
		// Dropped is the ID of an ended task that is no longer needed.
		Dropped guavascale.TaskID `json:",omitempty"`
	}

	// snapshot is the content of a snapshot object.
	snapshot struct {
		Tasks   []guavascale.Task
		Jobs    []snapshotJob
		Cancels []string
	}

	snapshotJob struct {
		Job   guavascale.Job
		Ended map[guavascale.TaskID]guavascale.TaskState
	}

	// proposal is an append whose commit is pending.
	proposal struct {
		records   []Record
		inboxKeys []string
	}
)

// Load restores the state from a snapshot and the records that follow it. It
// must be called at most once, before any other method. A nil snapshot is
// equivalent to an empty one.
func (s *Shard) Load(snap []byte, records [][]byte) error {
	if len(snap) > 0 {
		var state snapshot
		if err := json.Unmarshal(snap, &state); err != nil {
			return fmt.Errorf("decode snapshot of %s: %w", s.Name, err)
		}
		s.restore(&state)
	}
	for i, data := range records {
		var r Record
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("decode record %d of %s: %w", i, s.Name, err)
		}
		s.apply(r)
	}
	for _, e := range s.tasks {
		s.inheritAttempt(e)
	}
	return nil
}

func (s *Shard) restore(state *snapshot) {
	for _, j := range state.Jobs {
		ended := j.Ended
		if ended == nil {
			ended = make(map[guavascale.TaskID]guavascale.TaskState)
		}
		s.jobs[j.Job.ID] = &jobState{job: j.Job, ended: ended}
	}
	for _, id := range state.Cancels {
		s.cancelledJobs[id] = true
	}
	for i := range state.Tasks {
		s.applyTask(&state.Tasks[i])
	}
}

// Snapshot encodes the committed state.
func (s *Shard) Snapshot() ([]byte, error) {
	state := snapshot{Tasks: make([]guavascale.Task, 0, len(s.tasks))}
	for _, e := range s.tasks {
		state.Tasks = append(state.Tasks, e.task)
	}
	slices.SortFunc(state.Tasks, func(a, b guavascale.Task) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range s.jobs {
		state.Jobs = append(state.Jobs, snapshotJob{j.job, j.ended})
	}
	for id := range s.cancelledJobs {
		state.Cancels = append(state.Cancels, id)
	}
	slices.Sort(state.Cancels)
	slices.SortFunc(state.Jobs, func(a, b snapshotJob) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return json.Marshal(state)
}

// inheritAttempt sets the volatile state of a task that an earlier owner may
// have started. Orders of that owner can still arrive until the worker is
// fenced, and the lease may run from the last of them.
func (s *Shard) inheritAttempt(e *taskEntry) {
	if !e.task.State.HoldsWorker() {
		return
	}
	lease := time.Duration(e.task.LeaseSeconds * float64(time.Second))
	if lease <= 0 {
		lease = maxInheritedLease
	}
	// Release any throttle of the earlier owner, because this owner has no
	// measurements that justify it.
	if e.task.Class == guavascale.ClassBatch {
		s.setThrottle(e, fullPercent)
	}
	e.startSent, e.startInherited = true, true
	e.startExpiry = s.takenOverAt.Add(maxOrderDelay)
	e.leaseExpiry = s.takenOverAt.Add(maxOrderDelay + lease + leaseMargin)
}

// propose requests a commit of records. The tasks in the records get no further
// changes until HandleCommit is called.
func (s *Shard) propose(a Append, inboxKeys ...string) {
	s.lastID++
	a.ID = s.lastID
	for _, r := range a.Records {
		if r.Task == nil {
			continue
		}
		if e := s.tasks[r.Task.ID]; e != nil {
			e.proposed = r.Task
			s.adjustReservation(r.Task, &e.task, +1)
		}
	}
	for _, key := range inboxKeys {
		s.pendingInbox[key] = true
	}
	s.proposals[a.ID] = &proposal{records: a.Records, inboxKeys: inboxKeys}
	s.effects.Appends = append(s.effects.Appends, a)
}

// proposeTask requests a commit of the new state of one task.
func (s *Shard) proposeTask(t guavascale.Task, urgent bool) {
	s.propose(Append{Records: []Record{{Task: &t}}, Urgent: urgent})
}

// HandleCommit processes the result of an append. An error means that nothing
// was committed, and the proposed changes are discarded.
func (s *Shard) HandleCommit(id uint64, err error) Effects {
	p := s.proposals[id]
	if p == nil {
		return Effects{}
	}
	delete(s.proposals, id)
	for _, r := range p.records {
		if r.Task == nil {
			continue
		}
		if e := s.tasks[r.Task.ID]; e != nil && e.proposed != nil {
			s.adjustReservation(e.proposed, &e.task, -1)
			e.proposed = nil
		}
	}
	for _, key := range p.inboxKeys {
		delete(s.pendingInbox, key)
	}
	if err == nil {
		for _, r := range p.records {
			s.apply(r)
		}
	} else {
		s.requeue(p)
	}
	return s.takeEffects()
}

// requeue puts waiting tasks and finished jobs of a failed proposal back into
// their queues. Inbox rows are read again by the next scan.
func (s *Shard) requeue(p *proposal) {
	for _, r := range p.records {
		if r.JobDone != "" {
			s.finishedJobs = append(s.finishedJobs, r.JobDone)
		}
		if r.Task == nil {
			continue
		}
		if e := s.tasks[r.Task.ID]; e != nil {
			s.enqueue(e)
		}
	}
}

func (s *Shard) apply(r Record) {
	switch {
	case r.Task != nil:
		s.applyTask(r.Task)
	case r.Job != nil:
		s.applyJob(r.Job)
	case r.Ended != nil:
		s.applyEnded(r.Ended)
	case r.Cancel != "":
		s.applyCancel(r.Cancel)
	case r.JobDone != "":
		s.dropJob(r.JobDone)
	case r.Dropped != "":
		s.dropTask(r.Dropped)
	}
}

func (s *Shard) applyTask(t *guavascale.Task) {
	e := s.tasks[t.ID]
	if e == nil {
		s.lastSeq++
		e = &taskEntry{waitingSince: s.now, seq: s.lastSeq}
		s.tasks[t.ID] = e
	} else {
		s.removeFromIndexes(e)
	}
	if t.Attempt != e.task.Attempt || !t.State.HoldsWorker() {
		e.startSent, e.startInherited, e.reportedRunning, e.throttlePercent = false, false, false, 0
		e.leavingSince, e.startUntil = time.Time{}, time.Time{}
	}
	if !t.State.HoldsWorker() {
		e.waitingSince = s.now
	}
	if e.task.Worker != "" && e.task.Worker != t.Worker {
		e.previousWorker = e.task.Worker
	}
	e.task = *t
	e.attempt = t.AttemptID()
	e.appliedAt = s.now
	s.addToIndexes(e)
	s.enqueue(e)
	s.finishApply(e)
	s.adoptReportedResult(e)
}

// finishApply records the end of a task and removes it if this shard no longer
// needs it. Tasks that were handed over are kept so that cancellations can be
// forwarded, and tasks of jobs with this home shard until the job is dropped. A
// task of a cancelled job that has not ended is left for cancelTasks to end.
func (s *Shard) finishApply(e *taskEntry) {
	t := &e.task
	if !t.State.Ended() {
		if s.cancelled(t) {
			s.cancellingJobs[t.Job] = true
		}
		return
	}
	switch {
	case t.Class == guavascale.ClassService:
		delete(s.tasks, t.ID)
	case t.State == guavascale.TaskHandedOver:
		s.HandOvers++
	case t.Home == s.Name:
		s.applyEnded(&guavascale.EndedTask{Task: t.ID, Job: t.Job, State: t.State})
	default:
		delete(s.tasks, t.ID)
	}
}

// addToIndexes adds a task to the state of its worker and the usage of its team.
func (s *Shard) addToIndexes(e *taskEntry) {
	if !e.task.State.HoldsWorker() {
		return
	}
	w := s.worker(e.task.Worker)
	w.tasks = append(w.tasks, e)
	w.allocate(&e.task)
	if e.task.Class == guavascale.ClassBatch {
		s.teamUsage[e.task.Team] = s.teamUsage[e.task.Team].Add(e.task.Size)
	}
}

// removeFromIndexes reverts addToIndexes.
func (s *Shard) removeFromIndexes(e *taskEntry) {
	if !e.task.State.HoldsWorker() {
		return
	}
	w := s.worker(e.task.Worker)
	w.removeTask(e)
	w.release(&e.task)
	if e.task.Class == guavascale.ClassBatch {
		s.teamUsage[e.task.Team] = s.teamUsage[e.task.Team].Sub(e.task.Size)
	}
}

// adjustReservation reserves (+1) or releases (-1) the capacity for a proposed
// start. A proposal that ends an attempt releases no capacity before its commit.
func (s *Shard) adjustReservation(next, current *guavascale.Task, sign int) {
	if !next.State.HoldsWorker() || current.State.HoldsWorker() {
		return
	}
	w := s.worker(next.Worker)
	if sign > 0 {
		w.allocate(next)
	} else {
		w.release(next)
	}
	if next.Class != guavascale.ClassBatch {
		return
	}
	if sign > 0 {
		s.teamUsage[next.Team] = s.teamUsage[next.Team].Add(next.Size)
	} else {
		s.teamUsage[next.Team] = s.teamUsage[next.Team].Sub(next.Size)
	}
}

func (s *Shard) dropTask(id guavascale.TaskID) {
	if e := s.tasks[id]; e != nil {
		s.removeFromIndexes(e)
		delete(s.tasks, id)
	}
}
