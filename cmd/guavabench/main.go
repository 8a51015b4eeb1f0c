// Command guavabench runs the measurements that design decisions are based on
// and writes their results as Markdown tables.
//
// Each subcommand is one measurement. Simulations run in virtual time from
// fixed seeds, so their tables are reproducible. Results measured in real time
// depend on the machine and are marked as such.
package main

import "github.com/alecthomas/kong"

type cli struct {
	Changes  changesCmd  `cmd:"" help:"Measure how fast configuration changes take effect, with all daemons in one process."`
	Recovery recoveryCmd `cmd:"" help:"Measure how the system recovers from failures, with all daemons in one process."`
	Routing  routingCmd  `cmd:"" help:"Compare routing policies in a queueing model and measure the gateway's own cost."`

	Interference interferenceCmd `cmd:"" help:"Compare interference mitigation policies in virtual time."`
	Placement    placementCmd    `cmd:"" help:"Compare placement with simple policies and measure the cost of a decision."`
	Zones        zonesCmd        `cmd:"" help:"Compare ways to drain a zone in virtual time."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("guavabench"))
	ctx.FatalIfErrorf(ctx.Run())
}
