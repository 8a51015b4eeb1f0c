package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaclaim"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavalease"
)

type (
	// countedListener counts the bytes of its connections in both directions.
	countedListener struct {
		net.Listener
		bytes atomic.Int64
	}

	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// stage is the platform and the peers of one measurement.
	stage struct {
		platform             guavafake.Platform
		table, hosts, agents countedListener
		peers                []*lightPeer
		reads, writes        atomic.Int64
		stop                 context.CancelFunc
	}
)

const (
	capacityZone = guavascale.Zone("Rennes")
	peerZone     = guavascale.Zone("Brest")
	// otherDaemon owns the shards and claims that are not measured.
	otherDaemon   = "other"
	settleTimeout = 90 * time.Second
)

var errNotSettled = errors.New("the tasks did not all start in time")

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &l.bytes}, nil
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (l *countedListener) open(h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.Listener = ln
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: 64 << 20}
	go func() { _ = s.Serve(l) }()
	return nil
}

// measure runs one daemon and returns its sample.
func (c *capacityCmd) measure(p setup) (sample, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &stage{stop: cancel}
	if err := s.open(ctx, p); err != nil {
		return sample{}, err
	}
	defer s.close()
	args := []string{
		"capacity-daemon", "--name", measuredName(p), "--table", s.table.Addr().String(), "--hosts", s.hosts.Addr().String(),
		"--workers", strconv.Itoa(p.owned),
		"--fleet", strconv.Itoa(p.fleet), "--seconds", fmt.Sprint(c.Seconds),
	}
	if len(s.peers) > 0 {
		args = append(args, "--seeds", s.peers[0].Addr().String())
	}
	exe, err := os.Executable()
	if err != nil {
		return sample{}, err
	}
	cmd := exec.CommandContext(ctx, exe, args...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return sample{}, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return sample{}, err
	}
	if err := cmd.Start(); err != nil {
		return sample{}, err
	}
	if err := s.settle(p.owned * (batchPerWorker + instancePerWorker)); err != nil {
		return sample{}, err
	}
	time.Sleep(peersJoin + time.Duration(c.Settle*float64(time.Second)))
	got, err := s.sample(in, out, c.Seconds)
	// The daemon has printed its sample and exits.
	return got, errors.Join(err, cmd.Wait())
}

func (s *stage) sample(in io.Writer, out io.Reader, seconds float64) (sample, error) {
	before := s.counts()
	if _, err := io.WriteString(in, "\n"); err != nil {
		return sample{}, err
	}
	line, err := bufio.NewReader(out).ReadBytes('\n')
	after := s.counts()
	if err != nil {
		return sample{}, err
	}
	var got sample
	if err := json.Unmarshal(line, &got); err != nil {
		return got, err
	}
	got.TableBytes = (after.TableBytes - before.TableBytes) / seconds
	got.HostBytes = (after.HostBytes - before.HostBytes) / seconds
	got.AgentBytes = (after.AgentBytes - before.AgentBytes) / seconds
	got.PeerBytes = (after.PeerBytes - before.PeerBytes) / seconds
	got.Reads = (after.Reads - before.Reads) / seconds
	got.Writes = (after.Writes - before.Writes) / seconds
	return got, nil
}

// counts returns totals in the fields of a sample. Peers that keep calling each
// other share a listener with the daemon, so the bytes of their calls are
// divided by their number; the daemon's own share is the same on average.
func (s *stage) counts() sample {
	t := sample{
		TableBytes: float64(s.table.bytes.Load()), HostBytes: float64(s.hosts.bytes.Load()),
		AgentBytes: float64(s.agents.bytes.Load()),
		Reads:      float64(s.reads.Load()), Writes: float64(s.writes.Load()),
	}
	for _, p := range s.peers {
		// Each peer receives as many calls as it makes.
		t.PeerBytes += 2 * float64(p.bytes.Load()) / float64(len(s.peers))
	}
	return t
}

func (s *stage) settle(tasks int) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, list := range s.platform.Fleet.Running() {
			n += len(list)
		}
		if n >= tasks {
			return nil
		}
	}
	return errNotSettled
}

