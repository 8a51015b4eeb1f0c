package guavaqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a new owner whose clock is behind that of the earlier one, and that takes note
// of runs and ends of an occurrence that isn't due by its clock without counting them, so that
// the occurrence runs twice.
func TestClockOfNewOwnerIsBehind(t *testing.T) {
	cases := map[string]struct {
		// work is how long the run takes, and ended whether it ends under the earlier owner.
		work  time.Duration
		ended bool
	}{
		"ended":   {200 * time.Millisecond, true},
		"running": {4 * time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			s := batchOf("a", 1, 1, tc.work)
			s.Repeat, s.StartAt, s.Interval = 1, f.now.Add(5*time.Second), time.Hour
			f.submit(s)
			f.tickUntil(func() bool { return f.starts == 1 })
			f.workers["w0"].unreachable = true
			f.advance(400 * time.Millisecond)
			require.Equal(t, tc.ended, f.countRunning("a") == 0)
			f.now = f.now.Add(-3 * time.Second)
			f.lastCommit = f.now
			f.workers["w0"].unreachable = false
			f.replaceOwner()
			f.advance(15 * time.Second)
			assert.Equal(t, 1, f.starts)
			assert.True(t, f.isDone("a"))
		})
	}
}
