package guavainterference

import (
	"time"

	"guavascale.example"
)

// Controller combines the estimator with one mitigator per worker and one
// eviction budget per shard. The zero value is ready to use. A Controller is not
// safe for concurrent use.
type Controller struct {
	Estimator Estimator

	mitigators map[guavascale.WorkerID]*workerState
	budgets    map[guavascale.Partition]*Budget
	// lastMeasured is when the latest observed measurement of each instance
	// was taken.
	lastMeasured map[guavascale.TaskID]time.Time
	recent       []Step
}

// workerState is the mitigator of a worker and the time of its last update.
type workerState struct {
	Mitigator
	lastUpdate time.Time
}

const (
	// maxRecentSteps is the number of steps in a state dump.
	maxRecentSteps = 64
	// stateRetention is how long the state of a worker or an instance is kept
	// after its last measurement.
	stateRetention = 10 * time.Minute
)

// Update passes the measurements of a shard's workers to the estimator and
// returns the steps to take. A measurement that is reported repeatedly is
// observed once.
func (c *Controller) Update(now time.Time, shard guavascale.Partition, workers []Worker, p Policy) []Step {
	c.init()
	budget := c.budgets[shard]
	if budget == nil {
		budget = &Budget{}
		c.budgets[shard] = budget
	}
	for i := range workers {
		c.observeNew(&workers[i])
	}
	var steps []Step
	for i := range workers {
		w := &workers[i]
		m := c.mitigators[w.ID]
		if m == nil {
			m = &workerState{}
			c.mitigators[w.ID] = m
		}
		m.lastUpdate = now
		steps = append(steps, m.Decide(now, w, &c.Estimator, p, func() bool { return budget.Take(now, len(workers)) })...)
	}
	c.recent = append(c.recent, steps...)
	c.recent = c.recent[max(0, len(c.recent)-maxRecentSteps):]
	return steps
}

// Recent returns the most recent steps, oldest first.
func (c *Controller) Recent() []Step { return append([]Step(nil), c.recent...) }

// Forget drops the state of workers and instances that were not measured for
// ten minutes, and of shards for which owned returns false.
func (c *Controller) Forget(now time.Time, owned func(guavascale.Partition) bool) {
	for id, m := range c.mitigators {
		if now.Sub(m.lastUpdate) > stateRetention {
			delete(c.mitigators, id)
		}
	}
	for id, at := range c.lastMeasured {
		if now.Sub(at) > stateRetention {
			delete(c.lastMeasured, id)
		}
	}
	for p := range c.budgets {
		if !owned(p) {
			delete(c.budgets, p)
		}
	}
}

func (c *Controller) init() {
	if c.budgets != nil {
		return
	}
	c.mitigators = make(map[guavascale.WorkerID]*workerState)
	c.budgets = make(map[guavascale.Partition]*Budget)
	c.lastMeasured = make(map[guavascale.TaskID]time.Time)
}

// observeNew passes those measurements of a worker that were not observed before
// to the estimator.
func (c *Controller) observeNew(w *Worker) {
	unseen := *w
	unseen.Services = nil
	for _, s := range w.Services {
		if s.MeasuredAt.After(c.lastMeasured[s.Task]) {
			c.lastMeasured[s.Task] = s.MeasuredAt
			unseen.Services = append(unseen.Services, s)
		}
	}
	c.Estimator.Observe(&unseen)
}
