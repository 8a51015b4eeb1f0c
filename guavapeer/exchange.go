package guavapeer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// instanceKey identifies an instance in digests by 40 bits of its hash. A new
	// instance collides with one of 200 others about once in 5 billion starts.
	// The instance that joins later is then treated as dead until it restarts.
	instanceKey uint64

	// digestEntry holds the heartbeat and version known of an instance.
	digestEntry struct {
		key                instanceKey
		heartbeat, version uint64
	}

	// digest is a list of encoded entries: a key of 5 bytes followed by the
	// heartbeat and the version as varints.
	digest []byte

	// ask is the request that starts an exchange.
	ask struct {
		Address string `cbor:"1,keyasint"`
		Config  uint64 `cbor:"2,keyasint"`
		Digest  digest `cbor:"3,keyasint"`
	}

	// answer is the response to an ask. It holds the heartbeats and parts that
	// the caller lacks. Wants lists the instances of which the caller has newer
	// parts, with the versions that the responding daemon holds.
	answer struct {
		Config uint64  `cbor:"1,keyasint"`
		Digest digest  `cbor:"2,keyasint,omitempty"`
		Deltas []delta `cbor:"3,keyasint,omitempty"`
		Wants  digest  `cbor:"4,keyasint,omitempty"`
	}

	// news holds the parts that a peer requested in answer.Wants.
	news struct {
		Deltas []delta `cbor:"1,keyasint"`
	}

	// delta holds the parts of an instance whose versions are greater than Since
	// and at most Version.
	delta struct {
		Instance  string `cbor:"1,keyasint"`
		Heartbeat uint64 `cbor:"2,keyasint"`
		Since     uint64 `cbor:"3,keyasint,omitempty"`
		Version   uint64 `cbor:"4,keyasint"`
		Parts     []part `cbor:"5,keyasint"`
	}
)

const (
	keyBytes = 5
	keyMask  = 1<<(8*keyBytes) - 1
	// maxPartsPerMessage limits the parts in a message, which take up to about
	// 1 KB each; the next exchanges send the rest. With 64, a system of 200
	// daemons started at the same time had not converged after 46 s.
	maxPartsPerMessage = 256
)

func keyOfInstance(instance string) instanceKey {
	return instanceKey(xxhash.Sum64String(instance) & keyMask)
}

func (d *digest) add(e digestEntry) {
	var k [8]byte
	binary.LittleEndian.PutUint64(k[:], uint64(e.key))
	*d = append(*d, k[:keyBytes]...)
	*d = binary.AppendUvarint(*d, e.heartbeat)
	*d = binary.AppendUvarint(*d, e.version)
}

// entries decodes a digest. It ignores a malformed rest.
func (d digest) entries() []digestEntry {
	var list []digestEntry
	for len(d) >= keyBytes {
		var k [8]byte
		copy(k[:keyBytes], d)
		e := digestEntry{key: instanceKey(binary.LittleEndian.Uint64(k[:]))}
		d = d[keyBytes:]
		for _, v := range []*uint64{&e.heartbeat, &e.version} {
			n := 0
			if *v, n = binary.Uvarint(d); n <= 0 {
				return list
			}
			d = d[n:]
		}
		list = append(list, e)
	}
	return list
}

// newAsk returns the request that starts an exchange. It omits dead peers, so
// that all daemons eventually remove them.
func (m *Members) newAsk(now time.Time) ask {
	m.mu.Lock()
	defer m.mu.Unlock()
	var a ask
	if m.self != nil {
		a.Address, a.Config = m.self.card().PeerAddress, m.self.configVersion
	}
	for k, p := range m.liveMembers(now) {
		a.Digest.add(digestEntry{k, p.heartbeat, p.version})
	}
	return a
}

// handleAsk merges the heartbeats of a request. It returns the parts that the
// caller lacks and a digest of those to request from the caller.
func (m *Members) handleAsk(now time.Time, in *ask) answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out answer
	if m.self != nil {
		out.Config = m.self.configVersion
	}
	parts := maxPartsPerMessage
	seen := make(map[instanceKey]bool)
	for _, e := range in.Digest.entries() {
		seen[e.key] = true
		p := m.lookup(e.key)
		if p == nil {
			out.Wants.add(digestEntry{key: e.key})
			continue
		}
		p.recordHeartbeat(now, e.heartbeat, p != m.self)
		// A peer cannot have newer parts of the local daemon.
		if p.version < e.version && p != m.self {
			out.Wants.add(digestEntry{e.key, p.heartbeat, p.version})
		}
		if p != m.self && !p.live(now) {
			continue
		}
		if p.version > e.version {
			out.Deltas = p.appendDelta(out.Deltas, e.version, &parts)
		} else if p.heartbeat > e.heartbeat {
			out.Digest.add(digestEntry{e.key, p.heartbeat, p.version})
		}
	}
	for k, p := range m.liveMembers(now) {
		if !seen[k] {
			out.Deltas = p.appendDelta(out.Deltas, 0, &parts)
		}
	}
	if p := m.peerByAddress(in.Address); p != nil {
		p.configVersion = max(p.configVersion, in.Config)
	}
	return out
}

