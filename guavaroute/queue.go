package guavaroute

import (
	"slices"
	"time"
)

type (
	// queue is the bounded priority queue of one service. The zero value is empty.
	queue struct {
		byPriority [numPriorities][]queuedRequest
	}

	queuedRequest struct {
		request   Request
		queuedAt  time.Time
		expiresAt time.Time
	}
)

// maxFillRatio is the fraction of the queue's capacity up to which requests of
// each priority are admitted. Lower priorities are refused early, while the
// queue still has room for higher ones.
var maxFillRatio = [numPriorities]float64{Urgent: 1, Normal: 0.75, Low: 0.4}

func (q *queue) len() int {
	n := 0
	for _, l := range q.byPriority {
		n += len(l)
	}
	return n
}

// queuedAhead returns the number of queued requests that are served before a new
// one of priority p.
func (q *queue) queuedAhead(p Priority) int {
	n := 0
	for i := Urgent; i <= p; i++ {
		n += len(q.byPriority[i])
	}
	return n
}

// full reports whether a request of priority p must be refused, given the queue's
// capacity.
func (q *queue) full(p Priority, capacity int) bool {
	return float64(q.queuedAhead(p)) >= maxFillRatio[p]*float64(capacity)
}

// push appends a request. If that exceeds the capacity, it removes and returns
// the newest request of the lowest priority.
func (q *queue) push(w queuedRequest, capacity int) (shed Request, ok bool) {
	p := w.request.Priority
	q.byPriority[p] = append(q.byPriority[p], w)
	if q.len() <= max(1, capacity) {
		return Request{}, false
	}
	for i := Low; i >= Urgent; i-- {
		if n := len(q.byPriority[i]); n > 0 {
			shed = q.byPriority[i][n-1].request
			q.byPriority[i] = q.byPriority[i][:n-1]
			return shed, true
		}
	}
	return Request{}, false
}

func (q *queue) peek() (queuedRequest, bool) {
	for _, l := range q.byPriority {
		if len(l) > 0 {
			return l[0], true
		}
	}
	return queuedRequest{}, false
}

func (q *queue) pop() {
	for i, l := range q.byPriority {
		if len(l) > 0 {
			q.byPriority[i] = l[1:]
			return
		}
	}
}

// expire removes and returns the requests whose maximum queueing time is over.
func (q *queue) expire(now time.Time) []Request {
	var requests []Request
	for i, l := range q.byPriority {
		q.byPriority[i] = slices.DeleteFunc(l, func(w queuedRequest) bool {
			expired := !now.Before(w.expiresAt)
			if expired {
				requests = append(requests, w.request)
			}
			return expired
		})
	}
	return requests
}

func (q *queue) remove(id uint64) bool {
	for i, l := range q.byPriority {
		index := slices.IndexFunc(l, func(w queuedRequest) bool { return w.request.ID == id })
		if index >= 0 {
			q.byPriority[i] = slices.Delete(l, index, index+1)
			return true
		}
	}
	return false
}
