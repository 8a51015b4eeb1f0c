package guavaqueue

import (
	"container/heap"
	"time"

	"guavascale.example"
)

type (
	// ranking yields the best worker for each task of a step in turn. It is a heap
	// of the workers that can run a task, best first. Only the first worker is
	// rated again, since a start lowers the ratings of the others at most: the
	// cost of a task depends little on the number of workers.
	ranking []ratedWorker

	ratedWorker struct {
		worker *worker
		rating float64
	}
)

// rankWorkers returns the ranking for a step. It is valid until the next call.
func (e *Engine) rankWorkers(now time.Time, st *step, q *guavascale.Queue) *ranking {
	e.ranked = e.ranked[:0]
	for _, w := range e.pool(q.Service).candidates {
		if rating, ok := e.rate(now, st, w); ok {
			e.ranked = append(e.ranked, ratedWorker{w, rating})
		}
	}
	heap.Init(&e.ranked)
	return &e.ranked
}

// best returns the best worker for a task of the step, or nil if none can run it.
func (r *ranking) best(e *Engine, now time.Time, st *step) *worker {
	for len(*r) > 0 {
		first := &(*r)[0]
		rating, ok := e.rate(now, st, first.worker)
		switch {
		case !ok:
			heap.Pop(r)
		case rating < first.rating:
			first.rating = rating
			heap.Fix(r, 0)
		default:
			first.rating = rating
			return first.worker
		}
	}
	return nil
}

func (r ranking) Len() int      { return len(r) }
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

func (r ranking) Less(i, j int) bool {
	if r[i].rating != r[j].rating {
		return r[i].rating > r[j].rating
	}
	return r[i].worker.ID < r[j].worker.ID
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) { *r = append(*r, x.(ratedWorker)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
