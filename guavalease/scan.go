package guavalease

import (
	"slices"
	"strings"
	"time"

	"guavascale.example"
)

type (
	// view is what the scans showed.
	view struct {
		busy bool
		next time.Time
		// read is the start of the last successful scan; zero after a failed
		// one.
		read     time.Time
		sessions map[string]*observed
		owners   map[guavascale.Partition]OwnerRow
		rows     map[guavascale.Partition]ownerVersion
	}

	// observed is another daemon's session row.
	observed struct {
		daemon  string
		version uint64
		// since is when the version was first seen without a failed read in
		// between.
		since time.Time
		// busy is set while a commit that deletes the row is under way.
		busy bool
	}

	ownerVersion struct {
		version uint64
		row     OwnerRow
	}
)

func (m *Machine) tickScan(now time.Time) {
	v := &m.view
	if v.busy || m.closing || now.Before(v.next) {
		return
	}
	v.busy = true
	v.next = now.Add(m.cfg.ScanEvery)
	m.call(Call{Kind: CallScan}, func(end time.Time, r Result) { m.scanned(now, end, r) })
}

// scanned takes the rows of a scan. What it shows counts from its end as first
// seen, and up to its start as unchanged.
func (m *Machine) scanned(start, now time.Time, r Result) {
	v := &m.view
	v.busy = false
	if r.Err != nil {
		v.read = time.Time{}
		v.sessions = nil
		v.next = now.Add(m.cfg.ScanEvery/2 + m.jitter(m.cfg.ScanEvery))
		return
	}
	m.scannedSessions(now, r.Sessions)
	v.read = start
	m.scannedOwners(now, r.Owners)
	m.releaseSurplus(now)
	m.deleteOrphan()
	if m.expecting() || m.suspecting() {
		m.hurry(now)
	}
}

func (m *Machine) scannedSessions(now time.Time, rows []guavascale.Row) {
	v := &m.view
	old := v.sessions
	if now.Sub(v.read) > maxScanGap*m.cfg.ScanEvery {
		old = nil
	}
	v.sessions = make(map[string]*observed, len(rows))
	for _, row := range rows {
		instance := strings.TrimPrefix(row.Key, SessionPrefix)
		if o := old[instance]; o != nil && o.version == row.Version {
			v.sessions[instance] = o
			continue
		}
		// A row that does not decode is observed all the same: its owner may
		// be alive, and the time rule does not depend on the content.
		s, _ := DecodeSession(row.Value)
		v.sessions[instance] = &observed{daemon: s.Daemon, version: row.Version, since: now}
	}
}

func (m *Machine) scannedOwners(now time.Time, rows []guavascale.Row) {
	v := &m.view
	v.owners = make(map[guavascale.Partition]OwnerRow, len(rows))
	v.rows = make(map[guavascale.Partition]ownerVersion, len(rows))
	for _, row := range rows {
		o, err := DecodeOwner(row.Value)
		if err != nil {
			continue
		}
		name := guavascale.Partition(strings.TrimPrefix(row.Key, OwnerPrefix))
		v.owners[name] = o
		v.rows[name] = ownerVersion{row.Version, o}
		if m.parts[name] != nil || o.Instance == m.session.instance {
			m.observe(now, m.part(name), row.Version, o)
		}
	}
	m.changed = true
}

// stale reports whether a session row was unchanged for so long that its
// owner's right has certainly lapsed.
func (m *Machine) stale(o *observed) bool {
	return m.view.read.Sub(o.since) >= m.cfg.takeoverAfter()
}

// live returns the daemons over which partitions are distributed.
func (m *Machine) live() []string {
	gone := func(d string) bool { return slices.Contains(m.leaving, d) }
	if m.members != nil {
		return slices.DeleteFunc(slices.Clone(m.members), gone)
	}
	daemons := []string{m.cfg.Daemon}
	for _, o := range m.view.sessions {
		if o.daemon != "" && !m.stale(o) && !gone(o.daemon) {
			daemons = append(daemons, o.daemon)
		}
	}
	slices.Sort(daemons)
	return slices.Compact(daemons)
}

// expecting reports whether a partition is with another daemon, or with none,
// although it ranks this daemon first, so that it is about to be released.
func (m *Machine) expecting() bool {
	live := m.live()
	for _, name := range m.names {
		p := m.parts[name]
		if p.wanted && !p.held && !p.releasing && First(name, live) == m.cfg.Daemon {
			return true
		}
	}
	return false
}

// suspecting reports whether another daemon missed a renewal. Its partitions
// may be taken within seconds, and a scan interval of 2 s would add as much.
func (m *Machine) suspecting() bool {
	for instance, o := range m.view.sessions {
		if instance != m.session.instance && m.view.read.Sub(o.since) >= 2*m.cfg.RenewEvery {
			return true
		}
	}
	return false
}

// hurry brings the next scan forward. Each scan is two reads or more, so with
// many daemons the interval grows to keep all of them at hurriedReads.
func (m *Machine) hurry(now time.Time) {
	every := time.Duration(len(m.view.sessions)+1) * readsPerScan * time.Second / hurriedReads
	next := now.Add(max(every, minHurry))
	if next.Before(m.view.next) {
		m.view.next = next
	}
}

// hasSession reports whether a daemon's session row was renewed recently.
func (m *Machine) hasSession(now time.Time, daemon string) bool {
	for _, o := range m.view.sessions {
		if o.daemon == daemon && now.Sub(o.since) < 2*m.cfg.RenewEvery {
			return true
		}
	}
	return false
}

// releaseSurplus releases a few partitions that are not wanted or that rank
// another live daemon first.
func (m *Machine) releaseSurplus(now time.Time) {
	live := m.live()
	for _, name := range m.names {
		p := m.parts[name]
		if m.releases >= m.cfg.MaxReleases {
			return
		}
		if !p.held {
			continue
		}
		first := First(name, live)
		surplus := first != m.cfg.Daemon && m.hasSession(now, first) && now.Sub(p.gained) >= m.cfg.MinHold
		if surplus || !p.wanted {
			m.startRelease(p, "released to the daemon that ranks first")
		}
	}
}

// deleteOrphan deletes one stale session row that owns nothing. Daemons that
// fail before they take a partition leave such rows behind.
func (m *Machine) deleteOrphan() {
	owners := map[string]bool{m.session.instance: true}
	for _, r := range m.view.owners {
		owners[r.Instance] = true
	}
	instances := make([]string, 0, len(m.view.sessions))
	for instance, o := range m.view.sessions {
		if !owners[instance] && !o.busy && m.stale(o) {
			instances = append(instances, instance)
		}
	}
	if len(instances) == 0 {
		return
	}
	instance := slices.Min(instances)
	o := m.view.sessions[instance]
	o.busy = true
	c := guavascale.Commit{
		ID:         m.randomID(),
		Conditions: []guavascale.Condition{{Key: SessionPrefix + instance, Version: o.version}},
		Writes:     []guavascale.Write{{Key: SessionPrefix + instance, Delete: true}},
	}
	m.call(Call{Kind: CallCommit, Commit: c}, func(time.Time, Result) { o.busy = false })
}
