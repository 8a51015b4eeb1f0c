package guavascheduler

import (
	"context"
	"errors"
	"time"

	"guavascale.example"
	"guavascale.example/guavaqueue"
)

// isRefusal reports whether the store has refused the content of a commit for good.
func isRefusal(err error) bool {
	var refused *guavascale.RefusedError
	return errors.As(err, &refused)
}

// settleRefusal returns the outcome of a commit of which an attempt that started at the
// given time or later was refused for good. If an earlier attempt may have been applied,
// the head shows whether it was: the store refuses the same content from now on.
func (t *term) settleRefusal(ctx context.Context, firstStart time.Time, refusal error, mayHaveApplied bool) (applied bool, err error) {
	if !mayHaveApplied {
		t.chain.Refused()
		return false, refusal
	}
	applied, err = t.resolveCommit(ctx)
	if applied {
		t.recordCommit(firstStart)
	}
	if applied || err != nil {
		return applied, err
	}
	return false, refusal
}

// refuse handles a batch, or a heartbeat if b is nil, that the store refuses for good.
// The engine leaves what it concerns out of later batches.
func (t *term) refuse(now time.Time, b *guavaqueue.Batch, refusal error) {
	t.nextCommit = now.Add(commitRetryDelay)
	t.scheduler.meters.count("commit.Refused", 1)
	rows := 0
	if b != nil {
		rows = len(b.Writes)
		t.engine.Refused(now, time.Unix(0, t.lastCommit.Load()), b, refusal)
	}
	t.scheduler.Log.Warn().Int("Rows", rows).Err(refusal).Msg("scheduler: the store refuses the content of a commit")
}
