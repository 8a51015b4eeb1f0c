package guavashard

import (
	"cmp"
	"slices"

	"guavascale.example"
)

// Summary describes the shard to other daemons and to the gateway.
func (s *Shard) Summary() guavascale.PartitionSummary {
	p := guavascale.PartitionSummary{
		Partition: s.Name, Epoch: s.Epoch, Zone: s.Zone, Pending: len(s.waiting),
		TeamUse: make(map[string]guavascale.Resources),
	}
	for _, w := range s.order {
		// Workers that had no time to answer count as capacity, since a shard
		// without any loses its service instances to others.
		if w.worker.Leaving || !s.responsive(w) && !(s.settling() && w.listed) {
			continue
		}
		p.Capacity = p.Capacity.Add(w.worker.Capacity)
		if s.closed(w) {
			continue
		}
		free := w.worker.Capacity.Sub(w.used)
		p.Total = p.Total.Add(free)
		if free.MilliCores > p.Free.MilliCores {
			p.Free = free
		}
	}
	for team, used := range s.usage {
		if !used.IsZero() {
			p.TeamUse[team] = used
		}
	}
	p.Endpoints = s.endpoints()
	return p
}

// Pending returns the number of tasks that wait for a worker.
func (s *Shard) Pending() int { return len(s.waiting) }

func (s *Shard) endpoints() []guavascale.Endpoint {
	var list []guavascale.Endpoint
	for _, e := range s.tasks {
		t := &e.task
		if t.Class != guavascale.ClassService || !t.State.HoldsWorker() || !e.seen && !s.presumed(e) {
			continue
		}
		w := s.worker(t.Worker)
		list = append(list, guavascale.Endpoint{
			Service: t.Service, Task: t.ID, Worker: t.Worker, Zone: s.Zone,
			Address: w.worker.EndpointAddress, Slots: w.worker.Slots, Connections: w.worker.Connections,
			Leaving: s.leaving(e) || w.worker.Leaving,
		})
	}
	slices.SortFunc(list, func(a, b guavascale.Endpoint) int { return cmp.Compare(a.Task, b.Task) })
	return list
}

// presumed reports whether an inherited instance counts as running until its
// worker had time to answer. Otherwise its endpoint would vanish with each
// takeover and its slots would wait for the gain delay afterwards.
func (s *Shard) presumed(e *entry) bool {
	return s.settling() && e.sent && e.renewed.IsZero() && e.task.State == guavascale.TaskStarting
}

// Tasks returns the tasks that have not been handed over, with their reported
// state, in the order of their IDs.
func (s *Shard) Tasks() []guavascale.Task {
	list := make([]guavascale.Task, 0, len(s.tasks))
	for _, e := range s.tasks {
		if e.task.State == guavascale.TaskHandedOver {
			continue
		}
		list = append(list, s.display(e))
	}
	slices.SortFunc(list, func(a, b guavascale.Task) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// display returns a task as operators see it, with its measured usage.
func (s *Shard) display(e *entry) guavascale.Task {
	t := e.task
	if t.State.HoldsWorker() {
		t.Used = s.worker(t.Worker).reports[e.attempt].Used
		if t.Reason == "" && exceeds(t.Used, t.Size) {
			t.Reason = "uses more than its declared size"
		}
	}
	switch {
	case t.State == guavascale.TaskStarting && e.seen:
		t.State = guavascale.TaskRunning
	case waits(&t) && e.refusal != "":
		t.Reason = e.refusal
		if s.view != nil && !s.canEverRun(&t) {
			t.State = guavascale.TaskUnplaceable
		}
	}
	return t
}

// exceeds reports whether the measured usage is beyond the declared size by more
// than a tenth, which measurements may be off by.
func exceeds(used, size guavascale.Resources) bool {
	return used.MilliCores > size.MilliCores*11/10 || used.MemoryMB > size.MemoryMB*11/10
}

// Jobs returns the unfinished jobs whose home is this shard.
func (s *Shard) Jobs() []guavascale.JobStatus {
	list := make([]guavascale.JobStatus, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j.status())
	}
	slices.SortFunc(list, func(a, b guavascale.JobStatus) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return list
}

// Usage is one measurement of a running task, as its worker reported it.
type Usage struct {
	Task   guavascale.Task
	Worker guavascale.WorkerID
	Report guavascale.AttemptReport
}

// Usages returns the latest measurements of all running tasks.
func (s *Shard) Usages() []Usage {
	var list []Usage
	for _, w := range s.order {
		for _, e := range w.tasks {
			if a, ok := w.reports[e.attempt]; ok && e.seen {
				list = append(list, Usage{Task: e.task, Worker: w.worker.ID, Report: a})
			}
		}
	}
	return list
}

// Workers returns the state of the workers of the shard.
func (s *Shard) Workers() []guavascale.WorkerStatus {
	list := make([]guavascale.WorkerStatus, 0, len(s.order))
	for _, w := range s.order {
		st := guavascale.WorkerStatus{
			Worker: w.worker, Shard: s.Name, Incarnation: w.incarnation,
			Free: w.worker.Capacity.Sub(w.used), Tasks: len(w.tasks),
			Silent: !s.responsive(w), ReportAgeMs: -1,
		}
		if !w.answered.IsZero() {
			st.ReportAgeMs = s.now.Sub(w.answered).Milliseconds()
		}
		if left := w.blockedUntil.Sub(s.now); left > 0 {
			st.BackoffMs = left.Milliseconds()
		}
		list = append(list, st)
	}
	return list
}
