// Package guavaplace selects workers for tasks and shards for service
// instances.
//
// A slice of Candidate describes the workers of a shard with their capacity
// and allocated resources. Choose selects the worker for one task: it filters
// out the workers that cannot run the task and returns the remaining one with
// the lowest score. The score packs batch tasks onto the fullest workers (best
// fit), balances the free processors and memory of a worker, spreads the
// instances of a service over workers, and adds the expected interference.
// Divide distributes the instances of a service over shards. Both are pure
// functions and do not allocate in the steady state.
package guavaplace

import (
	"math"

	"guavascale.example"
)

type (
	// Candidate describes one worker as a placement target.
	Candidate struct {
		Worker   guavascale.WorkerID
		Capacity guavascale.Resources
		// Used is the total declared size of all attempts that are not known
		// to have ended. It never exceeds Capacity.
		Used guavascale.Resources
		// BatchUsed is the part of Used allocated to batch tasks.
		BatchUsed guavascale.Resources
		// Instances is the number of service instances on the worker.
		Instances int
		// SameService is the number of instances on the worker that belong to
		// the same service as the task being placed.
		SameService int
		// Unschedulable is set when no task may be started on the worker.
		Unschedulable bool
		// Interference is the expected target violation of services caused by
		// the task on this worker: 0 for none, 1 when the latency of one
		// service exceeds its target by 100%.
		Interference float64
	}

	// Policy holds the placement settings of a preset.
	Policy struct {
		LatencyWeight float64
		BatchWeight   float64
		// MaxBatchShare is the maximum fraction (0 to 1) of the processors of a
		// worker with service instances that batch tasks may allocate. 0 means
		// no limit.
		MaxBatchShare float64
		// AvoidInterference excludes workers on which the weighted interference
		// of a batch task exceeds the weight of running it, because the task
		// would be evicted there.
		AvoidInterference bool
	}

	// Refusal is the reason why no worker was selected.
	Refusal string
)

const (
	// RefusalNone is returned together with a selected worker.
	RefusalNone Refusal = ""
	// RefusalTooLarge means that no worker of the shard could hold the task
	// even when empty.
	RefusalTooLarge Refusal = "larger than any worker of the shard"
	// RefusalNoCapacity means that some workers are large enough, but their
	// capacity is allocated to other tasks.
	RefusalNoCapacity Refusal = "no free capacity in the shard"
	// RefusalInterference means that on every worker with free capacity the
	// weighted interference exceeds the weight of running the task.
	RefusalInterference Refusal = "services beside it would miss their targets"
	// RefusalUnschedulable means that every worker large enough for the task is
	// unschedulable.
	RefusalUnschedulable Refusal = "no worker of the shard takes starts"
)

const (
	// balanceWeight is the weight of the difference between the free fractions
	// of processors and memory, because such a difference strands one of the
	// two resources. Best fit without this term placed fewer tasks than random
	// selection (docs/measurements/placement.md).
	balanceWeight = 4.0
	// sameServicePenalty exceeds the largest possible difference of the other
	// packing terms, balanceWeight + 3, so that spreading takes precedence.
	sameServicePenalty = 16.0
)

// Choose returns the index of the best candidate for a task, or -1 and the
// reason why there is none.
func Choose(t *guavascale.Task, candidates []Candidate, p Policy) (int, Refusal) {
	best, bestScore := -1, math.Inf(1)
	refusal := RefusalTooLarge
	for i := range candidates {
		c := &candidates[i]
		if !c.Capacity.Fits(t.Size) {
			continue
		}
		if c.Unschedulable {
			refusal = combineRefusals(refusal, RefusalUnschedulable)
			continue
		}
		if !fits(t, c, p) {
			refusal = combineRefusals(refusal, RefusalNoCapacity)
			continue
		}
		if p.AvoidInterference && interferenceOutweighs(t, c, p) {
			refusal = RefusalInterference
			continue
		}
		if s := score(t, c, p); s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best, RefusalNone
	}
	return -1, refusal
}

// combineRefusals merges the refusals of two candidates. RefusalInterference
// and RefusalNoCapacity take precedence over the reason found later, because
// those candidates came closest to accepting the task.
func combineRefusals(a, b Refusal) Refusal {
	if a == RefusalInterference || a == RefusalNoCapacity {
		return a
	}
	return b
}

// interferenceOutweighs reports whether the weighted interference of a batch
// task exceeds the weight of running it on the candidate, in which case the
// task would be evicted soon after its start.
func interferenceOutweighs(t *guavascale.Task, c *Candidate, p Policy) bool {
	if t.Class != guavascale.ClassBatch || c.Interference <= 0 {
		return false
	}
	return p.LatencyWeight*c.Interference > p.BatchWeight*fraction(t.Size.MilliCores, c.Capacity.MilliCores)
}

func fits(t *guavascale.Task, c *Candidate, p Policy) bool {
	if !c.Capacity.Sub(c.Used).Fits(t.Size) {
		return false
	}
	if t.Class != guavascale.ClassBatch || c.Instances == 0 || p.MaxBatchShare <= 0 {
		return true
	}
	limit := int64(p.MaxBatchShare * float64(c.Capacity.MilliCores))
	return c.BatchUsed.MilliCores+t.Size.MilliCores <= limit
}

func score(t *guavascale.Task, c *Candidate, p Policy) float64 {
	free := c.Capacity.Sub(c.Used).Sub(t.Size)
	cores, memory := fraction(free.MilliCores, c.Capacity.MilliCores), fraction(free.MemoryMB, c.Capacity.MemoryMB)
	s := p.LatencyWeight*c.Interference + balanceWeight*math.Abs(cores-memory)
	// Reserve accelerators for the tasks that need them.
	if t.Size.Accelerators == 0 {
		s += fraction(free.Accelerators, c.Capacity.Accelerators)
	}
	if t.Class == guavascale.ClassService {
		return s + sameServicePenalty*float64(c.SameService) - cores - memory
	}
	return s + cores + memory
}

func fraction(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
