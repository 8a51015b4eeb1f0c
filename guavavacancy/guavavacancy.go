// Package guavavacancy decides which worker to vacate so that fillers which disturb
// services find workers without any.
//
// Services are placed where there is room at the time. Once the tasks around them have
// ended, they are scattered: most workers hold a few, and a kind of filler that disturbs
// these kinds of services has hardly a worker left while most processors are idle.
// Moving the services of one worker to others that hold services already turns its
// whole capacity over to the fillers.
//
// A move costs a restart of the service. So a worker is vacated only for fillers that wait
// in greater number than the workers without services take at once, and it is the one with
// the most capacity gained per service moved.
//
// The package has no clock and no state: Choose is a function of the workers and of the
// demand.
package guavavacancy

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Service is a task of a service on a worker.
	Service struct {
		Kind string
		Size guavascale.Resources
		// Step identifies the step of the task. It must be comparable.
		Step any
		// MayStop is how many more tasks of the step may be down now.
		MayStop int
		// PerWorker is the most tasks of the step on one worker, 0 for no limit.
		PerWorker int
		// Label is a label that the worker must have, or "".
		Label string
	}

	// Worker is a worker of the pool.
	Worker struct {
		ID     guavascale.WorkerID
		Labels []string
		// Capacity is the declared capacity of the worker, Free the part of it that no
		// task has declared.
		Capacity, Free guavascale.Resources
		Services       []Service
		// Moving counts those of the services that are starting or stopping.
		Moving int
		// Vacated workers get no services, since others were moved away from them.
		Vacated bool
	}

	// Demand is the waiting work of a kind of filler.
	Demand struct {
		// MilliCores is the declared size of the waiting fillers, in thousandths of a
		// core.
		MilliCores int64
		// Excluded holds the kinds of services beside which the filler must not run.
		Excluded map[string]bool
	}

	candidate struct {
		worker *Worker
		// gain is the capacity that becomes usable, per service that has to move.
		gain float64
	}
)

const (
	// Interval is the minimum time between two workers that are vacated.
	Interval = 400 * time.Millisecond
	// After is how long fillers wait before services move for them.
	After = 2 * time.Second
	// KeptFor is how long services avoid a worker that was vacated.
	KeptFor = 10 * time.Second
	// MaxMoving bounds the services of a window that are starting or stopping. Each of them
	// needs the processors and the owner's time that others wait for.
	MaxMoving = 8
	// WindowSize is the number of workers among which services move at a time, so that the
	// cost doesn't grow with the fleet.
	WindowSize = 256
)

// maxTries bounds the workers for which other places are searched.
const maxTries = 16

// Choose returns the index of the worker whose services should move to other workers,
// or -1 if vacating none would let more fillers start, or MaxMoving services move already. Only some of the services may stop
// at once; the rest makes the worker a better choice than others the next time.
func Choose(workers []Worker, demands []Demand) int {
	var candidates []candidate
	moving := 0
	for i := range workers {
		moving += workers[i].Moving
	}
	if moving >= MaxMoving {
		return -1
	}
	vacant := vacantMilliCores(workers)
	for i := range workers {
		if gain := gainOf(&workers[i], demands, vacant); gain > 0 {
			candidates = append(candidates, candidate{&workers[i], gain / float64(len(workers[i].Services))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	for _, c := range candidates[:min(len(candidates), maxTries)] {
		if fitsElsewhere(c.worker, workers, demands) {
			return slices.IndexFunc(workers, func(w Worker) bool { return w.ID == c.worker.ID })
		}
	}
	return -1
}

// vacantMilliCores returns the capacity of the workers without services.
func vacantMilliCores(workers []Worker) int64 {
	sum := int64(0)
	for i := range workers {
		if len(workers[i].Services) == 0 {
			sum += workers[i].Capacity.MilliCores
		}
	}
	return sum
}

// gainOf returns the declared processors, in thousandths of a core, that waiting fillers
// could use on a worker only once it has no services, and that the vacant workers don't
// have.
func gainOf(w *Worker, demands []Demand, vacant int64) float64 {
	if len(w.Services) == 0 || !movable(w) {
		return 0
	}
	waiting := -vacant
	for _, d := range demands {
		if excludes(w, &d) {
			waiting += d.MilliCores
		}
	}
	idle := w.Free.MilliCores
	for _, s := range w.Services {
		idle += s.Size.MilliCores
	}
	return float64(min(idle, waiting))
}

// movable reports whether one of the services of a worker may stop.
func movable(w *Worker) bool {
	return slices.ContainsFunc(w.Services, func(s Service) bool { return s.MayStop > 0 })
}

func excludes(w *Worker, d *Demand) bool {
	return slices.ContainsFunc(w.Services, func(s Service) bool { return d.Excluded[s.Kind] })
}

// fitsElsewhere reports whether the services of a worker fit on other workers that hold
// services already, without keeping a waiting filler off any of these.
func fitsElsewhere(from *Worker, workers []Worker, demands []Demand) bool {
	free := make(map[guavascale.WorkerID]guavascale.Resources)
	added := make(map[guavascale.WorkerID]map[any]int)
	services := slices.Clone(from.Services)
	slices.SortStableFunc(services, func(a, b Service) int { return cmp.Compare(b.Size.MilliCores, a.Size.MilliCores) })
	for _, s := range services {
		to := -1
		var left guavascale.Resources
		for i := range workers {
			w := &workers[i]
			if w.ID == from.ID || !takes(w, &s, added[w.ID][s.Step], demands) {
				continue
			}
			room, ok := free[w.ID]
			if !ok {
				room = w.Free
			}
			if room.Fits(s.Size) && (to < 0 || room.MilliCores < left.MilliCores) {
				to, left = i, room
			}
		}
		if to < 0 {
			return false
		}
		id := workers[to].ID
		free[id] = left.Sub(s.Size)
		if added[id] == nil {
			added[id] = make(map[any]int)
		}
		added[id][s.Step]++
	}
	return true
}

// takes reports whether a service may move to a worker that already gets some tasks of
// the same step.
func takes(w *Worker, s *Service, added int, demands []Demand) bool {
	if w.Vacated || len(w.Services) == 0 || s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return false
	}
	if s.PerWorker > 0 {
		for _, o := range w.Services {
			if o.Step == s.Step {
				added++
			}
		}
		if added >= s.PerWorker {
			return false
		}
	}
	for i := range demands {
		if demands[i].Excluded[s.Kind] && !excludes(w, &demands[i]) {
			return false
		}
	}
	return true
}

// Window walks over a list in parts, so that the cost of a choice doesn't grow with the list.
// The zero value begins at its start.
type Window struct{ start int }

// Next returns the bounds of the next part, of up to size of n items.
func (w *Window) Next(n, size int) (from, to int) {
	if n <= size {
		return 0, n
	}
	if w.start >= n {
		w.start = 0
	}
	from, to = w.start, min(w.start+size, n)
	w.start = to
	return from, to
}
