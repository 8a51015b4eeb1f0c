package guavaplace

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

func cores(n int64) guavascale.Resources {
	return guavascale.Resources{MilliCores: n * 1000, MemoryMB: n * 1000}
}

func candidate(id string, used int64) Candidate {
	return Candidate{Worker: guavascale.WorkerID(id), Capacity: cores(16), Used: cores(used), BatchUsed: cores(used)}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

func TestChoose(t *testing.T) {
	batch := guavascale.Task{Class: guavascale.ClassBatch, Size: cores(4)}
	service := guavascale.Task{Class: guavascale.ClassService, Size: cores(4)}
	balanced := Policy{LatencyWeight: 50, BatchWeight: 50, MaxBatchShare: 0.5}
	avoidInterference := balanced
	avoidInterference.AvoidInterference = true
	accelerated := with(candidate("a", 8), func(r *Candidate) { r.Capacity.Accelerators = 2 })
	disturbed := with(candidate("a", 8), func(r *Candidate) { r.Interference, r.Instances = 0.5, 1; r.BatchUsed = cores(0) })
	for name, c := range map[string]struct {
		task       guavascale.Task
		policy     Policy
		candidates []Candidate
		want       int
		refusal    Refusal
	}{
		"batch packs":               {batch, balanced, []Candidate{candidate("a", 0), candidate("b", 8)}, 1, RefusalNone},
		"service takes the emptier": {service, balanced, []Candidate{candidate("a", 8), candidate("b", 0)}, 1, RefusalNone},
		// A worker must not run two instances of a service while another worker
		// has free capacity.
		"service spreads": {
			service, balanced, []Candidate{with(candidate("a", 0), func(r *Candidate) { r.SameService = 1 }), candidate("b", 12)}, 1, RefusalNone,
		},
		// P1: the tasks of a worker never exceed its capacity.
		"full":          {batch, balanced, []Candidate{candidate("a", 13)}, -1, RefusalNoCapacity},
		"too large":     {guavascale.Task{Class: guavascale.ClassBatch, Size: cores(17)}, balanced, []Candidate{candidate("a", 0)}, -1, RefusalTooLarge},
		"unschedulable": {batch, balanced, []Candidate{with(candidate("a", 0), func(r *Candidate) { r.Unschedulable = true })}, -1, RefusalUnschedulable},
		// Batch tasks on a worker with service instances stay within
		// MaxBatchShare.
		"share": {batch, balanced, []Candidate{with(candidate("a", 8), func(r *Candidate) { r.Instances = 1 })}, -1, RefusalNoCapacity},
		// Accelerators are reserved for the tasks that need them.
		"accelerators": {batch, balanced, []Candidate{accelerated, candidate("b", 8)}, 1, RefusalNone},
		// Free accelerators do not make a worker look emptier to a service.
		"accelerators for service": {service, balanced, []Candidate{accelerated, candidate("b", 8)}, 1, RefusalNone},
		// A task that needs mostly memory goes to the worker with much free
		// memory and few free processors.
		"balance": {
			guavascale.Task{Class: guavascale.ClassBatch, Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 8000}},
			balanced,
			[]Candidate{
				with(candidate("a", 8), func(r *Candidate) { r.Used.MemoryMB = 8000 }),
				with(candidate("b", 8), func(r *Candidate) { r.Used.MemoryMB = 1000 }),
			},
			1, RefusalNone,
		},
		"prefers less interference":    {batch, balanced, []Candidate{disturbed, candidate("b", 0)}, 1, RefusalNone},
		"avoids interference":          {batch, avoidInterference, []Candidate{disturbed}, -1, RefusalInterference},
		"accepts interference":         {batch, balanced, []Candidate{disturbed}, 0, RefusalNone},
		"interference and no capacity": {batch, avoidInterference, []Candidate{disturbed, candidate("b", 13)}, -1, RefusalInterference},
		"services ignore interference": {service, avoidInterference, []Candidate{disturbed}, 0, RefusalNone},
	} {
		t.Run(name, func(t *testing.T) {
			i, refusal := Choose(&c.task, c.candidates, c.policy)
			require.Equal(t, c.want, i)
			require.Equal(t, c.refusal, refusal)
		})
	}
}

// Guards against heap allocations in Choose, which runs for every task that is
// placed.
func TestChooseAllocatesNothing(t *testing.T) {
	candidates := make([]Candidate, 64)
	for i := range candidates {
		candidates[i] = candidate("a", int64(i%16))
	}
	task := guavascale.Task{Class: guavascale.ClassBatch, Size: cores(1)}
	require.Zero(t, testing.AllocsPerRun(100, func() { Choose(&task, candidates, Policy{MaxBatchShare: 0.5}) }))
}
