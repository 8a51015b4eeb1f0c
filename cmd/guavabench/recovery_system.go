package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavalease"
)

type (
	// recoverySystem is a system whose daemons can be killed, replaced and cut
	// off from the store.
	recoverySystem struct {
		system
		address string
		trace   io.Writer
		reads   atomic.Int64
		writes  atomic.Int64

		mu    sync.Mutex
		nodes []*node
		// started numbers the daemons, so that each has a name of its own.
		started int
	}

	// node is one daemon with its connections to the platform.
	node struct {
		daemon *guavadaemon.Daemon
		link   *link
		conns  connTracker
		cancel context.CancelFunc
		done   chan error
	}

	// link counts a daemon's calls of the store, and loses its calls of the
	// platform when it is cut.
	link struct {
		guavadaemon.Platform
		system *recoverySystem
		// storeCut loses the calls of table, object store and host list,
		// allCut those of the workers too.
		storeCut atomic.Bool
		allCut   atomic.Bool
	}

	linkTable   struct{ *link }
	linkObjects struct{ *link }
	linkHosts   struct{ *link }
	linkAgent   struct{ *link }

	// connTracker closes the accepted connections of a killed daemon.
	connTracker struct {
		mu    sync.Mutex
		conns []net.Conn
	}

	trackedListener struct {
		net.Listener
		tracker *connTracker
	}
)

var (
	recoveryZones = []guavascale.Zone{"Rennes", "Brest", "Vannes"}
	errCut        = errors.New("the connection is cut")
)

// startRecoverySystem starts n daemons and the workers, and waits until all
// shards have owners.
func startRecoverySystem(n, workers int, trace io.Writer) (*recoverySystem, error) {
	s := &recoverySystem{trace: trace}
	s.client.Token = benchToken
	var err error
	if s.address, err = s.platform.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	size := guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000}
	if err := s.platform.AddWorkers(workerSpec(workers, size)); err != nil {
		return nil, err
	}
	for range n {
		if _, err := s.startNode(); err != nil {
			return nil, err
		}
	}
	return s, s.waitShardsOwned(context.Background())
}

// startNode starts one more daemon, under a new name.
func (s *recoverySystem) startNode() (*node, error) {
	name := fmt.Sprintf("entry-%d", s.started)
	d := newDaemon(name, recoveryZones[s.started%len(recoveryZones)], s.address, s.peers())
	s.started++
	n := &node{daemon: d, done: make(chan error, 1)}
	n.link = &link{Platform: d.Platform, system: s}
	d.Platform = guavadaemon.Platform{
		Table: linkTable{n.link}, Objects: linkObjects{n.link}, Hosts: linkHosts{n.link}, Agent: linkAgent{n.link},
	}
	d.Log = zerolog.New(zerolog.SyncWriter(s.trace)).With().Timestamp().Str("Daemon", name).Logger()
	d.Listen = n.conns.listen
	d.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- d.Run(ctx) }()
	select {
	case <-d.Ready():
	case err := <-n.done:
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	s.setAddresses()
	return n, nil
}

func (s *recoverySystem) peers() []string {
	var list []string
	for _, n := range s.live() {
		list = append(list, n.daemon.Addresses().Peer)
	}
	return list
}

// live returns the daemons that were neither killed nor stopped.
func (s *recoverySystem) live() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

// setAddresses points the operators' client to the live daemons. The mutex is
// held.
func (s *recoverySystem) setAddresses() {
	s.client.Addresses = nil
	for _, n := range s.nodes {
		s.client.Addresses = append(s.client.Addresses, n.daemon.Addresses().Operator)
	}
}

func (s *recoverySystem) forget(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.DeleteFunc(s.nodes, func(o *node) bool { return o == n })
	s.setAddresses()
}

// kill ends a daemon as the death of its process would.
func (s *recoverySystem) kill(n *node) {
	n.link.storeCut.Store(true)
	n.link.allCut.Store(true)
	s.forget(n)
	n.daemon.Kill()
	n.conns.closeAll()
	<-n.done
}