func (s *stage) open(ctx context.Context, p setup) error {
	h := s.platform.Handler()
	if err := s.table.open(func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case "/table/commit":
			s.writes.Add(1)
		case "/table/get", "/table/scan":
			s.reads.Add(1)
		}
		h(c)
	}); err != nil {
		return err
	}
	if err := errors.Join(s.hosts.open(h), s.agents.open(h)); err != nil {
		return err
	}
	if err := s.addWorkers(p); err != nil {
		return err
	}
	if err := s.putConfig(ctx); err != nil {
		return err
	}
	if p.fleet > 0 {
		if err := s.putOther(ctx); err != nil {
			return err
		}
	}
	return s.addPeers(ctx, p.peers)
}

// addWorkers adds the workers to own as the first racks and those of others
// after them, in shards of 8 racks.
func (s *stage) addWorkers(p setup) error {
	for i := range p.owned + p.fleet {
		n := i
		if i >= p.owned {
			n = i - p.owned + 64*guavafake.RackSize
		}
		w := guavascale.Worker{
			ID: guavascale.WorkerID("Rennes-" + strconv.Itoa(n)), Zone: capacityZone, Rack: n / guavafake.RackSize,
			Capacity:     guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000},
			AgentAddress: s.agents.Addr().String(), Slots: guavafake.DefaultSlots, Connections: guavafake.DefaultConnections,
		}
		if i >= p.owned {
			w.EndpointAddress = "10.0.12.34:31234"
			s.platform.Fleet.Add(w)
			continue
		}
		if err := s.platform.AddWorker(w, "127.0.0.1"); err != nil {
			return err
		}
	}
	return nil
}

// putConfig stores a document that starts the tasks of a measurement quickly.
func (s *stage) putConfig(ctx context.Context) error {
	doc := guavaconfig.Initial()
	preset := doc.Presets[doc.Preset]
	preset.StartsPerSecond = 1000
	doc.Presets[doc.Preset] = preset
	// No job gets a home in a shard of the peers, which run nothing.
	doc.ZonesOut[peerZone] = true
	value, err := guavaconfig.EncodeConfig(doc)
	if err != nil {
		return err
	}
	return s.put(ctx, guavaconfig.Key, value)
}

func (s *stage) put(ctx context.Context, key string, value []byte) error {
	_, err := s.platform.Table.Commit(ctx, guavascale.Commit{
		ID: guavaconfig.NewID(), Writes: []guavascale.Write{{Key: key, Value: value}},
	})
	return err
}

// putOther gives the claims and the shards of the other workers to a daemon
// that keeps its session.
func (s *stage) putOther(ctx context.Context) error {
	const instance = otherDaemon + "-0123456789abcdefghijklmnop"
	partitions := guavaclaim.AllPartitions()
	workers, err := s.platform.Fleet.Workers(ctx)
	if err != nil {
		return err
	}
	seen := make(map[guavascale.Partition]bool)
	for _, w := range workers {
		if p := guavascale.ShardOf(w, 8); p != capacityShard && !seen[p] {
			seen[p] = true
			partitions = append(partitions, p)
		}
	}
	for _, p := range partitions {
		value, err := json.Marshal(guavalease.OwnerRow{Instance: instance, Address: "127.0.0.1:1", Epoch: 1})
		if err != nil {
			return err
		}
		if err := s.put(ctx, guavalease.OwnerPrefix+string(p), value); err != nil {
			return err
		}
	}
	renew := func(n uint64) error {
		value, err := json.Marshal(guavalease.SessionRow{Daemon: otherDaemon, Address: "127.0.0.1:1", Counter: n})
		if err != nil {
			return err
		}
		return s.put(ctx, guavalease.SessionPrefix+instance, value)
	}
	go func() {
		for n := uint64(2); ctx.Err() == nil; n++ {
			time.Sleep(3 * time.Second)
			_ = renew(n) // the table in memory does not fail
		}
	}()
	return renew(1)
}

const capacityShard = guavascale.Partition("Shard-Rennes-0")

// measuredName returns a name that ranks first for the measured shard, so that
// it is not released to the other daemon.
func measuredName(setup) string {
	for n := 0; ; n++ {
		name := "d" + strconv.Itoa(n)
		if guavalease.PreferredOwner(capacityShard, []string{name, otherDaemon}) == name {
			return name
		}
	}
}

func (s *stage) close() {
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.platform.Close(ctx)
	for _, l := range []*countedListener{&s.table, &s.hosts, &s.agents} {
		_ = l.Close()
	}
	for _, p := range s.peers {
		_ = p.Close()
		p.server.Close()
		p.client.Close()
	}
}
