// Package guavaplace decides where tasks run.
//
// The model: a shard's workers are described by a slice of Room, one element a
// worker, with its capacity and what is taken. Choose picks the worker for one
// task: it first drops the workers that cannot hold the task, then takes the
// one with the lowest score. The score prefers full workers for batch tasks
// (best fit), keeps the free processors and memory of a worker in balance,
// spreads the instances of a service over workers, and adds the expected
// interference. Divide splits the instances of a service over shards.
// Both are pure functions and allocate nothing in the steady state.
package guavaplace

import (
	"math"

	"guavascale.example"
)

type (
	// Room is the state of one worker as placement sees it.
	Room struct {
		Worker   guavascale.WorkerID
		Capacity guavascale.Resources
		// Used is the declared size of all attempts not known to have ended.
		// It is at most Capacity.
		Used guavascale.Resources
		// BatchUsed is the part of Used that batch tasks take.
		BatchUsed guavascale.Resources
		// Instances is the number of service instances on the worker.
		Instances int
		// SameService is the number of instances of the service of the task
		// that is being placed.
		SameService int
		// Closed is set when the worker takes no starts.
		Closed bool
		// Interference is the expected loss from putting the task here, 0 for
		// none and 1 for a service that misses its target by its whole length.
		Interference float64
	}

	// Policy is the part of a preset that placement uses.
	Policy struct {
		LatencyWeight float64
		BatchWeight   float64
		// MaxBatchShare is the part of a worker with service instances that
		// batch tasks may take, 0 to 1.
		MaxBatchShare float64
		// Avoid refuses workers on which the expected loss of services weighs
		// more than the task, as the eviction of the task would.
		Avoid bool
	}

	// Refusal tells why no worker was chosen.
	Refusal string
)

const (
	// RefusalNone stands beside a chosen worker.
	RefusalNone Refusal = ""
	// RefusalTooLarge means that no worker of the shard could hold the task
	// even when empty.
	RefusalTooLarge Refusal = "larger than any worker of the shard"
	// RefusalNoRoom means that workers are large enough but taken.
	RefusalNoRoom Refusal = "no free capacity in the shard"
	// RefusalLoss means that services on the workers with room would lose more
	// than the task gains.
	RefusalLoss Refusal = "services beside it would miss their targets"
	// RefusalClosed means that the workers that could hold the task take no
	// starts.
	RefusalClosed Refusal = "no worker of the shard takes starts"
)

const (
	// balanceWeight weighs the difference between the free parts of processors
	// and memory, which strands one of them. In docs/measurements/placement.md
	// best fit without it placed less than a random choice.
	balanceWeight = 4.0
	// sameServicePenalty outweighs every packing difference, which is at most
	// balanceWeight and 3.
	sameServicePenalty = 16.0
)

// Choose returns the index of the room for a task, or -1 and the reason.
func Choose(t *guavascale.Task, rooms []Room, p Policy) (int, Refusal) {
	best, bestScore := -1, math.Inf(1)
	refusal := RefusalTooLarge
	for i := range rooms {
		r := &rooms[i]
		if !r.Capacity.Fits(t.Size) {
			continue
		}
		if r.Closed {
			refusal = worse(refusal, RefusalClosed)
			continue
		}
		if !fits(t, r, p) {
			refusal = worse(refusal, RefusalNoRoom)
			continue
		}
		if p.Avoid && harms(t, r, p) {
			refusal = RefusalLoss
			continue
		}
		if s := score(t, r, p); s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best, RefusalNone
	}
	return -1, refusal
}

// worse returns the refusal that is closer to a placement.
func worse(a, b Refusal) Refusal {
	if a == RefusalLoss || a == RefusalNoRoom {
		return a
	}
	return b
}

// harms reports whether a batch task would be worth evicting from a worker as
// soon as it runs there.
func harms(t *guavascale.Task, r *Room, p Policy) bool {
	if t.Class != guavascale.ClassBatch || r.Interference <= 0 {
		return false
	}
	return p.LatencyWeight*r.Interference > p.BatchWeight*fraction(t.Size.MilliCores, r.Capacity.MilliCores)
}

func fits(t *guavascale.Task, r *Room, p Policy) bool {
	if !r.Capacity.Sub(r.Used).Fits(t.Size) {
		return false
	}
	if t.Class != guavascale.ClassBatch || r.Instances == 0 || p.MaxBatchShare <= 0 {
		return true
	}
	limit := int64(p.MaxBatchShare * float64(r.Capacity.MilliCores))
	return r.BatchUsed.MilliCores+t.Size.MilliCores <= limit
}

func score(t *guavascale.Task, r *Room, p Policy) float64 {
	free := r.Capacity.Sub(r.Used).Sub(t.Size)
	cores, memory := fraction(free.MilliCores, r.Capacity.MilliCores), fraction(free.MemoryMB, r.Capacity.MemoryMB)
	s := p.LatencyWeight*r.Interference + balanceWeight*math.Abs(cores-memory)
	// Accelerators are kept for the tasks that need them.
	if t.Size.Accelerators == 0 {
		s += fraction(free.Accelerators, r.Capacity.Accelerators)
	}
	if t.Class == guavascale.ClassService {
		return s + sameServicePenalty*float64(r.SameService) - cores - memory
	}
	return s + cores + memory
}

func fraction(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
