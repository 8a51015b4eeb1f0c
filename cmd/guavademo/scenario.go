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

// demo is one run of the demonstration.
type demo struct {
	cluster  *cluster
	operator operator
	load     *load
	progress io.Writer
	began    time.Time
	report   report
	jobs     []guavascale.Job
}

const (
	demoService = "licence"
	busyPreset  = "peak"
	// demoTimeout ends all waits, so that the demo takes less than 75 s.
	demoTimeout = 70 * time.Second
	// settleTime is the wait between two steps.
	settleTime = 2 * time.Second
	// zoneOutTime is how long the zone is out; no request may reach it after
	// the first 3 s.
	zoneOutTime = 8 * time.Second
	// longRequests are in progress at the daemon that gets SIGTERM.
	longRequests = 8
	// gracefulLimit is longer than the longest shutdown.
	gracefulLimit = 40 * time.Second
)

func demoSpec(programs, dir string) clusterSpec {
	return clusterSpec{
		Programs: programs, Dir: dir, Daemons: 3, Workers: 9,
		Zones: []guavascale.Zone{"Rennes", "Brest", "Vannes"},
	}
}

// run executes the steps and fills in the report.
func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, d.began.Add(demoTimeout))
	defer cancel()
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"waiting for three ready daemons", func(ctx context.Context) error { return d.cluster.waitReady(ctx, 3) }},
		{"declaring the service and jobs", d.declare},
		{"starting the load and switching the preset", d.switchPreset},
		{"taking zone Brest out and back", d.closeZone},
		{"killing daemon-1 with SIGKILL, declaring an urgent job", d.killDaemon},
		{"stopping daemon-2 with SIGTERM", d.stopDaemon},
		{"waiting for the jobs", d.awaitJobs},
	}
	for _, s := range steps {
		fmt.Fprintf(d.progress, "%5.1f s  %s\n", since(d.began), s.name)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (d *demo) declare(ctx context.Context) error {
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	_, err := d.operator.change(ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: demoService, Kind: "checkout", Team: "desk", Instances: 9, Size: size, TargetMs: 100,
	}})
	if err != nil {
		return err
	}
	return d.declareJobs(ctx, guavascale.Job{ID: "audit-packs", Team: "audit", Kind: "audit-pack", Tasks: 36, RunSeconds: 8})
}

func (d *demo) declareJobs(ctx context.Context, jobs ...guavascale.Job) error {
	for _, job := range jobs {
		job.Size = guavascale.Resources{MilliCores: 2000, MemoryMB: 1024}
		if err := d.operator.declare(ctx, job); err != nil {
			return err
		}
		d.jobs = append(d.jobs, job)
		d.report.TasksDeclared += job.Tasks
	}
	return nil
}

func (d *demo) switchPreset(ctx context.Context) error {
	d.load = startLoad(d.cluster, demoService, demoCallers)
	preset := guavascale.Preset{Name: busyPreset, LatencyWeight: 90, BatchWeight: 10, DrainPerSecond: 10}
	if _, err := d.operator.change(ctx, guavaconfig.Change{Kind: guavaconfig.PutPreset, Preset: &preset}); err != nil {
		return err
	}
	if _, err := d.operator.change(ctx, guavaconfig.Change{Kind: guavaconfig.UsePreset, Name: busyPreset}); err != nil {
		return err
	}
	// New endpoints are used 5 s after their start.
	return pause(ctx, 3*settleTime)
}

func (d *demo) closeZone(ctx context.Context) error {
	err := d.declareJobs(ctx, guavascale.Job{ID: "seat-checks", Team: "audit", Kind: "audit-pack", Tasks: 36, RunSeconds: 6})
	if err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	z, err := closeZone(ctx, &d.operator, "Brest", zoneOutTime, func() {})
	if err != nil {
		return err
	}
	state, err := d.cluster.control.State()
	if err != nil {
		return err
	}
	d.report.StartsInClosedZone = len(z.starts(state.Verdict))
	d.report.RequestsInClosedZone = z.after - z.before
	return pause(ctx, settleTime)
}

func (d *demo) killDaemon(ctx context.Context) error {
	if err := d.cluster.list()[1].signal(syscall.SIGKILL); err != nil {
		return err
	}
	err := d.declareJobs(ctx, guavascale.Job{ID: "tally", Team: "ballots", Kind: "tally", Tasks: 12, RunSeconds: 2, Urgent: true})
	if err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	if err := d.cluster.startDaemon(1); err != nil {
		return err
	}
	return d.cluster.waitReady(ctx, 3)
}

func (d *demo) stopDaemon(ctx context.Context) error {
	// They are in progress when the daemon stops to accept connections.
	d.load.sendLong(d.cluster.list()[2], longRequests)
	if err := pause(ctx, settleTime/4); err != nil {
		return err
	}
	if err := d.cluster.stopGracefully(2); err != nil {
		return err
	}
	if err := d.cluster.startDaemon(2); err != nil {
		return err
	}
	return pause(ctx, settleTime)
}

// stopGracefully stops daemon i with SIGTERM and waits for its end.
func (c *cluster) stopGracefully(i int) error {
	d := c.list()[i]
	d.stopping.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !d.ended(gracefulLimit) {
		return fmt.Errorf("%s did not end within %v of SIGTERM", d.name, gracefulLimit)
	}
	return nil
}

// awaitJobs waits for all jobs; one that is late is left to the report.
func (d *demo) awaitJobs(ctx context.Context) error {
	for _, job := range d.jobs {
		st, err := d.operator.await(ctx, job.ID)
		if err != nil {
			d.report.Notes = append(d.report.Notes, err.Error())
		}
		d.report.TasksDone += st.Tasks[guavascale.TaskDone]
	}
	return nil
}

// finish ends the load and completes the report.
func (d *demo) finish(ctx context.Context) error {
	d.load.stop()
	d.report.InForceMs = map[uint64]int64{}
	for _, a := range d.operator.changes {
		d.report.InForceMs[a.Version] = a.inForce(ctx).Milliseconds()
	}
	if err := d.report.collect(d.cluster, d.load); err != nil {
		return err
	}
	d.report.Seconds = since(d.began)
	d.report.judge()
	return nil
}
