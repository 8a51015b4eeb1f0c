package guavascheduler

import (
	"time"

	"github.com/rs/zerolog"
)

// outageLog logs failed commits during an outage of the store, at most one line
// per second, and the end of the outage.
type outageLog struct {
	since    time.Time
	logged   time.Time
	failures int
}

// outageInterval is the minimum interval between log lines about an outage.
const outageInterval = time.Second

func (l *outageLog) failed(log zerolog.Logger, now time.Time, err error) {
	l.failures++
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.logged) < outageInterval {
		return
	}
	l.logged = now
	log.Warn().Err(err).Int("Failures", l.failures).Dur("OutageMs", now.Sub(l.since)).
		Msg("scheduler: a commit failed or has no known outcome")
}

// retryAfter returns the retry delay sent to callers. It is as long as the outage so
// far because the longer an outage has lasted, the longer it is expected to continue,
// and callers make only a few attempts.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(minRetryAfter, outage), maxRetryAfter)
}

func (l *outageLog) recovered(log zerolog.Logger) {
	if l.failures == 0 {
		return
	}
	log.Info().Int("Failures", l.failures).Msg("scheduler: commits succeed again")
	*l = outageLog{}
}
