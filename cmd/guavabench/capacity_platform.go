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
	// countedListener counts the bytes that its connections transfer in both
	// directions.
	countedListener struct {
		net.Listener
		bytes atomic.Int64
	}

	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}

	// testbed holds the fake platform and the simulated peers of one
	// measurement.
	testbed struct {
		platform             guavafake.Platform
		table, hosts, agents countedListener
		peers                []*gossipPeer
		reads, writes        atomic.Int64
		stop                 context.CancelFunc
	}
)

const (
	capacityZone = guavascale.Zone("Rennes")
	peerZone     = guavascale.Zone("Brest")
	// otherDaemon owns the shards and claim partitions that are not measured.
	otherDaemon      = "other"
	taskStartTimeout = 90 * time.Second
)

var errTasksNotStarted = fmt.Errorf("not all tasks started within %s", taskStartTimeout)

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

func (l *countedListener) serve(h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.Listener = ln
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: 64 << 20}
	go func() { _ = s.Serve(l) }()
	return nil
}

// measure starts the testbed and a daemon process, and returns the daemon's
// sample.
func (c *capacityCmd) measure(p sweepPoint) (sample, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &testbed{stop: cancel}
	if err := s.start(ctx, p); err != nil {
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
	if err := s.waitForTasks(p.owned * (batchTasksPerWorker + instancesPerWorker)); err != nil {
		return sample{}, err
	}
	time.Sleep(peerDiscoveryTime + time.Duration(c.Settle*float64(time.Second)))
	got, err := s.sample(in, out, c.Seconds)
	// The daemon exits by itself once it has printed its sample.
	return got, errors.Join(err, cmd.Wait())
}

func (s *testbed) sample(in io.Writer, out io.Reader, seconds float64) (sample, error) {
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

// counts returns the totals so far in the fields of a sample. The listeners of
// the peers serve both the daemon and the other peers, so PeerBytes is the
// average traffic of one peer; the daemon's own traffic is the same on average.
func (s *testbed) counts() sample {
	t := sample{
		TableBytes: float64(s.table.bytes.Load()), HostBytes: float64(s.hosts.bytes.Load()),
		AgentBytes: float64(s.agents.bytes.Load()),
		Reads:      float64(s.reads.Load()), Writes: float64(s.writes.Load()),
	}
	for _, p := range s.peers {
		// On average, a peer makes as many calls as it receives.
		t.PeerBytes += 2 * float64(p.bytes.Load()) / float64(len(s.peers))
	}
	return t
}

func (s *testbed) waitForTasks(tasks int) error {
	for end := time.Now().Add(taskStartTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, list := range s.platform.Fleet.Running() {
			n += len(list)
		}
		if n >= tasks {
			return nil
		}
	}
	return errTasksNotStarted
}

func (s *testbed) start(ctx context.Context, p sweepPoint) error {
	h := s.platform.Handler()
	if err := s.table.serve(func(c *fasthttp.RequestCtx) {
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
	if err := errors.Join(s.hosts.serve(h), s.agents.serve(h)); err != nil {
		return err
	}
	if err := s.addWorkers(p); err != nil {
		return err
	}
	if err := s.putConfig(ctx); err != nil {
		return err
	}
	if p.fleet > 0 {
		if err := s.putOtherOwners(ctx); err != nil {
			return err
		}
	}
	return s.addPeers(ctx, p.peers)
}

// addWorkers adds the measured daemon's workers in the first shard of 8 racks
// and the workers of the other daemon in the shards after it.
func (s *testbed) addWorkers(p sweepPoint) error {
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

// putConfig stores a configuration with a high start rate, so that all tasks run
// soon.
func (s *testbed) putConfig(ctx context.Context) error {
	doc := guavaconfig.Initial()
	preset := doc.Presets[doc.Preset]
	preset.StartsPerSecond = 1000
	doc.Presets[doc.Preset] = preset
	// The simulated peers run no tasks, so no job may be assigned to their
	// shards.
	doc.ZonesOut[peerZone] = true
	value, err := guavaconfig.EncodeConfig(doc)
	if err != nil {
		return err
	}
	return s.putRow(ctx, guavaconfig.Key, value)
}

func (s *testbed) putRow(ctx context.Context, key string, value []byte) error {
	_, err := s.platform.Table.Commit(ctx, guavascale.Commit{
		ID: guavaconfig.NewID(), Writes: []guavascale.Write{{Key: key, Value: value}},
	})
	return err
}

// putOtherOwners makes otherDaemon the owner of all claim partitions and of the
// shards of its workers, and renews its session until ctx ends.
func (s *testbed) putOtherOwners(ctx context.Context) error {
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
		if err := s.putRow(ctx, guavalease.OwnerPrefix+string(p), value); err != nil {
			return err
		}
	}
	renew := func(n uint64) error {
		value, err := json.Marshal(guavalease.SessionRow{Daemon: otherDaemon, Address: "127.0.0.1:1", Counter: n})
		if err != nil {
			return err
		}
		return s.putRow(ctx, guavalease.SessionPrefix+instance, value)
	}
	go func() {
		for n := uint64(2); ctx.Err() == nil; n++ {
			time.Sleep(3 * time.Second)
			_ = renew(n) // the in-memory table never fails
		}
	}()
	return renew(1)
}

const capacityShard = guavascale.Partition("Shard-Rennes-0")

// measuredName returns a daemon name that is the preferred owner of the measured
// shard, so that the daemon does not release the shard to otherDaemon.
func measuredName(sweepPoint) string {
	for n := 0; ; n++ {
		name := "d" + strconv.Itoa(n)
		if guavalease.PreferredOwner(capacityShard, []string{name, otherDaemon}) == name {
			return name
		}
	}
}

func (s *testbed) close() {
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
