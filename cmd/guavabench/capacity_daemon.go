package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavastore"
)

// capacityDaemonCmd runs the measured daemon in a process of its own, so that
// its processor time excludes that of the platform. The measurement starts when
// a line arrives on standard input.
type capacityDaemonCmd struct {
	Name    string  `required:"" help:"Name of the daemon."`
	Table   string  `required:"" help:"Address of the table."`
	Hosts   string  `required:"" help:"Address of the host list."`
	Seeds   string  `help:"Address of a peer."`
	Workers int     `required:"" help:"Number of owned workers, which run batch tasks and service instances."`
	Fleet   int     `help:"Number of workers of other daemons, which run their share of the service instances."`
	Seconds float64 `default:"10" help:"Length of the measurement."`
	Profile string  `env:"GUAVABENCH_PROFILE" help:"File to write a CPU profile to."`
}

const (
	batchTasksPerWorker = 10
	batchMilliCores     = 1000
	instancesPerWorker  = 2
	// memoryLimit is the memory limit that guavascaled sets.
	memoryLimit = 112 << 20
)

// Run starts the daemon, waits for a line on standard input, measures, and
// prints the sample as JSON.
func (c *capacityDaemonCmd) Run() error {
	debug.SetMemoryLimit(memoryLimit)
	s := guavaconfig.Settings{
		Name: c.Name, Zone: capacityZone, Platform: c.Table, RacksPerShard: 8,
		Gateway: guavaconfig.Listener{Listen: "127.0.0.1:0"}, Operator: guavaconfig.Listener{Listen: "127.0.0.1:0"},
		Peer:        guavaconfig.Listener{Listen: "127.0.0.1:0"},
		Credentials: []guavaconfig.Credential{{Name: "bench", Token: "bench-token-of-this-process"}},
	}
	if c.Seeds != "" {
		s.SeedPeers = []string{c.Seeds}
	}
	s = s.Defaults()
	if err := s.Validate(); err != nil {
		return err
	}
	d := &guavadaemon.Daemon{
		Settings: s, Log: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel),
		Platform: guavadaemon.Platform{
			Table: &guavastore.Table{Address: c.Table}, Objects: &guavastore.Objects{Address: c.Table},
			Hosts: &guavastore.HostList{Address: c.Hosts}, Agent: &guavastore.Agent{},
		},
	}
	d.Prepare()
	failed := make(chan error, 1)
	go func() { failed <- d.Run(context.Background()) }()
	select {
	case err := <-failed:
		return err
	case <-d.Ready():
	}
	size := guavascale.Resources{MilliCores: batchMilliCores, MemoryMB: 512}
	if err := d.DeclareForDev(context.Background(), guavascale.Service{
		Name: "seats", Kind: "checkout", Team: "desk", Instances: instancesPerWorker * (c.Workers + c.Fleet), Size: size, TargetMs: 50,
	}, guavascale.Job{ID: "packs", Team: "audit", Kind: "audit-pack", Tasks: batchTasksPerWorker * c.Workers, Size: size, RunSeconds: 1e6}); err != nil {
		return err
	}
	if _, err := bufio.NewReader(os.Stdin).ReadString('\n'); err != nil {
		return err
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	before := cpuSeconds()
	time.Sleep(time.Duration(c.Seconds * float64(time.Second)))
	got := sample{CPU: (cpuSeconds() - before) / c.Seconds, MaxRSSMB: maxRSSMB()}
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	got.HeapMB = float64(mem.HeapAlloc) / (1 << 20)
	return json.NewEncoder(os.Stdout).Encode(got)
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func maxRSSMB() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Maxrss) / 1024
}
