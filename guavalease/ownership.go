package guavalease

import (
	"time"

	"guavascale.example"
)

func (m *Machine) tickPartition(now time.Time, p *partitionState) {
	if m.closing && p.held && m.releases < m.cfg.MaxReleases {
		m.startRelease(p, "the daemon is shutting down")
	}
	if p.inFlight || now.Before(p.retryAt) {
		return
	}
	switch {
	case p.outcomeUnknown:
		m.readOwner(p)
	case p.releasing:
		m.release(p)
	default:
		m.takeOverIfDue(now, p)
	}
}

// startRelease stops acting for a partition. The snapshot without the
// partition is published before the release is committed.
func (m *Machine) startRelease(p *partitionState, reason string) {
	m.markLost(p, reason)
	p.releasing = true
	m.releases++
}

func (m *Machine) markLost(p *partitionState, reason string) {
	if !p.held {
		return
	}
	p.held = false
	m.emit(Event{Kind: EventLost, Partition: p.name, Epoch: p.row.Epoch, Reason: reason})
}

// release clears the owner row but keeps the epoch, so that the next takeover
// increments it.
func (m *Machine) release(p *partitionState) {
	row := OwnerRow{Epoch: p.row.Epoch}
	m.commitOwner(p, guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: OwnerKey(p.name), Version: p.version}},
		Writes:     []guavascale.Write{{Key: OwnerKey(p.name), Value: encode(row)}},
	}, row, func() {})
}

// takeOverIfDue takes over an available partition after a random delay and a
// delay that grows with the rank of this daemon.
func (m *Machine) takeOverIfDue(now time.Time, p *partitionState) {
	if p.held || !p.wanted || m.closing || !m.available(now, p) {
		p.takeoverAt = time.Time{}
		return
	}
	if p.takeoverAt.IsZero() {
		rank := Rank(p.name, m.cfg.Daemon, m.liveDaemons())
		p.takeoverAt = now.Add(time.Duration(rank)*m.cfg.RankDelay + m.jitter(m.cfg.Jitter))
	}
	if now.Before(p.takeoverAt) || now.Before(m.nextTakeover) || m.takeovers >= m.cfg.MaxTakeovers {
		return
	}
	p.takeoverAt = time.Time{}
	m.nextTakeover = now.Add(m.cfg.TakeoverInterval)
	m.takeOver(p)
}

// available reports whether the partition may be taken over: it was released,
// or its owner's session row is missing or expired.
func (m *Machine) available(now time.Time, p *partitionState) bool {
	if m.scan.lastScan.IsZero() || !now.Before(m.session.expires) {
		return false
	}
	if p.row.Instance == "" {
		return true
	}
	o := m.scan.sessions[p.row.Instance]
	return o == nil || !o.deleting && m.expired(o)
}

// takeOver commits a takeover. Safety rests on its conditions: the commit
// fails if the owner row or the observed session row has changed.
func (m *Machine) takeOver(p *partitionState) {
	m.takeovers++
	row := OwnerRow{Instance: m.session.instance, Address: m.cfg.Address, Epoch: p.row.Epoch + 1}
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: OwnerKey(p.name), Version: p.version}},
		Writes:     []guavascale.Write{{Key: OwnerKey(p.name), Value: encode(row)}},
	}
	old := p.row.Instance
	o := m.scan.sessions[old]
	if old != "" {
		cond := guavascale.Condition{Key: SessionPrefix + old}
		if o != nil {
			cond.Version = o.version
			o.deleting = true
			c.Writes = append(c.Writes, guavascale.Write{Key: cond.Key, Delete: true})
		}
		c.Conditions = append(c.Conditions, cond)
	}
	m.commitOwner(p, c, row, func() {
		m.takeovers--
		if o != nil {
			o.deleting = false
		}
		// The session row was deleted if the takeover is known to have
		// succeeded, so the owner's other partitions can be taken over
		// immediately.
		if o != nil && p.row.Instance == row.Instance && m.scan.sessions[old] == o {
			delete(m.scan.sessions, old)
		}
	})
}

// commitOwner writes an owner row. If the outcome is unknown or a condition
// failed, the row is read back before the next commit for the partition.
func (m *Machine) commitOwner(p *partitionState, c guavascale.Commit, row OwnerRow, done func()) {
	p.inFlight = true
	p.committed = true
	m.call(Call{Kind: CallCommit, Commit: c}, func(now time.Time, r Result) {
		p.inFlight = false
		switch {
		case r.Err == nil:
			m.applyOwnerRow(now, p, r.Version, row)
		case isConditionError(r.Err):
			// Another daemon took over first and deleted the session row. A
			// scan shows which other partitions are available.
			p.outcomeUnknown = true
			m.scanSoon(now)
		default:
			p.outcomeUnknown = !notApplied(r.Err)
			p.retryAt = now.Add(minBackoff + m.jitter(maxBackoff))
		}
		done()
	})
}

// readOwner reads the row back to resolve a commit with an unknown outcome.
// The instance ID in the row proves a takeover just as the write ID would,
// even if the commit took effect only after an earlier read.
func (m *Machine) readOwner(p *partitionState) {
	p.inFlight = true
	m.call(Call{Kind: CallGet, Key: OwnerKey(p.name)}, func(now time.Time, r Result) {
		p.inFlight = false
		if r.Err != nil && !isNotFound(r.Err) {
			p.retryAt = now.Add(minBackoff + m.jitter(maxBackoff))
			return
		}
		p.outcomeUnknown = false
		p.retryAt = now.Add(minBackoff + m.jitter(minFastScanInterval))
		if r.Err != nil {
			return
		}
		row, err := DecodeOwner(r.Row.Value)
		if err == nil {
			m.applyOwnerRow(now, p, r.Row.Version, row)
		}
	})
}

// applyOwnerRow applies an owner row that was read or written. Rows older
// than the newest one seen come from reads that were overtaken by a commit
// and are ignored.
func (m *Machine) applyOwnerRow(now time.Time, p *partitionState, version uint64, row OwnerRow) {
	if version < p.version {
		return
	}
	mine := row.Instance == m.session.instance
	if p.held && (!mine || version != p.version) {
		m.markLost(p, "the owner row changed")
	}
	p.version, p.row = version, row
	if !mine {
		m.finishRelease(p)
		return
	}
	if p.held || p.releasing {
		return
	}
	p.held = true
	p.gainedAt = now
	m.emit(Event{Kind: EventGained, Partition: p.name, Epoch: row.Epoch})
}

func (m *Machine) finishRelease(p *partitionState) {
	if p.releasing {
		p.releasing = false
		m.releases--
	}
}
