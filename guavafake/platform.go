package guavafake

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/internal/listen"
)

type (
	// Platform is a complete simulated platform, served by Handler. The zero
	// value has no workers.
	Platform struct {
		Table     Table
		Objects   Objects
		Fleet     Fleet
		Endpoints Endpoints

		hosts     hostHistory
		server    *fasthttp.Server
		listeners listen.Group
		address   string
	}

	// FleetSpec describes identical workers in racks of RackSize.
	FleetSpec struct {
		// Workers is the total number of workers, assigned to Zones round
		// robin.
		Workers  int
		Zones    []guavascale.Zone
		Capacity guavascale.Resources
		// Host is the host on which the endpoints listen, on free ports.
		Host string
	}
)

const (
	// RackSize is the number of workers in a rack.
	RackSize = 8
	// DefaultSlots and DefaultConnections are the limits of a worker in current
	// deployments.
	DefaultSlots       = 8
	DefaultConnections = 60
)

// Listen serves the platform on a host:port address until Close, and returns the
// actual address. Port 0 selects a free port.
func (p *Platform) Listen(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	p.server = newServer(p.Handler())
	p.address = ln.Addr().String()
	// Serve returns once Close shuts the server down.
	go func() { _ = p.listeners.Serve(ln, p.server.Serve) }()
	return p.address, nil
}

// AddWorkers opens the endpoints of new workers "<zone>-<n>" and adds the
// workers. Call Listen first, because their AgentAddress is the platform's
// address.
func (p *Platform) AddWorkers(spec FleetSpec) error {
	if len(spec.Zones) == 0 {
		return &guavascale.ValidationError{Field: "FleetSpec.Zones", Value: "none", Allowed: "one zone or more"}
	}
	for i := range spec.Workers {
		n := i / len(spec.Zones)
		zone := spec.Zones[i%len(spec.Zones)]
		w := guavascale.Worker{
			ID:           guavascale.WorkerID(fmt.Sprintf("%s-%d", zone, n)),
			Zone:         zone,
			Rack:         n / RackSize,
			Capacity:     spec.Capacity,
			AgentAddress: p.address,
			Slots:        DefaultSlots,
			Connections:  DefaultConnections,
		}
		if err := p.AddWorker(w, spec.Host); err != nil {
			return err
		}
	}
	return nil
}

// AddWorker opens the endpoint of a worker on a free port of host and adds the
// worker.
func (p *Platform) AddWorker(w guavascale.Worker, host string) error {
	p.Endpoints.Fleet = &p.Fleet
	w, err := p.Endpoints.Open(w, host)
	if err != nil {
		return err
	}
	p.Fleet.Add(w)
	return nil
}

// Close stops all listeners, and waits for calls in progress until ctx ends.
func (p *Platform) Close(ctx context.Context) error {
	err := p.Endpoints.Close(ctx)
	p.listeners.Close()
	if p.server != nil {
		err = errors.Join(err, p.server.ShutdownWithContext(ctx))
	}
	return err
}
