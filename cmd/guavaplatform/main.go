// Command guavaplatform simulates the platform and its workers, for trials and
// tests only. It keeps everything in memory. It serves the table, the object
// store, the host list, the worker agents and the control API on one address,
// and each worker's endpoint on a separate address.
//
// It prints its address to standard output as one line of JSON with the field
// Address, and logs to standard error. It exits on SIGTERM and SIGINT.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"guavascale.example"
	"guavascale.example/guavafake"
)

type (
	options struct {
		Listen       string   `default:"127.0.0.1:0" help:"Address of the platform; port 0 selects a free port."`
		EndpointHost string   `default:"127.0.0.1" help:"Host of the workers' endpoints, on free ports."`
		Workers      int      `default:"8" help:"Total number of workers in all zones."`
		Zones        []string `default:"Z1" help:"Availability zones; workers are assigned to them round robin."`
		Cores        float64  `default:"16" help:"Cores of each worker."`
		MemoryMB     int64    `name:"memory-mb" default:"60000" help:"Memory of each worker, in MB."`
		Accelerators int64    `default:"0" help:"Accelerators of each worker."`
		TimeScale    float64  `default:"1" help:"Factor for the run times of batch tasks."`
		Seed         uint64   `default:"1" help:"Seed of the random faults that --lose-probability sets."`

		LoseProbability float64       `default:"0" help:"Probability, 0 to 1, that the response to a write to the table is lost."`
		UsageLag        time.Duration `default:"2s" help:"Age of reported usage."`
		RejectFull      bool          `help:"Workers reject starts that exceed their capacity."`
	}

	started struct {
		Address string
	}
)

const (
	logPrefix       = "platform: "
	milliPerCore    = 1000
	shutdownTimeout = 5 * time.Second
)

func main() {
	var o options
	kong.Parse(&o, kong.Name("guavaplatform"), kong.Description("Simulated platform and workers, for trials and tests only."))
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o, os.Stdout, log); err != nil {
		log.Error().Err(err).Msg(logPrefix + "failed")
		os.Exit(1)
	}
}

// run serves the platform until ctx is canceled.
func run(ctx context.Context, o options, out io.Writer, log zerolog.Logger) error {
	p := &guavafake.Platform{}
	p.Fleet.TimeScale = o.TimeScale
	p.Fleet.UsageLag = o.UsageLag
	p.Fleet.RejectFull = o.RejectFull
	p.Table.SetFaults(guavafake.StoreFaults{LoseProbability: o.LoseProbability, Seed: o.Seed})
	address, err := p.Listen(o.Listen)
	if err != nil {
		return err
	}
	if err := p.AddWorkers(o.fleetSpec()); err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(started{Address: address}); err != nil {
		return err
	}
	log.Info().Str("Address", address).Int("Workers", o.Workers).Strs("Zones", o.Zones).Msg(logPrefix + "serving")

	<-ctx.Done()
	log.Info().Msg(logPrefix + "stopping")
	closeCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := p.Close(closeCtx); err != nil {
		// Calls in progress are aborted when the process exits.
		log.Warn().Err(err).Msg(logPrefix + "stopped with calls in progress")
	}
	return nil
}

func (o options) fleetSpec() guavafake.FleetSpec {
	spec := guavafake.FleetSpec{
		Workers: o.Workers,
		Host:    o.EndpointHost,
		Capacity: guavascale.Resources{
			MilliCores:   int64(o.Cores * milliPerCore),
			MemoryMB:     o.MemoryMB,
			Accelerators: o.Accelerators,
		},
	}
	for _, zone := range o.Zones {
		spec.Zones = append(spec.Zones, guavascale.Zone(zone))
	}
	return spec
}