// handleAnswer merges a response. It returns the parts that the peer requested
// and reports whether the response announced a leaving daemon or endpoint.
func (m *Members) handleAnswer(now time.Time, a *answer) (news, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range a.Digest.entries() {
		if p := m.peers[e.key]; p != nil {
			p.recordHeartbeat(now, e.heartbeat, true)
		}
	}
	urgent := m.mergeLocked(now, a.Deltas)
	var out news
	parts := maxPartsPerMessage
	for _, e := range a.Wants.entries() {
		p := m.lookup(e.key)
		if p != nil && p.version > e.version && (p == m.self || p.live(now)) {
			out.Deltas = p.appendDelta(out.Deltas, e.version, &parts)
		}
	}
	return out, urgent
}

// merge merges deltas and reports whether one of them announces a leaving daemon
// or endpoint.
func (m *Members) merge(now time.Time, list []delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mergeLocked(now, list)
}

func (m *Members) mergeLocked(now time.Time, list []delta) bool {
	urgent := false
	for i := range list {
		urgent = m.mergeDelta(now, &list[i]) || urgent
	}
	return urgent
}

func (m *Members) mergeDelta(now time.Time, d *delta) bool {
	k := keyOfInstance(d.Instance)
	if d.Instance == "" || m.self != nil && k == m.selfKey {
		return false
	}
	p := m.peers[k]
	unknown := p == nil
	if unknown {
		if d.Since > 0 {
			return false
		}
		p = &member{instance: d.Instance, parts: make(map[partKey]part), lastHeartbeatAt: now, heartbeat: d.Heartbeat}
		if m.peers == nil {
			m.peers = make(map[instanceKey]*member)
		}
		m.peers[k] = p
	}
	if p.instance != d.Instance {
		return false
	}
	p.recordHeartbeat(now, d.Heartbeat, true)
	// Accepting a delta that starts after the held version would lose the parts
	// in between for good.
	if d.Since > p.version || d.Version <= p.version {
		return false
	}
	urgent := false
	for _, next := range d.Parts {
		if next.Version > p.version {
			urgent = p.storePart(next) || urgent
		}
	}
	p.version = d.Version
	if unknown {
		// Only one process can listen on an address, so an earlier instance at
		// this address has exited.
		m.markExited(p.card().PeerAddress, p)
	}
	return urgent
}

// recordHeartbeat updates the time of a peer's last heartbeat, but only if the
// heartbeat increased, so that a stale heartbeat relayed between peers does not
// keep a dead daemon alive. It ignores the local daemon, for which remote is
// false.
func (p *member) recordHeartbeat(now time.Time, heartbeat uint64, remote bool) {
	if remote && heartbeat > p.heartbeat {
		p.heartbeat, p.lastHeartbeatAt, p.exited = heartbeat, now, false
	}
}

// appendDelta appends a delta with the parts newer than a version, in order of
// version and at most *remaining parts, and reduces *remaining accordingly.
func (p *member) appendDelta(list []delta, since uint64, remaining *int) []delta {
	d := delta{Instance: p.instance, Heartbeat: p.heartbeat, Since: since, Version: p.version}
	for _, x := range p.parts {
		if x.Version > since {
			d.Parts = append(d.Parts, x)
		}
	}
	slices.SortFunc(d.Parts, func(a, b part) int { return cmp.Compare(a.Version, b.Version) })
	if len(d.Parts) > *remaining {
		if *remaining == 0 {
			return list
		}
		d.Parts = d.Parts[:*remaining]
		d.Version = d.Parts[*remaining-1].Version
	}
	*remaining -= len(d.Parts)
	return append(list, d)
}

// liveMembers returns the local daemon and all peers that are not dead.
func (m *Members) liveMembers(now time.Time) map[instanceKey]*member {
	list := make(map[instanceKey]*member, len(m.peers)+1)
	for k, p := range m.peers {
		if p.live(now) {
			list[k] = p
		}
	}
	if m.self != nil {
		list[m.selfKey] = m.self
	}
	return list
}

func (m *Members) lookup(k instanceKey) *member {
	if m.self != nil && k == m.selfKey {
		return m.self
	}
	return m.peers[k]
}

func (m *Members) peerByAddress(address string) *member {
	for _, p := range m.peers {
		if p.card().PeerAddress == address {
			return p
		}
	}
	return nil
}

// ExchangeInProcess runs one exchange, started by a, between two member lists of
// the same process. Tests with several daemons use it instead of the network.
func ExchangeInProcess(now time.Time, a, b *Members) {
	request := a.newAsk(now)
	response := b.handleAsk(now, &request)
	requested, _ := a.handleAnswer(now, &response)
	b.merge(now, requested.Deltas)
}
