package guavadaemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
	"guavascale.example/guavashard"
)

const (
	jobPageSize = 500
	// cancelAttempts limits the attempts to update a job's row while its home
	// shard updates it concurrently.
	cancelAttempts = 5
)

var errNoShard = errors.New("no shard is known yet")

// DeclareJob stores the job's row and its inbox row in one commit, so that the
// job is stored if and only if its home shard receives it.
func (b *backend) DeclareJob(ctx context.Context, job guavascale.Job) (guavaoperator.JobStatus, error) {
	home, ok := b.chooseHomeShard(job.Size)
	if !ok {
		return guavaoperator.JobStatus{}, &guavascale.UnavailableError{System: "scheduler", Op: "DeclareJob", Cause: errNoShard}
	}
	job.Shard = home
	job.Declared = b.d.clock.Now().UTC()
	row, err := json.Marshal(guavascale.JobStatus{Job: job})
	if err != nil {
		return guavaoperator.JobStatus{}, err
	}
	item, err := json.Marshal(guavascale.InboxItem{Job: &job})
	if err != nil {
		return guavaoperator.JobStatus{}, err
	}
	key := guavashard.JobKey(job.ID)
	_, err = b.d.Platform.Table.Commit(ctx, guavascale.Commit{
		ID:         guavaconfig.NewID(),
		Conditions: []guavascale.Condition{{Key: key}},
		Writes: []guavascale.Write{
			{Key: key, Value: row},
			{Key: guavashard.InboxKey(home, "job-"+job.ID), Value: item},
		},
	})
	var conflict *guavascale.ConditionError
	var unavailable *guavascale.UnavailableError
	switch {
	case err == nil:
		return jobStatus(guavascale.JobStatus{Job: job}, nil), nil
	case errors.As(err, &conflict), errors.As(err, &unavailable) && unavailable.MayHaveApplied:
		return b.resolveDeclaration(ctx, job, err)
	default:
		return guavaoperator.JobStatus{}, err
	}
}

// resolveDeclaration determines the result of a declaration whose row already
// exists or whose commit got no response: it succeeds if the stored job equals the
// declared one.
func (b *backend) resolveDeclaration(ctx context.Context, job guavascale.Job, cause error) (guavaoperator.JobStatus, error) {
	row, err := b.d.Platform.Table.Get(ctx, guavashard.JobKey(job.ID))
	if err != nil {
		return guavaoperator.JobStatus{}, cause
	}
	st, err := decodeJobStatus(row)
	if err != nil {
		return guavaoperator.JobStatus{}, err
	}
	if !sameDeclaration(st.Job, job) {
		return guavaoperator.JobStatus{}, &guavascale.ConditionError{Key: row.Key, Have: row.Version}
	}
	return jobStatus(st, nil), nil
}

// sameDeclaration compares the fields that the operator declares.
func sameDeclaration(a, b guavascale.Job) bool {
	a.Shard, a.Declared, a.Cancelled = b.Shard, b.Declared, b.Cancelled
	return a == b
}

// chooseHomeShard picks two random shards that have room for the size on one
// worker and returns the one with more free capacity in total. Without such a
// shard it picks from all shards in zones in service; it returns false when no
// live daemon reports one.
func (b *backend) chooseHomeShard(size guavascale.Resources) (guavascale.Partition, bool) {
	cfg, _ := b.d.watcher.Config()
	var fitting, all []guavascale.PartitionSummary
	for _, m := range b.d.members.Live(b.d.clock.Now()) {
		for _, p := range m.Partitions {
			if cfg.ZonesOut[p.Zone] {
				continue
			}
			all = append(all, p)
			if p.Free.Fits(size) {
				fitting = append(fitting, p)
			}
		}
	}
	if len(fitting) == 0 {
		fitting = all
	}
	if len(fitting) == 0 {
		return "", false
	}
	x, y := fitting[rand.IntN(len(fitting))], fitting[rand.IntN(len(fitting))]
	if y.Total.MilliCores > x.Total.MilliCores {
		x = y
	}
	return x.Partition, true
}

