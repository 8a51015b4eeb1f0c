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
	// clusterSpec describes what a cluster runs.
	clusterSpec struct {
		// Programs is the folder of guavascaled and guavaplatform, Dir that of
		// settings and logs.
		Programs string
		Dir      string
		Daemons  int
		Workers  int
		Zones    []guavascale.Zone
		// Intervals are the daemons'; zero fields stand for defaults.
		Intervals guavaconfig.Intervals
	}

	// cluster is a platform and daemons as processes of their own.
	cluster struct {
		spec     clusterSpec
		platform *process
		control  guavafake.Control
		token    guavaconfig.Secret
		settings []guavaconfig.Settings

		mu sync.Mutex
		// daemons holds the newest process of each daemon, past those before.
		daemons []*daemon
		past    []*daemon
	}
)

const (
	startTimeout = 15 * time.Second
	// Ports below the range from which the kernel takes local ports, so that
	// no outgoing connection takes the port of a daemon that restarts.
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
	peers := make([]string, c.spec.Daemons)
	for i := range c.spec.Daemons {
		ports, err := freePorts(3)
		if err != nil {
			return err
		}
		peers[i] = ports[2]
		c.settings = append(c.settings, guavaconfig.Settings{
			Name: fmt.Sprintf("daemon-%d", i), Zone: c.spec.Zones[i%len(c.spec.Zones)],
			Gateway: guavaconfig.Listener{Listen: ports[0]}, Operator: guavaconfig.Listener{Listen: ports[1]},
			Peer: guavaconfig.Listener{Listen: ports[2]}, Platform: c.control.Address,
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

func (c *cluster) settingsFile(i int) string {
	return filepath.Join(c.spec.Dir, c.settings[i].Name+".json")
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// startDaemon starts daemon i, or a replacement with the same settings.
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
		c.past = append(c.past, c.daemons[i])
	}
	c.daemons[i] = d
	go d.observe()
	return nil
}

// list returns the newest process of each daemon.
func (c *cluster) list() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*daemon(nil), c.daemons...)
}

// all returns every daemon process there has been.
func (c *cluster) all() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]*daemon(nil), c.past...), c.daemons...)
}

// ready returns the daemons that callers may use.
func (c *cluster) ready() []*daemon {
	var list []*daemon
	for _, d := range c.list() {
		if d.ready.Load() {
			list = append(list, d)
		}
	}
	return list
}

// pick returns a random ready daemon other than one, or nil.
func (c *cluster) pick(other *daemon) *daemon {
	list := c.ready()
	for i, d := range list {
		if d == other && len(list) > 1 {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

// waitReady waits until n daemons are ready.
func (c *cluster) waitReady(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for len(c.ready()) < n {
		if err := pause(ctx, pollInterval); err != nil {
			return fmt.Errorf("%d of %d daemons were ready in time: %w", len(c.ready()), n, err)
		}
	}
	return nil
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, d := range c.all() {
		if d != nil {
			d.kill()
		}
	}
	if c.platform != nil {
		c.platform.kill()
	}
}

// freePorts returns addresses on loopback that nothing listens on.
func freePorts(n int) ([]string, error) {
	var list []string
	for range 1000 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		// The listener stays open until all ports are found, so that they differ.
		defer ln.Close()
		if list = append(list, address); len(list) == n {
			return list, nil
		}
	}
	return nil, errors.New("no free ports on 127.0.0.1")
}

// pause waits or fails when ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// workers returns the workers of a zone.
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
