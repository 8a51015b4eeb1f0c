package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavaoperator"
)

type (
	// recoveryCmd measures how the system recovers from failures.
	recoveryCmd struct {
		Daemons  int    `default:"7" help:"Number of daemons."`
		Workers  int    `default:"56" help:"Number of workers."`
		Runs     int    `default:"3" help:"Number of runs of each trial."`
		Parallel int    `default:"21" help:"Number of concurrent trials, each with its own system."`
		Only     string `default:"" help:"Comma-separated names of the trials to run; all by default."`
		Commit   string `default:"unknown" help:"Commit named in the heading."`
		Trace    string `default:"" help:"Folder for the daemons' logs of each trial; none by default."`
		Output   string `default:"-" help:"File to write; - is standard output."`
	}

	// trial injects one kind of failure. Each run starts a new system.
	trial struct {
		name string
		// lease is the task lease in seconds; 0 means the default of 720 s.
		lease float64
		// run injects the failure and records the phases in order.
		run func(t *trialRun) error
	}

	// trialRun is one run of a trial.
	trialRun struct {
		system  *recoverySystem
		callers callers
		phases  []namedPhase
	}

	namedPhase struct {
		name string
		phaseResult
	}
)

const (
	recoveryService   = "licence"
	recoveryInstances = 28
	recoveryJobs      = 20
	recoveryJobTasks  = 20
	recoveryTasks     = recoveryJobs * recoveryJobTasks
	steadyTimeout     = 90 * time.Second
	storeOutageTime   = 60 * time.Second
)

// Run runs all selected trials and writes the table.
func (c recoveryCmd) Run() error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	results := map[string][][]namedPhase{}
	slots := make(chan struct{}, c.Parallel)
	for range c.Runs {
		for _, t := range trials {
			if c.Only != "" && !slices.Contains(strings.Split(c.Only, ","), t.name) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				phases, err := c.run(t)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = append(failed, fmt.Errorf("trial %s: %w", t.name, err))
					return
				}
				results[t.name] = append(results[t.name], phases)
			})
		}
	}
	wg.Wait()
	// The successful runs are written even if others failed.
	return errors.Join(append(failed, c.write(results))...)
}

