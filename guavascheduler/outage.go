package guavascheduler

import (
	"time"

	"github.com/rs/zerolog"
)

// outageLog logs the begin, the course and the end of an outage of the store,
// with at most one line a second.
type outageLog struct {
	since    time.Time
	logged   time.Time
	failures int
}

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

// retryAfter returns when callers should come back in an outage: the longer it
// has lasted, the longer it is expected to last, and callers try a few times only.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(minRetryAfter, outage/2), maxRetryAfter)
}

func (l *outageLog) ok(log zerolog.Logger) {
	if l.failures == 0 {
		return
	}
	log.Info().Int("Failures", l.failures).Msg("scheduler: commits succeed again")
	*l = outageLog{}
}
