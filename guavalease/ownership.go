package guavalease

import (
	"time"

	"guavascale.example"
)

func (m *Machine) tickPart(now time.Time, p *part) {
	if m.closing && p.held && m.releases < m.cfg.MaxReleases {
		m.startRelease(p, "the daemon closes")
	}
	if p.busy || now.Before(p.next) {
		return
	}
	switch {
	case p.unsettled:
		m.readOwner(p)
	case p.releasing:
		m.release(p)
	default:
		m.considerTakeover(now, p)
	}
}

// startRelease stops acting for a partition. The snapshot without it is
// published before the release is committed.
func (m *Machine) startRelease(p *part, reason string) {
	m.lose(p, reason)
	p.releasing = true
	m.releases++
}

func (m *Machine) lose(p *part, reason string) {
	if !p.held {
		return
	}
	p.held = false
	m.event(Event{Kind: EventLost, Partition: p.name, Epoch: p.row.Epoch, Reason: reason})
}

// release clears the owner row. The epoch stays, so that the next takeover
// raises it.
func (m *Machine) release(p *part) {
	row := OwnerRow{Epoch: p.row.Epoch}
	m.commitOwner(p, guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: OwnerKey(p.name), Version: p.version}},
		Writes:     []guavascale.Write{{Key: OwnerKey(p.name), Value: encode(row)}},
	}, row, func() {})
}

// considerTakeover takes a partition that is free, after a random delay and
// one that grows with this daemon's place in the ranking.
func (m *Machine) considerTakeover(now time.Time, p *part) {
	if p.held || !p.wanted || m.closing || !m.free(now, p) {
		p.takeAt = time.Time{}
		return
	}
	if p.takeAt.IsZero() {
		rank := Rank(p.name, m.cfg.Daemon, m.live())
		p.takeAt = now.Add(time.Duration(rank)*m.cfg.RankDelay + m.jitter(m.cfg.Jitter))
	}
	if now.Before(p.takeAt) || now.Before(m.nextTakeover) || m.takeovers >= m.cfg.MaxTakeovers {
		return
	}
	p.takeAt = time.Time{}
	m.nextTakeover = now.Add(m.cfg.TakeoverInterval)
	m.takeOver(p)
}

// free reports whether the partition may be taken: it was released, or its
// owner's session row is missing or unchanged for long enough.
func (m *Machine) free(now time.Time, p *part) bool {
	if m.view.read.IsZero() || !now.Before(m.session.until) {
		return false
	}
	if p.row.Instance == "" {
		return true
	}
	o := m.view.sessions[p.row.Instance]
	return o == nil || !o.busy && m.stale(o)
}

// takeOver commits the takeover. Its conditions carry the safety: a session
// row that changed since it was observed, or an owner row that changed, fails
// the commit.
func (m *Machine) takeOver(p *part) {
	m.takeovers++
	row := OwnerRow{Instance: m.session.instance, Address: m.cfg.Address, Epoch: p.row.Epoch + 1}
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: OwnerKey(p.name), Version: p.version}},
		Writes:     []guavascale.Write{{Key: OwnerKey(p.name), Value: encode(row)}},
	}
	old := p.row.Instance
	o := m.view.sessions[old]
	if old != "" {
		cond := guavascale.Condition{Key: SessionPrefix + old}
		if o != nil {
			cond.Version = o.version
			o.busy = true
			c.Writes = append(c.Writes, guavascale.Write{Key: cond.Key, Delete: true})
		}
		c.Conditions = append(c.Conditions, cond)
	}
	m.commitOwner(p, c, row, func() {
		m.takeovers--
		if o != nil {
			o.busy = false
		}
		// The session row is gone once the takeover is known to have
		// succeeded, and the owner's other partitions can be taken at once.
		if o != nil && p.row.Instance == row.Instance && m.view.sessions[old] == o {
			delete(m.view.sessions, old)
		}
	})
}

// commitOwner writes an owner row. Unless it certainly succeeded, the row is
// read back before anything else is done with the partition.
func (m *Machine) commitOwner(p *part, c guavascale.Commit, row OwnerRow, done func()) {
	p.busy = true
	p.touched = true
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		p.busy = false
		switch {
		case r.Err == nil:
			m.observe(now, p, r.Version, row)
		case isCondition(r.Err):
			// Another daemon was faster and deleted the session row; a scan
			// shows what else can be taken.
			p.unsettled = true
			m.hurry(now)
		default:
			p.unsettled = !notApplied(r.Err)
			p.next = now.Add(minBackoff + m.jitter(maxBackoff))
		}
		done()
	})
}

// readOwner settles a commit. The instance ID in the row proves a takeover as
// the write ID does, also when the commit took effect after a first read.
func (m *Machine) readOwner(p *part) {
	p.busy = true
	m.call(Call{Kind: CallGet, Key: OwnerKey(p.name)}, func(now time.Time, r Result) {
		p.busy = false
		if r.Err != nil && !isNotFound(r.Err) {
			p.next = now.Add(minBackoff + m.jitter(maxBackoff))
			return
		}
		p.unsettled = false
		p.next = now.Add(minBackoff + m.jitter(minHurry))
		if r.Err != nil {
			return
		}
		row, err := DecodeOwner(r.Row.Value)
		if err == nil {
			m.observe(now, p, r.Row.Version, row)
		}
	})
}

// observe takes an owner row as read or written. Rows older than the newest
// one seen come from reads that were overtaken and are ignored.
func (m *Machine) observe(now time.Time, p *part, version uint64, row OwnerRow) {
	if version < p.version {
		return
	}
	mine := row.Instance == m.session.instance
	if p.held && (!mine || version != p.version) {
		m.lose(p, "the owner row changed")
	}
	p.version, p.row = version, row
	if !mine {
		m.endRelease(p)
		return
	}
	if p.held || p.releasing {
		return
	}
	p.held = true
	p.gained = now
	m.event(Event{Kind: EventGained, Partition: p.name, Epoch: row.Epoch})
}

func (m *Machine) endRelease(p *part) {
	if p.releasing {
		p.releasing = false
		m.releases--
	}
}
