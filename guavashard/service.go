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
	// leavingPropagation is the time after which the leaving state of an endpoint
	// has reached every daemon, so that none sends new requests to it.
	leavingPropagation = 3 * time.Second
	// maxRequestDuration is the maximum duration of a request.
	maxRequestDuration = 30 * time.Second
)

// reconcileServices maintains the desired number of instances of each service.
// An instance on an unresponsive worker does not count and is replaced; when the
// worker responds again, the surplus instance is stopped.
func (s *Shard) reconcileServices() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	byService := make(map[string][]*taskEntry)
	for _, e := range s.tasks {
		if e.task.Class == guavascale.ClassService && !e.task.State.Ended() {
			byService[e.task.Service] = append(byService[e.task.Service], e)
		}
	}
	services := s.view.Config.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		svc := services[name]
		s.reconcileService(&svc, byService[name], s.desiredInstances(name))
		delete(byService, name)
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s.reconcileService(&guavascale.Service{Name: name}, byService[name], 0)
	}
}

func (s *Shard) desiredInstances(service string) int {
	if s.view.Config.ZonesOut[s.Zone] {
		return 0
	}
	return s.view.Instances[service]
}

func (s *Shard) reconcileService(svc *guavascale.Service, entries []*taskEntry, desired int) {
	var live []*taskEntry
	var r replacement
	for _, e := range entries {
		outdated := desired > 0 && !isInstanceOf(&e.task, svc)
		switch {
		case s.leaving(e):
			r.leaving = r.leaving || outdated
			s.stopWhenDrained(e)
		case outdated && !e.task.State.HoldsWorker() && e.proposed == nil:
			s.dropTask(e.task.ID)
		case s.countsAsAvailable(e):
			live = append(live, e)
			r.add(e, outdated)
		}
	}
	if r.inProgress() {
		desired++
	}
	for n := len(live); n < desired; n++ {
		s.addInstance(svc)
	}
	if r.ready(len(live) >= desired) {
		s.retire(r.next)
	}
	if len(live) <= desired {
		return
	}
	// Remove instances that wait for a worker first, then the newest ones.
	slices.SortFunc(live, func(a, b *taskEntry) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.task.State.HoldsWorker()), boolToInt(b.task.State.HoldsWorker())),
			cmp.Compare(b.seq, a.seq))
	})
	for _, e := range live[:len(live)-desired] {
		s.retire(e)
	}
}

// replacement is the replacement of the instances of a service whose definition has
// changed. One instance more than desired runs until an outdated one has left.
type replacement struct {
	// next is the oldest outdated instance that is available, or nil.
	next *taskEntry
	// leaving is set while an outdated instance is being removed, waiting while an
	// available one does not run yet.
	leaving, waiting bool
}

func (r *replacement) add(e *taskEntry, outdated bool) {
	if outdated && (r.next == nil || e.seq < r.next.seq) {
		r.next = e
	}
	r.waiting = r.waiting || !e.reportedRunning
}

func (r *replacement) inProgress() bool { return r.next != nil && !r.leaving }

// ready reports whether the next outdated instance may leave. Complete is set if there are
// as many available instances as there should be, one more than desired among them.
func (r *replacement) ready(complete bool) bool { return r.inProgress() && complete && !r.waiting }

// isInstanceOf reports whether an instance has the definition of the service.
func isInstanceOf(t *guavascale.Task, svc *guavascale.Service) bool {
	return t.Size == svc.Size && t.Kind == svc.Kind && t.Team == svc.Team
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// leaving reports whether an instance is being removed.
func (s *Shard) leaving(e *taskEntry) bool {
	return e.task.State == guavascale.TaskStopping || !e.leavingSince.IsZero()
}

// countsAsAvailable reports whether an instance counts towards the desired
// number. It begins the removal of an instance on a leaving worker.
func (s *Shard) countsAsAvailable(e *taskEntry) bool {
	if !e.task.State.HoldsWorker() {
		return true
	}
	w := s.worker(e.task.Worker)
	if w.worker.Leaving {
		e.leavingSince = s.now
		return false
	}
	return s.responsive(w) || s.inGracePeriod()
}

// addInstance adds an instance that waits for a worker. Its ID is random, because
// workers identify attempts by it and the log does not hold the IDs of all former
// instances: a counter would start again when the owner reads its log again at the
// same epoch.
func (s *Shard) addInstance(svc *guavascale.Service) {
	id := guavascale.TaskID(fmt.Sprintf("%s/%s/%d-%016x", svc.Name, s.Name, s.Epoch, s.view.Rand.Uint64()))
	t := guavascale.Task{
		ID: id, Class: guavascale.ClassService, Service: svc.Name, Team: svc.Team,
		Kind: svc.Kind, Size: svc.Size, State: guavascale.TaskPending,
	}
	// An instance that waits for a worker is not logged; its first record is
	// its start.
	s.applyTask(&t)
}

// retire begins the removal of an instance. Its endpoint is first announced as
// leaving, and the instance is stopped once no request can be in progress.
func (s *Shard) retire(e *taskEntry) {
	if e.proposed != nil {
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

// stopWhenDrained proposes to stop a leaving instance once no request can be in
// progress on it.
func (s *Shard) stopWhenDrained(e *taskEntry) {
	if e.proposed != nil || e.task.State == guavascale.TaskStopping {
		return
	}
	if s.now.Sub(e.leavingSince) < leavingPropagation+maxRequestDuration {
		return
	}
	t := e.task
	t.State, t.Reason = guavascale.TaskStopping, "instance not wanted here"
	s.proposeTask(t, false)
}
