package guavalease

import (
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Machine decides about the session and the ownership of partitions. It
	// does no I/O and, except for Leases, is not safe for concurrent use.
	Machine struct {
		cfg     Config
		rnd     *rand.Rand
		leases  Leases
		session session
		// partitions holds the partitions that are wanted, held or being
		// released, and those with an earlier commit.
		partitions  map[guavascale.Partition]*partitionState
		sortedNames []guavascale.Partition
		// members is nil until SetMembers is called; the daemons with live
		// sessions then count as members.
		members []string
		// leaving holds the other daemons that are shutting down and
		// releasing their partitions.
		leaving []string
		scan    scanState
		calls   map[uint64]func(time.Time, Result)
		lastID  uint64
		// nextTakeover is the earliest start of the next takeover.
		nextTakeover time.Time
		takeovers    int
		releases     int
		closing      bool
		// changed is set when the held partitions or the owners differ from
		// the published snapshot.
		changed bool
		out     Output
	}

	// partitionState is the state of one partition.
	partitionState struct {
		name   guavascale.Partition
		wanted bool
		// version and row are those of the newest owner row seen; version is
		// 0 for a missing row.
		version  uint64
		row      OwnerRow
		held     bool
		gainedAt time.Time
		// releasing is set from the moment when the daemon stops acting for
		// the partition until the owner row no longer names it.
		releasing bool
		// committed is set by the first commit. The state is then kept,
		// because its version is needed to recognize reads that were
		// overtaken by a commit.
		committed bool
		// inFlight is set while a store call is in flight.
		inFlight bool
		// outcomeUnknown is set when the owner row must be read back before
		// the next commit.
		outcomeUnknown bool
		retryAt        time.Time
		// takeoverAt is the scheduled time of the takeover, with its random
		// delay; zero when the partition is not available.
		takeoverAt time.Time
	}
)

// NewMachine returns a machine without a session. The random source generates
// instance IDs and write IDs; its sequence must not repeat across processes.
func NewMachine(cfg Config, rnd *rand.Rand) *Machine {
	m := &Machine{
		cfg:        cfg.withDefaults(),
		rnd:        rnd,
		partitions: map[guavascale.Partition]*partitionState{},
		calls:      map[uint64]func(time.Time, Result){},
	}
	m.session.instance = m.newInstance()
	return m
}

// Leases returns the leases of this daemon. Unlike the machine, they are safe
// for concurrent use.
func (m *Machine) Leases() *Leases { return &m.leases }

// Instance returns the instance ID of the current session.
func (m *Machine) Instance() string { return m.session.instance }

// SetMembers sets the live daemons by their IDs. Before the first call, the
// daemons with an unexpired session row count as live.
func (m *Machine) SetMembers(daemons []string) {
	m.members = slices.Clone(daemons)
	if !slices.Contains(m.members, m.cfg.Daemon) {
		m.members = append(m.members, m.cfg.Daemon)
	}
}

// SetLeaving sets the other daemons that are shutting down. They are left out
// of the ranking, so that the partitions they release are taken over without
// a rank delay.
func (m *Machine) SetLeaving(daemons []string) {
	m.leaving = slices.DeleteFunc(slices.Clone(daemons), func(d string) bool { return d == m.cfg.Daemon })
}

// SetWanted sets the partitions that should have an owner.
func (m *Machine) SetWanted(partitions []guavascale.Partition) {
	for _, p := range m.partitions {
		p.wanted = false
	}
	for _, name := range partitions {
		m.partition(name).wanted = true
	}
	for name, p := range m.partitions {
		if !p.wanted && !p.held && !p.releasing && !p.committed {
			delete(m.partitions, name)
		}
	}
	m.sortNames()
}

// Close starts a graceful shutdown: the machine releases all partitions, then
// deletes the session row.
func (m *Machine) Close() { m.closing = true }

// Tick advances the machine to now.
func (m *Machine) Tick(now time.Time) Output {
	m.tickSession(now)
	m.tickScan(now)
	for _, name := range m.sortedNames {
		m.tickPartition(now, m.partitions[name])
	}
	return m.flush(now)
}

// HandleResult processes the result of a call. Results of calls that are not
// in flight are ignored.
func (m *Machine) HandleResult(now time.Time, r Result) Output {
	finish, ok := m.calls[r.ID]
	if ok {
		delete(m.calls, r.ID)
		finish(now, r)
	}
	return m.Tick(now)
}

func (m *Machine) flush(now time.Time) Output {
	m.publish()
	out := m.out
	m.out = Output{}
	out.Wake = m.nextWake(now)
	out.Closed = m.session.closed
	return out
}

func (m *Machine) publish() {
	old := m.leases.snapshot.Load()
	if old != nil && !m.changed && old.expires.Equal(m.session.expires) {
		return
	}
	s := &snapshot{expires: m.session.expires, owners: m.scan.owners}
	if old != nil && !m.changed {
		s.held = old.held
	} else {
		s.held = map[guavascale.Partition]Lease{}
		for name, p := range m.partitions {
			if p.held {
				s.held[name] = Lease{Epoch: p.row.Epoch, Owner: guavascale.Condition{Key: OwnerKey(name), Version: p.version}}
			}
		}
	}
	m.changed = false
	m.leases.snapshot.Store(s)
}

// nextWake returns the earliest time at which Tick has work to do.
func (m *Machine) nextWake(now time.Time) time.Time {
	at := now.Add(m.cfg.ScanEvery)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	earlier(m.session.nextAt)
	earlier(m.scan.nextAt)
	earlier(m.nextTakeover)
	for _, p := range m.partitions {
		earlier(p.retryAt)
		earlier(p.takeoverAt)
	}
	return at
}

func (m *Machine) call(c Call, finish func(time.Time, Result)) {
	m.lastID++
	c.ID = m.lastID
	m.calls[c.ID] = finish
	m.out.Calls = append(m.out.Calls, c)
}

func (m *Machine) emit(e Event) {
	m.changed = true
	m.out.Events = append(m.out.Events, e)
}

func (m *Machine) partition(name guavascale.Partition) *partitionState {
	p := m.partitions[name]
	if p == nil {
		p = &partitionState{name: name}
		if v, ok := m.scan.ownerVersions[name]; ok {
			p.version, p.row = v.version, v.row
		}
		m.partitions[name] = p
		m.sortNames()
	}
	return p
}

func (m *Machine) sortNames() {
	m.sortedNames = m.sortedNames[:0]
	for name := range m.partitions {
		m.sortedNames = append(m.sortedNames, name)
	}
	slices.Sort(m.sortedNames)
}

func (m *Machine) randomID() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(m.rnd.Uint32())
	}
	return hex.EncodeToString(b[:])
}

func (m *Machine) newInstance() string { return m.cfg.Daemon + "-" + m.randomID() }

// jitter returns a random duration in [0, d).
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(max(d, 1))))
}