func (c recoveryCmd) run(t trial) ([]namedPhase, error) {
	trace, err := c.openTrace(t.name)
	if err != nil {
		return nil, err
	}
	defer trace.Close()
	s, err := startRecoverySystem(c.Daemons, c.Workers, trace)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.declareWork(t.lease); err != nil {
		return nil, err
	}
	r := &trialRun{system: s, callers: callers{system: s}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	r.callers.start(ctx, &wg)
	if err := s.waitSteady(); err != nil {
		return nil, err
	}
	// The rates of the steady state are the baseline of the trial.
	if err := r.phase("steady", 5*time.Second, nil, func() error { return nil }); err != nil {
		return nil, err
	}
	err = t.run(r)
	for _, v := range s.platform.Fleet.Verdict().Violations {
		fmt.Fprintf(trace, "violation: %+v\n", v)
	}
	return r.phases, err
}

// phase triggers an event and monitors the system for the given time. Restarts of
// tasks that ran on the excused workers do not count as needless.
func (r *trialRun) phase(name string, length time.Duration, excused []guavascale.WorkerID, event func() error) error {
	running := r.system.runningBatchTasks()
	if err := event(); err != nil {
		return err
	}
	m := startMonitor(r.system, &r.callers, running, excused)
	time.Sleep(length)
	r.finish(name, m)
	return nil
}

func (r *trialRun) finish(name string, m *phaseMonitor) {
	r.phases = append(r.phases, namedPhase{name, m.end()})
	fmt.Fprintf(r.system.trace, "phase %s of %s ended; failed requests: %v\n", name, time.Since(m.start), r.callers.takeFailureReasons())
}

// openTrace opens the log file of one run of a trial.
func (c recoveryCmd) openTrace(trial string) (*os.File, error) {
	if c.Trace == "" {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	return os.CreateTemp(c.Trace, strings.ReplaceAll(trial, " ", "-")+"-*.log")
}

func workerSpec(n int, size guavascale.Resources) guavafake.FleetSpec {
	return guavafake.FleetSpec{Workers: n, Zones: recoveryZones, Capacity: size, Host: "127.0.0.1"}
}

// declareWork declares a service, and batch tasks that run longer than the
// trial.
func (s *recoverySystem) declareWork(lease float64) error {
	ctx := context.Background()
	preset := guavascale.Preset{Name: "recovery", BatchLeaseSeconds: lease, ServiceLeaseSeconds: lease, StartsPerSecond: 50}
	changes := []guavaconfig.Change{
		{Kind: guavaconfig.PutPreset, Preset: &preset},
		{Kind: guavaconfig.UsePreset, Name: preset.Name},
		{Kind: guavaconfig.PutService, Service: &guavascale.Service{
			Name: recoveryService, Kind: "checkout", Team: "desk", Instances: recoveryInstances, TargetMs: 50,
			Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 1024},
		}},
	}
	for _, c := range changes {
		if err := s.submitChange(c); err != nil {
			return err
		}
	}
	for i := range recoveryJobs {
		job := guavascale.Job{
			ID: fmt.Sprintf("pack-%d", i), Team: "audit", Kind: "audit-pack", Tasks: recoveryJobTasks, RunSeconds: 100_000,
			Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
		}
		if _, err := s.client.DeclareJob(ctx, guavaoperator.JobRequest{ID: guavaconfig.NewID(), Job: job}); err != nil {
			return err
		}
	}
	return nil
}

// waitSteady waits until all instances and tasks run and each partition is owned
// by its preferred daemon. Daemons that start early acquire more partitions than
// their share and release the excess after 30 s.
func (s *recoverySystem) waitSteady() error {
	deadline := time.Now().Add(steadyTimeout)
	for time.Now().Before(deadline) {
		instances, batch := s.runningTasks()
		if instances >= recoveryInstances && batch == recoveryTasks && s.onPreferredOwners() {
			return nil
		}
		time.Sleep(sampleInterval)
	}
	instances, batch := s.runningTasks()
	return fmt.Errorf("%d instances and %d tasks run after %s", instances, batch, steadyTimeout)
}

func (c recoveryCmd) write(results map[string][][]namedPhase) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Recovery: `guavabench recovery --runs %d --parallel %d`, commit %s\n\n", c.Runs, c.Parallel, c.Commit)
	b.WriteString(recoveryText(c))
	columns := []struct {
		title string
		value func(p *phaseResult) float64
	}{
		{"shards owned, s", func(p *phaseResult) float64 { return p.shardsOwned }},
		{"all partitions owned, s", func(p *phaseResult) float64 { return p.allOwned }},
		{"tasks owned, workers heard of, s", func(p *phaseResult) float64 { return p.allReported }},
		{"all tasks running, s", func(p *phaseResult) float64 { return p.batchRunning }},
		{"reads/s", func(p *phaseResult) float64 { return p.reads }},
		{"peak", func(p *phaseResult) float64 { return p.readPeak }},
		{"writes/s", func(p *phaseResult) float64 { return p.writes }},
		{"peak", func(p *phaseResult) float64 { return p.writePeak }},
		{"task starts", func(p *phaseResult) float64 { return p.restarts }},
		{"needless", func(p *phaseResult) float64 { return p.needlessRestarts }},
		{"resumed without all work", func(p *phaseResult) float64 { return p.partialResumes }},
		{"lost", func(p *phaseResult) float64 { return p.lostTasks }},
		{"instances below target", func(p *phaseResult) float64 { return p.missingInstances }},
		{"for, s", func(p *phaseResult) float64 { return p.missingTime }},
		{"instance starts", func(p *phaseResult) float64 { return p.instanceStarts }},
		{"requests failed", func(p *phaseResult) float64 { return p.failed }},
		{"keyed failed", func(p *phaseResult) float64 { return p.keyedFailed }},
		{"violations", func(p *phaseResult) float64 { return p.violations }},
	}
	b.WriteString("| Trial | Phase |")
	for _, col := range columns {
		b.WriteString(" " + col.title + " |")
	}
	b.WriteString("\n|---|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for _, t := range trials {
		runs := results[t.name]
		if len(runs) == 0 {
			continue
		}
		for i := range runs[0] {
			fmt.Fprintf(&b, "| %s | %s |", t.name, runs[0][i].name)
			for _, col := range columns {
				b.WriteString(" " + formatSpread(runs, i, col.value) + " |")
			}
			b.WriteString("\n")
		}
	}
	if c.Output == "-" {
		_, err := fmt.Print(b.String())
		return err
	}
	return os.WriteFile(c.Output, []byte(b.String()), 0o644)
}

// formatSpread returns the median with the minimum and maximum, or a single value
// if all runs have the same.
func formatSpread(runs [][]namedPhase, i int, value func(*phaseResult) float64) string {
	var v []float64
	for _, r := range runs {
		v = append(v, value(&r[i].phaseResult))
	}
	slices.SortFunc(v, cmp.Compare[float64])
	if v[0] == v[len(v)-1] {
		return formatValue(v[0])
	}
	return fmt.Sprintf("%s (%s to %s)", formatValue(v[len(v)/2]), formatValue(v[0]), formatValue(v[len(v)-1]))
}

func formatValue(v float64) string {
	if v == float64(int64(v)) || v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.1f", v)
}

func recoveryText(c recoveryCmd) string {
	return fmt.Sprintf("%d daemons and %d workers in %d zones, %d batch tasks and %d service instances; real time on a shared machine, daemons in one process over loopback, %d trials at a time. A cell is the median of %d runs with the least and the greatest. Times are in seconds after the start of the phase, up to the last sample (every 100 ms, those of the workers every 300 ms) at which the condition did not hold. Store calls are those of all daemons in the first 10 s of a phase, with the peak over 1 s; reads include the host list. Requests: %d callers with a pause of 20 ms, one request in ten with an idempotency key, to the daemons that were ready at the last probe (every 250 ms).\n\n",
		c.Daemons, c.Workers, len(recoveryZones), recoveryTasks, recoveryInstances, c.Parallel, c.Runs, recoveryCallers)
}
