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
	// recoverySystem is a system whose daemons can be killed, replaced and
	// disconnected from the store.
	recoverySystem struct {
		system
		address string
		trace   io.Writer
		reads   atomic.Int64
		writes  atomic.Int64

		mu    sync.Mutex
		nodes []*node
		// started is the number of daemons started so far. It makes their names
		// unique.
		started int
	}

	// node is one daemon with its platform proxy and accepted connections.
	node struct {
		daemon *guavadaemon.Daemon
		proxy  *platformProxy
		conns  connTracker
		cancel context.CancelFunc
		done   chan error
	}

	// platformProxy forwards a daemon's platform calls, counts the store calls
	// and can make calls fail.
	platformProxy struct {
		guavadaemon.Platform
		system *recoverySystem
		// storeDown makes calls to the table, object store and host list fail,
		// workersDown those to the workers.
		storeDown   atomic.Bool
		workersDown atomic.Bool
	}

	proxyTable   struct{ *platformProxy }
	proxyObjects struct{ *platformProxy }
	proxyHosts   struct{ *platformProxy }
	proxyAgent   struct{ *platformProxy }

	// connTracker records a daemon's accepted connections, to close them when
	// the daemon is killed.
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
	recoveryZones   = []guavascale.Zone{"Rennes", "Brest", "Vannes"}
	errDisconnected = errors.New("disconnected by the trial")
)

// startRecoverySystem starts the workers and n daemons, and waits until every
// shard has an owner.
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

// startNode starts another daemon under a new name.
func (s *recoverySystem) startNode() (*node, error) {
	name := fmt.Sprintf("entry-%d", s.started)
	d := newDaemon(name, recoveryZones[s.started%len(recoveryZones)], s.address, s.peers())
	s.started++
	n := &node{daemon: d, done: make(chan error, 1)}
	n.proxy = &platformProxy{Platform: d.Platform, system: s}
	d.Platform = guavadaemon.Platform{
		Table: proxyTable{n.proxy}, Objects: proxyObjects{n.proxy}, Hosts: proxyHosts{n.proxy}, Agent: proxyAgent{n.proxy},
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
	s.updateClientAddresses()
	return n, nil
}

func (s *recoverySystem) peers() []string {
	var list []string
	for _, n := range s.live() {
		list = append(list, n.daemon.Addresses().Peer)
	}
	return list
}

// live returns the daemons that have not been killed or stopped.
func (s *recoverySystem) live() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

// updateClientAddresses sets the addresses of the operator client to those of the
// live daemons. The caller holds mu.
func (s *recoverySystem) updateClientAddresses() {
	s.client.Addresses = nil
	for _, n := range s.nodes {
		s.client.Addresses = append(s.client.Addresses, n.daemon.Addresses().Operator)
	}
}

func (s *recoverySystem) removeNode(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.DeleteFunc(s.nodes, func(o *node) bool { return o == n })
	s.updateClientAddresses()
}

// kill ends a daemon as a crash of its process would: no more platform calls, all
// connections closed.
func (s *recoverySystem) kill(n *node) {
	n.proxy.storeDown.Store(true)
	n.proxy.workersDown.Store(true)
	s.removeNode(n)
	n.daemon.Kill()
	n.conns.closeAll()
	<-n.done
}

// stopNode shuts a daemon down gracefully.
func (s *recoverySystem) stopNode(n *node) {
	n.cancel()
	<-n.done
	s.removeNode(n)
}

func (s *recoverySystem) close() {
	for _, n := range s.live() {
		s.kill(n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.platform.Close(ctx)
}

// unowned returns how many partitions have no live owner that reaches the store,
// and how many of these are shards.
func (s *recoverySystem) unowned() (partitions, shards int) {
	alive := map[string]bool{}
	for _, n := range s.live() {
		alive[n.daemon.Addresses().Peer] = !n.proxy.storeDown.Load()
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

// onPreferredOwners reports whether each partition is owned by its preferred
// daemon.
func (s *recoverySystem) onPreferredOwners() bool {
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

func (s *recoverySystem) submitChange(c guavaconfig.Change) error {
	_, err := s.submit(context.Background(), c)
	return err
}

func (p *platformProxy) storeCall(system string, write bool) error {
	counter := &p.system.reads
	if write {
		counter = &p.system.writes
	}
	counter.Add(1)
	if p.storeDown.Load() {
		return &guavascale.UnavailableError{System: system, Op: "call", Cause: errDisconnected}
	}
	return nil
}

func (p proxyTable) Get(ctx context.Context, key string) (guavascale.Row, error) {
	if err := p.storeCall("table", false); err != nil {
		return guavascale.Row{}, err
	}
	return p.Table.Get(ctx, key)
}

func (p proxyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]guavascale.Row, error) {
	if err := p.storeCall("table", false); err != nil {
		return nil, err
	}
	return p.Table.Scan(ctx, prefix, after, limit)
}

func (p proxyTable) Commit(ctx context.Context, c guavascale.Commit) (uint64, error) {
	if err := p.storeCall("table", true); err != nil {
		return 0, err
	}
	return p.Table.Commit(ctx, c)
}

func (p proxyObjects) Put(ctx context.Context, key string, data []byte) error {
	if err := p.storeCall("objects", true); err != nil {
		return err
	}
	return p.Objects.Put(ctx, key, data)
}

func (p proxyObjects) Fetch(ctx context.Context, key string) ([]byte, error) {
	if err := p.storeCall("objects", false); err != nil {
		return nil, err
	}
	return p.Objects.Fetch(ctx, key)
}

func (p proxyObjects) Remove(ctx context.Context, key string) error {
	if err := p.storeCall("objects", true); err != nil {
		return err
	}
	return p.Objects.Remove(ctx, key)
}

// Workers counts as a store read, because the platform serves the host list too.
func (p proxyHosts) Workers(ctx context.Context) ([]guavascale.Worker, error) {
	if err := p.storeCall("host list", false); err != nil {
		return nil, err
	}
	return p.Hosts.Workers(ctx)
}

func (p proxyAgent) Send(ctx context.Context, w guavascale.Worker, o guavascale.Orders) (guavascale.Report, error) {
	if p.workersDown.Load() {
		return guavascale.Report{}, &guavascale.UnavailableError{System: "worker", Op: "Send", Cause: errDisconnected}
	}
	return p.Agent.Send(ctx, w, o)
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

// Accept records each connection. Closed connections are not removed, since a
// measurement opens only a few.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.tracker.mu.Lock()
		l.tracker.conns = append(l.tracker.conns, c)
		l.tracker.mu.Unlock()
	}
	return c, err
}
