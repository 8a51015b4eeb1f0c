package guavacrash

import "time"

// Place is a worker as a place for tasks on trial, named by T. The zero value is free.
type Place[T comparable] struct {
	task  T
	until time.Time
}

// Take takes the place for a task that starts there until a given time, if the task is on
// trial.
func (p *Place[T]) Take(until time.Time, task T, r Record) {
	if r.OnTrial() {
		p.task, p.until = task, until
	}
}

// Taken reports whether a task on trial has just started there.
func (p Place[T]) Taken(now time.Time) bool { return now.Before(p.until) }

// TakenByOther reports whether a task on trial other than the given one has just started
// there. A start is checked again once it is stored, when its task has taken the place.
func (p Place[T]) TakenByOther(now time.Time, task T) bool { return p.Taken(now) && p.task != task }
