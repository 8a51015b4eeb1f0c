package guavaqueue

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavarow"
)

// Assumed failures: a zone with workers and the owner is lost, and the next owner is
// lost while it waits for the leases of these workers. If each owner waited anew,
// their tasks would stay down for as long as owners keep changing.

type (
	// missingWorkers holds the workers of an earlier owner's fleet that have not
	// answered this owner in full. Tasks of that owner may run there until their leases
	// must have expired. The remaining times are recorded in the table, so that
	// the next owner continues the wait. It counts on the leases of a recorded
	// worker not being extended, so this owner extends none until the worker is
	// no longer recorded.
	missingWorkers struct {
		// until is the time at which all leases of the worker must have expired.
		until map[guavascale.WorkerID]time.Time
		// recorded is the set of workers in the row that is or may be durable.
		recorded map[guavascale.WorkerID]bool
		// listing holds the workers that have answered but have more ends than
		// their reports have listed so far.
		listing map[guavascale.WorkerID]bool
		// dirty is set when the row must be written as soon as possible.
		dirty     bool
		writtenAt time.Time
	}
)

// missingInterval is the time between writes of the row while workers are
// missing. Those that live answer before the first one.
const missingInterval = time.Second

// restore sets the workers of a fleet as missing until a given time, or for the time
// that the previous owner recorded.
func (m *missingWorkers) restore(now time.Time, fleet map[guavascale.WorkerID]bool, until time.Time, row guavarow.Missing, token uint64) {
	m.writtenAt = now
	m.until = make(map[guavascale.WorkerID]time.Time, len(fleet))
	for id := range fleet {
		m.until[id] = until
		if ms, ok := row.WaitMs[id]; ok && row.Token+1 == token {
			if recorded := now.Add(time.Duration(ms) * time.Millisecond); recorded.Before(until) {
				m.until[id] = recorded
			}
		}
	}
}

// reported records that a worker has answered or is gone. More is set if it has ends
// that it has not listed yet.
func (m *missingWorkers) reported(id guavascale.WorkerID, more bool) {
	delete(m.listing, id)
	if more {
		if m.listing == nil {
			m.listing = make(map[guavascale.WorkerID]bool)
		}
		m.listing[id] = true
	}
	delete(m.until, id)
	m.dirty = m.dirty || m.recorded[id]
}

// expire removes the workers whose leases must have expired, and reports whether
// there were any.
func (m *missingWorkers) expire(now time.Time) bool {
	expired := false
	for id, until := range m.until {
		if now.After(until) {
			m.reported(id, false)
			expired = true
		}
	}
	return expired
}

// due reports whether the row has to be written.
func (m *missingWorkers) due(now time.Time) bool {
	return m.dirty || len(m.until) > 0 && now.Sub(m.writtenAt) >= missingInterval
}

// encode returns the value of the row for a batch.
func (m *missingWorkers) encode(now time.Time, token uint64, b *Batch) ([]byte, error) {
	m.dirty, m.writtenAt = false, now
	row := guavarow.Missing{Token: token, WaitMs: make(map[guavascale.WorkerID]int64, len(m.until))}
	for id, until := range m.until {
		row.WaitMs[id] = until.Sub(now).Milliseconds() + 1
	}
	data, err := guavarow.EncodeMissing(&row)
	if err != nil {
		return nil, err
	}
	b.missing = make(map[guavascale.WorkerID]bool, len(row.WaitMs))
	if m.recorded == nil {
		m.recorded = make(map[guavascale.WorkerID]bool)
	}
	for id := range row.WaitMs {
		b.missing[id], m.recorded[id] = true, true
	}
	return data, nil
}
