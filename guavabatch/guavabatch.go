// Package guavabatch chooses the changes of the next commit.
//
// Assumed failure: the store is slow, so that hundreds of changes wait while a commit holds
// some dozens. If those that callers wait for came last, the callers would give up; if they
// always came first, the others would never be written while callers keep coming, and
// workers would repeat the ends of their runs for ever.
package guavabatch

import "slices"

// Order returns the changes in the order in which they are to be committed: first those
// that are urgent, up to a share of a commit, then the others, and then the rest. It keeps
// the order among both, and may reuse changes.
func Order[T any](changes []T, urgent func(T) bool, share int) []T {
	slices.SortStableFunc(changes, func(a, b T) int {
		switch ua, ub := urgent(a), urgent(b); {
		case ua == ub:
			return 0
		case ua:
			return -1
		default:
			return 1
		}
	})
	n := 0
	for n < len(changes) && urgent(changes[n]) {
		n++
	}
	if n <= share || n == len(changes) {
		return changes
	}
	return slices.Concat(changes[:share], changes[n:], changes[share:n])
}
