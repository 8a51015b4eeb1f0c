package guavalease

import (
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Machine decides on the session and on ownership. It does no I/O and is
	// not safe for concurrent use, except for Rights.
	Machine struct {
		cfg     Config
		rnd     *rand.Rand
		rights  Rights
		session session
		// parts holds the partitions that are wanted, held or being released.
		parts map[guavascale.Partition]*part
		names []guavascale.Partition
		// members is nil when the live sessions stand for the members.
		members []string
		// leaving holds other daemons that shut down and release what they own.
		leaving []string
		view    view
		calls   map[uint64]func(time.Time, Result)
		lastID  uint64
		// nextTakeover is the earliest start of the next takeover.
		nextTakeover time.Time
		takeovers    int
		releases     int
		closing      bool
		// changed is set when held partitions or owners differ from the
		// published snapshot.
		changed bool
		out     Output
	}

	// part is what the machine knows of one partition.
	part struct {
		name   guavascale.Partition
		wanted bool
		// version and row are the newest owner row seen; 0 for a missing row.
		version uint64
		row     OwnerRow
		held    bool
		gained  time.Time
		// releasing is set from the moment the daemon stops acting until the
		// owner row no longer names it.
		releasing bool
		// touched is set with the first commit. The part is then kept, because
		// its version is needed to recognise overtaken reads.
		touched bool
		// busy is set while a call is under way.
		busy bool
		// unsettled is set when the outcome of the last commit must be read
		// back before anything else is done.
		unsettled bool
		next      time.Time
		// takeAt is the jittered time of the takeover; zero when not free.
		takeAt time.Time
	}
)

// NewMachine returns a machine that has no session yet. The random source
// makes instance IDs and write IDs and must not repeat between processes.
func NewMachine(cfg Config, rnd *rand.Rand) *Machine {
	m := &Machine{
		cfg:   cfg.withDefaults(),
		rnd:   rnd,
		parts: map[guavascale.Partition]*part{},
		calls: map[uint64]func(time.Time, Result){},
	}
	m.session.instance = m.newInstance()
	return m
}

// Rights returns the part of the machine that is safe for concurrent use.
func (m *Machine) Rights() *Rights { return &m.rights }

// Instance returns the ID of the current session.
func (m *Machine) Instance() string { return m.session.instance }

// SetMembers sets the live daemons, by daemon ID. Until it is called the
// daemons with a fresh session row count as live.
func (m *Machine) SetMembers(daemons []string) {
	m.members = slices.Clone(daemons)
	if !slices.Contains(m.members, m.cfg.Daemon) {
		m.members = append(m.members, m.cfg.Daemon)
	}
}

// SetLeaving sets the other daemons that shut down. They count in no ranking,
// so that what they release is taken without the delay for their place.
func (m *Machine) SetLeaving(daemons []string) {
	m.leaving = slices.DeleteFunc(slices.Clone(daemons), func(d string) bool { return d == m.cfg.Daemon })
}

// SetWanted sets the partitions that should have an owner.
func (m *Machine) SetWanted(partitions []guavascale.Partition) {
	for _, p := range m.parts {
		p.wanted = false
	}
	for _, name := range partitions {
		m.part(name).wanted = true
	}
	for name, p := range m.parts {
		if !p.wanted && !p.held && !p.releasing && !p.touched {
			delete(m.parts, name)
		}
	}
	m.sortNames()
}

// Close starts the graceful end: all partitions are released, then the session
// row is deleted.
func (m *Machine) Close() { m.closing = true }

// Tick advances the machine to now.
func (m *Machine) Tick(now time.Time) Output {
	m.tickSession(now)
	m.tickScan(now)
	for _, name := range m.names {
		m.tickPart(now, m.parts[name])
	}
	return m.flush(now)
}

// Finish takes the result of a call. Results of calls that are not under way
// are ignored.
func (m *Machine) Finish(now time.Time, r Result) Output {
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
	out.Wake = m.wake(now)
	out.Closed = m.session.ended
	return out
}

func (m *Machine) publish() {
	old := m.rights.snapshot.Load()
	if old != nil && !m.changed && old.until.Equal(m.session.until) {
		return
	}
	s := &snapshot{until: m.session.until, owners: m.view.owners}
	if old != nil && !m.changed {
		s.held = old.held
	} else {
		s.held = map[guavascale.Partition]Right{}
		for name, p := range m.parts {
			if p.held {
				s.held[name] = Right{Epoch: p.row.Epoch, Owner: guavascale.Condition{Key: OwnerKey(name), Version: p.version}}
			}
		}
	}
	m.changed = false
	m.rights.snapshot.Store(s)
}

// wake returns the earliest time at which Tick has something to do.
func (m *Machine) wake(now time.Time) time.Time {
	at := now.Add(m.cfg.ScanEvery)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	earlier(m.session.next)
	earlier(m.view.next)
	earlier(m.nextTakeover)
	for _, p := range m.parts {
		earlier(p.next)
		earlier(p.takeAt)
	}
	return at
}

func (m *Machine) call(c Call, finish func(time.Time, Result)) {
	m.lastID++
	c.ID = m.lastID
	m.calls[c.ID] = finish
	m.out.Calls = append(m.out.Calls, c)
}

func (m *Machine) event(e Event) {
	m.changed = true
	m.out.Events = append(m.out.Events, e)
}

func (m *Machine) part(name guavascale.Partition) *part {
	p := m.parts[name]
	if p == nil {
		p = &part{name: name}
		if v, ok := m.view.rows[name]; ok {
			p.version, p.row = v.version, v.row
		}
		m.parts[name] = p
		m.sortNames()
	}
	return p
}

func (m *Machine) sortNames() {
	m.names = m.names[:0]
	for name := range m.parts {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
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
