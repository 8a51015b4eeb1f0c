package main

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

// demo is the state of one run of the program.
type demo struct {
	cluster  *cluster
	operator operator
	load     *loadGenerator
	progress io.Writer
	began    time.Time
	report   report
	jobs     []guavascale.Job
}

const (
	demoService = "licence"
	demoPreset  = "peak"
	// demoTimeout bounds all waits together, so that the demo takes less than
	// 75 s.
	demoTimeout = 70 * time.Second
	// stepDelay is the delay between two steps.
	stepDelay = 2 * time.Second
	// zoneOutDuration is how long the zone is out of service. No request may
	// reach it after the first 3 s.
	zoneOutDuration = 8 * time.Second
	// longRequestCount is the number of requests that are in progress at a
	// daemon when SIGTERM is sent to it.
	longRequestCount = 8
	// shutdownTimeout is longer than the longest graceful shutdown.
	shutdownTimeout = 40 * time.Second
)

// demoSpec returns the cluster of the demo: three daemons and nine workers in
// three zones.
func demoSpec(programs, dir string) clusterSpec {
	return clusterSpec{
		Programs: programs, Dir: dir, Daemons: 3, Workers: 9,
		Zones: []guavascale.Zone{"Rennes", "Brest", "Vannes"},
	}
}

// run executes the steps of the demo. They fill in a part of the report.
func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, d.began.Add(demoTimeout))
	defer cancel()
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"waiting for three ready daemons", func(ctx context.Context) error { return d.cluster.waitReady(ctx, 3) }},
		{"declaring the service and jobs", d.declareWorkload},
		{"starting the load and switching the preset", d.switchPreset},
		{"taking zone Brest out and back", d.closeZone},
		{"killing daemon-1 with SIGKILL, declaring an urgent job", d.killDaemon},
		{"stopping daemon-2 with SIGTERM", d.stopDaemon},
		{"waiting for the jobs", d.awaitJobs},
	}
	for _, s := range steps {
		fmt.Fprintf(d.progress, "%5.1f s  %s\n", secondsSince(d.began), s.name)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// declareWorkload declares the service and the first job.
func (d *demo) declareWorkload(ctx context.Context) error {
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	_, err := d.operator.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: demoService, Kind: "checkout", Team: "desk", Instances: 9, Size: size, TargetMs: 100,
	}})
	if err != nil {
		return err
	}
	return d.declareJobs(ctx, guavascale.Job{ID: "audit-packs", Team: "audit", Kind: "audit-pack", Tasks: 36, RunSeconds: 8})
}

// declareJobs declares jobs with tasks of a fixed size and records them.
func (d *demo) declareJobs(ctx context.Context, jobs ...guavascale.Job) error {
	for _, job := range jobs {
		job.Size = guavascale.Resources{MilliCores: 2000, MemoryMB: 1024}
		if err := d.operator.declareJob(ctx, job); err != nil {
			return err
		}
		d.jobs = append(d.jobs, job)
		d.report.TasksDeclared += job.Tasks
	}
	return nil
}

// switchPreset starts the load and puts another preset in force.
func (d *demo) switchPreset(ctx context.Context) error {
	d.load = startLoad(d.cluster, demoService, demoCallers)
	preset := guavascale.Preset{Name: demoPreset, LatencyWeight: 90, BatchWeight: 10, DrainPerSecond: 10}
	if _, err := d.operator.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &preset}); err != nil {
		return err
	}
	if _, err := d.operator.submitChange(ctx, guavaconfig.Change{Kind: guavaconfig.UsePreset, Name: demoPreset}); err != nil {
		return err
	}
	// Endpoints get requests from 5 s after their start.
	return sleep(ctx, 3*stepDelay)
}

// closeZone takes a zone out of service while a job runs and counts the starts
// and requests in it.
func (d *demo) closeZone(ctx context.Context) error {
	err := d.declareJobs(ctx, guavascale.Job{ID: "seat-checks", Team: "audit", Kind: "audit-pack", Tasks: 36, RunSeconds: 6})
	if err != nil {
		return err
	}
	if err := sleep(ctx, stepDelay); err != nil {
		return err
	}
	z, err := closeZone(ctx, &d.operator, "Brest", zoneOutDuration, func() {})
	if err != nil {
		return err
	}
	state, err := d.cluster.control.State()
	if err != nil {
		return err
	}
	d.report.StartsInClosedZone = len(z.starts(state.Verdict))
	d.report.RequestsInClosedZone = z.requestsAfter - z.requestsBefore
	return sleep(ctx, stepDelay)
}

// killDaemon kills a daemon, declares an urgent job and starts the daemon again.
func (d *demo) killDaemon(ctx context.Context) error {
	if err := d.cluster.current()[1].signal(syscall.SIGKILL); err != nil {
		return err
	}
	err := d.declareJobs(ctx, guavascale.Job{ID: "tally", Team: "ballots", Kind: "tally", Tasks: 12, RunSeconds: 2, Urgent: true})
	if err != nil {
		return err
	}
	if err := sleep(ctx, stepDelay); err != nil {
		return err
	}
	if err := d.cluster.startDaemon(1); err != nil {
		return err
	}
	return d.cluster.waitReady(ctx, 3)
}

// stopDaemon stops a daemon gracefully while it has requests in progress and
// starts it again.
func (d *demo) stopDaemon(ctx context.Context) error {
	// These requests are in progress when the daemon stops accepting
	// connections.
	d.load.sendLongRequests(d.cluster.current()[2], longRequestCount)
	if err := sleep(ctx, stepDelay/4); err != nil {
		return err
	}
	if err := d.cluster.stopGracefully(2); err != nil {
		return err
	}
	if err := d.cluster.startDaemon(2); err != nil {
		return err
	}
	return sleep(ctx, stepDelay)
}

// stopGracefully sends SIGTERM to daemon i and waits until it has exited.
func (c *cluster) stopGracefully(i int) error {
	d := c.current()[i]
	d.stopping.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !d.exitedWithin(shutdownTimeout) {
		return fmt.Errorf("%s did not end within %v of SIGTERM", d.name, shutdownTimeout)
	}
	return nil
}

// awaitJobs waits for all jobs. One that does not end in time adds a note, and
// its missing tasks show in the report.
func (d *demo) awaitJobs(ctx context.Context) error {
	for _, job := range d.jobs {
		st, err := d.operator.awaitJob(ctx, job.ID)
		if err != nil {
			d.report.Notes = append(d.report.Notes, err.Error())
		}
		d.report.TasksDone += st.Tasks[guavascale.TaskDone]
	}
	return nil
}

// finish stops the load and completes the report.
func (d *demo) finish(ctx context.Context) error {
	d.load.stop()
	d.report.InForceMs = map[uint64]int64{}
	for _, a := range d.operator.changes {
		d.report.InForceMs[a.Version] = a.inForceDelay(ctx).Milliseconds()
	}
	if err := d.report.collect(d.cluster, d.load); err != nil {
		return err
	}
	d.report.Seconds = secondsSince(d.began)
	d.report.checkGuarantees()
	return nil
}
