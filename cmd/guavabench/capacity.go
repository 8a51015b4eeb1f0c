package main

import (
	"fmt"
	"math"
	"os"
	"strings"
	"time"
)

type (
	// capacityCmd measures how the resource usage of one daemon grows with its
	// workers, the fleet and its peers, for docs/CAPACITY.md.
	capacityCmd struct {
		Seconds float64 `default:"10" help:"Length of each measurement in real time."`
		Settle  float64 `default:"8" help:"Time between the start of all tasks and the measurement."`
		Sweep   string  `default:"all" enum:"all,workers,fleet,peers" help:"What to vary."`
		Commit  string  `default:"unknown" help:"Commit named in the heading."`
		Output  string  `default:"-" help:"File to write; - is standard output."`
	}

	// sweepPoint is the configuration of one measurement of a sweep.
	sweepPoint struct {
		// owned is the number of workers of the measured daemon.
		owned int
		// fleet is the number of additional workers on the host list, which
		// are owned by another daemon.
		fleet int
		// peers is the number of other daemons in the gossip group.
		peers int
	}

	// sample is the resource usage of one daemon. CPU, bytes, reads and writes
	// are per second.
	sample struct {
		CPU      float64 // processor seconds
		HeapMB   float64
		MaxRSSMB float64
		// Bytes sent and received, including HTTP headers.
		TableBytes, HostBytes, AgentBytes, PeerBytes float64
		Reads, Writes                                float64
	}

	// metric is one row of the tables.
	metric struct {
		name, format string
		value        func(*sample) float64
	}
)

// peerDiscoveryTime is the minimum wait before a measurement: peers discover
// each other within 5 s.
const peerDiscoveryTime = 6 * time.Second

var (
	metrics = []metric{
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
		points     []sweepPoint
		xValue     func(sweepPoint) int
	}{
		{
			"workers", "Workers owned",
			[]sweepPoint{{owned: 8}, {owned: 24}, {owned: 64}, {owned: 128}},
			func(s sweepPoint) int { return s.owned },
		},
		{
			"fleet", "Workers of others on the host list (8 owned)",
			[]sweepPoint{{owned: 8}, {owned: 8, fleet: 1000}, {owned: 8, fleet: 4500}, {owned: 8, fleet: 9000}, {owned: 8, fleet: 18_000}},
			func(s sweepPoint) int { return s.fleet },
		},
		{
			"peers", "Other daemons (8 workers owned)",
			[]sweepPoint{{owned: 8}, {owned: 8, peers: 6}, {owned: 8, peers: 29}, {owned: 8, peers: 99}, {owned: 8, peers: 199}},
			func(s sweepPoint) int { return s.peers },
		},
	}
)

// Run measures all points and writes one table per sweep, with a line fitted to
// each metric.
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
			xs = append(xs, float64(s.xValue(p)))
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
	for _, m := range metrics {
		fmt.Fprintf(b, "| %s |", m.name)
		ys := make([]float64, len(xs))
		for i := range samples {
			ys[i] = m.value(&samples[i])
			fmt.Fprintf(b, " "+m.format+" |", ys[i])
		}
		intercept, slope, maxDeviation := fitLine(xs, ys)
		fmt.Fprintf(b, " %.3g + %.3g n, off by at most %.2g |\n", intercept, slope, maxDeviation)
	}
}

// fitLine returns the least-squares line and the largest deviation of a point
// from it.
func fitLine(xs, ys []float64) (intercept, slope, maxDeviation float64) {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
	}
	if d := n*sumXX - sumX*sumX; d != 0 {
		slope = (n*sumXY - sumX*sumY) / d
	}
	intercept = (sumY - slope*sumX) / n
	for i := range xs {
		maxDeviation = max(maxDeviation, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	return intercept, slope, maxDeviation
}
