// Command guavabench runs the measurements behind design decisions and writes
// their tables.
//
// Each subcommand is one measurement. Models run in virtual time from fixed
// seeds, so that their tables can be repeated; figures of real time depend on
// the machine and are marked as such.
package main

import "github.com/alecthomas/kong"

type cli struct {
	Capacity       capacityCmd       `cmd:"" help:"Measure the control cost of one daemon over workers, fleet size and peers."`
	CapacityDaemon capacityDaemonCmd `cmd:"" hidden:"" help:"The measured daemon of capacity."`
	Changes        changesCmd        `cmd:"" help:"Measure how fast changes of the configuration are in force, with daemons in one process."`
	Recovery       recoveryCmd       `cmd:"" help:"Measure how the system recovers from failures, with daemons in one process."`
	Routing        routingCmd        `cmd:"" help:"Compare routing policies in a queueing model and measure the gateway's own cost."`

	Interference interferenceCmd `cmd:"" help:"Compare policies against interference in virtual time."`
	Placement    placementCmd    `cmd:"" help:"Compare placement with simple policies and measure the cost of a decision."`
	Zones        zonesCmd        `cmd:"" help:"Compare ways to empty a zone in virtual time."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("guavabench"))
	ctx.FatalIfErrorf(ctx.Run())
}
