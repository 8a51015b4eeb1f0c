package guavapeer

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// partKey identifies a part of a summary. The card has no partition. Chunk 0
	// of a partition holds its load, the other chunks hold its endpoints.
	partKey struct {
		Partition guavascale.Partition `cbor:"1,keyasint,omitempty"`
		Chunk     uint8                `cbor:"2,keyasint,omitempty"`
	}

	// part is the unit in which summaries are sent. Each change of a part
	// assigns it the next version of its instance.
	part struct {
		Key     partKey `cbor:"1,keyasint"`
		Version uint64  `cbor:"2,keyasint"`
		// Epoch is the epoch of the partition. Chunks from an earlier
		// ownership by the same instance are ignored.
		Epoch     uint64     `cbor:"3,keyasint,omitempty"`
		Card      *card      `cbor:"4,keyasint,omitempty"`
		Load      *load      `cbor:"5,keyasint,omitempty"`
		Endpoints []endpoint `cbor:"6,keyasint,omitempty"`
	}

	// card holds the addresses and state of a daemon and the partitions that it
	// owns.
	card struct {
		Daemon          string                 `cbor:"1,keyasint"`
		PeerAddress     string                 `cbor:"2,keyasint"`
		GatewayAddress  string                 `cbor:"3,keyasint,omitempty"`
		OperatorAddress string                 `cbor:"4,keyasint,omitempty"`
		Zone            guavascale.Zone        `cbor:"5,keyasint,omitempty"`
		Leaving         bool                   `cbor:"6,keyasint,omitempty"`
		Owned           []guavascale.Partition `cbor:"7,keyasint,omitempty"`
	}

	// load is the summary of a partition without its endpoints.
	load struct {
		Zone     guavascale.Zone      `cbor:"1,keyasint,omitempty"`
		Capacity resources            `cbor:"2,keyasint"`
		Free     resources            `cbor:"3,keyasint"`
		Total    resources            `cbor:"4,keyasint"`
		Pending  int                  `cbor:"5,keyasint,omitempty"`
		TeamUse  map[string]resources `cbor:"6,keyasint,omitempty"`
	}

	// resources and endpoint mirror guavascale.Resources and guavascale.Endpoint
	// with short keys on the wire.
	resources struct {
		MilliCores   int64 `cbor:"1,keyasint,omitempty"`
		MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
		Accelerators int64 `cbor:"3,keyasint,omitempty"`
	}

	endpoint struct {
		Service     string              `cbor:"1,keyasint"`
		Task        guavascale.TaskID   `cbor:"2,keyasint"`
		Worker      guavascale.WorkerID `cbor:"3,keyasint"`
		Zone        guavascale.Zone     `cbor:"4,keyasint,omitempty"`
		Address     string              `cbor:"5,keyasint"`
		Slots       int                 `cbor:"6,keyasint,omitempty"`
		Connections int                 `cbor:"7,keyasint,omitempty"`
		Leaving     bool                `cbor:"8,keyasint,omitempty"`
	}
)

const (
	// endpointChunks is the number of chunks into which the endpoints of a
	// partition are split. At the design size a shard has about 425 endpoints,
	// so a change of one endpoint resends about 7.
	endpointChunks = 64
	// loadIntervalPerPartition times the number of known partitions is the
	// interval between announcements of one partition's load. Every daemon
	// receives the load of every partition, so each daemon receives at most
	// 7 announcements a second of about 400 bytes each. At 200 daemons, 60 ms took
	// 20 KB/s of a daemon's 25 KB/s.
	loadIntervalPerPartition = 150 * time.Millisecond
	minLoadInterval          = 2 * time.Second
)

// SetSelf updates the local daemon's summary and assigns new versions to the
// parts that changed. It reports whether a gossip round should start immediately,
// because an endpoint or the daemon is leaving.
func (m *Members) SetSelf(now time.Time, s guavascale.Summary) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self == nil || m.self.instance != s.Instance {
		m.self = &member{instance: s.Instance, parts: make(map[partKey]part)}
		m.selfKey = keyOfInstance(s.Instance)
		m.loadAnnouncedAt = make(map[guavascale.Partition]time.Time)
		m.heartbeatAt = time.Time{}
	}
	if now.Sub(m.heartbeatAt) >= heartbeatInterval {
		m.self.heartbeat++
		m.heartbeatAt = now
	}
	m.self.configVersion = max(m.self.configVersion, s.ConfigVersion)
	urgent := m.self.setPart(part{Card: newCard(&s)})
	for i := range s.Partitions {
		p := &s.Partitions[i]
		if m.loadDue(now, p) {
			m.self.setPart(part{Key: partKey{Partition: p.Partition}, Epoch: p.Epoch, Load: newLoad(p)})
			m.loadAnnouncedAt[p.Partition] = now
		}
		urgent = m.setEndpointParts(p) || urgent
	}
	return urgent
}

// SetConfig raises the configuration version that the daemon announces. A lower
// version has no effect.
func (m *Members) SetConfig(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self != nil {
		m.self.configVersion = max(m.self.configVersion, version)
	}
}

