package guavadaemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavapeer"
)

type (
	// testSystem runs the platform and the control parts of several daemons,
	// without their listeners, in virtual time.
	testSystem struct {
		t       *testing.T
		rng     *rand.Rand
		table   guavafake.Table
		objects guavafake.Objects
		fleet   guavafake.Fleet
		// mu guards daemons, which only the test's main goroutine changes.
		mu             sync.Mutex
		daemons        []*testDaemon
		daemonsStarted int
		// lostEnds holds tasks whose end was lost when their worker restarted.
		lostEnds map[guavascale.TaskID]bool
		ctx      context.Context
	}

	testDaemon struct {
		*Daemon
		link   *link
		cancel context.CancelFunc
	}

	// link connects one daemon to the platform and injects faults. While it is
	// cut, calls to the store fail. While it is slow, calls take effect up to
	// 15 s later, long after the caller gave up, like those of a process that is
	// paused between a check and the action.
	link struct {
		*testSystem
		mu   sync.Mutex
		cut  bool
		slow bool
		rng  *rand.Rand
	}
)

const (
	testWorkers  = 16
	maxCallDelay = 15 * time.Second
)

var (
	testZones = []guavascale.Zone{"Rennes", "Brest"}

	errCut  = errors.New("the link is cut")
	errLate = errors.New("the call takes effect later")
)

func newTestSystem(t *testing.T, seed uint64) *testSystem {
	s := &testSystem{t: t, rng: rand.New(rand.NewPCG(seed, 2)), lostEnds: make(map[guavascale.TaskID]bool)}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// Let running goroutines end before the synctest bubble does.
		time.Sleep(time.Minute)
	})
	for i := range testWorkers {
		zone := testZones[i%len(testZones)]
		s.fleet.Add(guavascale.Worker{
			ID: guavascale.WorkerID(fmt.Sprintf("%s-%d", zone, i)), Zone: zone, AgentAddress: "agent",
			EndpointAddress: "endpoint", Slots: 8, Connections: 60,
			Capacity: guavascale.Resources{MilliCores: 4000, MemoryMB: 4096},
		})
	}
	for range 3 {
		s.startDaemon()
	}
	go s.gossip()
	return s
}

func (s *testSystem) startDaemon() {
	s.daemonsStarted++
	settings := guavaconfig.Settings{
		Name: fmt.Sprintf("entry-%d", s.daemonsStarted), Zone: testZones[s.daemonsStarted%len(testZones)], Platform: "127.0.0.1:1",
	}.Defaults()
	l := &link{testSystem: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 3))}
	d := &Daemon{
		Settings: settings, Log: zerolog.Nop(),
		Platform: Platform{Table: linkTable{l}, Objects: &s.objects, Hosts: &s.fleet, Agent: linkAgent{l}},
	}
	d.addresses.Peer = settings.Name
	d.assemble(listeners{})
	ctx, cancel := context.WithCancel(s.ctx)
	go d.leases.Run(ctx)
	go d.watcher.Run(ctx, nil)
	go d.control.run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = append(s.daemons, &testDaemon{d, l, cancel})
}

// gossip exchanges summaries between the daemons once a second.
func (s *testSystem) gossip() {
	for s.ctx.Err() == nil {
		time.Sleep(time.Second)
		s.mu.Lock()
		daemons := slices.Clone(s.daemons)
		s.mu.Unlock()
		for _, a := range daemons {
			for _, b := range daemons {
				if a != b {
					guavapeer.ExchangeInProcess(time.Now(), &a.members, &b.members)
				}
			}
		}
	}
}

func (s *testSystem) randomDaemon() *testDaemon { return s.daemons[s.rng.IntN(len(s.daemons))] }

// kill ends a daemon without releasing anything, as SIGKILL does.
func (s *testSystem) kill(d *testDaemon) {
	d.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = slices.DeleteFunc(s.daemons, func(other *testDaemon) bool { return other == d })
}

func (l *link) setFaults(cut, slow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.slow = cut, slow
}

// nextCallDelay returns how long the next call is delayed, 0 for not at all, and
// whether the link is cut.
func (l *link) nextCallDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow {
		return time.Duration(l.rng.Int64N(int64(maxCallDelay))) + time.Millisecond, l.cut
	}
	return 0, l.cut
}
