package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavastore"
)

type (
	// clusterSpec describes the processes of a cluster.
	clusterSpec struct {
		// Programs is the directory of guavascaled and guavaplatform, Dir the
		// one for settings and logs.
		Programs string
		Dir      string
		Daemons  int
		Workers  int
		Zones    []guavascale.Zone
		// Intervals are those of the daemons. Zero fields select the defaults.
		Intervals guavaconfig.Intervals
	}

	// cluster is a platform and several daemons, each a separate process.
	cluster struct {
		spec     clusterSpec
		platform *process
		control  guavafake.Control
		token    guavaconfig.Secret
		settings []guavaconfig.Settings

		mu sync.Mutex
		// daemons holds the current process of each daemon, previous the
		// processes that were replaced.
		daemons  []*daemon
		previous []*daemon
	}
)

const (
	startTimeout = 15 * time.Second
	// Listener ports are below the kernel's ephemeral port range, so that no
	// outgoing connection takes the port of a daemon that restarts.
	firstPort = 20_000
	lastPort  = 32_000
)

// startCluster starts the platform and all daemons.
func startCluster(spec clusterSpec) (*cluster, error) {
	c := &cluster{spec: spec, token: guavaconfig.Secret("trial-" + guavaconfig.NewID())}
	if err := c.startPlatform(); err != nil {
		c.stop()
		return nil, err
	}
	if err := c.writeSettings(); err != nil {
		c.stop()
		return nil, err
	}
	c.daemons = make([]*daemon, spec.Daemons)
	for i := range c.daemons {
		if err := c.startDaemon(i); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// startPlatform starts guavaplatform and reads its address from its first line
// of output.
func (c *cluster) startPlatform() error {
	zones := make([]string, 0, len(c.spec.Zones))
	for _, z := range c.spec.Zones {
		zones = append(zones, string(z))
	}
	r, w := io.Pipe()
	var err error
	c.platform, err = startProcess(c.spec.Dir, "platform", filepath.Join(c.spec.Programs, "guavaplatform"), w,
		"--workers", strconv.Itoa(c.spec.Workers), "--zones", strings.Join(zones, ","))
	if err != nil {
		return err
	}
	go func() {
		<-c.platform.done
		w.Close()
	}()
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("the platform did not print its address: %w", err)
	}
	var started struct{ Address string }
	if err := json.Unmarshal(line, &started); err != nil {
		return err
	}
	c.control.Address = started.Address
	return nil
}

// writeSettings writes the credential file and one settings file per daemon.
func (c *cluster) writeSettings() error {
	credentials := []struct{ Name, Token string }{{"trial", string(c.token)}}
	file := filepath.Join(c.spec.Dir, "credentials.json")
	if err := writeJSON(file, credentials); err != nil {
		return err
	}
	const listeners = 3
	// All at once: nothing listens yet on the addresses of an earlier call.
	free, err := freeAddresses(listeners * c.spec.Daemons)
	if err != nil {
		return err
	}
	peers := make([]string, c.spec.Daemons)
	for i := range c.spec.Daemons {
		addresses := free[listeners*i:]
		peers[i] = addresses[2]
		c.settings = append(c.settings, guavaconfig.Settings{
			Name: fmt.Sprintf("daemon-%d", i), Zone: c.spec.Zones[i%len(c.spec.Zones)],
			Gateway: guavaconfig.Listener{Listen: addresses[0]}, Operator: guavaconfig.Listener{Listen: addresses[1]},
			Peer: guavaconfig.Listener{Listen: addresses[2]}, Platform: c.control.Address,
			CredentialFile: file, Intervals: c.spec.Intervals,
			Log: guavaconfig.Log{Level: "Debug", Format: "JSON"},
		})
	}
	for i := range c.settings {
		c.settings[i].SeedPeers = peers
		if err := writeJSON(c.settingsFile(i), c.settings[i]); err != nil {
			return err
		}
	}
	return nil
}

// settingsFile returns the path of the settings file of daemon i.
func (c *cluster) settingsFile(i int) string {
	return filepath.Join(c.spec.Dir, c.settings[i].Name+".json")
}

// writeJSON writes v to a file as indented JSON.
func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// startDaemon starts daemon i. If it ran before, the new process has the same
// settings and replaces the previous one.
func (c *cluster) startDaemon(i int) error {
	p, err := startProcess(c.spec.Dir, c.settings[i].Name, filepath.Join(c.spec.Programs, "guavascaled"), io.Discard,
		"serve", "--config", c.settingsFile(i))
	if err != nil {
		return err
	}
	d := newDaemon(p, c.settings[i], c.token)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.daemons[i] != nil {
		c.previous = append(c.previous, c.daemons[i])
	}
	c.daemons[i] = d
	go d.observe()
	return nil
}

// current returns the current process of each daemon.
func (c *cluster) current() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*daemon(nil), c.daemons...)
}

// allDaemons returns the current and all previous daemon processes.
func (c *cluster) allDaemons() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]*daemon(nil), c.previous...), c.daemons...)
}

// ready returns the daemons that report that they are ready.
func (c *cluster) ready() []*daemon {
	var list []*daemon
	for _, d := range c.current() {
		if d.ready.Load() {
			list = append(list, d)
		}
	}
	return list
}

// pickReady returns a random ready daemon, or nil if there is none. It returns
// exclude only if no other daemon is ready.
func (c *cluster) pickReady(exclude *daemon) *daemon {
	list := c.ready()
	for i, d := range list {
		if d == exclude && len(list) > 1 {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

// waitReady waits until n daemons are ready, at most for startTimeout.
func (c *cluster) waitReady(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for len(c.ready()) < n {
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%d of %d daemons were ready in time: %w", len(c.ready()), n, err)
		}
	}
	return nil
}

// stop kills all processes.
func (c *cluster) stop() {
	for _, d := range c.allDaemons() {
		if d != nil {
			d.kill()
		}
	}
	if c.platform != nil {
		c.platform.kill()
	}
}

// freeAddresses returns n different addresses on the loopback interface that
// nothing listens on.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range 1000 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		// The listener stays open until all ports are found, so that none is
		// found twice.
		defer ln.Close()
		if list = append(list, address); len(list) == n {
			return list, nil
		}
	}
	return nil, errors.New("no free ports on 127.0.0.1")
}

// sleep waits for d. It returns the error of ctx if that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// workers returns the IDs of the workers of a zone.
func (c *cluster) workers(zone guavascale.Zone) ([]guavascale.WorkerID, error) {
	hosts := &guavastore.HostList{Address: c.control.Address}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	list, err := hosts.Workers(ctx)
	if err != nil {
		return nil, err
	}
	var ids []guavascale.WorkerID
	for _, w := range list {
		if w.Zone == zone {
			ids = append(ids, w.ID)
		}
	}
	return ids, nil
}
