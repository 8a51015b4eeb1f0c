package guavaadmission

import (
	"time"

	"guavascale.example"
)

type (
	// Work is an amount of declared work that waits to be started or was started.
	Work struct {
		// Service is the pool. Fillers use what the others leave, so that both drain at
		// rates of their own.
		Service string
		Filler  bool
		Kind    string
		// Queue and Account are the names of those that it belongs to; Account may be "".
		Queue, Account string
		Priority       int
		// Amount is in seconds of a thousandth of a core.
		Amount float64
	}

	// Pool is the capacity of the workers of a service that can be used, and the part in
	// use. Fillers is the declared processors of the fillers, in thousandths of a core.
	Pool struct {
		Capacity, Used guavascale.Resources
		Fillers        int64
	}
)

// WorkOf returns the work of some tasks of a step. Tasks that declare no processors or no
// duration count as tiny ones.
func WorkOf(q *guavascale.Queue, s *guavascale.Submission, st *guavascale.Step, tasks int) Work {
	seconds := max(st.Estimate, time.Millisecond).Seconds()
	return Work{
		Service: q.Service, Filler: st.Filler, Kind: st.Kind, Queue: q.Name, Account: s.Account, Priority: q.Priority,
		Amount: float64(tasks) * float64(max(st.Size.MilliCores, 1)) * seconds,
	}
}

// With returns the pool with one more worker.
func (p Pool) With(capacity, used guavascale.Resources, fillers int64) Pool {
	return Pool{Capacity: p.Capacity.Add(capacity), Used: p.Used.Add(used), Fillers: p.Fillers + fillers}
}

// busy reports whether a good part of some resource is in use. What waits for a pool that is
// nearly idle waits for something else than capacity.
func (p *Pool) busy() bool {
	share := func(used, capacity int64) bool { return float64(used) > busyShare*float64(max(capacity, 1)) }
	return share(p.Used.MilliCores+p.Fillers, p.Capacity.MilliCores) || share(p.Used.MemoryMB, p.Capacity.MemoryMB) ||
		p.Capacity.Accelerators > 0 && share(p.Used.Accelerators, p.Capacity.Accelerators)
}
