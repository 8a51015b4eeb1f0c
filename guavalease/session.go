package guavalease

import (
	"time"

	"guavascale.example"
)

// session is the state of this daemon's session row.
type session struct {
	instance string
	// version is the version of the row; 0 until it was created.
	version uint64
	counter uint64
	// until is the end of the right to act.
	until time.Time
	busy  bool
	// unsettled is set when the row must be read back before the next commit.
	unsettled bool
	// started holds the start of the unsettled commit, by write ID.
	started map[string]time.Time
	next    time.Time
	backoff time.Duration
	ended   bool
}

func (s *session) key() string { return SessionPrefix + s.instance }

func (m *Machine) tickSession(now time.Time) {
	s := &m.session
	switch {
	case s.ended || s.busy || now.Before(s.next):
	case s.unsettled:
		m.readSession()
	case m.closing && m.idle():
		m.endSession()
	case m.closing && s.version == 0:
	default:
		m.renew(now)
	}
}

// renew creates or renews the session row.
func (m *Machine) renew(now time.Time) {
	s := &m.session
	s.busy = true
	s.counter++
	id := m.randomID()
	s.started = map[string]time.Time{id: now}
	row := SessionRow{Daemon: m.cfg.Daemon, Address: m.cfg.Address, Counter: s.counter}
	c := guavascale.Commit{
		ID:         id,
		Conditions: []guavascale.Condition{{Key: s.key(), Version: s.version}},
		Writes:     []guavascale.Write{{Key: s.key(), Value: encode(row)}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		s.busy = false
		switch {
		case r.Err == nil:
			m.renewed(r.Version, id)
		case isCondition(r.Err):
			s.unsettled = true
			s.next = now
		default:
			s.unsettled = !notApplied(r.Err)
			s.next = now.Add(m.retryDelay(&s.backoff))
		}
	})
}

// renewed extends the right. It counts from the start of the commit, since the
// row may have been written at any moment after that.
func (m *Machine) renewed(version uint64, id string) {
	s := &m.session
	start := s.started[id]
	s.version = version
	s.backoff = 0
	s.next = start.Add(m.cfg.RenewEvery)
	if until := start.Add(m.cfg.TTL - m.cfg.Margin); until.After(s.until) {
		s.until = until
	}
}

// readSession settles a commit whose outcome is not known.
func (m *Machine) readSession() {
	s := &m.session
	s.busy = true
	m.call(Call{Kind: CallGet, Key: s.key()}, func(now time.Time, r Result) {
		s.busy = false
		switch {
		case isNotFound(r.Err):
			m.sessionMissing(now)
		case r.Err != nil:
			s.next = now.Add(m.retryDelay(&s.backoff))
		default:
			s.unsettled = false
			m.sessionFound(now, r.Row)
		}
	})
}

// sessionFound adopts the row that was read back. An earlier commit of this
// instance may have taken effect late; it only sets the version.
func (m *Machine) sessionFound(now time.Time, row guavascale.Row) {
	s := &m.session
	if _, ok := s.started[row.WriteID]; ok {
		m.renewed(row.Version, row.WriteID)
		return
	}
	s.version = row.Version
	s.next = now.Add(m.retryDelay(&s.backoff))
}

// sessionMissing starts a new session. After a failed creation the instance ID
// is not used again, because the commit may still take effect later.
func (m *Machine) sessionMissing(now time.Time) {
	for _, name := range m.names {
		p := m.parts[name]
		m.lose(p, "the session row was deleted")
		m.endRelease(p)
	}
	delay := m.retryDelay(&m.session.backoff)
	m.session = session{instance: m.newInstance(), next: now.Add(delay), backoff: m.session.backoff, ended: m.closing}
}

// endSession deletes the session row at the end of a graceful close.
func (m *Machine) endSession() {
	s := &m.session
	if s.version == 0 {
		s.ended = true
		return
	}
	s.busy = true
	s.started = nil
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: s.key(), Version: s.version}},
		Writes:     []guavascale.Write{{Key: s.key(), Delete: true}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		s.busy = false
		if r.Err == nil {
			s.ended = true
			s.until = time.Time{}
			return
		}
		s.unsettled = true
		s.next = now.Add(m.retryDelay(&s.backoff))
	})
}

// idle reports whether no partition is held, being released or being taken.
func (m *Machine) idle() bool {
	for _, p := range m.parts {
		if p.held || p.releasing || p.busy || p.unsettled {
			return false
		}
	}
	return true
}

// retryDelay doubles a backoff and returns a random delay of half of it or
// more.
func (m *Machine) retryDelay(backoff *time.Duration) time.Duration {
	*backoff = min(max(2**backoff, minBackoff), maxBackoff)
	return *backoff/2 + m.jitter(*backoff/2)
}
