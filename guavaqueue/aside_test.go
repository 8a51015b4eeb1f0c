package guavaqueue

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaevent"
	"guavascale.example/guavalimit"
	"guavascale.example/guavarow"
)

var errTooLarge = errors.New("status 413")

// events returns the reasons of the events of a kind about a submission.
func (f *fleet) events(kind guavaevent.Kind, id string) []string {
	var reasons []string
	events, _ := f.engine.Events()
	for _, ev := range events {
		if ev.Kind == kind && ev.Submission == id {
			reasons = append(reasons, ev.Reason)
		}
	}
	return reasons
}

// isProgressOfBad reports whether a write is the progress of the submission "bad".
func isProgressOfBad(w guavascale.Write) bool {
	return w.Key == guavarow.ProgressKey("bad") && strings.Contains(string(w.Value), "Done")
}

// Guards against one row that the store refuses and that holds up the commits of all other
// submissions, and of each next owner.
func TestRefusedSubmissionHoldsUpNoOther(t *testing.T) {
	f := newFleet(t, 20)
	f.refuses = isProgressOfBad
	f.submit(batchOf("bad", 6, 2, 500*time.Millisecond))
	for i := range 30 {
		f.submit(batchOf(fmt.Sprintf("s%02d", i), 2, 1, 200*time.Millisecond))
	}
	f.advance(2 * time.Second)
	reasons := f.events(guavaevent.SetAside, "bad")
	require.NotEmpty(t, reasons)
	assert.Contains(t, reasons[0], "Progress/bad (")
	assert.Contains(t, reasons[0], errTooLarge.Error())
	f.submit(batchOf("new", 1, 1, 200*time.Millisecond))
	f.advance(time.Second)
	assert.True(t, f.accepted["new"])
	f.replaceOwner()
	f.advance(6 * time.Second)
	for id := range f.submissions {
		if id != "bad" {
			assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State(id)), id)
		}
	}
	assert.Equal(t, guavascale.SubmissionRunning, stateOrUnknown(f.engine.State("bad")))
	f.advance(20 * time.Second)
	assert.Equal(t, guavascale.SubmissionFailed, stateOrUnknown(f.engine.State("bad")), "its ends would hold up those of others")
	f.advance(time.Second)
	for _, w := range f.engine.workers {
		assert.Equal(t, w.ends.Seen, w.ends.Durable)
	}
}

// Guards against a submission that stays set aside although the store takes its row again,
// and against one that can't be cancelled meanwhile.
func TestSetAsideSubmissionGoesOn(t *testing.T) {
	cases := map[string]struct {
		cancel bool
		want   guavascale.SubmissionState
	}{
		"accepted again": {false, guavascale.SubmissionCompleted},
		"cancelled":      {true, guavascale.SubmissionCancelled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.refuses = isProgressOfBad
			f.submit(batchOf("bad", 6, 2, 500*time.Millisecond))
			f.advance(1500 * time.Millisecond)
			require.NotEmpty(t, f.events(guavaevent.SetAside, "bad"))
			cancelled := false
			if tc.cancel {
				f.engine.Cancel(f.now, "bad", func(guavascale.SubmissionState) { cancelled = true })
				f.advance(200 * time.Millisecond)
			} else {
				f.refuses = nil
				f.advance(5 * time.Second)
			}
			assert.Equal(t, tc.cancel, cancelled)
			assert.Equal(t, tc.want, stateOrUnknown(f.engine.State("bad")))
		})
	}
}

// Guards against a caller that is told that its submission is stored, or that waits for
// ever, when the store refuses its row.
func TestRefusedAcceptanceIsReported(t *testing.T) {
	f := newFleet(t, 1)
	f.refuses = func(w guavascale.Write) bool { return w.Key == guavarow.SubmissionKey("bad") }
	var replies []guavascale.SubmissionState
	require.NoError(t, f.engine.Submit(f.now, batchOf("bad", 1, 1, time.Second), func(s guavascale.SubmissionState) { replies = append(replies, s) }))
	f.submit(batchOf("good", 1, 1, time.Second))
	f.advance(time.Second)
	assert.Equal(t, []guavascale.SubmissionState{""}, replies)
	assert.False(t, f.engine.Known("bad"))
	assert.True(t, f.accepted["good"])
	assert.Empty(t, f.engine.dirty)
}

