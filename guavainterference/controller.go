package guavainterference

import (
	"time"

	"guavascale.example"
)

// Controller joins the estimator, the mitigators of workers and the budgets of
// shards. Its zero value works. It is not safe for concurrent use.
type Controller struct {
	Estimator Estimator

	mitigators map[guavascale.WorkerID]*mitigation
	budgets    map[guavascale.Partition]*Budget
	// newest is the time of the newest measurement learned from each instance.
	newest map[guavascale.TaskID]time.Time
	recent []Step
}

// mitigation is the mitigator of a worker with the time of its last use.
type mitigation struct {
	Mitigator
	at time.Time
}

const (
	// maxRecent is the number of steps that a state dump shows.
	maxRecent = 64
	// retention is how long the state of a worker that is not measured any
	// more is kept.
	retention = 10 * time.Minute
)

// Update learns from the measurements of a shard's workers and returns the
// steps to take. Each measurement is learned from once.
func (c *Controller) Update(now time.Time, shard guavascale.Partition, workers []Worker, p Policy) []Step {
	c.start()
	budget := c.budgets[shard]
	if budget == nil {
		budget = &Budget{}
		c.budgets[shard] = budget
	}
	for i := range workers {
		c.learn(&workers[i])
	}
	var steps []Step
	for i := range workers {
		w := &workers[i]
		m := c.mitigators[w.ID]
		if m == nil {
			m = &mitigation{}
			c.mitigators[w.ID] = m
		}
		m.at = now
		steps = append(steps, m.Decide(now, w, &c.Estimator, p, func() bool { return budget.Take(now, len(workers)) })...)
	}
	c.recent = append(c.recent, steps...)
	c.recent = c.recent[max(0, len(c.recent)-maxRecent):]
	return steps
}

// Recent returns the latest steps, oldest first.
func (c *Controller) Recent() []Step { return append([]Step(nil), c.recent...) }

// Forget drops the state of workers and instances that were not measured for
// ten minutes, and of shards that are not owned any more.
func (c *Controller) Forget(now time.Time, owned func(guavascale.Partition) bool) {
	for id, m := range c.mitigators {
		if now.Sub(m.at) > retention {
			delete(c.mitigators, id)
		}
	}
	for id, at := range c.newest {
		if now.Sub(at) > retention {
			delete(c.newest, id)
		}
	}
	for p := range c.budgets {
		if !owned(p) {
			delete(c.budgets, p)
		}
	}
}

func (c *Controller) start() {
	if c.budgets != nil {
		return
	}
	c.mitigators = make(map[guavascale.WorkerID]*mitigation)
	c.budgets = make(map[guavascale.Partition]*Budget)
	c.newest = make(map[guavascale.TaskID]time.Time)
}

// learn passes on the measurements of a worker that are new.
func (c *Controller) learn(w *Worker) {
	fresh := *w
	fresh.Services = nil
	for _, s := range w.Services {
		if s.MeasuredAt.After(c.newest[s.Task]) {
			c.newest[s.Task] = s.MeasuredAt
			fresh.Services = append(fresh.Services, s)
		}
	}
	c.Estimator.Observe(&fresh)
}
