package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavalimit"
)

// Backlog describes the waiting tasks of a queue that can run on the same workers, and
// what keeps them off the workers with room. Every usable worker is counted once, under
// the first reason that applies.
type Backlog struct {
	Queue string
	Kind  string `json:",omitempty"`
	Class guavascale.TaskClass
	Tasks int
	// Running counts the active runs of the same kind and class.
	Running int
	// WaitMs is the longest time for which a step has had waiting tasks and no start.
	WaitMs int64
	// Room is the number of further tasks that the usable workers hold by their
	// declared capacity.
	Room int64
	// Full workers have no room, Excluded ones have a service that a filler must not
	// run beside, Disturbed ones a service near its target, Crowded ones no processors
	// left that their other tasks don't use. Open ones could take a task.
	Full, Excluded, Disturbed, Crowded, Open int
}

const (
	// backlogWait is how long a step waits without a start before it counts as part of a
	// backlog.
	backlogWait = 2 * time.Second
	// maxBacklogs bounds the length of a list of backlogs.
	maxBacklogs = 8
)

// Backlogs returns the waiting tasks of steps that have had no start for some time although
// the workers have room for all waiting tasks of the step twice over.
func (e *Engine) Backlogs(now time.Time) []Backlog {
	var backlogs []Backlog
	index := make(map[placementClass]int)
	for _, st := range e.readySteps {
		if st.waiting == 0 || st.waitingSince.IsZero() || now.Sub(st.waitingSince) < backlogWait {
			continue
		}
		class := placementClassOf(st)
		i, ok := index[class]
		if !ok {
			if len(backlogs) >= maxBacklogs {
				continue
			}
			i = len(backlogs)
			index[class] = i
			backlogs = append(backlogs, e.inspectClass(now, st))
		}
		b := &backlogs[i]
		if b.Room < 2*int64(st.waiting) {
			continue
		}
		b.Tasks += st.waiting
		b.WaitMs = max(b.WaitMs, now.Sub(st.waitingSince).Milliseconds())
	}
	return slices.DeleteFunc(backlogs, func(b Backlog) bool { return b.Tasks == 0 })
}

// inspectClass counts the workers that a task of a step can and can't run on.
func (e *Engine) inspectClass(now time.Time, st *step) Backlog {
	b := Backlog{Queue: st.sub.Queue, Kind: st.spec.Kind, Class: st.class()}
	q := e.queue(st.sub)
	if q == nil {
		return b
	}
	for _, w := range e.workerList {
		if w.Service != q.Service {
			continue
		}
		for _, r := range w.runs {
			if spec := r.task.step.spec; spec.Kind == b.Kind && r.task.step.class() == b.Class {
				b.Running++
			}
		}
		if !e.usable(now, w) {
			continue
		}
		b.Room += w.roomFor(st.spec.Size)
		if _, ok := e.rate(now, st, w); ok {
			b.Open++
			continue
		}
		switch {
		case !w.Capacity.Fits(w.used.Add(st.tasks[0].size())):
			b.Full++
		case st.spec.Filler && e.excluded(now, st.spec.Kind, w):
			b.Excluded++
		case st.spec.Filler && w.serviceMilliCores > 0 && w.worstLatencyRatio > maxStartRatio:
			b.Disturbed++
		default:
			b.Crowded++
		}
	}
	return b
}

// class returns the class of the step's tasks.
func (st *step) class() guavascale.TaskClass {
	if st.spec.Service {
		return guavascale.ClassService
	}
	return guavascale.ClassBatch
}

// roomFor returns how many tasks of a size fit into the worker's declared capacity.
func (w *worker) roomFor(size guavascale.Resources) int64 {
	room := int64(guavalimit.MaxTasks)
	for _, d := range [...]struct{ free, each int64 }{
		{w.Capacity.MilliCores - w.used.MilliCores, size.MilliCores},
		{w.Capacity.MemoryMB - w.used.MemoryMB, size.MemoryMB},
		{w.Capacity.Accelerators - w.used.Accelerators, size.Accelerators},
	} {
		if d.each > 0 {
			room = min(room, max(d.free, 0)/d.each)
		}
	}
	return room
}
