package guavafake

import (
	"time"

	"guavascale.example"
)

// capacityChange is a former capacity of a worker and when it ended.
type capacityChange struct {
	until  time.Time
	former guavascale.Resources
}

// ShrinkDelay is how long after the capacity of a worker has shrunk starts may still use the
// former one, since the owner learns of it from the host list.
const ShrinkDelay = 4500 * time.Millisecond

// SetCapacity changes the capacity of a worker while it runs. Its tasks run on.
func (f *Fleet) SetCapacity(id guavascale.WorkerID, capacity guavascale.Resources) error {
	return f.change(id, func(w *worker) {
		now := f.now()
		w.formerCapacities = append(w.formerCapacities, capacityChange{now, w.info.Capacity})
		for now.Sub(w.formerCapacities[0].until) > ShrinkDelay {
			w.formerCapacities = w.formerCapacities[1:]
		}
		w.info.Capacity = capacity
	})
}

// usableCapacity returns the most of each resource that the worker has had within
// ShrinkDelay.
func (w *worker) usableCapacity(now time.Time) guavascale.Resources {
	most := w.info.Capacity
	for _, c := range w.formerCapacities {
		if now.Sub(c.until) <= ShrinkDelay {
			most = most.Max(c.former)
		}
	}
	return most
}
