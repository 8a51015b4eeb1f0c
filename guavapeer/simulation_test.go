package guavapeer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
)

type (
	// simulation runs a system of daemons in virtual time. Messages are encoded
	// and decoded as in production.
	simulation struct {
		now     time.Time
		rng     *rand.Rand
		daemons []*simulatedDaemon
		// lossRate is the share of messages that are lost.
		lossRate     float64
		disconnected func(from, to *simulatedDaemon) bool
		bytes        int
		calls        int
	}

	simulatedDaemon struct {
		members Members
		summary guavascale.Summary
		// next is the time of the next round and last that of the previous one.
		next, last time.Time
		urgent     bool
		paused     bool
	}
)

const (
	simulationStep = 50 * time.Millisecond
	// callOverhead is the size of the gob framing, TCP and IP headers and
	// acknowledgements of a request and its response.
	callOverhead = 2 * (52 + 52 + 40)
)

func newSimulation(seed uint64, daemons, shards, endpoints int) *simulation {
	m := &simulation{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		d := &simulatedDaemon{next: m.now.Add(time.Duration(m.rng.IntN(1000)) * time.Millisecond)}
		d.summary = guavascale.Summary{
			Daemon: "d" + strconv.Itoa(i), Instance: fmt.Sprintf("d%d-20260101T000000.000000000", i),
			PeerAddress: strconv.Itoa(i), GatewayAddress: "10.0.0.1:8080", OperatorAddress: "10.0.0.1:8081", Zone: "Rennes",
		}
		for s := range shards {
			d.summary.Partitions = append(d.summary.Partitions, testPartition(i, s, endpoints))
		}
		d.members.SetSelf(m.now, d.summary)
		m.daemons = append(m.daemons, d)
	}
	// The first daemon is the seed peer of all others.
	for _, d := range m.daemons[1:] {
		m.exchange(d, m.daemons[0])
	}
	return m
}

func testPartition(daemon, shard, endpoints int) guavascale.PartitionSummary {
	size := guavascale.Resources{MilliCores: 512_000, MemoryMB: 2_000_000, Accelerators: 64}
	p := guavascale.PartitionSummary{
		Partition: guavascale.Partition(fmt.Sprintf("Shard-Rennes-%d-%d", daemon, shard)), Epoch: 1, Zone: "Rennes",
		Capacity: size, Free: size, Total: size, TeamUse: map[string]guavascale.Resources{},
	}
	for t := range 10 {
		p.TeamUse["team-"+strconv.Itoa(t)] = size
	}
	for e := range endpoints {
		p.Endpoints = append(p.Endpoints, guavascale.Endpoint{
			Service: "licence-check", Task: guavascale.TaskID(fmt.Sprintf("licence-check/%s/%d", p.Partition, e)),
			Worker: guavascale.WorkerID(fmt.Sprintf("Rennes-%d", e)), Zone: "Rennes", Address: "10.0.12.34:31234", Slots: 8, Connections: 60,
		})
	}
	return p
}

// run advances virtual time and runs the rounds that become due.
func (m *simulation) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(simulationStep) {
		for _, d := range m.daemons {
			if !d.paused && !m.now.Before(d.next) {
				m.round(d)
			}
		}
	}
}

func (m *simulation) round(d *simulatedDaemon) {
	for i := range d.summary.Partitions {
		d.summary.Partitions[i].Free.MilliCores = int64(m.rng.IntN(32_000))
	}
	d.members.SetSelf(m.now, d.summary)
	for _, addr := range d.members.Targets(m.now, m.rng) {
		n, _ := strconv.Atoi(addr)
		m.exchange(d, m.daemons[n])
	}
	d.last, d.urgent = m.now, false
	d.next = m.now.Add(time.Second)
}

func (m *simulation) exchange(a, b *simulatedDaemon) {
	m.calls++
	in := a.members.newAsk(m.now)
	if !send(m, a, b, &in) {
		return
	}
	out := b.members.handleAsk(m.now, &in)
	m.offerConfig(b, in.Config)
	if !send(m, b, a, &out) {
		return
	}
	m.offerConfig(a, out.Config)
	wanted, urgent := a.members.handleAnswer(m.now, &out)
	m.advanceNextRound(a, urgent)
	if len(wanted.Deltas) > 0 {
		m.calls++
		if send(m, a, b, &wanted) {
			m.advanceNextRound(b, b.members.merge(m.now, wanted.Deltas))
		}
	}
}

// offerConfig simulates fetching a configuration that is newer than the daemon's.
func (m *simulation) offerConfig(d *simulatedDaemon, version uint64) {
	if version > d.members.Self().ConfigVersion {
		d.members.SetConfig(version)
		m.advanceNextRound(d, true)
	}
}

func (m *simulation) advanceNextRound(d *simulatedDaemon, urgent bool) {
	if at := d.last.Add(200 * time.Millisecond); urgent && at.Before(d.next) {
		d.next = at
	}
}

// send encodes and decodes a message. It returns false if the message was lost.
func send[T any](m *simulation, from, to *simulatedDaemon, msg *T) bool {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	m.bytes += len(data)
	if to.paused || m.disconnected != nil && m.disconnected(from, to) || m.rng.Float64() < m.lossRate {
		return false
	}
	var copied T
	if err := cbor.Unmarshal(data, &copied); err != nil {
		panic(err)
	}
	*msg = copied
	return true
}

// runUntil advances virtual time until a condition holds for all daemons that are
// not paused. It returns the time that this took, at most limit.
func (m *simulation) runUntil(limit time.Duration, condition func(*simulatedDaemon) bool) time.Duration {
	start := m.now
	for m.now.Sub(start) < limit {
		all := true
		for _, d := range m.daemons {
			all = all && (d.paused || condition(d))
		}
		if all {
			break
		}
		m.run(simulationStep)
	}
	return m.now.Sub(start)
}

// liveCount returns the number of daemons that d considers live.
func (m *simulation) liveCount(d *simulatedDaemon) int { return len(d.members.Live(m.now)) }
