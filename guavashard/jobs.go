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

// jobState is a job whose home is this shard.
type jobState struct {
	job   guavascale.Job
	ended map[guavascale.TaskID]guavascale.TaskState
}

// maxCancels bounds the remembered cancelled jobs of other home shards. One
// that is forgotten no longer stops tasks that arrive later.
const maxCancels = 10_000

// InboxKey returns the key of an inbox row.
func InboxKey(p guavascale.Partition, id string) string {
	return fmt.Sprintf("Inbox/%s/%s", p, strings.ReplaceAll(id, "/", "~"))
}

// JobKey returns the key of a job's row.
func JobKey(id string) string { return "Job/" + id }

// HandleInbox proposes to log inbox rows. Each row is deleted in the commit
// that logs it, so that it is taken over exactly once.
func (s *Shard) HandleInbox(rows []guavascale.Row) Effects {
	for _, row := range rows {
		if s.inbox[row.Key] {
			continue
		}
		s.acceptRow(row)
	}
	return s.take()
}

func (s *Shard) acceptRow(row guavascale.Row) {
	var item guavascale.InboxItem
	a := Append{
		Conditions: []guavascale.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []guavascale.Write{{Key: row.Key, Delete: true}},
	}
	// A row that cannot be decoded is left in place for an operator.
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

// forwardCancel returns writes that pass a cancellation on to the shards that
// tasks of the job went to.
func (s *Shard) forwardCancel(job string) []guavascale.Write {
	to := make(map[guavascale.Partition]bool)
	var writes []guavascale.Write
	for _, e := range s.sorted() {
		t := &e.task
		if e.next != nil && e.next.State == guavascale.TaskHandedOver {
			t = e.next
		}
		if t.Job != job || t.State != guavascale.TaskHandedOver || to[t.MovedTo] {
			continue
		}
		to[t.MovedTo] = true
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
		s.finished = append(s.finished, t.Job)
	}
}

func (s *Shard) applyCancel(job string) {
	if len(s.cancels) >= maxCancels {
		for id := range s.cancels {
			if s.jobs[id] == nil {
				delete(s.cancels, id)
				break
			}
		}
	}
	s.cancels[job] = true
	s.cancelling[job] = true
	if j := s.jobs[job]; j != nil {
		j.job.Cancelled = true
	}
}

// sorted returns all entries in the order of arrival.
func (s *Shard) sorted() []*entry {
	return slices.SortedFunc(maps.Values(s.tasks), func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
}

func (s *Shard) cancelled(t *guavascale.Task) bool { return t.Job != "" && s.cancels[t.Job] }

// cancelTasks ends the waiting tasks of cancelled jobs and stops the running
// ones. A task whose worker reports that it is done stays done.
func (s *Shard) cancelTasks() {
	if len(s.cancelling) == 0 {
		return
	}
	active := make(map[string]bool)
	for _, e := range s.sorted() {
		if !s.cancelling[e.task.Job] || e.task.State.Ended() {
			continue
		}
		active[e.task.Job] = true
		switch {
		case e.next != nil || e.task.State == guavascale.TaskStopping:
		case e.task.State.HoldsWorker():
			t := e.task
			t.State, t.Reason = guavascale.TaskStopping, "job cancelled"
			s.proposeTask(t, false)
		default:
			s.endTask(e, guavascale.TaskCancelled, "job cancelled")
		}
	}
	for job := range s.cancelling {
		if !active[job] {
			delete(s.cancelling, job)
		}
	}
}

// endTask proposes the end of a task. The home shard learns it through its
// inbox in the same commit.
func (s *Shard) endTask(e *entry, state guavascale.TaskState, reason string) {
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

// finishJobs writes the ends of jobs to their rows.
func (s *Shard) finishJobs() {
	for _, id := range s.finished {
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
	s.finished = s.finished[:0]
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

// dropJob forgets a job whose end is in its row.
func (s *Shard) dropJob(id string) {
	for taskID, e := range s.tasks {
		if e.task.Job == id {
			s.unlink(e)
			delete(s.tasks, taskID)
		}
	}
	delete(s.jobs, id)
	delete(s.health, id)
	delete(s.cancels, id)
}