// CancelJob marks the job's row as cancelled and adds the cancellation to the
// inbox of its home shard, in one commit.
func (b *backend) CancelJob(ctx context.Context, _, job string) (guavaoperator.JobStatus, error) {
	key := guavashard.JobKey(job)
	for range cancelAttempts {
		row, err := b.d.Platform.Table.Get(ctx, key)
		if err != nil {
			return guavaoperator.JobStatus{}, jobError(err, job)
		}
		st, err := decodeJobStatus(row)
		if err != nil || st.Ended || st.Job.Cancelled {
			return jobStatus(st, nil), err
		}
		st.Job.Cancelled = true
		value, err := json.Marshal(st)
		if err != nil {
			return guavaoperator.JobStatus{}, err
		}
		item, err := json.Marshal(guavascale.InboxItem{Cancel: job})
		if err != nil {
			return guavaoperator.JobStatus{}, err
		}
		_, err = b.d.Platform.Table.Commit(ctx, guavascale.Commit{
			ID:         guavaconfig.NewID(),
			Conditions: []guavascale.Condition{{Key: key, Version: row.Version}},
			Writes: []guavascale.Write{
				{Key: key, Value: value},
				{Key: guavashard.InboxKey(st.Job.Shard, "cancel-"+job), Value: item},
			},
		})
		var conflict *guavascale.ConditionError
		if err == nil || !errors.As(err, &conflict) {
			return jobStatus(st, nil), err
		}
	}
	return guavaoperator.JobStatus{}, &guavascale.UnavailableError{
		System: "table", Op: "CancelJob", Cause: errors.New("the job's row kept changing"),
	}
}

func jobError(err error, job string) error {
	var missing *guavascale.NotFoundError
	if errors.As(err, &missing) {
		return &guavascale.NotFoundError{Kind: "job", Name: job}
	}
	return err
}

func (b *backend) Job(ctx context.Context, job string) (guavaoperator.JobStatus, error) {
	row, err := b.d.Platform.Table.Get(ctx, guavashard.JobKey(job))
	if err != nil {
		return guavaoperator.JobStatus{}, jobError(err, job)
	}
	st, err := decodeJobStatus(row)
	if err != nil || st.Ended {
		return jobStatus(st, nil), err
	}
	all, _ := b.collectWork(ctx)
	return jobStatus(st, tasksByJob(all.Tasks)[job]), nil
}

func (b *backend) Jobs(ctx context.Context, f guavaoperator.JobFilter) (guavaoperator.JobPage, error) {
	all, missing := b.collectWork(ctx)
	byJob := tasksByJob(all.Tasks)
	page := guavaoperator.JobPage{Missing: missing}
	after := guavashard.JobKey(f.After)
	for {
		rows, err := b.d.Platform.Table.Scan(ctx, "Job/", after, jobPageSize)
		if err != nil {
			return page, err
		}
		for _, row := range rows {
			after = row.Key
			st, err := decodeJobStatus(row)
			if err != nil {
				return page, err
			}
			s := jobStatus(st, byJob[st.Job.ID])
			if f.Team != "" && s.Job.Team != f.Team || f.State != "" && s.State != f.State {
				continue
			}
			if len(page.Jobs) == pageLimit(f.Page) {
				page.More = true
				return page, nil
			}
			page.Jobs = append(page.Jobs, s)
		}
		if len(rows) == 0 {
			return page, nil
		}
	}
}

func tasksByJob(tasks []guavascale.Task) map[string][]guavascale.Task {
	m := make(map[string][]guavascale.Task)
	for _, t := range tasks {
		if t.Job != "" {
			m[t.Job] = append(m[t.Job], t)
		}
	}
	return m
}

// jobStatus combines a job's row with the states of its tasks in the shards.
func jobStatus(st guavascale.JobStatus, tasks []guavascale.Task) guavaoperator.JobStatus {
	s := guavaoperator.JobStatus{
		Job: st.Job, State: guavaoperator.JobActive, Tasks: make(map[guavascale.TaskState]int),
	}
	if st.Ended {
		s.Tasks[guavascale.TaskDone] = st.Done
		s.Tasks[guavascale.TaskFailed] = st.Failed
		s.Tasks[guavascale.TaskCancelled] = st.Cancelled
		switch {
		case st.Failed > 0:
			s.State = guavaoperator.JobFailed
		case st.Cancelled > 0:
			s.State = guavaoperator.JobCancelled
		default:
			s.State = guavaoperator.JobDone
		}
		return s
	}
	for i := range tasks {
		t := &tasks[i]
		s.Tasks[t.State]++
		if t.Reason != "" && (s.Reason == "" || t.State == guavascale.TaskUnplaceable) {
			s.Reason = t.Reason
		}
	}
	if s.Tasks[guavascale.TaskUnplaceable] > 0 && s.Tasks[guavascale.TaskRunning] == 0 {
		s.State = guavaoperator.JobUnplaceable
	}
	return s
}