// stopNode shuts a daemon down gracefully.
func (s *recoverySystem) stopNode(n *node) {
	n.cancel()
	<-n.done
	s.forget(n)
}

func (s *recoverySystem) close() {
	for _, n := range s.live() {
		s.kill(n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.platform.Close(ctx)
}

// owners returns the numbers of partitions, and of shards alone, that no live
// daemon owns.
func (s *recoverySystem) unowned() (partitions, shards int) {
	alive := map[string]bool{}
	for _, n := range s.live() {
		alive[n.daemon.Addresses().Peer] = !n.link.storeCut.Load()
	}
	for name, o := range s.ownerRows() {
		if alive[o.Address] && o.Instance != "" {
			continue
		}
		partitions++
		if !isClaimPartition(name) {
			shards++
		}
	}
	return partitions, shards
}

// settled reports whether each partition is owned by the daemon that ranks
// first.
func (s *recoverySystem) settled() bool {
	var names []string
	address := map[string]string{}
	for _, n := range s.live() {
		name := n.daemon.Settings.Name
		names = append(names, name)
		address[name] = n.daemon.Addresses().Peer
	}
	owners := s.ownerRows()
	for p, o := range owners {
		if o.Address != address[guavalease.PreferredOwner(p, names)] {
			return false
		}
	}
	return len(owners) > 0
}

func (s *recoverySystem) submitted(c guavaconfig.Change) error {
	_, err := s.submit(context.Background(), c)
	return err
}

func (l *link) store(system string, write bool) error {
	counter := &l.system.reads
	if write {
		counter = &l.system.writes
	}
	counter.Add(1)
	if l.storeCut.Load() {
		return &guavascale.UnavailableError{System: system, Op: "call", Cause: errCut}
	}
	return nil
}

func (l linkTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if err := l.store("table", false); err != nil {
		return guavascale.Row{}, err
	}
	return l.Table.Get(ctx, key)
}

func (l linkTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if err := l.store("table", false); err != nil {
		return nil, err
	}
	return l.Table.Scan(ctx, prefix, after, limit)
}

func (l linkTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	if err := l.store("table", true); err != nil {
		return 0, err
	}
	return l.Table.Commit(ctx, c)
}

func (l linkObjects) Put(ctx context.Context, key string, data []byte) error {
	if err := l.store("objects", true); err != nil {
		return err
	}
	return l.Objects.Put(ctx, key, data)
}

func (l linkObjects) Fetch(ctx context.Context, key string) ([]byte, error) {
	if err := l.store("objects", false); err != nil {
		return nil, err
	}
	return l.Objects.Fetch(ctx, key)
}

func (l linkObjects) Remove(ctx context.Context, key string) error {
	if err := l.store("objects", true); err != nil {
		return err
	}
	return l.Objects.Remove(ctx, key)
}

// Workers counts as a read, since the platform serves the host list too.
func (l linkHosts) Workers(ctx context.Context) ([]guavascale.Worker, error) {
	if err := l.store("host list", false); err != nil {
		return nil, err
	}
	return l.Hosts.Workers(ctx)
}

func (l linkAgent) Send(ctx context.Context, w guavascale.Worker, o guavascale.Orders) (guavascale.Report, error) {
	if l.allCut.Load() {
		return guavascale.Report{}, &guavascale.UnavailableError{System: "worker", Op: "Send", Cause: errCut}
	}
	return l.Agent.Send(ctx, w, o)
}

func (t *connTracker) listen(network, address string) (net.Listener, error) {
	ln, err := net.Listen(network, address)
	return &trackedListener{Listener: ln, tracker: t}, err
}

func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close()
	}
}

// Accept keeps each connection, also after its end: a measurement makes few.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.tracker.mu.Lock()
		l.tracker.conns = append(l.tracker.conns, c)
		l.tracker.mu.Unlock()
	}
	return c, err
}
