package guavashard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"guavascale.example"
)

const (
	// leaveNotice is the time after which no daemon sends new requests to a
	// leaving endpoint.
	leaveNotice = 3 * time.Second
	// requestDeadline is the longest time that a request may take.
	requestDeadline = 30 * time.Second
)

// reconcileServices keeps the wanted number of instances of each service. An
// instance on a silent worker does not count, so that it is replaced; when the
// worker answers again, the surplus is stopped.
func (s *Shard) reconcileServices() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	byService := make(map[string][]*entry)
	for _, e := range s.tasks {
		if e.task.Class == guavascale.ClassService && !e.task.State.Ended() {
			byService[e.task.Service] = append(byService[e.task.Service], e)
		}
	}
	services := s.view.Config.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		svc := services[name]
		s.reconcileService(&svc, byService[name], s.wanted(name))
		delete(byService, name)
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s.reconcileService(&guavascale.Service{Name: name}, byService[name], 0)
	}
}

func (s *Shard) wanted(service string) int {
	if s.view.Config.ZonesOut[s.Zone] {
		return 0
	}
	return s.view.Instances[service]
}

func (s *Shard) reconcileService(svc *guavascale.Service, entries []*entry, want int) {
	var live []*entry
	for _, e := range entries {
		switch {
		case s.leaving(e):
			s.stopAfterNotice(e)
		case s.available(e):
			live = append(live, e)
		}
	}
	for n := len(live); n < want; n++ {
		s.addInstance(svc)
	}
	if len(live) <= want {
		return
	}
	// Instances that wait for a worker go first, then the youngest.
	slices.SortFunc(live, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(boolInt(a.task.State.HoldsWorker()), boolInt(b.task.State.HoldsWorker())),
			cmp.Compare(b.seq, a.seq))
	})
	for _, e := range live[:len(live)-want] {
		s.retire(e)
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// leaving reports whether an instance is on its way out.
func (s *Shard) leaving(e *entry) bool {
	return e.task.State == guavascale.TaskStopping || !e.leavingSince.IsZero()
}

// available reports whether an instance counts towards the wanted number.
func (s *Shard) available(e *entry) bool {
	if !e.task.State.HoldsWorker() {
		return true
	}
	w := s.worker(e.task.Worker)
	if w.worker.Leaving {
		e.leavingSince = s.now
		return false
	}
	return s.responsive(w) || s.settling()
}

func (s *Shard) addInstance(svc *guavascale.Service) {
	s.nextID++
	id := guavascale.TaskID(fmt.Sprintf("%s/%s/%d-%d", svc.Name, s.Name, s.Epoch, s.nextID))
	t := guavascale.Task{
		ID: id, Class: guavascale.ClassService, Service: svc.Name, Team: svc.Team,
		Kind: svc.Kind, Size: svc.Size, State: guavascale.TaskPending,
	}
	// A waiting instance needs no record; its first one is its start.
	s.applyTask(&t)
}

// retire begins the end of an instance: endpoints are first announced as
// leaving and stopped once no request can be in progress on them.
func (s *Shard) retire(e *entry) {
	if e.next != nil {
		return
	}
	if !e.task.State.HoldsWorker() {
		s.dropTask(e.task.ID)
		return
	}
	if e.leavingSince.IsZero() {
		e.leavingSince = s.now
	}
}

func (s *Shard) stopAfterNotice(e *entry) {
	if e.next != nil || e.task.State == guavascale.TaskStopping {
		return
	}
	if s.now.Sub(e.leavingSince) < leaveNotice+requestDeadline {
		return
	}
	t := e.task
	t.State, t.Reason = guavascale.TaskStopping, "instance not wanted here"
	s.proposeTask(t, false)
}
