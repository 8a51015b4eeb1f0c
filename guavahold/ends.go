package guavahold

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavabatch"
	"guavascale.example/guavaorder"
)

type (
	// end is a run end that the worker must keep until the change of its submission is durable.
	// submission is nil if the end has changed none.
	end struct {
		number     uint64
		submission *guavabatch.Durability
		changed    uint64
	}

	// Delays tells whether there are signs that calls are carried out late: workers that go on in
	// the same boot although a call got no answer. The zero value has seen none.
	Delays struct {
		// SeenAt is when the last such call was seen.
		SeenAt time.Time
	}

	// Ends tracks the ends that the current boot of a worker has listed, and when it may be told
	// to forget them. The zero value is a worker that has listed none.
	//
	// Each boot numbers its ends from 1, and a call can't name the boot that it is meant for. A
	// boot that carries out an acknowledgement for the former one forgets ends that nobody has
	// read, and their tasks run again. So a boot must not run a task while such an acknowledgement
	// may reach it: one is sent only while all starts are answered, in a hold that is answered at
	// once, and no start is sent until it is. If it gets no answer and the worker restarts, no
	// start is sent for strayTime, and while there are signs of late calls (Delays) until it
	// can't take effect any more.
	Ends struct {
		// Seen is the number of the last end that was applied, Durable that of the last one
		// that is durable, and Acked that of the last one that the worker has forgotten.
		// Acked <= Durable <= Seen.
		Seen, Durable, Acked uint64

		// pending holds the applied ends after Durable, in order.
		pending []end
		// fromFirst is set if the owner has known the boot since before its first end.
		fromFirst bool
		// ackableAt is when there were durable ends to acknowledge, zero if there are none.
		ackableAt time.Time
		// sentAt is when the acknowledgement was sent that is not answered yet, zero if there
		// is none.
		sentAt time.Time
		// lostAt is when the latest acknowledgement was sent that got no answer, and strayAt
		// that of the latest one to a former boot.
		lostAt, strayAt time.Time
		// doubtedAt is when a call got no answer, zero if a later hold was answered. missed is
		// set if such a call was sent more than strayTime after restartedAt, so that it was not
		// sent over a connection to the former boot.
		doubtedAt, restartedAt time.Time
		missed                 bool
	}
)

// maxAckWait is how long durable ends may wait until no more starts are sent before they are
// acknowledged. Workers that get starts all the time would keep all ends otherwise.
const maxAckWait = 500 * time.Millisecond

// strayTime is how long a call without an answer may be under way to a worker that restarts, if no
// calls are carried out late: the timeout of the call, and as much for what the network keeps.
const strayTime = 2 * guavaorder.HoldMargin

// Restarted forgets the ends of the former boot.
func (e *Ends) Restarted(now time.Time, fromFirst bool) {
	if e.Awaited() {
		e.lostAt = e.sentAt
	}
	*e = Ends{fromFirst: fromFirst, lostAt: e.lostAt, strayAt: e.lostAt, restartedAt: now}
}

