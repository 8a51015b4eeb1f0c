package guavascheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaorder"
	"guavascale.example/guavaowner"
)

// Guards against a change of owner whose reason is told as another one.
func TestReasonOfTakeover(t *testing.T) {
	notOwner := &notOwnerError{Reason: string(guavahandover.CommitsFailed)}
	cases := map[string]struct {
		former guavaowner.Head
		loss   error
		want   guavahandover.Reason
	}{
		"none":                   {want: guavahandover.First},
		"asked to stop":          {former: guavaowner.Head{Epoch: 1, Left: true, Reason: "Stopped"}, loss: &notOwnerError{}, want: guavahandover.Stopped},
		"yielded":                {former: guavaowner.Head{Epoch: 1, Left: true, Reason: "Yielded"}, want: guavahandover.Yielded},
		"left, earlier version":  {former: guavaowner.Head{Epoch: 1, Left: true}, want: guavahandover.Released},
		"own address":            {former: guavaowner.Head{Epoch: 1, Address: "here", Owner: "b"}, want: guavahandover.Restarted},
		"commits fail":           {former: guavaowner.Head{Epoch: 1}, loss: notOwner, want: guavahandover.CommitsFailed},
		"ping timed out":         {former: guavaowner.Head{Epoch: 1}, loss: context.DeadlineExceeded, want: guavahandover.Silent},
		"connection refused":     {former: guavaowner.Head{Epoch: 1}, loss: fmt.Errorf("dial: %w", syscall.ECONNREFUSED), want: guavahandover.Ended},
		"no owner, doesn't tell": {former: guavaowner.Head{Epoch: 1}, loss: &notOwnerError{}, want: guavahandover.Silent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Scheduler{Instance: "a", Address: "here"}
			if tc.loss != nil {
				s.lossReason = reasonOfLoss(tc.loss)
			}
			assert.Equal(t, tc.want, s.reasonOf(tc.former))
		})
	}
}

// Guards against a daemon that doesn't tell its peers why its term has ended.
func TestReasonOfEnd(t *testing.T) {
	cases := map[string]struct {
		err     error
		leaving bool
		want    guavahandover.Reason
	}{
		"asked to stop": {err: errReleased, leaving: true, want: guavahandover.Stopped},
		"yielded":       {err: errReleased, want: guavahandover.Yielded},
		"replaced":      {err: fmt.Errorf("commit: %w", &guavaowner.LostError{}), want: guavahandover.Replaced},
		"deposed":       {err: errDeposed, want: guavahandover.Deposed},
		"panicked":      {err: fmt.Errorf("%w: test", errPanicked), want: guavahandover.Panicked},
		"process ends":  {err: context.Canceled, want: guavahandover.Stopped},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{}
			tm := newTerm(clock, &countingRunner{})
			s := tm.scheduler
			s.leaving.Store(tc.leaving)
			log := zerolog.Nop()
			s.term.Store(nil)
			s.finishTerm(&log, tm.reasonOfEnd(tc.err), tc.err)
			assert.Equal(t, string(tc.want), s.pingReply("b").Reason)
			var metrics strings.Builder
			s.WriteMetrics(&metrics)
			assert.Contains(t, metrics.String(), "term.Ended."+string(tc.want)+" 1\n")
		})
	}
}

// Guards against a takeover that is not reported, or reported before its times are known.
func TestTakeoverIsReported(t *testing.T) {
	clock := &manualClock{}
	clock.advance(time.Hour)
	tm := newTerm(clock, &countingRunner{})
	var out strings.Builder
	tm.scheduler.Log = zerolog.New(&out)
	former := guavaowner.Head{Epoch: 3, CommittedMs: clock.Now().Add(-1500 * time.Millisecond).UnixMilli()}
	tm.startedAt = clock.Now().Add(-time.Second)
	tm.beginTakeover(&claim{former: former, reason: guavahandover.Silent}, make([]guavascale.Row, 7))
	tm.changeWorkers(&guavascale.WorkerChanges{Changes: []guavascale.WorkerChange{
		{Worker: guavascale.Worker{ID: "w1"}}, {Worker: guavascale.Worker{ID: "w2"}},
	}})
	clock.advance(20 * time.Millisecond)
	tm.answer(guavaorder.Order{Kind: guavaorder.Hold, Worker: guavascale.Worker{ID: "w1"}}, guavaorder.Outcome{}, clock.Now())
	tm.answer(guavaorder.Order{Kind: guavaorder.Hold, Worker: guavascale.Worker{ID: "w2"}}, guavaorder.Outcome{Err: errors.New("test")}, clock.Now())
	tm.reportTakeover(clock.Now(), false)
	require.NotContains(t, out.String(), "took over")
	clock.advance(guavahandover.MeasureFor)
	tm.reportTakeover(clock.Now(), false)
	tm.reportTakeover(clock.Now(), true)
	assert.Equal(t, 1, strings.Count(out.String(), "took over the shard"))
	for _, field := range []string{`"Reason":"Silent"`, `"Rows":7`, `"WithoutOwnerMs":1500`, `"LoadMs":1000`, `"HalfAnsweredMs":20`, `"Workers":2`, `"Answered":1`} {
		assert.Contains(t, out.String(), field)
	}
	assert.NotContains(t, out.String(), "AllAnsweredMs")
}
