package guavaroute

import (
	"slices"
	"time"
)

type (
	// queue holds the waiting tickets of one service. Its zero value is empty.
	queue struct {
		lines [priorities][]waiter
	}

	waiter struct {
		ticket Ticket
		since  time.Time
		until  time.Time
	}
)

// admitPart is the part of the queue that may be filled when a ticket of the
// priority joins. Lower priorities are refused early, while the queue still
// has room for higher ones.
var admitPart = [priorities]float64{Urgent: 1, Normal: 0.75, Low: 0.4}

func (q *queue) len() int {
	n := 0
	for _, l := range q.lines {
		n += len(l)
	}
	return n
}

// ahead returns the number of tickets that are served before one of p.
func (q *queue) ahead(p Priority) int {
	n := 0
	for i := Urgent; i <= p; i++ {
		n += len(q.lines[i])
	}
	return n
}

// full reports whether a ticket of priority p is refused at this capacity.
func (q *queue) full(p Priority, capacity int) bool {
	return float64(q.ahead(p)) >= admitPart[p]*float64(capacity)
}

// push appends a waiter. When that exceeds the capacity, the newest ticket of
// the lowest priority is taken out and returned.
func (q *queue) push(w waiter, capacity int) (shed Ticket, ok bool) {
	p := w.ticket.Priority
	q.lines[p] = append(q.lines[p], w)
	if q.len() <= max(1, capacity) {
		return Ticket{}, false
	}
	for i := Low; i >= Urgent; i-- {
		if n := len(q.lines[i]); n > 0 {
			shed = q.lines[i][n-1].ticket
			q.lines[i] = q.lines[i][:n-1]
			return shed, true
		}
	}
	return Ticket{}, false
}

func (q *queue) peek() (waiter, bool) {
	for _, l := range q.lines {
		if len(l) > 0 {
			return l[0], true
		}
	}
	return waiter{}, false
}

func (q *queue) pop() {
	for i, l := range q.lines {
		if len(l) > 0 {
			q.lines[i] = l[1:]
			return
		}
	}
}

// expire takes out the tickets whose waiting time is over.
func (q *queue) expire(now time.Time) []Ticket {
	var out []Ticket
	for i, l := range q.lines {
		q.lines[i] = slices.DeleteFunc(l, func(w waiter) bool {
			late := !now.Before(w.until)
			if late {
				out = append(out, w.ticket)
			}
			return late
		})
	}
	return out
}

func (q *queue) remove(id uint64) bool {
	for i, l := range q.lines {
		at := slices.IndexFunc(l, func(w waiter) bool { return w.ticket.ID == id })
		if at >= 0 {
			q.lines[i] = slices.Delete(l, at, at+1)
			return true
		}
	}
	return false
}
