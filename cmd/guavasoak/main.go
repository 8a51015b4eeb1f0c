// Command guavasoak is a soak test. It runs daemons of the submission scheduler
// as separate processes against a simulated users' platform, injects faults from
// outside the processes, and checks the scheduler's guarantees by what callers
// and workers observe.
//
// The faults, their times and their targets are determined by the seed. The
// interleaving of the processes is not, so run a failing seed several times.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type cli struct {
	Seeds   int           `default:"1" help:"Number of runs, with successive seeds."`
	Seed    uint64        `default:"1" help:"Seed of the first run."`
	Daemon  string        `default:"bin/guavascaled" type:"existingfile" help:"Program of the daemons."`
	Daemons int           `default:"3" help:"Number of daemons."`
	Workers int           `default:"6" help:"Number of workers."`
	Faults  time.Duration `default:"20s" help:"How long faults are injected in a run."`
	Settle  time.Duration `default:"25s" help:"How long accepted submissions may take to end after the last fault."`
	Logs    string        `default:"out/soak" help:"Directory for the logs of runs with findings."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("guavasoak"), kong.Description("Soak test: runs daemons of the submission scheduler under injected faults."), kong.UsageOnError())
	k.FatalIfErrorf(c.run())
}

var errFindings = errors.New("there are findings")

func (c *cli) run() error {
	failed := 0
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		begun := time.Now()
		s := &soak{cli: c, seed: seed}
		findings, err := s.run()
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %s in %s\n", seed, s.summary(), time.Since(begun).Round(time.Second))
		for _, f := range findings {
			fmt.Printf("seed %d: FINDING %s\n", seed, f)
		}
		if len(findings) > 0 {
			failed++
			fmt.Printf("seed %d: logs in %s\n", seed, s.dir)
		} else if err := os.RemoveAll(s.dir); err != nil {
			return err
		}
	}
	fmt.Printf("%d passed, %d failed\n", c.Seeds-failed, failed)
	if failed > 0 {
		return errFindings
	}
	return nil
}