// loadDue reports whether the load of a partition should be announced now. A new
// epoch and a capacity that dropped to zero or rose from zero, because all
// workers stopped or resumed reporting, are announced immediately.
func (m *Members) loadDue(now time.Time, p *guavascale.PartitionSummary) bool {
	old := m.self.parts[partKey{Partition: p.Partition}]
	if old.Load == nil || old.Epoch != p.Epoch {
		return true
	}
	if old.Load.Capacity == (resources{}) != p.Capacity.IsZero() {
		return true
	}
	n := 0
	for _, peer := range m.peers {
		n += len(peer.card().Owned)
	}
	wait := max(time.Duration(n+len(m.self.card().Owned))*loadIntervalPerPartition, minLoadInterval)
	return now.Sub(m.loadAnnouncedAt[p.Partition]) >= wait
}

func (m *Members) setEndpointParts(p *guavascale.PartitionSummary) bool {
	var chunks [endpointChunks + 1][]endpoint
	for _, e := range p.Endpoints {
		n := 1 + xxhash.Sum64String(string(e.Task))%endpointChunks
		chunks[n] = append(chunks[n], endpoint(e))
	}
	urgent := false
	for n := 1; n <= endpointChunks; n++ {
		k := partKey{p.Partition, uint8(n)}
		if len(chunks[n]) > 0 || len(m.self.parts[k].Endpoints) > 0 {
			urgent = m.self.setPart(part{Key: k, Epoch: p.Epoch, Endpoints: chunks[n]}) || urgent
		}
	}
	return urgent
}

// setPart stores a part of the local summary under a new version if its content
// changed.
func (p *member) setPart(next part) bool {
	old, ok := p.parts[next.Key]
	next.Version = old.Version
	if ok && old.equal(&next) {
		return false
	}
	p.version++
	next.Version = p.version
	return p.storePart(next)
}

func (p *part) equal(q *part) bool {
	return p.Epoch == q.Epoch && slices.Equal(p.Endpoints, q.Endpoints) &&
		reflect.DeepEqual(p.Card, q.Card) && reflect.DeepEqual(p.Load, q.Load)
}

// storePart stores a part and reports whether it announces a leaving daemon or
// endpoint. A card removes the parts of partitions that are no longer owned.
func (p *member) storePart(next part) bool {
	old := p.parts[next.Key]
	p.parts[next.Key] = next
	p.summary = nil
	if next.Card == nil {
		return countLeaving(next.Endpoints) > countLeaving(old.Endpoints)
	}
	for k := range p.parts {
		if k.Partition != "" && !slices.Contains(next.Card.Owned, k.Partition) {
			delete(p.parts, k)
		}
	}
	return next.Card.Leaving && (old.Card == nil || !old.Card.Leaving)
}

func countLeaving(list []endpoint) int {
	n := 0
	for i := range list {
		if list[i].Leaving {
			n++
		}
	}
	return n
}

func (p *member) card() *card {
	if c := p.parts[partKey{}].Card; c != nil {
		return c
	}
	return &card{}
}

// assemble builds the summary from the parts and caches it.
func (p *member) assemble() *guavascale.Summary {
	if p.summary != nil && p.summary.ConfigVersion == p.configVersion {
		return p.summary
	}
	c := p.card()
	s := &guavascale.Summary{
		Daemon: c.Daemon, Instance: p.instance, Sequence: p.version, PeerAddress: c.PeerAddress,
		GatewayAddress: c.GatewayAddress, OperatorAddress: c.OperatorAddress, Zone: c.Zone,
		Leaving: c.Leaving, ConfigVersion: p.configVersion,
	}
	for _, name := range c.Owned {
		l := p.parts[partKey{Partition: name}]
		if l.Load == nil {
			continue
		}
		sum := l.Load.summary(name, l.Epoch)
		for n := 1; n <= endpointChunks; n++ {
			if e := p.parts[partKey{name, uint8(n)}]; e.Epoch == l.Epoch {
				for _, w := range e.Endpoints {
					sum.Endpoints = append(sum.Endpoints, guavascale.Endpoint(w))
				}
			}
		}
		slices.SortFunc(sum.Endpoints, func(a, b guavascale.Endpoint) int { return cmp.Compare(a.Task, b.Task) })
		s.Partitions = append(s.Partitions, sum)
	}
	p.summary = s
	return s
}

func newCard(s *guavascale.Summary) *card {
	c := &card{
		Daemon: s.Daemon, PeerAddress: s.PeerAddress, GatewayAddress: s.GatewayAddress,
		OperatorAddress: s.OperatorAddress, Zone: s.Zone, Leaving: s.Leaving,
	}
	for i := range s.Partitions {
		c.Owned = append(c.Owned, s.Partitions[i].Partition)
	}
	slices.Sort(c.Owned)
	return c
}

func newLoad(p *guavascale.PartitionSummary) *load {
	l := &load{
		Zone: p.Zone, Capacity: resources(p.Capacity), Free: resources(p.Free), Total: resources(p.Total),
		Pending: p.Pending, TeamUse: make(map[string]resources, len(p.TeamUse)),
	}
	for team, r := range p.TeamUse {
		l.TeamUse[team] = resources(r)
	}
	return l
}

func (l *load) summary(name guavascale.Partition, epoch uint64) guavascale.PartitionSummary {
	p := guavascale.PartitionSummary{
		Partition: name, Epoch: epoch, Zone: l.Zone, Capacity: guavascale.Resources(l.Capacity),
		Free: guavascale.Resources(l.Free), Total: guavascale.Resources(l.Total), Pending: l.Pending,
		TeamUse: make(map[string]guavascale.Resources, len(l.TeamUse)),
	}
	for team, r := range l.TeamUse {
		p.TeamUse[team] = guavascale.Resources(r)
	}
	return p
}
