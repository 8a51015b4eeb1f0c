package guavascheduler

import (
	"context"
	"errors"
	"fmt"
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
// the head shows whether it was. An attempt that is still on its way can't be applied any
// more once another commit has written the head; until then nobody may be told that the
// content was refused.
func (t *term) settleRefusal(ctx context.Context, firstStart time.Time, refusal error, mayHaveApplied bool) (applied bool, err error) {
	if !mayHaveApplied {
		t.chain.Refused()
		return false, refusal
	}
	applied, err = t.resolveCommit(ctx)
	if applied {
		t.recordCommit(firstStart)
	}
	for !applied && err == nil {
		var heartbeat guavascale.Commit
		if heartbeat, err = t.chain.Next(newID(), nil, false, ""); err != nil {
			break
		}
		written, heartbeatErr := t.settle(ctx, heartbeat)
		var unavailable *guavascale.UnavailableError
		switch {
		case written:
			return false, refusal
		case errors.As(heartbeatErr, &unavailable):
			sleep(ctx, commitRetryDelay)
		case heartbeatErr != nil:
			// Not wrapped: an error of the heartbeat doesn't tell the outcome of the commit.
			err = fmt.Errorf("the outcome of a refused commit is unknown: %v", heartbeatErr)
		}
	}
	return applied, err
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
