package guavahandover

import (
	"time"

	"guavascale.example"
)

type (
	// Takeover measures the first seconds of a term. The zero value measures nothing; the
	// exported fields are set once the term begins.
	Takeover struct {
		// Reason is why the former owner is gone, and Began when the new one began to
		// act.
		Reason Reason
		Began  time.Time
		// WithoutOwner is the time from the former owner's last commit until Began, by the
		// clocks of both hosts, or 0 if it is not known.
		WithoutOwner time.Duration
		// Rows is the number of rows of the shard, Bytes the size of their values, and
		// Load how long it took to have them after the claim. Copied is set if they had
		// been loaded before it.
		Rows, Bytes int
		Load        time.Duration
		Copied      bool

		listed, answered map[guavascale.WorkerID]bool
		// heard counts the listed workers that have answered.
		heard int
		times Times
		done  bool
	}

	// Times are the times from the beginning of a term until something was reached, or
	// 0 if it has not been.
	Times struct {
		// Half, Most and All are until 50%, 90% and all of the listed workers have
		// answered.
		Half, Most, All time.Duration
		// Start is until a worker has confirmed the first start of a run.
		Start time.Duration
	}
)

// MeasureFor is how long a takeover is measured. A worker that has not answered by then is
// one that has failed, and a shard without a start one without work.
const MeasureFor = 10 * time.Second

// List records a change of the list of workers.
func (t *Takeover) List(now time.Time, c *guavascale.WorkerChanges) {
	if !t.measures() {
		return
	}
	if t.listed == nil {
		t.listed = make(map[guavascale.WorkerID]bool, len(c.Changes))
	}
	for i := range c.Changes {
		switch id := c.Changes[i].Worker.ID; {
		case c.Changes[i].Removed && t.listed[id]:
			delete(t.listed, id)
			if t.answered[id] {
				t.heard--
			}
		case !c.Changes[i].Removed && !t.listed[id]:
			t.listed[id] = true
			if t.answered[id] {
				t.heard++
			}
		}
	}
	t.update(now)
}

// Answered records that a worker has answered, and Started that it has confirmed a start.
func (t *Takeover) Answered(now time.Time, id guavascale.WorkerID) {
	if !t.measures() || t.answered[id] {
		return
	}
	if t.answered == nil {
		t.answered = make(map[guavascale.WorkerID]bool)
	}
	t.answered[id] = true
	if t.listed[id] {
		t.heard++
	}
	t.update(now)
}

// Started records that a worker has confirmed a start.
func (t *Takeover) Started(now time.Time) {
	if t.measures() && t.times.Start == 0 {
		t.times.Start = t.elapsed(now)
	}
}

// Finish returns the times once all are known or the takeover has been measured for
// MeasureFor. It returns false before, and after it has returned true. Force is set at the
// end of the term.
func (t *Takeover) Finish(now time.Time, force bool) (Times, bool) {
	complete := t.times.All > 0 && t.times.Start > 0
	if !t.measures() || !complete && !force && now.Sub(t.Began) < MeasureFor {
		return Times{}, false
	}
	t.done, t.listed, t.answered = true, nil, nil
	return t.times, true
}

// Workers returns the number of listed workers and of those that have answered.
func (t *Takeover) Workers() (listed, answered int) { return len(t.listed), t.heard }

func (t *Takeover) measures() bool { return !t.Began.IsZero() && !t.done }

// elapsed returns the time since the beginning, at least a nanosecond.
func (t *Takeover) elapsed(now time.Time) time.Duration { return max(now.Sub(t.Began), 1) }

func (t *Takeover) update(now time.Time) {
	n := len(t.listed)
	if n == 0 {
		return
	}
	reached := func(at *time.Duration, percent int) {
		if *at == 0 && 100*t.heard >= percent*n {
			*at = t.elapsed(now)
		}
	}
	reached(&t.times.Half, 50)
	reached(&t.times.Most, 90)
	reached(&t.times.All, 100)
}
