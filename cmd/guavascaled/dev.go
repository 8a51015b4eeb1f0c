package main

import (
	"context"
	"fmt"
	"os"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavafake"
)

// devCmd runs an in-memory platform and a daemon in one process.
type devCmd struct {
	Workers  int    `default:"4" help:"Number of workers."`
	Gateway  string `default:"127.0.0.1:8080" help:"Address of the gateway for callers."`
	Operator string `default:"127.0.0.1:8081" help:"Address of the operator interface."`
	Token    string `default:"development-token" env:"GUAVASCALED_DEV_TOKEN" help:"Credential of the operators."`
}

// devService is the name of the example service.
const devService = "licence"

// Run starts the in-memory platform and a daemon, declares an example service
// and job, and prints example commands.
func (c *devCmd) Run() error {
	p := &guavafake.Platform{}
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	err = p.AddWorkers(guavafake.FleetSpec{
		Workers: c.Workers, Zones: []guavascale.Zone{"Rennes", "Brest"}, Host: "127.0.0.1",
		Capacity: guavascale.Resources{MilliCores: 8000, MemoryMB: 16_384},
	})
	if err != nil {
		return err
	}
	s := guavaconfig.Settings{
		Name: "dev", Zone: "Rennes", Platform: addr,
		Gateway: guavaconfig.Listener{Listen: c.Gateway}, Operator: guavaconfig.Listener{Listen: c.Operator},
		Peer:        guavaconfig.Listener{Listen: "127.0.0.1:0"},
		Credentials: []guavaconfig.Credential{{Name: "developer", Token: guavaconfig.Secret(c.Token)}},
		Log:         guavaconfig.Log{Level: "Info", Format: "Console"},
	}.Defaults()
	if err := s.Validate(); err != nil {
		return err
	}
	log, err := newLogger(s.Log, os.Stderr)
	if err != nil {
		return err
	}
	d := &guavadaemon.Daemon{
		Settings: s, Log: log,
		Platform: guavadaemon.Platform{Table: &p.Table, Objects: &p.Objects, Hosts: &p.Fleet, Agent: &p.Fleet},
	}
	d.Prepare()
	go func() {
		<-d.Ready()
		if err := c.declareExamples(d); err != nil {
			log.Error().Err(err).Msg("dev: failed to declare the example service and job")
		}
	}()
	return runDaemon(d)
}

// declareExamples declares the example service and job and prints commands
// that use them.
func (c *devCmd) declareExamples(d *guavadaemon.Daemon) error {
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	ctx := context.Background()
	if err := d.DeclareForDev(ctx, guavascale.Service{
		Name: devService, Kind: "checkout", Team: "desk", Instances: 2, Size: size, TargetMs: 50,
	}, guavascale.Job{ID: "first-audit", Team: "audit", Kind: "audit-pack", Tasks: 4, Size: size, RunSeconds: 5}); err != nil {
		return err
	}
	fmt.Printf(`
A service "%[1]s" with two instances and a job "first-audit" of four tasks are declared. In another terminal:

  curl -s http://%[2]s/%[1]s/hello -d ballot
  export GUAVACTL_ADDRESS=%[3]s GUAVACTL_TOKEN=%[4]s
  guavactl jobs list
  guavactl tasks

Ctrl-C ends the daemon with a graceful shutdown.

`, devService, d.Addresses().Gateway, d.Addresses().Operator, c.Token)
	return nil
}
