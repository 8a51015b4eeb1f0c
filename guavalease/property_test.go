package guavalease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavascale.example"
	_ "guavascale.example/internal/fixedseed"
	"guavascale.example/internal/storetest"
)

type (
	// simulation runs machines in virtual time against one table.
	simulation struct {
		t     *rapid.T
		table *storetest.Table
		now   time.Time
		nodes []*node
		// leaseEpochs holds the highest epoch of a valid lease, and rowEpochs
		// the highest epoch in an owner row.
		leaseEpochs map[guavascale.Partition]uint64
		rowEpochs   map[guavascale.Partition]uint64
		// gained holds the instance that gained a partition at an epoch.
		gained map[Event]string
		// lateCommits holds commits whose caller has given up and that may
		// still reach the table.
		lateCommits []guavascale.Commit
		// rnd is seeded by rapid. Drawing each fault from rapid would favor
		// small values and rarely lead to a takeover.
		rnd *rand.Rand
		// faults is the probability of a fault per call, in percent.
		faults int
		// outageEnd is the end of the store outage.
		outageEnd time.Time
	}

	node struct {
		m           *Machine
		id          string
		pausedUntil time.Time
		// results holds results that were computed but not delivered yet.
		results []Result
		wake    time.Time
	}
)

var simPartitions = []guavascale.Partition{"Claim-0", "Claim-1", "Shard-a-0"}

func (s *simulation) start(n *node) {
	n.m = NewMachine(Config{Daemon: n.id, MinHold: 4 * time.Second}, rand.New(rand.NewPCG(s.rnd.Uint64(), 7)))
	n.m.SetWanted(simPartitions)
	n.results = nil
	n.pausedUntil = s.now
	n.wake = s.now
}

func (s *simulation) perform(c Call) Result {
	r := Result{ID: c.ID}
	ctx := context.Background()
	switch c.Kind {
	case CallCommit:
		r.Version, r.Err = s.table.Commit(ctx, c.Commit)
	case CallGet:
		r.Row, r.Err = s.table.Get(ctx, c.Key)
	case CallScan:
		r.Owners, r.Err = s.table.Scan(ctx, OwnerPrefix, "", 100)
		r.Sessions, _ = s.table.Scan(ctx, SessionPrefix, "", 100)
	}
	return r
}

// apply checks the events of an output and executes its calls. Each call
// succeeds, fails, takes effect late or loses its response.
func (s *simulation) apply(n *node, out Output) {
	n.wake = out.Wake
	for _, e := range out.Events {
		if e.Kind != EventGained {
			continue
		}
		if other, ok := s.gained[e]; ok {
			s.t.Fatalf("%s and %s gained %s at the same epoch %d", other, n.m.Instance(), e.Partition, e.Epoch)
		}
		s.gained[e] = n.m.Instance()
	}
	for _, c := range out.Calls {
		kind := 3
		if s.chance(s.faults) {
			kind = s.rnd.IntN(3)
		}
		switch kind {
		case 0: // The response is lost after the call took effect.
			s.perform(c)
			n.results = append(n.results, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), true)})
		case 1: // The call does not reach the table.
			n.results = append(n.results, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), false)})
		case 2: // The commit takes effect after its caller has given up.
			s.lateCommits = append(s.lateCommits, c.Commit)
			n.results = append(n.results, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), true)})
		default:
			n.results = append(n.results, s.perform(c))
		}
	}
}

func (s *simulation) advance(n *node) {
	for s.now.After(n.pausedUntil) && len(n.results) > 0 {
		if s.chance(s.faults) {
			return // The results are still in transit in this step.
		}
		i := s.rnd.IntN(len(n.results)) // Results arrive out of order.
		r := n.results[i]
		n.results = slices.Delete(n.results, i, i+1)
		s.apply(n, n.m.HandleResult(s.now, r))
	}
	if !s.now.After(n.pausedUntil) || s.now.Before(n.wake) {
		return
	}
	out := n.m.Tick(s.now)
	if out.Closed {
		s.start(n)
		return
	}
	s.apply(n, out)
}

func (s *simulation) chance(percent int) bool { return s.rnd.IntN(100) < percent }

func (s *simulation) check() {
	for _, p := range simPartitions {
		if row, ok := s.table.Rows[OwnerKey(p)]; ok {
			o, err := DecodeOwner(row.Value)
			if err != nil || o.Epoch < s.rowEpochs[p] {
				s.t.Fatalf("the owner row of %s went from epoch %d to %d (%v)", p, s.rowEpochs[p], o.Epoch, err)
			}
			s.rowEpochs[p] = o.Epoch
		}
		owner := ""
		for _, n := range s.nodes {
			lease, err := n.m.Leases().Check(s.now, p)
			if err != nil {
				continue
			}
			if lease.Epoch < s.leaseEpochs[p] {
				s.t.Fatalf("%s may act for %s at epoch %d after epoch %d", n.id, p, lease.Epoch, s.leaseEpochs[p])
			}
			s.leaseEpochs[p] = lease.Epoch
			if owner != "" {
				s.t.Fatalf("%s and %s may both act for %s", owner, n.id, p)
			}
			owner = n.id
		}
	}
}

// step draws one fault, advances the time and runs every machine.
func (s *simulation) step() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	switch s.rnd.IntN(200) {
	case 0, 1, 2, 3, 4:
		n.pausedUntil = s.now.Add(time.Duration(s.rnd.IntN(30000)) * time.Millisecond)
	case 5:
		s.start(n)
	case 6:
		s.outageEnd = s.now.Add(time.Duration(s.rnd.IntN(20000)) * time.Millisecond)
	case 7:
		n.m.Close()
	}
	if len(s.lateCommits) > 0 && s.chance(5) {
		_, _ = s.table.Commit(context.Background(), s.lateCommits[0])
		s.lateCommits = s.lateCommits[1:]
	}
	s.now = s.now.Add(time.Duration(s.rnd.IntN(600)) * time.Millisecond)
	s.table.Down = s.now.Before(s.outageEnd)
	for _, n := range s.nodes {
		s.advance(n)
		s.check()
	}
}

// Guards against two daemons that may act for a partition at the same time,
// and against an epoch that is granted twice, under pauses, crashes, outages,
// lost responses, late commits and overtaken reads. It fails if any condition
// of the takeover, the deletion of the session row or the clock check is
// removed.
func TestOwnershipIsExclusive(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, table: storetest.New(), now: time.Unix(0, 0), leaseEpochs: map[guavascale.Partition]uint64{}}
		s.rowEpochs, s.gained = map[guavascale.Partition]uint64{}, map[Event]string{}
		s.rnd = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s.faults = rapid.SampledFrom([]int{0, 2, 5, 15, 30}).Draw(t, "faults")
		for i := range 3 {
			n := &node{id: fmt.Sprintf("d%d", i)}
			s.nodes = append(s.nodes, n)
			s.start(n)
		}
		for range 400 {
			s.step()
		}
		total += len(s.gained)
	})
	if total == 0 {
		t.Fatal("no machine ever gained a partition")
	}
}
