// Package guavabackfill decides which room on the workers of a pool is kept for large tasks.
//
// Assumed workload: services take four fifths or more of all processors, and ordinary tasks,
// of which the largest are three times the mean, share the rest. If each task goes to the
// worker with the most free room, all gaps become smaller than what the large tasks need,
// which then wait although several times their size is free in fragments.
//
// Shapes records the sizes of recent tasks. While the largest of them are large relative to
// the room that a worker has left (Room), its Fit rates a placement by the number of places
// for large tasks that it destroys: a task goes where it takes a gap that no large task can
// use anyway. Among the workers where it destroys none, the tasks of a step are spread.
//
// A Plan holds reservations for large steps that wait all the same, although the pool has
// their room in fragments. It chooses the workers on which runs will end first, and admits
// beside a reservation the tasks that end before it is needed or leave enough room.
package guavabackfill

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Shapes holds the sizes of the recent tasks of a pool, by classes of processors. The
	// zero value is ready to use.
	Shapes struct {
		classes []class
		agedAt  time.Time
	}

	// class is a class of sizes with the number of tasks, which decays.
	class struct {
		index int
		size  guavascale.Resources
		tasks float64
	}

	// Room is the capacity of the workers of a pool that may get tasks, and what is free.
	Room struct {
		Workers        int64
		Capacity, Free guavascale.Resources
	}

	// Fit rates placements. The zero value rates all of them as 0.
	Fit struct{ references []reference }

	// reference is a size that tasks are expected to need, and the loss in the rating for
	// each place for it that a placement destroys.
	reference struct {
		size guavascale.Resources
		loss float64
	}
)

const (
	// classRatio is the ratio of successive class bounds.
	classRatio = 1.25
	// agingTime is the time in which the weight of the tasks of a class halves. Within it
	// some hundred tasks start in a busy pool, which is enough for the largest hundredth.
	agingTime = 8 * time.Second
	// minShare is the share of the recent tasks from which a class counts. Room isn't kept
	// for sizes that are rarer.
	minShare = 0.005
	// maxReferences bounds the sizes that each placement is rated for, since that is done
	// for each worker.
	maxReferences = 6
	// largeShare is the share of a worker's capacity from which a task is large, and
	// largePlaces the number of places for it on the average worker from which room need
	// not be kept for it.
	largeShare  = 0.125
	largePlaces = 3
	// lossWeight weighs lost places, spreadWeight each task of the same step. In the replay
	// of TestLargeTasksFindRoom, four times the spreadWeight makes the largest tenth wait a
	// tenth longer, and without it a fifth more tasks of a step share a worker.
	lossWeight   = 4.0
	spreadWeight = 0.05
	// maxPlaces bounds the places for a size that are counted on one worker.
	maxPlaces = 64
)

// Record records n tasks of a size that have become ready.
func (s *Shapes) Record(now time.Time, size guavascale.Resources, n int) {
	if size.MilliCores <= 0 || n <= 0 {
		return
	}
	s.age(now)
	index := int(math.Floor(math.Log(float64(size.MilliCores)) / math.Log(classRatio)))
	i, found := slices.BinarySearchFunc(s.classes, index, func(c class, index int) int { return cmp.Compare(c.index, index) })
	if !found {
		s.classes = slices.Insert(s.classes, i, class{index: index})
	}
	c := &s.classes[i]
	c.size = c.size.Max(size)
	c.tasks += float64(n)
}

// age lets the weights decay and removes classes that are empty by now.
func (s *Shapes) age(now time.Time) {
	elapsed := now.Sub(s.agedAt)
	if s.agedAt.IsZero() || elapsed < agingTime/8 {
		if s.agedAt.IsZero() {
			s.agedAt = now
		}
		return
	}
	s.agedAt = now
	factor := math.Exp2(-elapsed.Seconds() / agingTime.Seconds())
	for i := range s.classes {
		s.classes[i].tasks *= factor
	}
	s.classes = slices.DeleteFunc(s.classes, func(c class) bool { return c.tasks < 0.1 })
}

// Add adds a worker to the room.
func (r *Room) Add(capacity, used guavascale.Resources) {
	r.Workers++
	r.Capacity = r.Capacity.Add(capacity)
	r.Free = r.Free.Add(capacity.Sub(used))
}

// Fit returns the ratings for the recent sizes. They are all 0 unless the largest of them
// take at least largeShare of the average worker, and fewer than largePlaces of them fit into
// its free room.
func (s *Shapes) Fit(now time.Time, room Room) Fit {
	s.age(now)
	total := 0.0
	for _, c := range s.classes {
		total += c.tasks
	}
	var f Fit
	for _, c := range slices.Backward(s.classes) {
		if len(f.references) == maxReferences {
			break
		}
		if c.tasks < minShare*total {
			continue
		}
		if len(f.references) == 0 && !room.scarceFor(c.size) {
			return Fit{}
		}
		f.references = append(f.references, reference{size: c.size, loss: float64(c.size.MilliCores) / float64(max(room.Capacity.MilliCores/max(room.Workers, 1), 1))})
	}
	for i := range f.references {
		f.references[i].loss /= float64(len(f.references))
	}
	return f
}

// scarceFor reports whether the size is large and room for it is scarce.
func (r Room) scarceFor(size guavascale.Resources) bool {
	return r.Workers > 0 && float64(size.MilliCores*r.Workers) >= largeShare*float64(r.Capacity.MilliCores) &&
		size.MilliCores*largePlaces*r.Workers > r.Free.MilliCores
}

// Active reports whether room is kept for large tasks.
func (f Fit) Active() bool { return len(f.references) > 0 }

// Rate rates a worker for a task. Its rating is freeShare, the share of the worker that
// remains free, unless room is kept for large tasks. Then it is 0 at most, less for the places
// for large tasks that the task would take from the free room and for the tasks of the same
// step on the worker, which would be lost or slow together.
func (f Fit) Rate(freeShare float64, free, size guavascale.Resources, sameStep int) float64 {
	if !f.Active() {
		return freeShare
	}
	return -lossWeight*f.lost(free, size) - spreadWeight*float64(sameStep)
}

// lost returns the processors of the places for large tasks that a task takes from a worker,
// as a share of the average worker, over all references.
func (f Fit) lost(free, size guavascale.Resources) float64 {
	lost := 0.0
	left := free.Sub(size)
	for _, r := range f.references {
		if n := free.Count(r.size, maxPlaces) - left.Count(r.size, maxPlaces); n > 0 {
			lost += float64(n) * r.loss
		}
	}
	return lost
}
