package guavalease

import (
	"time"

	"guavascale.example"
)

// session is the state of this daemon's session and its row.
type session struct {
	instance string
	// version is the version of the row; 0 before its creation.
	version uint64
	counter uint64
	// expires is the end of the session lease.
	expires  time.Time
	inFlight bool
	// outcomeUnknown is set when the row must be read back before the next
	// commit.
	outcomeUnknown bool
	// commitStarts holds the start time of the last renewal by write ID. It
	// dates a renewal whose response was lost.
	commitStarts map[string]time.Time
	nextAt       time.Time
	backoff      time.Duration
	closed       bool
}

func (s *session) key() string { return SessionPrefix + s.instance }

func (m *Machine) tickSession(now time.Time) {
	s := &m.session
	switch {
	case s.closed || s.inFlight || now.Before(s.nextAt):
	case s.outcomeUnknown:
		m.readSession()
	case m.closing && m.idle():
		m.deleteSession()
	case m.closing && s.version == 0:
	default:
		m.renew(now)
	}
}

// renew creates or renews the session row.
func (m *Machine) renew(now time.Time) {
	s := &m.session
	s.inFlight = true
	s.counter++
	id := m.randomID()
	s.commitStarts = map[string]time.Time{id: now}
	row := SessionRow{Daemon: m.cfg.Daemon, Address: m.cfg.Address, Counter: s.counter}
	c := guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{{Key: s.key(), Version: s.version}},
		Writes:     []guavascale.Write{{Key: s.key(), Value: encode(row)}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		s.inFlight = false
		switch {
		case r.Err == nil:
			m.extendLease(r.Version, id)
		case isConditionError(r.Err):
			s.outcomeUnknown = true
			s.nextAt = now
		default:
			s.outcomeUnknown = !notApplied(r.Err)
			s.nextAt = now.Add(m.nextBackoff(&s.backoff))
		}
	})
}

// extendLease extends the session lease after a renewal. The lease counts
// from the start of the commit, since the row may have been written at any
// time after that.
func (m *Machine) extendLease(version uint64, id string) {
	s := &m.session
	start := s.commitStarts[id]
	s.version = version
	s.backoff = 0
	s.nextAt = start.Add(m.cfg.RenewEvery)
	if expires := start.Add(m.cfg.TTL - m.cfg.Margin); expires.After(s.expires) {
		s.expires = expires
	}
}

// readSession reads the row back to resolve a commit with an unknown outcome.
func (m *Machine) readSession() {
	s := &m.session
	s.inFlight = true
	m.call(Call{Kind: CallGet, Key: s.key()}, func(now time.Time, r Result) {
		s.inFlight = false
		switch {
		case isNotFound(r.Err):
			m.replaceSession(now)
		case r.Err != nil:
			s.nextAt = now.Add(m.nextBackoff(&s.backoff))
		default:
			s.outcomeUnknown = false
			m.adoptSession(now, r.Row)
		}
	})
}

// adoptSession adopts the row that was read back. If an earlier commit of
// this instance took effect late, only the version is updated.
func (m *Machine) adoptSession(now time.Time, row guavascale.Row) {
	s := &m.session
	if _, ok := s.commitStarts[row.WriteID]; ok {
		m.extendLease(row.Version, row.WriteID)
		return
	}
	s.version = row.Version
	s.nextAt = now.Add(m.nextBackoff(&s.backoff))
}

// replaceSession starts a new session. The instance ID is not reused, not
// even after a failed creation, because that commit may still take effect.
func (m *Machine) replaceSession(now time.Time) {
	for _, name := range m.sortedNames {
		p := m.partitions[name]
		m.markLost(p, "the session row was deleted")
		m.finishRelease(p)
	}
	delay := m.nextBackoff(&m.session.backoff)
	m.session = session{instance: m.newInstance(), nextAt: now.Add(delay), backoff: m.session.backoff, closed: m.closing}
}

// deleteSession deletes the session row at the end of a graceful shutdown.
func (m *Machine) deleteSession() {
	s := &m.session
	if s.version == 0 {
		s.closed = true
		return
	}
	s.inFlight = true
	s.commitStarts = nil
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: s.key(), Version: s.version}},
		Writes:     []guavascale.Write{{Key: s.key(), Delete: true}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		s.inFlight = false
		if r.Err == nil {
			s.closed = true
			s.expires = time.Time{}
			return
		}
		s.outcomeUnknown = true
		s.nextAt = now.Add(m.nextBackoff(&s.backoff))
	})
}

// idle reports whether no partition is held, being released or awaiting the
// result of a call.
func (m *Machine) idle() bool {
	for _, p := range m.partitions {
		if p.held || p.releasing || p.inFlight || p.outcomeUnknown {
			return false
		}
	}
	return true
}

// nextBackoff doubles the backoff and returns a random delay between half of
// it and all of it.
func (m *Machine) nextBackoff(backoff *time.Duration) time.Duration {
	*backoff = min(max(2**backoff, minBackoff), maxBackoff)
	return *backoff/2 + m.jitter(*backoff/2)
}
