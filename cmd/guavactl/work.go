package main

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strings"

	"guavascale.example"
	"guavascale.example/guavaoperator"
)

type (
	pageFlags struct {
		After string `help:"Show entries after this ID." placeholder:"ID"`
		Limit int    `help:"Number of entries to show, 1 to 10000." default:"1000"`
	}

	jobsCmd struct {
		Declare jobsDeclare `cmd:"" help:"Declare a job. Example: guavactl jobs declare audit.jsonc"`
		List    jobsList    `cmd:"" help:"List jobs. Example: guavactl jobs list --state Unplaceable"`
		Show    jobsShow    `cmd:"" help:"Show a job."`
		Cancel  jobsCancel  `cmd:"" help:"Cancel a job. Tasks that completed first stay done."`
	}
	jobsDeclare struct {
		idFlag
		File string `arg:"" help:"Job in JSON with comments; - for standard input. Without field ID, the job has the ID of the change."`
	}
	jobsList struct {
		pageFlags
		Team  string `help:"Jobs of this team only."`
		State string `help:"Active, Unplaceable, Done, Failed or Cancelled." enum:"Active,Unplaceable,Done,Failed,Cancelled," default:""`
	}
	jobsShow struct {
		Job string `arg:""`
	}
	jobsCancel struct {
		idFlag
		Job string `arg:""`
	}

	tasksCmd struct {
		pageFlags
		Job     string `help:"Tasks of this job only."`
		Service string `help:"Instances of this service only."`
		Worker  string `help:"Tasks on this worker only."`
		State   string `help:"Tasks in this state only, such as Pending, Running, Suspended or Unplaceable."`
	}

	hostsCmd struct {
		Zone  string `help:"Workers of this zone only."`
		State string `help:"InService, ZoneOut, Leaving, Backoff or Silent." enum:"InService,ZoneOut,Leaving,Backoff,Silent," default:""`
	}

	dumpCmd struct {
		Daemon string `arg:"" help:"Operator address of the daemon, host and port."`
	}

	versionCmd struct{}
)

func (p pageFlags) page() guavaoperator.Page {
	return guavaoperator.Page{After: p.After, Limit: p.Limit}
}

// Run declares a job.
func (c jobsDeclare) Run(s *session) error {
	var j guavascale.Job
	if err := readFile(c.File, &j); err != nil {
		return err
	}
	c.fill()
	s.repeat = "--id " + c.ID
	got, err := s.client.DeclareJob(s.ctx, guavaoperator.JobRequest{ID: c.ID, Job: j})
	if err != nil {
		return err
	}
	return s.showChanged(c.ID, got)
}

// Run lists jobs.
func (c jobsList) Run(s *session) error {
	page, err := s.client.Jobs(s.ctx, guavaoperator.JobFilter{Page: c.page(), Team: c.Team, State: guavaoperator.JobState(c.State)})
	if err != nil {
		return err
	}
	s.warnMissing(page.Missing)
	if page.More && len(page.Jobs) > 0 {
		s.warn("more entries follow; use --after %s", page.Jobs[len(page.Jobs)-1].Job.ID)
	}
	return s.show(page, jobTable(page.Jobs...))
}

// Run shows a job.
func (c jobsShow) Run(s *session) error {
	got, err := s.client.Job(s.ctx, c.Job)
	if err != nil {
		return err
	}
	return s.show(got, jobTable(got))
}

// Run cancels a job.
func (c jobsCancel) Run(s *session) error {
	c.fill()
	s.repeat = "--id " + c.ID
	got, err := s.client.CancelJob(s.ctx, c.ID, c.Job)
	if err != nil {
		return err
	}
	return s.showChanged(c.ID, got)
}

func (s *session) showChanged(id string, j guavaoperator.JobStatus) error {
	if !s.json {
		fmt.Fprintf(s.out, "change %s\n", id)
	}
	return s.show(struct {
		ID string
		guavaoperator.JobStatus
	}{id, j}, jobTable(j))
}

func jobTable(jobs ...guavaoperator.JobStatus) table {
	t := table{{"JOB", "TEAM", "KIND", "URGENT", "STATE", "TASKS", "REASON"}}
	for _, j := range jobs {
		t = append(t, []string{
			j.Job.ID, j.Job.Team, j.Job.Kind, mark(j.Job.Urgent), string(j.State), counts(j), j.Reason,
		})
	}
	return t
}

// counts returns the number of tasks, and that by state.
func counts(j guavaoperator.JobStatus) string {
	parts := []string{number(j.Job.Tasks)}
	for _, state := range slices.Sorted(maps.Keys(j.Tasks)) {
		parts = append(parts, fmt.Sprintf("%s=%d", state, j.Tasks[state]))
	}
	return strings.Join(parts, " ")
}

// Run lists tasks.
func (c tasksCmd) Run(s *session) error {
	page, err := s.client.Tasks(s.ctx, guavaoperator.TaskFilter{
		Page: c.page(), Job: c.Job, Service: c.Service,
		Worker: guavascale.WorkerID(c.Worker), State: guavascale.TaskState(c.State),
	})
	if err != nil {
		return err
	}
	s.warnMissing(page.Missing)
	if page.More && len(page.Tasks) > 0 {
		s.warn("more entries follow; use --after %s", page.Tasks[len(page.Tasks)-1].ID)
	}
	t := table{{"TASK", "CLASS", "STATE", "ATTEMPT", "WORKER", "FAILURES", "EVICTIONS", "CORES USED", "REASON"}}
	for _, v := range page.Tasks {
		t = append(t, []string{
			string(v.ID), string(v.Class), string(v.State), number(v.Attempt), string(v.Worker),
			number(v.Failures), number(v.Evictions), usedCores(v), v.Reason,
		})
	}
	return s.show(page, t)
}

// usedCores shows the measured processors of a running task against the declared
// ones.
func usedCores(t guavascale.Task) string {
	if t.Used.IsZero() {
		return ""
	}
	const milli = 1000
	return fmt.Sprintf("%.3g/%.3g", float64(t.Used.MilliCores)/milli, float64(t.Size.MilliCores)/milli)
}

// Run lists workers.
func (c hostsCmd) Run(s *session) error {
	page, err := s.client.Hosts(s.ctx)
	if err != nil {
		return err
	}
	page.Hosts = slices.DeleteFunc(page.Hosts, func(h guavaoperator.HostStatus) bool {
		return c.Zone != "" && string(h.Worker.Zone) != c.Zone || c.State != "" && string(h.State) != c.State
	})
	s.warnMissing(page.Missing)
	t := table{{"WORKER", "ZONE", "SHARD", "STATE", "TASKS", "FREE CORES", "FREE MB", "FREE ACCELERATORS", "REPORT AGE MS", "REASON"}}
	for _, h := range page.Hosts {
		row := []string{string(h.Worker.ID), string(h.Worker.Zone), string(h.Shard), string(h.State), number(h.Tasks)}
		row = append(row, size(h.Free)...)
		t = append(t, append(row, number(h.ReportAgeMs), h.Reason))
	}
	return s.show(page, t)
}

// Run shows the state of one daemon, always as JSON.
func (c dumpCmd) Run(s *session) error {
	s.client.Addresses = []string{c.Daemon}
	state, err := s.client.State(s.ctx)
	if err != nil {
		return err
	}
	return s.showJSON(state)
}

// Run shows the version of the program.
func (versionCmd) Run(s *session) error {
	version, goVersion := "(unknown)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	return s.show(struct{ Version, Go string }{version, goVersion}, table{{"guavactl", version, goVersion}})
}
