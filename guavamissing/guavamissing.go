// Package guavamissing tracks the workers of an earlier owner's fleet that have not answered
// yet.
//
// Assumed failure: a zone with workers and the owner is lost, and the next owner is lost
// while it waits for the leases of these workers. If each owner waited anew, their tasks
// would stay down for as long as owners keep changing. So the remaining times are stored,
// and the next owner continues the wait.
package guavamissing

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavarow"
)

type (
	// Workers holds the workers that have not answered this owner in full. Tasks of an
	// earlier owner may run there until their leases must have expired. The next owner
	// counts on the leases of a recorded worker not being extended, so this owner extends
	// none until the worker is no longer recorded. The zero value has no workers.
	Workers struct {
		// Until is the time at which all leases of the worker must have expired.
		Until map[guavascale.WorkerID]time.Time
		// Recorded is the set of workers in the row that is or may be durable.
		Recorded map[guavascale.WorkerID]bool
		// Listing holds the workers that have answered but have more ends than
		// their reports have listed so far.
		Listing map[guavascale.WorkerID]bool
		// inherited holds the workers whose wait the previous owner has recorded. The row
		// holds only them until restoredAt is interval ago: most others answer by then.
		inherited  map[guavascale.WorkerID]bool
		restoredAt time.Time
		// dirty is set when the row must be written as soon as possible.
		dirty     bool
		writtenAt time.Time
	}
)

// interval is the time between writes of the row while workers are
// missing. Those that live answer before the first one.
const interval = time.Second

// Restore sets the workers of a fleet as missing until a given time, or for the time
// that the previous owner recorded. Recorded times are written again as soon as possible,
// since the record holds for one change of owner.
func (m *Workers) Restore(now time.Time, fleet map[guavascale.WorkerID]bool, until time.Time, row guavarow.Missing, token uint64) {
	m.writtenAt, m.restoredAt = now, now
	m.inherited = make(map[guavascale.WorkerID]bool)
	m.Until = make(map[guavascale.WorkerID]time.Time, len(fleet))
	for id := range fleet {
		m.Until[id] = until
		if ms, ok := row.WaitMs[id]; ok && row.Token+1 == token {
			m.inherited[id], m.dirty = true, true
			if recorded := now.Add(time.Duration(ms) * time.Millisecond); recorded.Before(until) {
				m.Until[id] = recorded
			}
		}
	}
}

// Reported records that a worker has answered or is gone. More is set if it has ends
// that it has not listed yet.
func (m *Workers) Reported(id guavascale.WorkerID, more bool) {
	delete(m.Listing, id)
	if more {
		if m.Listing == nil {
			m.Listing = make(map[guavascale.WorkerID]bool)
		}
		m.Listing[id] = true
	}
	delete(m.Until, id)
	m.dirty = m.dirty || m.Recorded[id]
}

// Forget records that a worker is not asked any more, although it may not have listed all its
// ends. Until is the time at which all leases of the worker must have expired.
func (m *Workers) Forget(id guavascale.WorkerID, until time.Time) {
	if !m.Listing[id] {
		return
	}
	delete(m.Listing, id)
	if m.Until == nil {
		m.Until = make(map[guavascale.WorkerID]time.Time)
	}
	m.Until[id] = until
}

// Expire removes the workers whose leases must have expired, and reports whether
// there were any.
func (m *Workers) Expire(now time.Time) bool {
	expired := false
	for id, until := range m.Until {
		if now.After(until) {
			m.Reported(id, false)
			expired = true
		}
	}
	return expired
}

// Due reports whether the row has to be written.
func (m *Workers) Due(now time.Time) bool {
	return m.dirty || len(m.Until) > 0 && now.Sub(m.writtenAt) >= interval
}

// Encode returns the value of the row for a batch, and the workers that it holds.
func (m *Workers) Encode(now time.Time, token uint64) ([]byte, map[guavascale.WorkerID]bool, error) {
	m.dirty, m.writtenAt = false, now
	row := guavarow.Missing{Token: token, WaitMs: make(map[guavascale.WorkerID]int64, len(m.Until))}
	early := now.Sub(m.restoredAt) < interval
	for id, until := range m.Until {
		if early && !m.inherited[id] {
			continue
		}
		row.WaitMs[id] = until.Sub(now).Milliseconds() + 1
	}
	data, err := guavarow.EncodeMissing(&row)
	if err != nil {
		return nil, nil, err
	}
	written := make(map[guavascale.WorkerID]bool, len(row.WaitMs))
	if m.Recorded == nil {
		m.Recorded = make(map[guavascale.WorkerID]bool)
	}
	for id := range row.WaitMs {
		written[id], m.Recorded[id] = true, true
	}
	return data, written, nil
}

// Again makes the row due: the batch that held it was not applied.
func (m *Workers) Again() { m.dirty = true }
