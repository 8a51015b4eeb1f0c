// Package guavabatch chooses the changes of the next commit.
//
// Assumed failure: the store is slow, so that hundreds of changes wait while a commit holds
// some dozens. If those that callers wait for came last, the callers would give up; if they
// always came first, the others would never be written while callers keep coming, and
// workers would repeat the ends of their runs for ever. After a change of the owner, hundreds
// of starts are stored at once, and neither callers nor these starts may wait for all of the
// others.
package guavabatch

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// MaxRows bounds the rows of a commit; the platform accepts at most 100.
	MaxRows = 90
	// MaxUrgentRows bounds the rows of a commit for which callers and starts wait while
	// others wait as well.
	MaxUrgentRows = 60
	// MaxBytes bounds the values of a commit. The platform accepts 1 MB of base64.
	MaxBytes = 500_000
	// Delay is how long changes that no caller waits for are collected for one commit.
	Delay = 25 * time.Millisecond
)

type (
	// Class is what waits for a change.
	Class int

	// Durability tells how far the changes of a submission are durable. The zero value has
	// none.
	Durability struct {
		// Dirty is set when changes are not part of a batch yet, Committing while they are
		// part of a batch whose outcome is not known.
		Dirty, Committing bool
		// Urgent is set while a caller or a start waits for the next commit.
		Urgent bool
		// Changed, Writing and Written are numbers of changes: of the last one, of the last
		// one in the batch whose outcome is not known, and in a committed one.
		Changed, Writing, Written uint64
		// RecordedBy is the value of Changed at the latest start that has to be stored.
		RecordedBy uint64
	}
)

const (
	// Caller means that a caller waits for the commit, Start that a start does.
	Caller Class = iota
	Start
	Other
)

// Change records a change by its number, which is higher than all before, and reports whether it
// is the first one since the last batch. Urgent is set if a caller or a start waits for it.
func (d *Durability) Change(number uint64, urgent bool) bool {
	first := !d.Dirty
	d.Dirty, d.Changed, d.Urgent = true, number, d.Urgent || urgent
	return first
}

// Begin makes all changes part of a batch.
func (d *Durability) Begin() {
	d.Dirty, d.Committing, d.Urgent, d.Writing = false, true, false, d.Changed
}

// Commit records that the batch is durable.
func (d *Durability) Commit() { d.Committing, d.Written = false, d.Writing }

// Settled reports whether all changes are durable.
func (d *Durability) Settled() bool { return !d.Dirty && !d.Committing }

// Class returns what waits for the next commit. Callers is set if callers do.
func (d *Durability) Class(callers bool) Class {
	switch {
	case callers:
		return Caller
	case d.Urgent || d.RecordedBy > d.Written:
		return Start
	default:
		return Other
	}
}

// Order returns the changes in the order in which they are to be committed: first those for
// which callers or starts wait, up to a share of a commit, then the others, and then the
// rest. Starts get up to a third of the share before callers get more. It keeps the order
// within a class, and may reuse changes.
func Order[T any](changes []T, class func(T) Class, share int) []T {
	slices.SortStableFunc(changes, func(a, b T) int { return cmp.Compare(class(a), class(b)) })
	var counts [Other + 1]int
	for _, c := range changes {
		counts[class(c)]++
	}
	callers := min(counts[Caller], share-min(counts[Start], share/3))
	starts := min(counts[Start], share-callers)
	if callers+starts == counts[Caller]+counts[Start] {
		return changes
	}
	waiting, others := changes[:counts[Caller]+counts[Start]], changes[counts[Caller]+counts[Start]:]
	return slices.Concat(
		waiting[:callers], waiting[counts[Caller]:counts[Caller]+starts], others,
		waiting[callers:counts[Caller]], waiting[counts[Caller]+starts:],
	)
}

// Groups yields the longest runs of items that belong with the first one of the run. The items of a
// group, but none of later ones, may be moved to earlier positions before the next group is asked
// for.
func Groups[T any](items []T, together func(first, other T) bool) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		for rest := items; len(rest) > 0; {
			n := 1
			for n < len(rest) && together(rest[0], rest[n]) {
				n++
			}
			group := rest[:n]
			if rest = rest[n:]; !yield(group) {
				return
			}
		}
	}
}
