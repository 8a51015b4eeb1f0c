package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavafake"
	"guavascale.example/guavaoperator"
	"guavascale.example/guavastore"
)

// system is a fake platform and several daemons in one process. They communicate
// over loopback, as separate processes would.
type system struct {
	platform guavafake.Platform
	daemons  []*guavadaemon.Daemon
	client   guavaoperator.Client
	cancel   context.CancelFunc
	done     chan error
}

const (
	benchToken   = "token-of-the-measurement"
	readyTimeout = 40 * time.Second
)

// startSystem starts a platform with workers in the given zones and n daemons,
// and waits until every shard has an owner.
func startSystem(n, workers int, zones []guavascale.Zone, size guavascale.Resources) (*system, error) {
	s := &system{done: make(chan error, n)}
	addr, err := s.platform.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	spec := guavafake.FleetSpec{Workers: workers, Zones: zones, Capacity: size, Host: "127.0.0.1"}
	if err := s.platform.AddWorkers(spec); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	var seeds []string
	for i := range n {
		d := newDaemon(fmt.Sprintf("entry-%d", i), zones[i%len(zones)], addr, seeds)
		d.Prepare()
		go func() { s.done <- d.Run(ctx) }()
		select {
		case <-d.Ready():
		case err := <-s.done:
			return nil, err
		}
		seeds = append(seeds, d.Addresses().Peer)
		s.daemons = append(s.daemons, d)
		s.client.Addresses = append(s.client.Addresses, d.Addresses().Operator)
	}
	s.client.Token = benchToken
	return s, s.waitShardsOwned(ctx)
}

func newDaemon(name string, zone guavascale.Zone, platform string, seeds []string) *guavadaemon.Daemon {
	local := guavaconfig.Listener{Listen: "127.0.0.1:0"}
	settings := guavaconfig.Settings{
		Name: name, Zone: zone, Platform: platform, SeedPeers: seeds,
		Gateway: local, Operator: local, Peer: local,
		Credentials: []guavaconfig.Credential{{Name: "bench", Token: benchToken}},
	}.Defaults()
	return &guavadaemon.Daemon{
		Settings: settings, Log: zerolog.Nop(),
		Platform: guavadaemon.Platform{
			Table: &guavastore.Table{Address: platform}, Objects: &guavastore.Objects{Address: platform},
			Hosts: &guavastore.HostList{Address: platform}, Agent: &guavastore.Agent{},
		},
	}
}

// waitShardsOwned waits until the owners of the shards report every worker as in
// service.
func (s *system) waitShardsOwned(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		page, err := s.client.Hosts(ctx)
		if err == nil && len(page.Hosts) > 0 && allInService(page) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("not all shards had an owner after %s", readyTimeout)
}

func allInService(page guavaoperator.HostPage) bool {
	for _, h := range page.Hosts {
		if h.State != guavaoperator.HostInService {
			return false
		}
	}
	return true
}

// submit submits a change based on the configuration version in force.
func (s *system) submit(ctx context.Context, c guavaconfig.Change) (guavaoperator.ChangeResult, error) {
	cfg, err := s.client.Config(ctx)
	if err != nil {
		return guavaoperator.ChangeResult{}, err
	}
	c.ID, c.Based = guavaconfig.NewID(), cfg.Version
	return s.client.Submit(ctx, c)
}

// stop shuts down the daemons and then the platform.
func (s *system) stop() {
	s.cancel()
	for range s.daemons {
		<-s.done
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = s.platform.Close(ctx)
}
