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
	// sim runs machines over virtual time against one table.
	sim struct {
		t     *rapid.T
		table *storetest.Table
		now   time.Time
		nodes []*node
		// epochs holds the highest epoch at which a right held, and rows the
		// highest in an owner row.
		epochs map[guavascale.Partition]uint64
		rows   map[guavascale.Partition]uint64
		// gained holds the instance that gained a partition at an epoch.
		gained map[Event]string
		// late holds commits whose answer was given up and that may still
		// reach the table.
		late []guavascale.Commit
		// rnd is seeded by rapid; drawing each fault from rapid would favour
		// small values and hardly ever reach a takeover.
		rnd *rand.Rand
		// faults is the chance of a fault per call, in percent.
		faults int
		// up is the end of the store outage.
		up time.Time
	}

	node struct {
		m      *Machine
		id     string
		paused time.Time
		// answers holds results that were computed and not yet delivered.
		answers []Result
		wake    time.Time
	}
)

var simPartitions = []guavascale.Partition{"Claim-0", "Claim-1", "Shard-a-0"}

func (s *sim) start(n *node) {
	n.m = NewMachine(Config{Daemon: n.id, MinHold: 4 * time.Second}, rand.New(rand.NewPCG(s.rnd.Uint64(), 7)))
	n.m.SetWanted(simPartitions)
	n.answers = nil
	n.paused = s.now
	n.wake = s.now
}

func (s *sim) perform(c Call) Result {
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

// take applies an output: each call is answered, lost, rejected or delayed.
func (s *sim) take(n *node, out Output) {
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
		case 0: // The answer is lost after the call took effect.
			s.perform(c)
			n.answers = append(n.answers, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), true)})
		case 1: // The call does not reach the table.
			n.answers = append(n.answers, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), false)})
		case 2: // The commit takes effect after its answer was given up.
			s.late = append(s.late, c.Commit)
			n.answers = append(n.answers, Result{ID: c.ID, Err: storetest.Unavailable(string(c.Kind), true)})
		default:
			n.answers = append(n.answers, s.perform(c))
		}
	}
}

func (s *sim) run(n *node) {
	for s.now.After(n.paused) && len(n.answers) > 0 {
		if s.chance(s.faults) {
			return // The answers stay in the network for this step.
		}
		i := s.rnd.IntN(len(n.answers)) // Answers overtake each other.
		r := n.answers[i]
		n.answers = slices.Delete(n.answers, i, i+1)
		s.take(n, n.m.Finish(s.now, r))
	}
	if !s.now.After(n.paused) || s.now.Before(n.wake) {
		return
	}
	out := n.m.Tick(s.now)
	if out.Closed {
		s.start(n)
		return
	}
	s.take(n, out)
}

func (s *sim) chance(percent int) bool { return s.rnd.IntN(100) < percent }

func (s *sim) check() {
	for _, p := range simPartitions {
		if row, ok := s.table.Rows[OwnerKey(p)]; ok {
			o, err := DecodeOwner(row.Value)
			if err != nil || o.Epoch < s.rows[p] {
				s.t.Fatalf("the owner row of %s went from epoch %d to %d (%v)", p, s.rows[p], o.Epoch, err)
			}
			s.rows[p] = o.Epoch
		}
		owner := ""
		for _, n := range s.nodes {
			right, err := n.m.Rights().May(s.now, p)
			if err != nil {
				continue
			}
			if right.Epoch < s.epochs[p] {
				s.t.Fatalf("%s may act for %s at epoch %d after epoch %d", n.id, p, right.Epoch, s.epochs[p])
			}
			s.epochs[p] = right.Epoch
			if owner != "" {
				s.t.Fatalf("%s and %s may both act for %s", owner, n.id, p)
			}
			owner = n.id
		}
	}
}

// step draws one fault, advances time and lets every machine run.
func (s *sim) step() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	switch s.rnd.IntN(200) {
	case 0, 1, 2, 3, 4:
		n.paused = s.now.Add(time.Duration(s.rnd.IntN(30000)) * time.Millisecond)
	case 5:
		s.start(n)
	case 6:
		s.up = s.now.Add(time.Duration(s.rnd.IntN(20000)) * time.Millisecond)
	case 7:
		n.m.Close()
	}
	if len(s.late) > 0 && s.chance(5) {
		_, _ = s.table.Commit(context.Background(), s.late[0])
		s.late = s.late[1:]
	}
	s.now = s.now.Add(time.Duration(s.rnd.IntN(600)) * time.Millisecond)
	s.table.Down = s.now.Before(s.up)
	for _, n := range s.nodes {
		s.run(n)
		s.check()
	}
}

// Guards against two daemons that may act for one partition at a time, and
// against an epoch that is granted twice, under pauses, crashes, outages, lost
// answers, late commits and overtaken reads.
// It fails when any one condition of the takeover, the deletion of the session
// row or the clock check is removed.
func TestOwnershipIsExclusive(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, table: storetest.New(), now: time.Unix(0, 0), epochs: map[guavascale.Partition]uint64{}}
		s.rows, s.gained = map[guavascale.Partition]uint64{}, map[Event]string{}
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
