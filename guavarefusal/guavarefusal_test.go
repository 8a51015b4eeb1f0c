package guavarefusal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an item that holds up the others: those that the store accepts are all
// committed, in few commits, and only the others are left.
func TestRefusedItemsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 90).Draw(t, "n")
		bad := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, min(n, 3), rapid.ID).Draw(t, "bad")
		refused := make(map[int]bool)
		for _, i := range bad {
			refused[i] = true
		}
		var l Ledger[int]
		open, found := make(map[int]bool), make(map[int]bool)
		for i := range n {
			open[i] = true
		}
		for commits := 0; len(open) > 0; commits++ {
			require.Less(t, commits, 2+len(bad)*4*8, "two groups for each halving, and every second commit is for the others")
			group, items, ok := l.Next(), []int{}, true
			for i := range n {
				if open[i] && l.Group(i) == group {
					items, ok = append(items, i), ok && !refused[i]
				}
			}
			switch {
			case ok:
				l.Accepted(items...)
				for _, i := range items {
					delete(open, i)
				}
			case !l.Refused(items):
				l.SetAside(time.Time{}, time.Time{}, items[0])
				found[items[0]] = true
				delete(open, items[0])
			}
		}
		assert.Equal(t, refused, found)
		for i := range n {
			assert.Equal(t, refused[i], l.Group(i) == Aside)
		}
	})
}

// Guards against items that are given up because the store refuses everything for a
// while.
func TestStoreThatRefusesAllIsNoSignAgainstItem(t *testing.T) {
	start := time.Unix(0, 0)
	var l Ledger[string]
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Minute)
		assert.False(t, l.SetAside(now, start, "all are refused"))
		assert.Equal(t, i >= hopeless-1, l.SetAside(now, now.Add(-time.Second), "others are accepted"))
	}
}

// Guards against an item that is never tried again, and one that waits though the store
// may accept it now.
func TestItemsAreTriedAgain(t *testing.T) {
	start := time.Unix(100, 0)
	cases := map[string]struct {
		after   time.Duration
		readyAt time.Time
		tried   bool
	}{
		"too early":              {after: firstRetry - 1},
		"in time":                {after: firstRetry, tried: true},
		"another since":          {after: 1, readyAt: start, tried: true},
		"another before refusal": {after: 1, readyAt: start.Add(-1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var l Ledger[string]
			l.SetAside(start, start, "a")
			l.Retry(start.Add(tc.after), func(string) time.Time { return tc.readyAt })
			assert.Equal(t, tc.tried, l.Group("a") > 0)
			assert.Equal(t, 0, l.Next()*l.Next(), "one of both is the others'")
		})
	}
}
