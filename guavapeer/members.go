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
	// Members is what a daemon knows of the daemons of the system: the latest
	// parts of the summary of each and when its heartbeat last grew. Its zero
	// value is empty and ready for use. It is safe for concurrent use.
	Members struct {
		mu     sync.Mutex
		self   *member
		selfAt key
		beatAt time.Time
		// loadAt holds when the load of an own partition was last announced.
		loadAt map[guavascale.Partition]time.Time
		peers  map[key]*member
	}

	member struct {
		instance string
		// beat is the heartbeat; it grows about once a second.
		beat uint64
		// version is that of the latest part. All older parts are held too.
		version uint64
		parts   map[partKey]part
		config  uint64
		heard   time.Time
		// gone is set when nothing listens at the peer's address any more.
		gone bool
		// summary is assembled from the parts on demand; nil after a change.
		summary *guavascale.Summary
	}
)

const (
	// suspectAfter is the time without news after which a peer is probed.
	suspectAfter = 3 * time.Second
	// deadAfter is the time without news after which a peer gets no requests
	// and counts in no ranking. Ownership does not depend on it.
	deadAfter = 5 * time.Second
	// forgetAfter is the time after which a dead peer is dropped.
	forgetAfter = 10 * time.Minute
	// beatInterval is a little less than the 1 s between rounds, so that each
	// round carries a new heartbeat.
	beatInterval = 900 * time.Millisecond

	maxFanout = 8
	minFanout = 2
	// fanoutEntries bounds the digest entries that a daemon sends per round,
	// of about 10 bytes each.
	fanoutEntries = 150
)

// Fanout returns the number of peers of a round in a system of n daemons. The
// digest grows with n, so a large system talks to fewer peers.
func Fanout(n int) int {
	return max(minFanout, min(maxFanout, fanoutEntries/max(n, 1)))
}

// Self returns the daemon's own summary as it was last announced.
func (m *Members) Self() guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self == nil {
		return guavascale.Summary{}
	}
	return *m.self.assemble()
}

// Live returns the summaries of all daemons that are not dead, this one
// included, ordered by daemon. The content is shared and must not be changed.
func (m *Members) Live(now time.Time) []guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]guavascale.Summary, 0, len(m.peers)+1)
	if m.self != nil {
		list = append(list, *m.self.assemble())
	}
	for k, p := range m.peers {
		if now.Sub(p.heard) > forgetAfter {
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

// Known returns the number of peers that were heard of in the last 10 minutes,
// live or not.
func (m *Members) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Refused takes note that a connection to an address was refused: the process
// of the peer there has ended, other than that of a peer that is only silent.
func (m *Members) Refused(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markGone(addr, nil)
}

// markGone marks the peers at an address, but for one.
func (m *Members) markGone(addr string, but *member) {
	for _, p := range m.peers {
		if p != but && p.card().PeerAddress == addr {
			p.gone = true
		}
	}
}

// Gone returns the instances of the peers whose process has ended, as far as
// they were heard of in the last 10 minutes.
func (m *Members) Gone() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, p := range m.peers {
		if p.gone {
			list = append(list, p.instance)
		}
	}
	return list
}

// Targets returns the addresses of the peers of a round: first those under
// suspicion, which are probed that way, then random others.
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
		switch silent := now.Sub(p.heard); {
		case silent > forgetAfter, address == "":
		case silent > suspectAfter:
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
	// Half of the calls go to healthy peers even when many are suspected.
	if limit := n / 2; len(suspects) > limit && len(others) > 0 {
		suspects = suspects[:limit]
	}
	list := append(suspects, others...)
	return list[:min(n, len(list))]
}

func (p *member) live(now time.Time) bool { return now.Sub(p.heard) < deadAfter }

func shuffle(list []string, r *rand.Rand) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