// Guards against a row of the whole shard that the store refuses and that holds up all
// submissions.
func TestRefusedSharedRowHoldsUpNoSubmission(t *testing.T) {
	f := newFleet(t, 2)
	f.advance(time.Second)
	f.refuses = func(w guavascale.Write) bool {
		return !strings.HasPrefix(w.Key, "Submission/") && !strings.HasPrefix(w.Key, "Progress/")
	}
	f.engine.fleetDirty = true
	f.submit(batchOf("a", 2, 2, 200*time.Millisecond))
	f.advance(3 * time.Second)
	assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("a")))
	assert.NotEmpty(t, f.events(guavaevent.SetAside, ""))
	assert.Less(t, f.refused, 8, "the row is not repeated all the time")
	f.refuses = nil
	f.advance(2 * time.Second)
	assert.False(t, f.engine.fleetDirty)
}

// Guards against a new owner that can't load the shard, or that starts done tasks again,
// because a row of one submission can't be read.
func TestUnreadableRowStopsOnlyItsSubmission(t *testing.T) {
	cases := map[string]struct{ key, value string }{
		"progress of a later version": {guavarow.ProgressKey("a"), `{"State":"running","Steps":"new"}`},
		"progress of other steps":     {guavarow.ProgressKey("a"), `{"State":"running","Steps":[{"Step":7,"Done":[0]}]}`},
		"not JSON":                    {guavarow.ProgressKey("a"), `{`},
		"submission":                  {guavarow.SubmissionKey("a"), `{"Submission":{"ID":"a","StartAt":"soon"}}`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.submit(batchOf("a", 1, 2, 10*time.Second))
			f.submit(batchOf("b", 2, 2, 2*time.Second))
			f.advance(time.Second)
			f.rows[tc.key] = []byte(tc.value)
			f.replaceOwner()
			require.NotEmpty(t, f.events(guavaevent.SetAside, "a"))
			starts := f.starts
			f.advance(10 * time.Second)
			assert.Equal(t, guavascale.SubmissionCompleted, stateOrUnknown(f.engine.State("b")))
			assert.Equal(t, starts+2, f.starts, "only those of the second step of b")
			assert.Equal(t, tc.value, string(f.rows[tc.key]))
			f.engine.Cancel(f.now, "a", func(guavascale.SubmissionState) {})
			f.advance(time.Second)
			assert.Equal(t, guavascale.SubmissionCancelled, stateOrUnknown(f.engine.State("a")))
		})
	}
}

// Guards against progress that grows with all occurrences that ever were, until the store
// refuses it.
func TestManyOccurrencesFitIntoTheRow(t *testing.T) {
	f := newFleet(t, 4)
	s := batchOf("a", 1, 1, time.Millisecond)
	s.Repeat, s.StartAt, s.Interval = guavalimit.MaxScheduledTasks, f.now.Add(-time.Hour), time.Millisecond
	f.submit(s)
	f.advance(time.Second)
	sub := f.engine.subs["a"]
	for sub.occurrences < s.Repeat {
		f.engine.addOccurrence(sub)
	}
	for i, st := range sub.steps {
		if i%3 > 0 {
			f.engine.markDone(f.now, st.tasks[0])
		}
	}
	b := &Batch{}
	require.NoError(t, f.engine.write(sub, b))
	require.Len(t, b.Writes, 1)
	assert.LessOrEqual(t, len(b.Writes[0].Value), guavarow.MaxBytes)
	f.rows[b.Writes[0].Key] = b.Writes[0].Value
	f.replaceOwner()
	restored := f.engine.subs["a"]
	require.Len(t, restored.steps, len(sub.steps))
	assert.True(t, slices.EqualFunc(sub.steps, restored.steps, func(a, b *step) bool { return a.done == b.done }))
}
