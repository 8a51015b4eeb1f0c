package guavaadmission

import "time"

const (
	// slotTime and slots are the resolution and the length of what a flow remembers.
	slotTime = 250 * time.Millisecond
	slots    = 64
	// recentSlots is the part of it that shows how fast a flow drains now.
	recentSlots = 16
	// standingTime is the time for which a backlog lasts at the least, at its drain rate.
	// Work that has just arrived waits for the next scheduling pass in any case.
	standingTime = 500 * time.Millisecond
	// minStarts is the number of starts from which a drain rate is known.
	minStarts = 8
)

// flow is the waiting work of some kind and how fast it has drained.
type flow struct {
	// priority is the highest number of a priority that belongs to the flow: what has a
	// lower one is served first.
	priority int
	waiting  float64
	// started and starts are the amount and the number of starts in each slot of time, and
	// slot is the current one.
	started [slots]float64
	starts  [slots]int32
	slot    int64
	// since is the time since which the backlog stands, or zero.
	since time.Time
	// usedAt is when the flow was last started or waiting.
	usedAt time.Time
	// next is the time at which the next caller that is rejected should return.
	next time.Time
}

// advance forgets the slots that are too old.
func (f *flow) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotTime)
	for range min(slot-f.slot, slots) {
		f.slot++
		f.started[f.slot%slots], f.starts[f.slot%slots] = 0, 0
	}
	f.slot = slot
}

func (f *flow) start(now time.Time, amount float64) {
	f.advance(now)
	f.started[f.slot%slots] += amount
	f.starts[f.slot%slots]++
	f.usedAt = now
}

// rate returns the amount that was started in a second, and whether there were enough starts
// to know it. Of the recent time and all of the time for which the backlog stands, the one
// with the higher rate counts.
func (f *flow) rate(now time.Time) (float64, bool) {
	f.advance(now)
	all := slots
	if !f.since.IsZero() {
		all = min(max(int(now.Sub(f.since)/slotTime), 1), slots)
	}
	rate, starts, amount := 0.0, 0, 0.0
	// The current slot is not over yet.
	over := time.Duration(now.UnixNano() % int64(slotTime))
	for i := range all {
		j := (f.slot - int64(i) + slots) % slots
		amount, starts = amount+f.started[j], starts+int(f.starts[j])
		if i+1 == min(recentSlots, all) || i+1 == all {
			rate = max(rate, amount/max(time.Duration(i)*slotTime+over, slotTime).Seconds())
		}
	}
	return rate, starts >= minStarts
}

// observe records the waiting work. Evidence counts only while the pool is busy and no
// capacity is added to it.
func (f *flow) observe(now time.Time, waiting float64, valid bool) {
	f.waiting = waiting
	if waiting > 0 {
		f.usedAt = now
	}
	rate, _ := f.rate(now)
	switch {
	case !valid || waiting == 0 || waiting < rate*standingTime.Seconds():
		f.since = time.Time{}
	case f.since.IsZero():
		f.since = now
	}
}

// flows reports whether enough was started lately to know how fast it drains.
func (f *flow) flows(now time.Time) bool {
	_, known := f.rate(now)
	return known
}

// wait returns how long it takes to start what waits, and whether that is known from a
// backlog that has stood for some time.
func (f *flow) wait(now time.Time, evidence time.Duration) (time.Duration, bool) {
	if f.since.IsZero() || now.Sub(f.since) < evidence {
		return 0, false
	}
	rate, known := f.rate(now)
	if !known || rate <= 0 {
		return 0, false
	}
	return time.Duration(min(f.waiting/rate, maxWait.Seconds()) * float64(time.Second)), true
}