// Apply sorts the ends in a report. It calls apply for each one that is not applied yet, which
// returns the submission that the end may have changed or nil, and repeated for the others. It
// returns how many ends the worker has forgotten that the owner has not read.
func (e *Ends) Apply(listed []guavascale.RunEnd, apply func(guavascale.RunEnd) *guavabatch.Durability, repeated func(guavascale.Run)) (unread uint64) {
	if len(listed) == 0 {
		return 0
	}
	slices.SortFunc(listed, func(a, b guavascale.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	if first := listed[0].Number; first > e.Acked+1 {
		if first > e.Seen+1 && (e.fromFirst || e.Seen > 0) {
			unread = first - e.Seen - 1
		}
		e.Acked = first - 1
		e.Durable, e.Seen = max(e.Durable, e.Acked), max(e.Seen, e.Acked)
	}
	for _, l := range listed {
		if l.Number <= e.Seen {
			repeated(l.Run)
			continue
		}
		e.Seen = l.Number
		applied := end{number: l.Number, submission: apply(l)}
		if applied.submission != nil {
			applied.changed = applied.submission.Changed
		}
		e.pending = append(e.pending, applied)
	}
	e.Commit()
	return unread
}

// Commit advances Durable up to the first end that is not durable. It reports whether there were
// ends to check.
func (e *Ends) Commit() bool {
	if len(e.pending) == 0 {
		return false
	}
	n := slices.IndexFunc(e.pending, func(p end) bool { return p.submission != nil && p.submission.Written < p.changed })
	if n < 0 {
		n = len(e.pending)
	}
	if n > 0 {
		e.Durable = max(e.Durable, e.pending[n-1].number)
	}
	e.pending = slices.Delete(e.pending, 0, n)
	return true
}

// Kept returns the number of listed ends that the worker keeps.
func (e *Ends) Kept() int { return int(e.Seen - e.Acked) }

// Ack returns the number up to which the next hold may tell the worker to forget its ends, or 0,
// which forgets none. Starts is the number of starts without an answer.
func (e *Ends) Ack(now time.Time, starts int) uint64 {
	switch {
	case e.Durable <= e.Acked:
		e.ackableAt = time.Time{}
	case e.ackableAt.IsZero():
		e.ackableAt = now
	}
	if starts > 0 || !e.doubtedAt.IsZero() || e.Durable <= e.Acked {
		return 0
	}
	return e.Durable
}

// Sent records a hold with the result of Ack.
func (e *Ends) Sent(now time.Time, ack uint64) {
	if ack > 0 {
		e.sentAt = now
	}
}

// Outcome records the outcome of the hold in progress. It reports whether the worker goes on
// although an earlier call got no answer.
func (e *Ends) Outcome(now time.Time, o guavaorder.Order, out *guavaorder.Outcome) (goesOn bool) {
	awaited := e.Awaited() && e.sentAt.Equal(o.Sent)
	switch {
	case out.CertainlyNotSent():
	case !out.Answered():
		e.Doubt(now, o)
		if awaited {
			e.lostAt = o.Sent
		}
	default:
		if awaited && out.Err == nil {
			e.Acked = max(e.Acked, o.Hold.Seen)
		}
		// A refusal doesn't tell which boot gave it.
		if out.Err == nil && !o.Sent.Before(e.doubtedAt) {
			goesOn, e.missed, e.doubtedAt = e.missed, false, time.Time{}
		}
	}
	if awaited {
		e.sentAt = time.Time{}
	}
	return goesOn
}

// Doubt records that an order to the worker got no answer, so that it may have restarted.
func (e *Ends) Doubt(now time.Time, o guavaorder.Order) {
	e.doubtedAt, e.missed = now, e.missed || o.Sent.Sub(e.restartedAt) > strayTime
}

// Awaited reports whether an acknowledgement is not answered yet, so that no start may be sent.
func (e *Ends) Awaited() bool { return !e.sentAt.IsZero() }

// Overdue reports whether no start may be sent since ends have waited long for their
// acknowledgement.
func (e *Ends) Overdue(now time.Time) bool {
	return !e.ackableAt.IsZero() && now.Sub(e.ackableAt) > maxAckWait
}

// StrayAck reports whether an acknowledgement to a former boot may still take effect, so that no
// start may be sent. Delay is how long after it was sent a call may take effect.
func (e *Ends) StrayAck(now time.Time, d Delays, delay time.Duration) bool {
	since := now.Sub(e.strayAt)
	return !e.strayAt.IsZero() && (since < strayTime || since < delay && now.Sub(d.SeenAt) < delay)
}

// LostAck reports whether an acknowledgement without an answer may still take effect.
func (e *Ends) LostAck(now time.Time, delay time.Duration) bool {
	return !e.lostAt.IsZero() && now.Sub(e.lostAt) < delay
}
