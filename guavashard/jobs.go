package guavashard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"guavascale.example"
)

// jobState is a job whose home is this shard, with the final states of its
// ended tasks.
type jobState struct {
	job   guavascale.Job
	ended map[guavascale.TaskID]guavascale.TaskState
}

// maxCancelledJobs limits the number of remembered cancelled jobs. When it is
// reached, a job of another home shard is forgotten; tasks of that job that
// arrive later are then no longer cancelled.
const maxCancelledJobs = 10_000

// InboxKey returns the key of a row in the inbox of a shard.
func InboxKey(p guavascale.Partition, id string) string {
	return fmt.Sprintf("Inbox/%s/%s", p, strings.ReplaceAll(id, "/", "~"))
}

// JobKey returns the key of a job's status row.
func JobKey(id string) string { return "Job/" + id }

// HandleInbox proposes to log inbox rows. Each row is deleted in the commit
// that logs it, so that it is processed exactly once.
func (s *Shard) HandleInbox(rows []guavascale.Row) Effects {
	for _, row := range rows {
		if s.pendingInbox[row.Key] {
			continue
		}
		s.acceptRow(row)
	}
	return s.takeEffects()
}

func (s *Shard) acceptRow(row guavascale.Row) {
	var item guavascale.InboxItem
	a := Append{
		Conditions: []guavascale.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []guavascale.Write{{Key: row.Key, Delete: true}},
	}
	// Keep a row that cannot be decoded, so that an operator can inspect it.
	if err := json.Unmarshal(row.Value, &item); err != nil {
		return
	}
	switch {
	case item.Job != nil:
		a.Records = []Record{{Job: item.Job}}
		a.Urgent = item.Job.Urgent
	case item.Task != nil:
		a.Records = []Record{{Task: item.Task}}
		a.Urgent = item.Task.Urgent
	case item.Ended != nil:
		a.Records = []Record{{Ended: item.Ended}}
	case item.Cancel != "":
		a.Records = []Record{{Cancel: item.Cancel}}
		a.Writes = append(a.Writes, s.forwardCancel(item.Cancel)...)
	default:
		return
	}
	s.propose(a, row.Key)
}

// forwardCancel returns writes that forward a cancellation to the inboxes of
// the shards to which tasks of the job were handed over.
func (s *Shard) forwardCancel(job string) []guavascale.Write {
	notified := make(map[guavascale.Partition]bool)
	var writes []guavascale.Write
	for _, e := range s.sortedEntries() {
		t := &e.task
		if e.proposed != nil && e.proposed.State == guavascale.TaskHandedOver {
			t = e.proposed
		}
		if t.Job != job || t.State != guavascale.TaskHandedOver || notified[t.MovedTo] {
			continue
		}
		notified[t.MovedTo] = true
		value, _ := json.Marshal(guavascale.InboxItem{Cancel: job})
		writes = append(writes, guavascale.Write{Key: InboxKey(t.MovedTo, "cancel-"+job), Value: value})
	}
	return writes
}

func (s *Shard) applyJob(j *guavascale.Job) {
	if s.jobs[j.ID] != nil {
		return
	}
	s.jobs[j.ID] = &jobState{job: *j, ended: make(map[guavascale.TaskID]guavascale.TaskState)}
	for i := range j.Tasks {
		s.applyTask(&guavascale.Task{
			ID:    guavascale.TaskID(fmt.Sprintf("%s/%d", j.ID, i)),
			Class: guavascale.ClassBatch, State: guavascale.TaskPending,
			Job: j.ID, Home: s.Name, Team: j.Team, Kind: j.Kind, Urgent: j.Urgent,
			Size: j.Size, RunSeconds: j.RunSeconds,
		})
	}
}

func (s *Shard) applyEnded(t *guavascale.EndedTask) {
	j := s.jobs[t.Job]
	if j == nil {
		return
	}
	j.ended[t.Task] = t.State
	if len(j.ended) == j.job.Tasks {
		s.finishedJobs = append(s.finishedJobs, t.Job)
	}
}

