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
	// model is a system of daemons in virtual time. Messages go through the
	// real encoding.
	model struct {
		now     time.Time
		rng     *rand.Rand
		daemons []*modelDaemon
		// loss is the share of messages that are lost.
		loss  float64
		cut   func(from, to *modelDaemon) bool
		bytes int
		calls int
	}

	modelDaemon struct {
		members Members
		summary guavascale.Summary
		// next is the time of the next round, urgent of a round at once.
		next, last time.Time
		urgent     bool
		paused     bool
	}
)

const (
	modelStep = 50 * time.Millisecond
	// callOverhead is the gob frame of a call and of its answer, with TCP and
	// IP headers and acknowledgements.
	callOverhead = 2 * (52 + 52 + 40)
)

func newModel(seed uint64, daemons, shards, endpoints int) *model {
	m := &model{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		d := &modelDaemon{next: m.now.Add(time.Duration(m.rng.IntN(1000)) * time.Millisecond)}
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
	// The first daemon is the seed of the others.
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

// run advances virtual time.
func (m *model) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(modelStep) {
		for _, d := range m.daemons {
			if !d.paused && !m.now.Before(d.next) {
				m.round(d)
			}
		}
	}
}

func (m *model) round(d *modelDaemon) {
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

func (m *model) exchange(a, b *modelDaemon) {
	m.calls++
	in := a.members.ask(m.now)
	if !send(m, a, b, &in) {
		return
	}
	out := b.members.answer(m.now, &in)
	m.config(b, in.Config)
	if !send(m, b, a, &out) {
		return
	}
	m.config(a, out.Config)
	wanted, urgent := a.members.finish(m.now, &out)
	m.wake(a, urgent)
	if len(wanted.Deltas) > 0 {
		m.calls++
		if send(m, a, b, &wanted) {
			m.wake(b, b.members.merge(m.now, wanted.Deltas))
		}
	}
}

// config stands for the fetch of a newer configuration.
func (m *model) config(d *modelDaemon, version uint64) {
	if version > d.members.Self().ConfigVersion {
		d.members.SetConfig(version)
		m.wake(d, true)
	}
}

func (m *model) wake(d *modelDaemon, urgent bool) {
	if at := d.last.Add(200 * time.Millisecond); urgent && at.Before(d.next) {
		d.next = at
	}
}

// send puts a message through the encoding; false means that it was lost.
func send[T any](m *model, from, to *modelDaemon, msg *T) bool {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	m.bytes += len(data)
	if to.paused || m.cut != nil && m.cut(from, to) || m.rng.Float64() < m.loss {
		return false
	}
	var copied T
	if err := cbor.Unmarshal(data, &copied); err != nil {
		panic(err)
	}
	*msg = copied
	return true
}

// until runs until all daemons but those paused meet a condition and returns
// the time that it took, at most limit.
func (m *model) until(limit time.Duration, holds func(*modelDaemon) bool) time.Duration {
	start := m.now
	for m.now.Sub(start) < limit {
		all := true
		for _, d := range m.daemons {
			all = all && (d.paused || holds(d))
		}
		if all {
			break
		}
		m.run(modelStep)
	}
	return m.now.Sub(start)
}

// liveCount returns the daemons that d counts as live.
func (m *model) liveCount(d *modelDaemon) int { return len(d.members.Live(m.now)) }
