package guavapeer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// key stands for an instance in digests: 40 bits of its hash. A new
	// instance collides with one of 200 others once in 5 billion starts; the
	// one that came later would then count as dead until its restart.
	key uint64

	// entry is what a digest says of an instance.
	entry struct {
		key           key
		beat, version uint64
	}

	// digest holds packed entries: 5 bytes of key, then heartbeat and version
	// of variable length.
	digest []byte

	// ask begins an exchange.
	ask struct {
		Address string `cbor:"1,keyasint"`
		Config  uint64 `cbor:"2,keyasint"`
		Digest  digest `cbor:"3,keyasint"`
	}

	// answer holds the heartbeats and parts that the caller lacks, and in
	// Wants what the answering daemon holds of instances that the caller knows
	// better.
	answer struct {
		Config uint64  `cbor:"1,keyasint"`
		Digest digest  `cbor:"2,keyasint,omitempty"`
		Deltas []delta `cbor:"3,keyasint,omitempty"`
		Wants  digest  `cbor:"4,keyasint,omitempty"`
	}

	// news is what a peer asked for.
	news struct {
		Deltas []delta `cbor:"1,keyasint"`
	}

	// delta holds the parts of an instance with versions above Since and up to
	// Version.
	delta struct {
		Instance string `cbor:"1,keyasint"`
		Beat     uint64 `cbor:"2,keyasint"`
		Since    uint64 `cbor:"3,keyasint,omitempty"`
		Version  uint64 `cbor:"4,keyasint"`
		Parts    []part `cbor:"5,keyasint"`
	}
)

const (
	keyBytes = 5
	keyMask  = 1<<(8*keyBytes) - 1
	// maxParts bounds the parts of a message, which are up to about 1 KB each;
	// the rest follows with the next exchanges. When 200 daemons start at once,
	// 512 took a daemon to 626 MB and 256 to 757 MB; 64 stays below 128 MB and
	// takes longer than 30 s until a daemon has all parts of such a system.
	maxParts = 64
)

func keyOf(instance string) key { return key(xxhash.Sum64String(instance) & keyMask) }

func (d *digest) add(e entry) {
	var k [8]byte
	binary.LittleEndian.PutUint64(k[:], uint64(e.key))
	*d = append(*d, k[:keyBytes]...)
	*d = binary.AppendUvarint(*d, e.beat)
	*d = binary.AppendUvarint(*d, e.version)
}

