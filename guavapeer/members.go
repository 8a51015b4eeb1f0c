package guavapeer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavascale.example"
)

type (
	// Members is a daemon's view of all daemons in the system: the latest parts
	// of each daemon's summary and the time its heartbeat last increased. The
	// zero value is empty and ready to use. It is safe for concurrent use.
	Members struct {
		mu          sync.Mutex
		self        *member
		selfKey     instanceKey
		heartbeatAt time.Time
		// loadAnnouncedAt holds the time at which the load of each locally owned
		// partition was last announced.
		loadAnnouncedAt map[guavascale.Partition]time.Time
		peers           map[instanceKey]*member
	}

	member struct {
		instance string
		// heartbeat is a counter that increases about once a second.
		heartbeat uint64
		// version is the version of the latest part. All earlier parts are
		// present too.
		version         uint64
		parts           map[partKey]part
		configVersion   uint64
		lastHeartbeatAt time.Time
		// exited is set when the peer's process no longer listens at its
		// address.
		exited bool
		// summary caches the result of assemble; nil after a part changed.
		summary *guavascale.Summary
	}
)

const (
	// suspectAfter is the time without a new heartbeat after which a peer is
	// probed.
	suspectAfter = 3 * time.Second
	// deadAfter is the time without a new heartbeat after which a peer gets no
	// requests and is excluded from rankings. Ownership does not depend on it.
	deadAfter = 5 * time.Second
	// removeAfter is the time without a new heartbeat after which a peer is
	// removed.
	removeAfter = 10 * time.Minute
	// heartbeatInterval is slightly shorter than the gossip interval of 1 s, so
	// that each round carries a new heartbeat.
	heartbeatInterval = 900 * time.Millisecond

	maxFanout = 8
	minFanout = 2
	// fanoutEntries limits the digest entries that a daemon sends per round; an
	// entry takes about 10 bytes.
	fanoutEntries = 150
)

// Fanout returns the number of peers to contact per gossip round in a system of
// n daemons. The digest grows with n, so the fanout shrinks with it.
func Fanout(n int) int {
	return max(minFanout, min(maxFanout, fanoutEntries/max(n, 1)))
}

// Self returns the local daemon's summary as last announced.
func (m *Members) Self() guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self == nil {
		return guavascale.Summary{}
	}
	return *m.self.assemble()
}

// Live returns the summaries of all daemons that are not dead, including the
// local one, ordered by daemon. The summaries share memory and must not be
// modified.
func (m *Members) Live(now time.Time) []guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]guavascale.Summary, 0, len(m.peers)+1)
	if m.self != nil {
		list = append(list, *m.self.assemble())
	}
	for k, p := range m.peers {
		if now.Sub(p.lastHeartbeatAt) > removeAfter {
			delete(m.peers, k)
			continue
		}
		if p.live(now) {
			list = append(list, *p.assemble())
		}
	}
	slices.SortFunc(list, func(a, b guavascale.Summary) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

// Known returns the number of peers, live or not. A peer is removed 10 minutes
// after its last new heartbeat.
func (m *Members) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// ConnectionRefused records that a connection to an address was refused, which
// means that the peer's process has exited. A peer that is merely unresponsive may
// still be running.
func (m *Members) ConnectionRefused(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markExited(addr, nil)
}

// markExited marks all peers at an address, except one, as exited.
func (m *Members) markExited(addr string, except *member) {
	for _, p := range m.peers {
		if p != except && p.card().PeerAddress == addr {
			p.exited = true
		}
	}
}

// Exited returns the instances of the peers whose process has exited. A peer is
// removed 10 minutes after its last new heartbeat.
func (m *Members) Exited() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, p := range m.peers {
		if p.exited {
			list = append(list, p.instance)
		}
	}
	return list
}

// Targets returns the addresses of the peers to contact in a gossip round:
// suspected peers first, to probe them, then randomly chosen others.
func (m *Members) Targets(now time.Time, r *rand.Rand) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var suspects, others []string
	live := 1
	for _, p := range m.peers {
		address := p.card().PeerAddress
		if p.live(now) {
			live++
		}
		switch sinceHeartbeat := now.Sub(p.lastHeartbeatAt); {
		case sinceHeartbeat > removeAfter, address == "":
		case sinceHeartbeat > suspectAfter:
			suspects = append(suspects, address)
		default:
			others = append(others, address)
		}
	}
	slices.Sort(suspects)
	slices.Sort(others)
	shuffle(suspects, r)
	shuffle(others, r)
	n := Fanout(live)
	// At least half of the calls go to healthy peers, even when many peers are
	// suspected.
	if limit := n / 2; len(suspects) > limit && len(others) > 0 {
		suspects = suspects[:limit]
	}
	list := append(suspects, others...)
	return list[:min(n, len(list))]
}

func (p *member) live(now time.Time) bool { return now.Sub(p.lastHeartbeatAt) < deadAfter }

func shuffle(list []string, r *rand.Rand) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
