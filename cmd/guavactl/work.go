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
	// pageFlags are the flags of the commands that list entries in pages.
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

// page returns the requested page.
func (p pageFlags) page() guavaoperator.Page {
	return guavaoperator.Page{After: p.After, Limit: p.Limit}
}

// Run declares a job.
func (c jobsDeclare) Run(s *session) error {
	var j guavascale.Job
	if err := readFile(c.File, &j); err != nil {
		return err
	}
	c.setDefaultID()
	s.retryFlags = "--id " + c.ID
	status, err := s.client.DeclareJob(s.ctx, guavaoperator.JobRequest{ID: c.ID, Job: j})
	if err != nil {
		return err
	}
	return s.showChangedJob(c.ID, status)
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
	status, err := s.client.Job(s.ctx, c.Job)
	if err != nil {
		return err
	}
	return s.show(status, jobTable(status))
}

// Run cancels a job.
func (c jobsCancel) Run(s *session) error {
	c.setDefaultID()
	s.retryFlags = "--id " + c.ID
	status, err := s.client.CancelJob(s.ctx, c.ID, c.Job)
	if err != nil {
		return err
	}
	return s.showChangedJob(c.ID, status)
}

// showChangedJob prints the ID of a change to a job and the job's status.
func (s *session) showChangedJob(id string, j guavaoperator.JobStatus) error {
	if !s.json {
		fmt.Fprintf(s.out, "change %s\n", id)
	}
	return s.show(struct {
		ID string
		guavaoperator.JobStatus
	}{id, j}, jobTable(j))
}

// jobTable returns a table with one row per job.
func jobTable(jobs ...guavaoperator.JobStatus) table {
	t := table{{"JOB", "TEAM", "KIND", "URGENT", "STATE", "TASKS", "REASON"}}
	for _, j := range jobs {
		t = append(t, []string{
			j.Job.ID, j.Job.Team, j.Job.Kind, yesCell(j.Job.Urgent), string(j.State), formatTaskCounts(j), j.Reason,
		})
	}
	return t
}

// formatTaskCounts returns a job's number of tasks, in total and by state.
func formatTaskCounts(j guavaoperator.JobStatus) string {
	parts := []string{formatNumber(j.Job.Tasks)}
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
			string(v.ID), string(v.Class), string(v.State), formatNumber(v.Attempt), string(v.Worker),
			formatNumber(v.Failures), formatNumber(v.Evictions), usedCores(v), v.Reason,
		})
	}
	return s.show(page, t)
}

// usedCores returns the measured and the declared cores of a task, separated by
// a slash. It is empty if no usage was measured.
func usedCores(t guavascale.Task) string {
	if t.Used.IsZero() {
		return ""
	}
	const milliPerCore = 1000
	return fmt.Sprintf("%.3g/%.3g", float64(t.Used.MilliCores)/milliPerCore, float64(t.Size.MilliCores)/milliPerCore)
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
		row := []string{string(h.Worker.ID), string(h.Worker.Zone), string(h.Shard), string(h.State), formatNumber(h.Tasks)}
		row = append(row, resourceCells(h.Free)...)
		t = append(t, append(row, formatNumber(h.ReportAgeMs), h.Reason))
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

// Run shows the versions of the program and of Go.
func (versionCmd) Run(s *session) error {
	version, goVersion := "(unknown)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	return s.show(struct{ Version, Go string }{version, goVersion}, table{{"guavactl", version, goVersion}})
}