// entries unpacks a digest; a broken tail is ignored.
func (d digest) entries() []entry {
	var list []entry
	for len(d) >= keyBytes {
		var k [8]byte
		copy(k[:keyBytes], d)
		e := entry{key: key(binary.LittleEndian.Uint64(k[:]))}
		d = d[keyBytes:]
		for _, v := range []*uint64{&e.beat, &e.version} {
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

// ask returns the message that begins an exchange. Dead peers are left out, so
// that all daemons forget them.
func (m *Members) ask(now time.Time) ask {
	m.mu.Lock()
	defer m.mu.Unlock()
	var a ask
	if m.self != nil {
		a.Address, a.Config = m.self.card().PeerAddress, m.self.config
	}
	for k, p := range m.known(now) {
		a.Digest.add(entry{k, p.beat, p.version})
	}
	return a
}

// answer takes the heartbeats of an ask and returns what the two sides lack.
func (m *Members) answer(now time.Time, in *ask) answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out answer
	if m.self != nil {
		out.Config = m.self.config
	}
	parts := maxParts
	seen := make(map[key]bool)
	for _, e := range in.Digest.entries() {
		seen[e.key] = true
		p := m.find(e.key)
		if p == nil {
			out.Wants.add(entry{key: e.key})
			continue
		}
		p.hear(now, e.beat, p != m.self)
		// Of the own summary the peer cannot know more.
		if p.version < e.version && p != m.self {
			out.Wants.add(entry{e.key, p.beat, p.version})
		}
		if p != m.self && !p.live(now) {
			continue
		}
		if p.version > e.version {
			out.Deltas = p.appendDelta(out.Deltas, e.version, &parts)
		} else if p.beat > e.beat {
			out.Digest.add(entry{e.key, p.beat, p.version})
		}
	}
	for k, p := range m.known(now) {
		if !seen[k] {
			out.Deltas = p.appendDelta(out.Deltas, 0, &parts)
		}
	}
	if p := m.byAddress(in.Address); p != nil {
		p.config = max(p.config, in.Config)
	}
	return out
}

// finish takes an answer and returns the parts that the peer asked for.
func (m *Members) finish(now time.Time, a *answer) (news, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range a.Digest.entries() {
		if p := m.peers[e.key]; p != nil {
			p.hear(now, e.beat, true)
		}
	}
	urgent := m.mergeLocked(now, a.Deltas)
	var out news
	parts := maxParts
	for _, e := range a.Wants.entries() {
		p := m.find(e.key)
		if p != nil && p.version > e.version && (p == m.self || p.live(now)) {
			out.Deltas = p.appendDelta(out.Deltas, e.version, &parts)
		}
	}
	return out, urgent
}

// merge takes over parts and reports whether one tells that something leaves.
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
	k := keyOf(d.Instance)
	if d.Instance == "" || m.self != nil && k == m.selfAt {
		return false
	}
	p := m.peers[k]
	unknown := p == nil
	if unknown {
		if d.Since > 0 {
			return false
		}
		p = &member{instance: d.Instance, parts: make(map[partKey]part), heard: now, beat: d.Beat}
		if m.peers == nil {
			m.peers = make(map[key]*member)
		}
		m.peers[k] = p
	}
	if p.instance != d.Instance {
		return false
	}
	p.hear(now, d.Beat, true)
	// With a gap before the delta, parts would be missed for good.
	if d.Since > p.version || d.Version <= p.version {
		return false
	}
	urgent := false
	for _, next := range d.Parts {
		if next.Version > p.version {
			urgent = p.store(next) || urgent
		}
	}
	p.version = d.Version
	if unknown {
		// One address has one listener, so that an earlier run there has ended.
		m.markGone(p.card().PeerAddress, p)
	}
	return urgent
}

// hear counts only a higher heartbeat as news of a peer, so that a stale one
// that peers pass around does not keep a dead daemon alive.
func (p *member) hear(now time.Time, beat uint64, peer bool) {
	if peer && beat > p.beat {
		p.beat, p.heard, p.gone = beat, now, false
	}
}

// appendDelta adds the parts above a version in the order of their versions, as
// many as the message still admits.
func (p *member) appendDelta(list []delta, since uint64, left *int) []delta {
	d := delta{Instance: p.instance, Beat: p.beat, Since: since, Version: p.version}
	for _, x := range p.parts {
		if x.Version > since {
			d.Parts = append(d.Parts, x)
		}
	}
	slices.SortFunc(d.Parts, func(a, b part) int { return cmp.Compare(a.Version, b.Version) })
	if len(d.Parts) > *left {
		if *left == 0 {
			return list
		}
		d.Parts = d.Parts[:*left]
		d.Version = d.Parts[*left-1].Version
	}
	*left -= len(d.Parts)
	return append(list, d)
}

// known returns this daemon and all peers that are not dead.
func (m *Members) known(now time.Time) map[key]*member {
	list := make(map[key]*member, len(m.peers)+1)
	for k, p := range m.peers {
		if p.live(now) {
			list[k] = p
		}
	}
	if m.self != nil {
		list[m.selfAt] = m.self
	}
	return list
}

func (m *Members) find(k key) *member {
	if m.self != nil && k == m.selfAt {
		return m.self
	}
	return m.peers[k]
}

func (m *Members) byAddress(address string) *member {
	for _, p := range m.peers {
		if p.card().PeerAddress == address {
			return p
		}
	}
	return nil
}

// Meet makes one exchange between two lists in one process, begun by a. Tests of
// several daemons use it in place of the network.
func Meet(now time.Time, a, b *Members) {
	question := a.ask(now)
	out := b.answer(now, &question)
	rest, _ := a.finish(now, &out)
	b.merge(now, rest.Deltas)
}
