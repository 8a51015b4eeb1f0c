package guavaclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	terms = Terms{LeaseMax: 6 * time.Second, OrderDelay: 12 * time.Second}
)

// Guards against bounds that a worker's clock breaks, and a restart that is seen where
// none was: whatever the rate of the clock and the times of the calls.
func TestClockStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1-maxDrift, 1).Draw(t, "rate")
		start := rapid.Int64Range(0, 1e6).Draw(t, "start")
		worker := func(at time.Time) time.Duration {
			return time.Duration(start)*time.Millisecond + time.Duration(rate*float64(at.Sub(epoch)))
		}
		millis := func(most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(t, "ms")) * time.Millisecond
		}
		now := epoch
		var c Clock
		for range 10 {
			sent := now.Add(millis(5000))
			read := sent.Add(millis(2000))
			now = read.Add(millis(2000))
			var restarted bool
			c, restarted = c.Read(now, sent, worker(read))
			assert.False(t, restarted)
			later := now.Add(millis(20_000))
			assert.LessOrEqual(t, c.Earliest(later), worker(later))
			assert.GreaterOrEqual(t, c.Latest(later)+time.Microsecond, worker(later))
		}
	})
}

// Guards against a lease that counts as expired while it may last, and against one that
// never does, whatever is known of the clock.
func TestLeaseExpires(t *testing.T) {
	clock, _ := Clock{}.Read(epoch, epoch, 40*time.Second)
	granted, _ := Lease{}.Extend(epoch, clock, 5*time.Second, time.Time{})
	rebooted, _ := Clock{}.Read(epoch.Add(time.Second), epoch.Add(time.Second), time.Second)
	cases := map[string]struct {
		lease    Lease
		clock    Clock
		earliest time.Duration
	}{
		"clock known":                  {granted, clock, 5250 * time.Millisecond},
		"restarted, clock unknown":     {granted.Restarted(terms), Clock{}, 18370 * time.Millisecond},
		"restarted, clock known again": {granted.Restarted(terms), rebooted, 18370 * time.Millisecond},
		"restarted twice":              {granted.Restarted(terms).Restarted(terms), Clock{}, 18370 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.False(t, tc.lease.Expired(epoch.Add(tc.earliest), tc.clock))
			assert.True(t, tc.lease.Expired(epoch.Add(tc.earliest+150*time.Millisecond), tc.clock))
		})
	}
	assert.False(t, Lease{}.Expired(epoch.Add(time.Hour), Clock{}), "nothing is known")
}

// Guards against a lease that outlasts the time that the owner has promised.
func TestLeaseEndsByTheOwnersBound(t *testing.T) {
	clock, _ := Clock{}.Read(epoch, epoch, 40*time.Second)
	l := Lease{End: 46 * time.Second}
	l, end := l.Extend(epoch, clock, 5*time.Second, epoch.Add(2*time.Second))
	assert.Equal(t, 46*time.Second, l.End, "an earlier owner may have granted it")
	assert.Equal(t, 41960*time.Millisecond, end, "a clock that is 2% slow shows this after 2 s")
}
