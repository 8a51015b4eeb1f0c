package guavaoperator

import (
	"context"
	"strconv"
	"strings"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

const (
	// DefaultPage and MaxPage are the default and the maximum number of entries
	// per page.
	DefaultPage = 1000
	MaxPage     = 10_000

	// maxRunSeconds is 90 days.
	maxRunSeconds = 90 * 86400
)

type (
	// Backend implements the operations of the API. Implementations must be safe
	// for concurrent use. Methods fail with the error types of package
	// guavascale; an UnavailableError reports whether the call may have taken
	// effect.
	Backend interface {
		// Config returns the newest known document, or false if there is none
		// yet.
		Config() (guavascale.Config, bool)
		// Submit applies a change, as guavaconfig.Watcher does.
		Submit(ctx context.Context, c guavaconfig.Change) (guavascale.Config, error)
		// DeclareJob stores a job. If an equal job is already stored, it returns
		// that job; a different job with the same ID fails with
		// ConditionError.
		DeclareJob(ctx context.Context, job guavascale.Job) (JobStatus, error)
		// CancelJob cancels a job. It is idempotent. The call is identified by
		// id.
		CancelJob(ctx context.Context, id, job string) (JobStatus, error)
		// Job returns the status of a job. It fails with NotFoundError.
		Job(ctx context.Context, job string) (JobStatus, error)
		// Jobs, Tasks and Hosts return entries of all daemons, sorted by ID.
		Jobs(ctx context.Context, f JobFilter) (JobPage, error)
		Tasks(ctx context.Context, f TaskFilter) (TaskPage, error)
		Hosts(ctx context.Context) (HostPage, error)
		// State returns a dump of this daemon's state, which is encoded as JSON.
		State(ctx context.Context) (any, error)
		// Ready returns nil if this daemon can serve callers.
		Ready() error
	}

	// Page selects a page of a list.
	Page struct {
		// After is the last ID of the previous page; "" selects the first page.
		After string
		// Limit is 1 to MaxPage; 0 means DefaultPage.
		Limit int
	}

	// JobFilter selects jobs; an empty field matches all.
	JobFilter struct {
		Page
		Team  string
		State JobState
	}

	// TaskFilter selects tasks; an empty field matches all.
	TaskFilter struct {
		Page
		Job     string
		Service string
		Worker  guavascale.WorkerID
		State   guavascale.TaskState
	}

	// JobState summarises the states of a job's tasks.
	JobState string

	// JobStatus is a job and its progress.
	JobStatus struct {
		Job   guavascale.Job
		State JobState
		// Tasks counts the job's tasks by state.
		Tasks map[guavascale.TaskState]int
		// Reason explains why the job makes no progress or has failed.
		Reason string
	}

	// JobPage is a page of the list of jobs.
	JobPage struct {
		Jobs []JobStatus
		// More reports whether further entries follow.
		More bool
		// Missing lists the daemons that did not respond. Their entries are not
		// included.
		Missing []string
	}

	// TaskPage is a page of the list of tasks.
	TaskPage struct {
		Tasks   []guavascale.Task
		More    bool
		Missing []string
	}

	// HostState is whether a worker is in service and, if not, why.
	HostState string

	// HostStatus is a worker's status according to the owner of its shard.
	HostStatus struct {
		Worker guavascale.Worker
		Shard  guavascale.Partition
		State  HostState
		// Reason explains a state other than InService.
		Reason      string
		Incarnation string
		Free        guavascale.Resources
		// Tasks is the number of task attempts that occupy capacity.
		Tasks int
		// ReportAgeMs is the age of the last report in milliseconds; -1 if there
		// has been none.
		ReportAgeMs int64
	}

	// HostPage is the list of workers.
	HostPage struct {
		Hosts   []HostStatus
		Missing []string
	}

	// ZoneStatus is the status of an availability zone.
	ZoneStatus struct {
		Zone guavascale.Zone
		Out  bool
		// Workers and Tasks count the known workers in the zone and their task
		// attempts.
		Workers int
		Tasks   int
	}

	// ZoneList lists the zones that have workers or are out of service.
	ZoneList struct {
		Zones   []ZoneStatus
		Missing []string
	}

	// ChangeResult is the response to a change to the configuration document.
	ChangeResult struct {
		ID string
		// Version is the document version that the change produced. A repeat of
		// the change has the same result.
		Version uint64
		// InForce is the current version of the document.
		InForce uint64
	}

	// JobRequest declares a job.
	JobRequest struct {
		// ID identifies the call. It becomes the job's ID if the job has none.
		ID  string
		Job guavascale.Job
	}

	// CancelRequest cancels a job.
	CancelRequest struct {
		ID string
	}
)

const (
	// JobActive is a job with tasks that have not ended.
	JobActive JobState = "Active"
	// JobUnplaceable is a job with tasks that fit on no worker, and without
	// running tasks.
	JobUnplaceable JobState = "Unplaceable"
	JobDone        JobState = "Done"
	JobFailed      JobState = "Failed"
	JobCancelled   JobState = "Cancelled"
)

const (
	HostInService HostState = "InService"
	HostZoneOut   HostState = "ZoneOut"
	HostLeaving   HostState = "Leaving"
	// HostBackoff is a worker on which several tasks failed in a row. No task is
	// started there.
	HostBackoff HostState = "Backoff"
	// HostSilent is a worker whose agent does not respond.
	HostSilent HostState = "Silent"
)

// ValidateJob checks a job that an operator declares. It fails with
// ValidationError.
func ValidateJob(j guavascale.Job) error {
	names := []struct{ field, value string }{{"Job.ID", j.ID}, {"Job.Team", j.Team}, {"Job.Kind", j.Kind}}
	for _, n := range names {
		if err := guavaconfig.ValidateName(n.field, n.value); err != nil {
			return err
		}
	}
	if j.Tasks < 1 || j.Tasks > guavascale.MaxJobTasks {
		return invalid("Job.Tasks", strconv.Itoa(j.Tasks), "1 to "+strconv.Itoa(guavascale.MaxJobTasks))
	}
	// The comparison is written so that it also rejects NaN.
	if !(j.RunSeconds >= 0 && j.RunSeconds <= maxRunSeconds) {
		return invalid("Job.RunSeconds", strconv.FormatFloat(j.RunSeconds, 'g', -1, 64), "0 to "+strconv.Itoa(maxRunSeconds))
	}
	if j.Cancelled || j.Shard != "" || !j.Declared.IsZero() {
		return invalid("Job", "(Cancelled, Shard or Declared set)", "these fields are left to the system")
	}
	return guavaconfig.ValidateSize("Job.Size", j.Size)
}

// normalize fills in the default limit and validates the page.
func (p *Page) normalize() error {
	if p.Limit == 0 {
		p.Limit = DefaultPage
	}
	if p.Limit < 1 || p.Limit > MaxPage {
		return invalid("Limit", strconv.Itoa(p.Limit), "1 to "+strconv.Itoa(MaxPage))
	}
	return nil
}

func invalid(field, value, allowed string) error {
	return &guavascale.ValidationError{Field: field, Value: value, Allowed: allowed}
}

func compareZones(a, b ZoneStatus) int { return strings.Compare(string(a.Zone), string(b.Zone)) }
