package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"guavascale.example/guavaroute"
)

type (
	// routingCmd compares routing policies and measures the gateway's cost.
	routingCmd struct {
		Seeds   int           `default:"5" help:"Number of seeds, from 1."`
		Seconds float64       `default:"4" help:"Virtual seconds measured per run."`
		Commit  string        `default:"unknown" help:"Commit named in the heading."`
		Output  string        `default:"-" help:"File to write; - is standard output."`
		Rounds  int           `default:"5" help:"Rounds of the measurement in real time."`
		Round   time.Duration `default:"1s" help:"Length of a round in real time."`
	}

	// cell is a table cell: the values of all seeds or rounds, sorted.
	cell struct{ values []float64 }
)

// parallelRuns limits the number of concurrent runs, because the machine is
// shared.
const parallelRuns = 4

var loads = []float64{0.5, 0.9, 1.2, 2, 4}

// Run runs all measurements and writes the page.
func (c routingCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Routing: seeds 1 to %d, commit %s\n\n", c.Seeds, c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench routing --seeds %d --seconds %g`. A cell is the median over the seeds with the least and the greatest value. Times are in milliseconds.\n\n", c.Seeds, c.Seconds)
	b.WriteString(modelText)
	c.loadTables(&b)
	c.priorityTable(&b)
	c.queueTable(&b)
	c.outageTable(&b)
	if err := c.costTable(&b); err != nil {
		return err
	}
	if c.Output == "-" {
		_, err := fmt.Print(b.String())
		return err
	}
	return os.WriteFile(c.Output, []byte(b.String()), 0o644)
}

func (c routingCmd) loadTables(b *strings.Builder) {
	var best float64
	var rows []string
	var overloadRows []string
	for _, load := range loads {
		for _, p := range policies {
			rs := c.runs(scenario{policy: p, load: load})
			goodput := collect(rs, func(r routingResult) float64 { return r.goodput })
			best = max(best, goodput.median())
			rows = append(rows, fmt.Sprintf("| %g | %s | %s | %s | %s | %s | %s |", load, p,
				collect(rs, func(r routingResult) float64 { return r.quantile(50) }),
				collect(rs, func(r routingResult) float64 { return r.quantile(99) }),
				collect(rs, func(r routingResult) float64 { return r.quantile(99.9) }),
				goodput, collect(rs, func(r routingResult) float64 { return r.refused })))
			if load == loads[len(loads)-1] {
				overloadRows = append(overloadRows, fmt.Sprintf("| %s | %.3f | %s | %s | %s |", p, goodput.median()/best,
					collect(rs, func(r routingResult) float64 { return r.byPriority[0] }),
					collect(rs, func(r routingResult) float64 { return r.byPriority[1] }),
					collect(rs, func(r routingResult) float64 { return r.byPriority[2] })))
			}
		}
	}
	b.WriteString("## Load\n\nGoodput is answers within the deadline as a part of capacity; refused is the part of all requests that was refused as not run. Latencies are those of answers within the deadline.\n\n")
	b.WriteString("| Load | Policy | p50 | p99 | p99.9 | Goodput | Refused |\n|---|---|---|---|---|---|---|\n")
	b.WriteString(strings.Join(rows, "\n"))
	b.WriteString("\n\n## At 4 times capacity\n\nGoodput against the best of the table above, and the part of each priority's requests that was answered within the deadline.\n\n")
	b.WriteString("| Policy | Goodput / best | Urgent | Normal | Low |\n|---|---|---|---|---|\n")
	b.WriteString(strings.Join(overloadRows, "\n") + "\n\n")
}

func (c routingCmd) priorityTable(b *strings.Builder) {
	b.WriteString("## Shares by priority\n\np99 of the answers within the deadline.\n\n| Load | Urgent | Normal | Low |\n|---|---|---|---|\n")
	var rs []routingResult
	for _, load := range loads {
		rs = c.runs(scenario{policy: policyShares, load: load})
		fmt.Fprintf(b, "| %g | %s | %s | %s |\n", load,
			collect(rs, func(r routingResult) float64 { return r.priorityQuantile(guavaroute.Urgent, 99) }),
			collect(rs, func(r routingResult) float64 { return r.priorityQuantile(guavaroute.Normal, 99) }),
			collect(rs, func(r routingResult) float64 { return r.priorityQuantile(guavaroute.Low, 99) }))
	}
	fmt.Fprintf(b, "\nOf the 400 slots a daemon holds %g to %g; the mean is %.1f.\n\n", rs[0].minSlots, rs[0].maxSlots, float64(workerCount*slotsPerWorker)/daemonCount)
}

func (c routingCmd) queueTable(b *strings.Builder) {
	b.WriteString("## Longest waiting time\n\nShares at 4 times capacity with other values of QueueMs.\n\n| QueueMs | p50 | p99 | Goodput |\n|---|---|---|---|\n")
	for _, ms := range []float64{10, 50, 100, 1000} {
		rs := c.runs(scenario{policy: policyShares, load: 4, queueMs: ms})
		fmt.Fprintf(b, "| %g | %s | %s | %s |\n", ms,
			collect(rs, func(r routingResult) float64 { return r.quantile(50) }),
			collect(rs, func(r routingResult) float64 { return r.quantile(99) }),
			collect(rs, func(r routingResult) float64 { return r.goodput }))
	}
	b.WriteString("\n")
}

func (c routingCmd) outageTable(b *strings.Builder) {
	b.WriteString("## Outage\n\nLoad 0.6; all requests are idempotent. During the middle half of the run the workers of the part break each connection 1 ms after they received the request. Requests are counted that were accepted during the outage. The baselines retry up to twice without a budget.\n\n")
	b.WriteString("| Part out | Policy | Sent / accepted | Answered |\n|---|---|---|---|\n")
	for _, fraction := range []float64{1.0 / 3, 1} {
		for _, p := range policies {
			rs := c.runs(scenario{policy: p, load: 0.6, outageFraction: fraction})
			fmt.Fprintf(b, "| %.2f | %s | %s | %s |\n", fraction, p,
				collect(rs, func(r routingResult) float64 { return r.amplification }),
				collect(rs, func(r routingResult) float64 { return r.outageAnswered }))
		}
	}
	b.WriteString("\n")
}

// runs simulates a scenario once with each seed.
func (c routingCmd) runs(s scenario) []routingResult {
	rs := make([]routingResult, c.Seeds)
	slots := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i := range rs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run := s
			run.seed = uint64(i + 1)
			run.length = time.Duration(c.Seconds * float64(time.Second))
			rs[i] = newModel(run).run()
		})
	}
	wg.Wait()
	return rs
}

func collect(rs []routingResult, f func(routingResult) float64) cell {
	var c cell
	for _, r := range rs {
		c.values = append(c.values, f(r))
	}
	slices.Sort(c.values)
	return c
}

func (c cell) median() float64 { return c.values[len(c.values)/2] }

// String returns the median with the minimum and maximum.
func (c cell) String() string {
	return fmt.Sprintf("%.3g (%.3g to %.3g)", c.median(), c.values[0], c.values[len(c.values)-1])
}
