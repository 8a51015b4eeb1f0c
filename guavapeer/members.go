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
	// summary of each and when news of it came last. Its zero value is empty
	// and ready for use. It is safe for concurrent use.
	Members struct {
		mu    sync.Mutex
		self  guavascale.Summary
		peers map[string]*member
	}

	member struct {
		summary guavascale.Summary
		heard   time.Time
		// gone is set when nothing listens at the peer's address any more.
		gone bool
	}

	// Digest maps instances of daemons to the sequence of the latest summary.
	Digest map[string]uint64
)

const (
	// suspectAfter is the time without news after which a peer is probed.
	suspectAfter = 3 * time.Second
	// deadAfter is the time without news after which a peer gets no requests
	// and counts in no ranking. Ownership does not depend on it.
	deadAfter = 5 * time.Second
	// forgetAfter is the time after which a dead peer is dropped.
	forgetAfter = 10 * time.Minute
)

// SetSelf stores the daemon's own summary; its sequence must grow.
func (m *Members) SetSelf(s guavascale.Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = s
}

// Self returns the daemon's own summary.
func (m *Members) Self() guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Merge takes over summaries that are newer than the known ones. Only a newer
// summary counts as news of a peer, so that a stale one that peers pass around
// does not keep a dead daemon alive.
func (m *Members) Merge(now time.Time, list []guavascale.Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range list {
		m.merge(now, s)
	}
}

func (m *Members) merge(now time.Time, s guavascale.Summary) {
	if s.Instance == "" || s.Instance == m.self.Instance {
		return
	}
	if m.peers == nil {
		m.peers = make(map[string]*member)
	}
	p := m.peers[s.Instance]
	if p == nil {
		// One address has one listener, so that an earlier run there has ended.
		m.refused(s.PeerAddress)
		m.peers[s.Instance] = &member{summary: s, heard: now}
		return
	}
	if s.Sequence > p.summary.Sequence {
		p.summary, p.heard, p.gone = s, now, false
	}
}

// Refused takes note that a connection to an address was refused: the process
// of the peer there has ended, other than that of a peer that is only silent.
func (m *Members) Refused(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused(addr)
}

func (m *Members) refused(addr string) {
	for _, p := range m.peers {
		if p.summary.PeerAddress == addr {
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
	for id, p := range m.peers {
		if p.gone {
			list = append(list, id)
		}
	}
	return list
}

// Digest returns the sequences of all known summaries.
func (m *Members) Digest() Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := make(Digest, len(m.peers)+1)
	d[m.self.Instance] = m.self.Sequence
	for id, p := range m.peers {
		d[id] = p.summary.Sequence
	}
	return d
}

// Newer returns the summaries that are newer than a digest. Dead peers are
// left out, so that all daemons forget them.
func (m *Members) Newer(now time.Time, d Digest) []guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []guavascale.Summary
	if m.self.Sequence > d[m.self.Instance] {
		list = append(list, m.self)
	}
	for id, p := range m.peers {
		if p.summary.Sequence > d[id] && now.Sub(p.heard) < deadAfter {
			list = append(list, p.summary)
		}
	}
	return list
}

// Live returns the summaries of all daemons that are not dead, this one
// included, ordered by daemon.
func (m *Members) Live(now time.Time) []guavascale.Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]guavascale.Summary, 0, len(m.peers)+1)
	if m.self.Instance != "" {
		list = append(list, m.self)
	}
	for id, p := range m.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(m.peers, id)
			continue
		}
		if now.Sub(p.heard) < deadAfter {
			list = append(list, p.summary)
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

// Targets returns the addresses of at most n peers to talk to: first those
// under suspicion, which are probed that way, then random others.
func (m *Members) Targets(now time.Time, n int, r *rand.Rand) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var suspects, others []string
	for _, p := range m.peers {
		silent := now.Sub(p.heard)
		switch {
		case silent > forgetAfter:
		case silent > suspectAfter:
			suspects = append(suspects, p.summary.PeerAddress)
		default:
			others = append(others, p.summary.PeerAddress)
		}
	}
	slices.Sort(suspects)
	slices.Sort(others)
	shuffle(suspects, r)
	shuffle(others, r)
	// Half of the calls go to healthy peers even when many are suspected.
	if limit := (n + 1) / 2; len(suspects) > limit && len(others) > 0 {
		suspects = suspects[:limit]
	}
	list := append(suspects, others...)
	return list[:min(n, len(list))]
}

func shuffle(list []string, r *rand.Rand) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
