package guavalease

import (
	"slices"
	"strings"
	"time"

	"guavascale.example"
)

type (
	// scanState holds the results of the most recent scans.
	scanState struct {
		inFlight bool
		nextAt   time.Time
		// lastScan is the start of the last scan if it succeeded, otherwise
		// zero.
		lastScan      time.Time
		sessions      map[string]*observedSession
		owners        map[guavascale.Partition]OwnerRow
		ownerVersions map[guavascale.Partition]ownerVersion
	}

	// observedSession is a session row as seen by the scans.
	observedSession struct {
		daemon  string
		version uint64
		// unchangedSince is when the version was first seen without a failed
		// read since then.
		unchangedSince time.Time
		// deleting is set while a commit that deletes the row is in flight.
		deleting bool
	}

	ownerVersion struct {
		version uint64
		row     OwnerRow
	}
)

func (m *Machine) tickScan(now time.Time) {
	v := &m.scan
	if v.inFlight || m.closing || now.Before(v.nextAt) {
		return
	}
	v.inFlight = true
	v.nextAt = now.Add(m.cfg.ScanEvery)
	m.call(Call{Kind: CallScan}, func(end time.Time, r Result) { m.handleScan(now, end, r) })
}

// handleScan applies the result of a scan. A new version counts as first seen
// at the end of the scan, and a known one as unchanged only up to its start.
func (m *Machine) handleScan(start, now time.Time, r Result) {
	v := &m.scan
	v.inFlight = false
	if r.Err != nil {
		v.lastScan = time.Time{}
		v.sessions = nil
		v.nextAt = now.Add(m.cfg.ScanEvery/2 + m.jitter(m.cfg.ScanEvery))
		return
	}
	m.updateSessions(now, r.Sessions)
	v.lastScan = start
	m.updateOwners(now, r.Owners)
	m.rebalance(now)
	m.deleteExpiredSession()
	if m.awaitsRelease() || m.sessionOverdue() {
		m.scanSoon(now)
	}
}

func (m *Machine) updateSessions(now time.Time, rows []guavascale.Row) {
	v := &m.scan
	old := v.sessions
	if now.Sub(v.lastScan) > maxScanGap*m.cfg.ScanEvery {
		old = nil
	}
	v.sessions = make(map[string]*observedSession, len(rows))
	for _, row := range rows {
		instance := strings.TrimPrefix(row.Key, SessionPrefix)
		if o := old[instance]; o != nil && o.version == row.Version {
			v.sessions[instance] = o
			continue
		}
		// Rows that cannot be decoded are tracked as well: the owner may be
		// alive, and expiry does not depend on the content.
		s, _ := DecodeSession(row.Value)
		v.sessions[instance] = &observedSession{daemon: s.Daemon, version: row.Version, unchangedSince: now}
	}
}

func (m *Machine) updateOwners(now time.Time, rows []guavascale.Row) {
	v := &m.scan
	v.owners = make(map[guavascale.Partition]OwnerRow, len(rows))
	v.ownerVersions = make(map[guavascale.Partition]ownerVersion, len(rows))
	for _, row := range rows {
		o, err := DecodeOwner(row.Value)
		if err != nil {
			continue
		}
		name := guavascale.Partition(strings.TrimPrefix(row.Key, OwnerPrefix))
		v.owners[name] = o
		v.ownerVersions[name] = ownerVersion{row.Version, o}
		if m.partitions[name] != nil || o.Instance == m.session.instance {
			m.applyOwnerRow(now, m.partition(name), row.Version, o)
		}
	}
	m.changed = true
}

// expired reports whether a session row has been unchanged for so long that
// the lease of its owner must have expired.
func (m *Machine) expired(o *observedSession) bool {
	return m.scan.lastScan.Sub(o.unchangedSince) >= m.cfg.takeoverAfter()
}

// liveDaemons returns the daemons among which partitions are distributed.
func (m *Machine) liveDaemons() []string {
	gone := func(d string) bool { return slices.Contains(m.leaving, d) }
	if m.members != nil {
		return slices.DeleteFunc(slices.Clone(m.members), gone)
	}
	daemons := []string{m.cfg.Daemon}
	for _, o := range m.scan.sessions {
		if o.daemon != "" && !m.expired(o) && !gone(o.daemon) {
			daemons = append(daemons, o.daemon)
		}
	}
	slices.Sort(daemons)
	return slices.Compact(daemons)
}

// awaitsRelease reports whether a partition that ranks this daemon first has
// another owner or none, so that it can be expected to be released soon.
func (m *Machine) awaitsRelease() bool {
	live := m.liveDaemons()
	for _, name := range m.sortedNames {
		p := m.partitions[name]
		if p.wanted && !p.held && !p.releasing && PreferredOwner(name, live) == m.cfg.Daemon {
			return true
		}
	}
	return false
}

// sessionOverdue reports whether another daemon has missed a renewal. Its
// partitions may become available within seconds, and a regular scan interval
// of 2 s would add as much to the takeover time.
func (m *Machine) sessionOverdue() bool {
	for instance, o := range m.scan.sessions {
		if instance != m.session.instance && m.scan.lastScan.Sub(o.unchangedSince) >= 2*m.cfg.RenewEvery {
			return true
		}
	}
	return false
}

// scanSoon brings the next scan forward. Each scan takes at least two reads,
// so the interval grows with the number of daemons to keep their total within
// maxFastReadsPerSecond.
func (m *Machine) scanSoon(now time.Time) {
	every := time.Duration(len(m.scan.sessions)+1) * readsPerScan * time.Second / maxFastReadsPerSecond
	next := now.Add(max(every, minFastScanInterval))
	if next.Before(m.scan.nextAt) {
		m.scan.nextAt = next
	}
}

// renewedRecently reports whether the daemon has a session row that was
// renewed recently.
func (m *Machine) renewedRecently(now time.Time, daemon string) bool {
	for _, o := range m.scan.sessions {
		if o.daemon == daemon && now.Sub(o.unchangedSince) < 2*m.cfg.RenewEvery {
			return true
		}
	}
	return false
}

// rebalance releases a few partitions that are no longer wanted or for which
// another live daemon ranks first.
func (m *Machine) rebalance(now time.Time) {
	live := m.liveDaemons()
	for _, name := range m.sortedNames {
		p := m.partitions[name]
		if m.releases >= m.cfg.MaxReleases {
			return
		}
		if !p.held {
			continue
		}
		first := PreferredOwner(name, live)
		surplus := first != m.cfg.Daemon && m.renewedRecently(now, first) && now.Sub(p.gainedAt) >= m.cfg.MinHold
		if surplus || !p.wanted {
			m.startRelease(p, "not wanted here, or another daemon ranks first")
		}
	}
}

// deleteExpiredSession deletes one expired session row that owns no
// partition. Daemons that fail before their first takeover leave such rows
// behind.
func (m *Machine) deleteExpiredSession() {
	owners := map[string]bool{m.session.instance: true}
	for _, r := range m.scan.owners {
		owners[r.Instance] = true
	}
	instances := make([]string, 0, len(m.scan.sessions))
	for instance, o := range m.scan.sessions {
		if !owners[instance] && !o.deleting && m.expired(o) {
			instances = append(instances, instance)
		}
	}
	if len(instances) == 0 {
		return
	}
	instance := slices.Min(instances)
	o := m.scan.sessions[instance]
	o.deleting = true
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: SessionPrefix + instance, Version: o.version}},
		Writes:     []guavascale.Write{{Key: SessionPrefix + instance, Delete: true}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(time.Time, Result) { o.deleting = false })
}