func (s *Shard) applyCancel(job string) {
	if len(s.cancelledJobs) >= maxCancelledJobs {
		for id := range s.cancelledJobs {
			if s.jobs[id] == nil {
				delete(s.cancelledJobs, id)
				break
			}
		}
	}
	s.cancelledJobs[job] = true
	s.cancellingJobs[job] = true
	if j := s.jobs[job]; j != nil {
		j.job.Cancelled = true
	}
}

// sortedEntries returns all tasks in order of arrival.
func (s *Shard) sortedEntries() []*taskEntry {
	return slices.SortedFunc(maps.Values(s.tasks), func(a, b *taskEntry) int { return cmp.Compare(a.seq, b.seq) })
}

func (s *Shard) cancelled(t *guavascale.Task) bool { return t.Job != "" && s.cancelledJobs[t.Job] }

// cancelTasks ends the waiting tasks of cancelled jobs and stops the running
// ones. A task that its worker reports as done is recorded as done.
func (s *Shard) cancelTasks() {
	if len(s.cancellingJobs) == 0 {
		return
	}
	active := make(map[string]bool)
	for _, e := range s.sortedEntries() {
		if !s.cancellingJobs[e.task.Job] || e.task.State.Ended() {
			continue
		}
		active[e.task.Job] = true
		switch {
		case e.proposed != nil || e.task.State == guavascale.TaskStopping:
		case e.task.State.HoldsWorker():
			t := e.task
			t.State, t.Reason = guavascale.TaskStopping, "job cancelled"
			s.proposeTask(t, false)
		default:
			s.endTask(e, guavascale.TaskCancelled, "job cancelled")
		}
	}
	for job := range s.cancellingJobs {
		if !active[job] {
			delete(s.cancellingJobs, job)
		}
	}
}

// endTask proposes the end of a task. The same commit notifies the home shard
// of a batch task through its inbox.
func (s *Shard) endTask(e *taskEntry, state guavascale.TaskState, reason string) {
	t := e.task
	t.State, t.Reason = state, reason
	t.Worker, t.Incarnation = "", ""
	a := Append{Records: []Record{{Task: &t}}}
	if t.Class == guavascale.ClassBatch && t.Home != s.Name {
		item := guavascale.InboxItem{Ended: &guavascale.EndedTask{Task: t.ID, Job: t.Job, State: state}}
		value, _ := json.Marshal(item)
		a.Writes = []guavascale.Write{{Key: InboxKey(t.Home, "ended-"+string(t.ID)), Value: value}}
	}
	s.propose(a)
}

// finishJobs proposes to write the final status of finished jobs to their rows.
func (s *Shard) finishJobs() {
	for _, id := range s.finishedJobs {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		value, _ := json.Marshal(j.status())
		s.propose(Append{
			Records: []Record{{JobDone: id}},
			Writes:  []guavascale.Write{{Key: JobKey(id), Value: value}},
		})
	}
	s.finishedJobs = s.finishedJobs[:0]
}

func (j *jobState) status() guavascale.JobStatus {
	st := guavascale.JobStatus{Job: j.job, Ended: len(j.ended) == j.job.Tasks}
	for _, state := range j.ended {
		switch state {
		case guavascale.TaskDone:
			st.Done++
		case guavascale.TaskFailed:
			st.Failed++
		default:
			st.Cancelled++
		}
	}
	return st
}

// dropJob removes a job whose final status has been written to its row,
// together with its tasks.
func (s *Shard) dropJob(id string) {
	for taskID, e := range s.tasks {
		if e.task.Job == id {
			s.removeFromIndexes(e)
			delete(s.tasks, taskID)
		}
	}
	delete(s.jobs, id)
	delete(s.jobHealths, id)
	delete(s.cancelledJobs, id)
}
