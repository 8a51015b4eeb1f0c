package main

import (
	"fmt"
	"math"
	"os"
	"strings"
	"time"
)

type (
	// capacityCmd measures the slopes behind docs/CAPACITY.md.
	capacityCmd struct {
		Seconds float64 `default:"10" help:"Length of each measurement in real time."`
		Settle  float64 `default:"8" help:"Time between the start of all tasks and the measurement."`
		Sweep   string  `default:"all" enum:"all,workers,fleet,peers" help:"What to vary."`
		Commit  string  `default:"unknown" help:"Commit named in the heading."`
		Output  string  `default:"-" help:"File to write; - is standard output."`
	}

	// setup is one point of a sweep.
	setup struct {
		// owned is the number of workers of the measured daemon.
		owned int
		// fleet is the number of further workers on the host list, which
		// another daemon owns.
		fleet int
		// peers is the number of other daemons that gossip.
		peers int
	}

	// sample is what one daemon took for a second.
	sample struct {
		CPU      float64 // seconds
		HeapMB   float64
		MaxRSSMB float64
		// Bytes are sent and received, HTTP headers included.
		TableBytes, HostBytes, AgentBytes, PeerBytes float64
		Reads, Writes                                float64
	}

	column struct {
		name, format string
		value        func(*sample) float64
	}
)

// peersJoin is the least time before a measurement: peers learn of each other
// within 5 s.
const peersJoin = 6 * time.Second

var (
	columns = []column{
		{"CPU, % of a core", "%.2f", func(s *sample) float64 { return 100 * s.CPU }},
		{"Heap, MB", "%.1f", func(s *sample) float64 { return s.HeapMB }},
		{"Peak resident, MB", "%.0f", func(s *sample) float64 { return s.MaxRSSMB }},
		{"Agents, B/s", "%.0f", func(s *sample) float64 { return s.AgentBytes }},
		{"Table, B/s", "%.0f", func(s *sample) float64 { return s.TableBytes }},
		{"Host list, B/s", "%.0f", func(s *sample) float64 { return s.HostBytes }},
		{"Peers, B/s", "%.0f", func(s *sample) float64 { return s.PeerBytes }},
		{"Table reads/s", "%.2f", func(s *sample) float64 { return s.Reads }},
		{"Table writes/s", "%.2f", func(s *sample) float64 { return s.Writes }},
	}

	sweeps = []struct {
		name, unit string
		points     []setup
		by         func(setup) int
	}{
		{
			"workers", "Workers owned",
			[]setup{{owned: 8}, {owned: 24}, {owned: 64}, {owned: 128}},
			func(s setup) int { return s.owned },
		},
		{
			"fleet", "Workers of others on the host list (8 owned)",
			[]setup{{owned: 8}, {owned: 8, fleet: 1000}, {owned: 8, fleet: 4500}, {owned: 8, fleet: 9000}, {owned: 8, fleet: 18_000}},
			func(s setup) int { return s.fleet },
		},
		{
			"peers", "Other daemons (8 workers owned)",
			[]setup{{owned: 8}, {owned: 8, peers: 6}, {owned: 8, peers: 29}, {owned: 8, peers: 99}, {owned: 8, peers: 199}},
			func(s setup) int { return s.peers },
		},
	}
)

// Run measures all points and writes a table with a fitted line per sweep.
func (c *capacityCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Capacity: one daemon, commit %s\n\nWritten by `guavabench capacity --seconds %g --settle %g`. Real time on a shared machine. The daemon is a process of its own; platform and peers run in another. Each owned worker runs 10 batch tasks and 2 service instances, settled. Fit: least squares, with the largest deviation of a point.\n", c.Commit, c.Seconds, c.Settle)
	for _, s := range sweeps {
		if c.Sweep != "all" && c.Sweep != s.name {
			continue
		}
		var xs []float64
		var samples []sample
		for _, p := range s.points {
			got, err := c.measure(p)
			if err != nil {
				return fmt.Errorf("%s %+v: %w", s.name, p, err)
			}
			fmt.Fprintf(os.Stderr, "%s %+v: %+v\n", s.name, p, got)
			xs = append(xs, float64(s.by(p)))
			samples = append(samples, got)
		}
		writeSweep(&b, s.unit, xs, samples)
	}
	if c.Output == "-" {
		_, err := fmt.Print(b.String())
		return err
	}
	return os.WriteFile(c.Output, []byte(b.String()), 0o644)
}

func writeSweep(b *strings.Builder, unit string, xs []float64, samples []sample) {
	fmt.Fprintf(b, "\n## %s\n\n| |", unit)
	for _, x := range xs {
		fmt.Fprintf(b, " %g |", x)
	}
	b.WriteString(" Fit |\n|---|" + strings.Repeat("---|", len(xs)+1) + "\n")
	for _, col := range columns {
		fmt.Fprintf(b, "| %s |", col.name)
		ys := make([]float64, len(xs))
		for i := range samples {
			ys[i] = col.value(&samples[i])
			fmt.Fprintf(b, " "+col.format+" |", ys[i])
		}
		base, slope, worst := fit(xs, ys)
		fmt.Fprintf(b, " %.3g + %.3g n, off by at most %.2g |\n", base, slope, worst)
	}
}

// fit returns the least-squares line and the largest deviation from it.
func fit(xs, ys []float64) (base, slope, worst float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	base = (sy - slope*sx) / n
	for i := range xs {
		worst = max(worst, math.Abs(ys[i]-base-slope*xs[i]))
	}
	return base, slope, worst
}
