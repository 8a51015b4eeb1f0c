package guavascheduler

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"guavascale.example/guavaorder"
)

type (
	// ownerLoad measures how far the owner falls behind its events. It tells an
	// owner that is out of processor time from one that waits for workers, for
	// room or for the store. The zero value is ready to use, and its methods are
	// safe for concurrent use unless noted otherwise.
	ownerLoad struct {
		// orderDelay is the time from a decision to the sending of its order,
		// answerDelay the time from an outcome until the engine is told of it, and
		// step the duration of a scheduling step.
		orderDelay, answerDelay, step maxDelay
		// steps counts the scheduling steps, and stepTime is their total duration
		// in nanoseconds.
		steps, stepTime atomic.Int64
		// orders counts the orders by kind.
		orders [guavaorder.Pace + 1]atomic.Int64
		// listed counts the changes of the platform's list of workers.
		listed atomic.Int64
		// listSize is the number of workers in the platform's list.
		listSize atomic.Int64
		// relayed counts the orders that were passed to relays.
		relayed atomic.Int64
		// writtenAt and processor are the time of the last summary and the
		// processor time that the process had used by then. Only write accesses
		// them.
		writtenAt time.Time
		processor time.Duration
	}

	// maxDelay is the longest of several delays, in nanoseconds.
	maxDelay struct{ atomic.Int64 }
)

func (m *maxDelay) record(d time.Duration) {
	for {
		old := m.Load()
		if int64(d) <= old || m.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

func (l *ownerLoad) recordStep(took time.Duration) {
	l.step.record(took)
	l.steps.Add(1)
	l.stepTime.Add(int64(took))
}

// take returns the longest delay since the last call.
func (m *maxDelay) take() time.Duration { return time.Duration(m.Swap(0)) }

// write adds what was measured since the last call to a log line. It must not be
// called concurrently.
func (l *ownerLoad) write(now time.Time, line *zerolog.Event) *zerolog.Event {
	used := processorTime()
	period := now.Sub(l.writtenAt)
	if !l.writtenAt.IsZero() && period > 0 {
		line.Float64("Cores", (used-l.processor).Seconds()/period.Seconds())
	}
	l.writtenAt, l.processor = now, used
	for kind := range l.orders {
		line.Int64(guavaorder.Kind(kind).String()+"s", l.orders[kind].Swap(0))
	}
	return line.Int64("Listed", l.listed.Swap(0)).Int64("ListSize", l.listSize.Load()).Int64("Relayed", l.relayed.Swap(0)).
		Int64("Steps", l.steps.Swap(0)).Dur("StepTimeMs", time.Duration(l.stepTime.Swap(0))).
		Dur("OrderDelayMs", l.orderDelay.take()).Dur("AnswerDelayMs", l.answerDelay.take()).Dur("StepMs", l.step.take())
}

// processorTime returns the processor time that the process has used, or 0 if it is
// not known.
func processorTime() time.Duration {
	var ru unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
