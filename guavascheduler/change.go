package guavascheduler

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
)

// reasonOfLoss returns why contact with the owner was lost.
func reasonOfLoss(err error) guavahandover.Reason {
	var notOwner *notOwnerError
	switch {
	case errors.As(err, &notOwner) && notOwner.Reason != "":
		return guavahandover.Reason(notOwner.Reason)
	case isRefused(err):
		return guavahandover.Ended
	default:
		return guavahandover.Silent
	}
}

// reasonOf returns why the owner that wrote a head is gone.
func (s *Scheduler) reasonOf(former guavaowner.Head) guavahandover.Reason {
	switch {
	case former.Epoch == 0:
		return guavahandover.First
	case former.Left && former.Reason != "":
		return guavahandover.Reason(former.Reason)
	case former.Left:
		return guavahandover.Released
	case former.Address == s.Address && former.Owner != s.Instance:
		return guavahandover.Restarted
	case s.lossReason != "":
		return s.lossReason
	default:
		return guavahandover.Silent
	}
}

// releaseReason returns why the term releases the shard.
func (t *term) releaseReason() guavahandover.Reason {
	if t.scheduler.leaving.Load() {
		return guavahandover.Stopped
	}
	return guavahandover.Yielded
}

// reasonOfEnd returns why the term has ended.
func (t *term) reasonOfEnd(err error) guavahandover.Reason {
	var lost *guavaowner.LostError
	switch {
	case errors.Is(err, errReleased):
		return t.releaseReason()
	case errors.As(err, &lost):
		return guavahandover.Replaced
	case errors.Is(err, errDeposed):
		return guavahandover.Deposed
	case errors.Is(err, errPanicked):
		return guavahandover.Panicked
	default:
		return guavahandover.Stopped
	}
}

// finishTerm logs and counts the end of a term.
func (s *Scheduler) finishTerm(log *zerolog.Logger, reason guavahandover.Reason, err error) {
	s.endReason.Store(reason)
	s.meters.count("term.Ended."+string(reason), 1)
	line := log.Info()
	if reason == guavahandover.LoadFailed {
		line = log.Error()
	}
	line.Str("Reason", string(reason)).Err(err).Msg("scheduler: the term has ended")
}

// beginTakeover begins to measure the term of a claim, whose rows are loaded.
func (t *term) beginTakeover(c *claim, rows []guavascale.Row) {
	now := t.scheduler.Clock.Now()
	t.takeover = guavahandover.Takeover{
		Reason: c.reason, Began: now, Rows: len(rows), Load: now.Sub(t.startedAt), Copied: t.takeover.Copied,
	}
	for i := range rows {
		t.takeover.Bytes += len(rows[i].Value)
	}
	if ms := c.former.CommittedMs; ms > 0 {
		t.takeover.WithoutOwner = max(now.Sub(time.UnixMilli(ms)), 0)
	}
}

// reportTakeover logs what the change of owner has cost, once it is known or the term ends.
func (t *term) reportTakeover(now time.Time, end bool) {
	k, m := &t.takeover, &t.scheduler.meters
	listed, answered := k.Workers()
	times, ok := k.Finish(now, end)
	if !ok {
		return
	}
	m.count("takeover."+string(k.Reason), 1)
	line := t.scheduler.Log.Info().Uint64("Epoch", t.engine.Token).Str("Reason", string(k.Reason)).
		Int("Rows", k.Rows).Int("Bytes", k.Bytes).Bool("Copied", k.Copied).Int("Workers", listed).Int("Answered", answered)
	record := func(field, name string, d time.Duration) {
		if d > 0 {
			m.recordDuration("takeover."+name, d)
			line.Dur(field, d)
		}
	}
	record("WithoutOwnerMs", "without-owner", k.WithoutOwner)
	record("LoadMs", "load", k.Load)
	record("HalfAnsweredMs", "half-answered", times.Half)
	record("MostAnsweredMs", "most-answered", times.Most)
	record("AllAnsweredMs", "all-answered", times.All)
	record("FirstStartMs", "first-start", times.Start)
	line.Msg("scheduler: took over the shard")
}
