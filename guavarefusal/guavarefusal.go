// Package guavarefusal finds the items that a store refuses for good.
//
// Assumed failure: the store refuses a commit because of one of its rows, and would
// refuse it again. Committed once more as it is, it holds up all other rows for ever, and
// the owner loses its shard. So the items of a refused commit are committed in two
// groups, and those of a refused group in two smaller ones, until one item is left. This
// one is set aside and tried again from time to time.
//
// A store that refuses everything is no sign against an item. A refusal only counts if
// the store has accepted another commit since the one before.
package guavarefusal

import "time"

type (
	// Ledger holds the items that were in a refused commit, each in a group: a number
	// greater than 0, or Aside. All others have group 0. The zero value is ready to use.
	Ledger[T comparable] struct {
		groups  map[T]int
		records map[T]*record
		last    int
		// waiting holds the groups to commit. others is set if the next commit is not
		// one of group 0.
		waiting []int
		others  bool
	}

	// record is the record of an item that was refused by itself.
	record struct {
		// count is the number of the refusals that count.
		count int
		// at is the time of the latest refusal.
		at time.Time
	}
)

const (
	// Aside is the group of the items that are not to be committed now.
	Aside = -1
	// firstRetry is the time after the first refusal at which an item is tried again. It
	// doubles with each refusal, at most maxDoublings times.
	firstRetry   = time.Second
	maxDoublings = 5
	// hopeless is the number of refusals after which an item is given up, 15 s after the
	// first one.
	hopeless = 5
)

// Next returns the group of the next commit. Every second one is 0, so that items that
// nothing is known against don't wait for the others.
func (l *Ledger[T]) Next() int {
	l.others = !l.others && len(l.waiting) > 0
	if !l.others {
		return 0
	}
	n := l.waiting[0]
	l.waiting = l.waiting[1:]
	return n
}

// Group returns the group of an item.
func (l *Ledger[T]) Group(item T) int { return l.groups[item] }

// Again makes a group wait again, part of which has not been committed.
func (l *Ledger[T]) Again(group int) {
	if group > 0 {
		l.waiting = append(l.waiting, group)
	}
}

// Accepted removes items that were committed or are dropped.
func (l *Ledger[T]) Accepted(items ...T) {
	if len(l.groups) == 0 {
		return
	}
	for _, item := range items {
		delete(l.groups, item)
		delete(l.records, item)
	}
}

// Suspect puts items into a new group.
func (l *Ledger[T]) Suspect(items ...T) {
	if len(items) == 0 {
		return
	}
	if l.groups == nil {
		l.groups, l.records = make(map[T]int), make(map[T]*record)
	}
	l.last++
	l.waiting = append(l.waiting, l.last)
	for _, item := range items {
		l.groups[item] = l.last
	}
}

// Refused records that the items of one commit were refused. It returns false if there
// is a single one, which the caller has to set aside.
func (l *Ledger[T]) Refused(items []T) bool {
	if len(items) == 1 {
		return false
	}
	l.Suspect(items[:len(items)/2]...)
	l.Suspect(items[len(items)/2:]...)
	return true
}

// SetAside sets an item aside. LastCommit is the time of the latest commit that the store
// has accepted. SetAside reports whether the item is hopeless.
func (l *Ledger[T]) SetAside(now, lastCommit time.Time, item T) bool {
	if l.groups == nil {
		l.groups, l.records = make(map[T]int), make(map[T]*record)
	}
	r := l.records[item]
	if r == nil {
		r = &record{}
		l.records[item] = r
	}
	if r.count == 0 || lastCommit.After(r.at) {
		r.count++
	}
	r.at, l.groups[item] = now, Aside
	return r.count >= hopeless
}

// Retry puts the items that were set aside into groups of their own when it is time to
// try them. ReadyAt returns the time at which an item has become one of another kind, or
// the zero time: it is tried at once if that is not before its refusal.
func (l *Ledger[T]) Retry(now time.Time, readyAt func(T) time.Time) {
	for item, r := range l.records {
		if l.groups[item] != Aside {
			continue
		}
		wait := firstRetry << min(max(r.count-1, 0), maxDoublings)
		if ready := readyAt(item); !ready.IsZero() && !ready.Before(r.at) || !now.Before(r.at.Add(wait)) {
			l.Suspect(item)
		}
	}
}
