package guavashard

import (
	"cmp"
	"slices"

	"guavascale.example"
)

// Summary describes the shard to other daemons and to the gateway.
func (s *Shard) Summary() guavascale.PartitionSummary {
	p := guavascale.PartitionSummary{
		Partition: s.Name, Epoch: s.Epoch, Zone: s.Zone, Pending: len(s.queue),
		TeamUse: make(map[string]guavascale.Resources),
	}
	for _, w := range s.sortedWorkers {
		// Workers that have not had time to report count as capacity, because
		// the service instances of a shard without capacity are assigned to
		// other shards.
		if w.worker.Leaving || !s.responsive(w) && !(s.inGracePeriod() && w.listed) {
			continue
		}
		p.Capacity = p.Capacity.Add(w.worker.Capacity)
		if s.unschedulable(w) {
			continue
		}
		free := w.worker.Capacity.Sub(w.used)
		p.Total = p.Total.Add(free)
		if free.MilliCores > p.Free.MilliCores {
			p.Free = free
		}
	}
	for team, used := range s.teamUsage {
		if !used.IsZero() {
			p.TeamUse[team] = used
		}
	}
	p.Endpoints = s.endpoints()
	return p
}

// Pending returns the number of tasks waiting for a worker.
func (s *Shard) Pending() int { return len(s.queue) }

func (s *Shard) endpoints() []guavascale.Endpoint {
	var list []guavascale.Endpoint
	for _, e := range s.tasks {
		t := &e.task
		if t.Class != guavascale.ClassService || !t.State.HoldsWorker() || !e.reportedRunning && !s.presumedRunning(e) {
			continue
		}
		w := s.worker(t.Worker)
		if w.reportedEnd(e) {
			continue
		}
		list = append(list, guavascale.Endpoint{
			Service: t.Service, Task: t.ID, Worker: t.Worker, Zone: s.Zone,
			Address: w.worker.EndpointAddress, Slots: w.worker.Slots, Connections: w.worker.Connections,
			Leaving: s.leaving(e) || w.worker.Leaving,
		})
	}
	slices.SortFunc(list, func(a, b guavascale.Endpoint) int { return cmp.Compare(a.Task, b.Task) })
	return list
}

// presumedRunning reports whether an inherited instance is assumed to be
// running because its worker has not had time to report. Otherwise its endpoint
// would disappear at each takeover, and its slots would become usable again only
// after guavaroute.SlotActivationDelay.
func (s *Shard) presumedRunning(e *taskEntry) bool {
	return s.inGracePeriod() && e.startSent && e.renewedAt.IsZero() && e.task.State == guavascale.TaskStarting
}

// reportedEnd reports whether the worker has shown, by a report or by a restart, that
// the current attempt of a task has ended. The log follows later, after a store outage
// much later.
func (w *workerState) reportedEnd(e *taskEntry) bool {
	if w.incarnation != "" && e.task.Incarnation != w.incarnation {
		return true
	}
	a, ok := w.reports[e.attempt]
	return ok && a.State.Ended()
}

// Tasks returns the tasks that have not been handed over, with their reported
// state, sorted by ID.
func (s *Shard) Tasks() []guavascale.Task {
	list := make([]guavascale.Task, 0, len(s.tasks))
	for _, e := range s.tasks {
		if e.task.State == guavascale.TaskHandedOver {
			continue
		}
		list = append(list, s.displayedTask(e))
	}
	slices.SortFunc(list, func(a, b guavascale.Task) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// displayedTask returns a task as shown to operators, with its measured usage.
func (s *Shard) displayedTask(e *taskEntry) guavascale.Task {
	t := e.task
	if t.State.HoldsWorker() {
		t.Used = s.worker(t.Worker).reports[e.attempt].Used
		if t.Reason == "" && exceedsDeclared(t.Used, t.Size) {
			t.Reason = "uses more than its declared size"
		}
	}
	switch {
	case t.State == guavascale.TaskStarting && e.reportedRunning:
		t.State = guavascale.TaskRunning
	case awaitsWorker(&t) && e.refusal != "":
		t.Reason = e.refusal
		if s.view != nil && !s.fitsAnyWorker(&t) {
			t.State = guavascale.TaskUnplaceable
		}
	}
	return t
}

// exceedsDeclared reports whether the measured usage exceeds the declared size
// by more than 10%, the possible measurement error.
func exceedsDeclared(used, size guavascale.Resources) bool {
	return used.MilliCores > size.MilliCores*11/10 || used.MemoryMB > size.MemoryMB*11/10
}

// Jobs returns the status of the jobs whose home is this shard and whose final
// status has not been written, sorted by ID.
func (s *Shard) Jobs() []guavascale.JobStatus {
	list := make([]guavascale.JobStatus, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j.status())
	}
	slices.SortFunc(list, func(a, b guavascale.JobStatus) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return list
}

// Usage is the latest measurement of a running task by its worker.
type Usage struct {
	Task   guavascale.Task
	Worker guavascale.WorkerID
	Report guavascale.AttemptReport
}

// Usages returns the latest measurements of all running tasks.
func (s *Shard) Usages() []Usage {
	var list []Usage
	for _, w := range s.sortedWorkers {
		for _, e := range w.tasks {
			if a, ok := w.reports[e.attempt]; ok && e.reportedRunning {
				list = append(list, Usage{Task: e.task, Worker: w.worker.ID, Report: a})
			}
		}
	}
	return list
}

// Workers returns the status of the workers of the shard, sorted by ID.
func (s *Shard) Workers() []guavascale.WorkerStatus {
	list := make([]guavascale.WorkerStatus, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		st := guavascale.WorkerStatus{
			Worker: w.worker, Shard: s.Name, Incarnation: w.incarnation,
			Free: w.worker.Capacity.Sub(w.used), Tasks: len(w.tasks),
			Silent: !s.responsive(w), ReportAgeMs: -1,
		}
		if !w.lastReportAt.IsZero() {
			st.ReportAgeMs = s.now.Sub(w.lastReportAt).Milliseconds()
		}
		if left := w.blockedUntil.Sub(s.now); left > 0 {
			st.BackoffMs = left.Milliseconds()
		}
		list = append(list, st)
	}
	return list
}
