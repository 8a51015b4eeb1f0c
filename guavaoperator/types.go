package guavaoperator

import (
	"context"
	"strconv"
	"strings"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

const (
	// DefaultPage and MaxPage bound the entries of one answer.
	DefaultPage = 1000
	MaxPage     = 10_000

	// maxRunSeconds is 90 days.
	maxRunSeconds = 90 * 86400
)

type (
	// Backend is what the interface operates on. Implementations are safe for
	// concurrent use. Methods fail with the error types of package guavascale;
	// an UnavailableError tells whether the call may have taken effect.
	Backend interface {
		// Config returns the newest document, and false while there is none.
		Config() (guavascale.Config, bool)
		// Submit applies a change, as guavaconfig.Watcher does.
		Submit(ctx context.Context, c guavaconfig.Change) (guavascale.Config, error)
		// DeclareJob stores a job. Declaring an equal job again returns the
		// stored one; another job with the same ID fails with
		// ConditionError.
		DeclareJob(ctx context.Context, job guavascale.Job) (JobStatus, error)
		// CancelJob cancels a job. Cancelling again is harmless. The ID is
		// that of the call.
		CancelJob(ctx context.Context, id, job string) (JobStatus, error)
		// Job fails with NotFoundError.
		Job(ctx context.Context, job string) (JobStatus, error)
		// Jobs, Tasks and Hosts return entries in order of ID, of all daemons.
		Jobs(ctx context.Context, f JobFilter) (JobPage, error)
		Tasks(ctx context.Context, f TaskFilter) (TaskPage, error)
		Hosts(ctx context.Context) (HostPage, error)
		// State returns a dump of this daemon's state, to be encoded as JSON.
		State(ctx context.Context) (any, error)
		// Ready returns nil when this daemon can serve callers.
		Ready() error
	}

	// Page selects a part of a list.
	Page struct {
		// After is the last ID of the page before; "" for the first page.
		After string
		// Limit is 1 to MaxPage; 0 stands for DefaultPage.
		Limit int
	}

	// JobFilter selects jobs; empty fields select all.
	JobFilter struct {
		Page
		Team  string
		State JobState
	}

	// TaskFilter selects tasks; empty fields select all.
	TaskFilter struct {
		Page
		Job     string
		Service string
		Worker  guavascale.WorkerID
		State   guavascale.TaskState
	}

	// JobState summarises the states of a job's tasks.
	JobState string

	// JobStatus is a job and how far it is.
	JobStatus struct {
		Job   guavascale.Job
		State JobState
		// Tasks counts the job's tasks by state.
		Tasks map[guavascale.TaskState]int
		// Reason tells why the job does not proceed or has failed.
		Reason string
	}

	// JobPage is a part of the list of jobs.
	JobPage struct {
		Jobs []JobStatus
		// More is set when further entries follow.
		More bool
		// Missing names daemons that did not answer; their part is not shown.
		Missing []string
	}

	// TaskPage is a part of the list of tasks.
	TaskPage struct {
		Tasks   []guavascale.Task
		More    bool
		Missing []string
	}

	// HostState is what a worker may be used for.
	HostState string

	// HostStatus is a worker as the owner of its shard sees it.
	HostStatus struct {
		Worker guavascale.Worker
		Shard  guavascale.Partition
		State  HostState
		// Reason tells why the state is not InService.
		Reason      string
		Incarnation string
		Free        guavascale.Resources
		// Tasks is the number of attempts that count against the capacity.
		Tasks int
		// ReportAgeMs is the age of the last report, in milliseconds; -1 when
		// there was none.
		ReportAgeMs int64
	}

	// HostPage is the list of workers.
	HostPage struct {
		Hosts   []HostStatus
		Missing []string
	}

	// ZoneStatus is an availability zone.
	ZoneStatus struct {
		Zone guavascale.Zone
		Out  bool
		// Workers and Tasks count what is known in the zone.
		Workers int
		Tasks   int
	}

	// ZoneList is all zones that have workers or are out of service.
	ZoneList struct {
		Zones   []ZoneStatus
		Missing []string
	}

	// ChangeResult answers a change to the configuration document.
	ChangeResult struct {
		ID string
		// Version is the version that the change reached, now or when it was
		// sent first.
		Version uint64
		// InForce is the version in force.
		InForce uint64
	}

	// JobRequest declares a job.
	JobRequest struct {
		// ID identifies the call; it becomes the job's ID when the job has
		// none.
		ID  string
		Job guavascale.Job
	}

	// CancelRequest cancels a job.
	CancelRequest struct {
		ID string
	}
)

const (
	// JobActive has tasks that have not ended.
	JobActive JobState = "Active"
	// JobUnplaceable has tasks that no worker can hold, and no running ones.
	JobUnplaceable JobState = "Unplaceable"
	JobDone        JobState = "Done"
	JobFailed      JobState = "Failed"
	JobCancelled   JobState = "Cancelled"
)

const (
	HostInService HostState = "InService"
	HostZoneOut   HostState = "ZoneOut"
	HostLeaving   HostState = "Leaving"
	// HostBackoff failed several tasks in a row and gets no starts.
	HostBackoff HostState = "Backoff"
	// HostSilent does not answer its agent's address.
	HostSilent HostState = "Silent"
)

// ValidateJob checks a job as operators declare it. It fails with
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
	// The comparison rejects NaN too.
	if !(j.RunSeconds >= 0 && j.RunSeconds <= maxRunSeconds) {
		return invalid("Job.RunSeconds", strconv.FormatFloat(j.RunSeconds, 'g', -1, 64), "0 to "+strconv.Itoa(maxRunSeconds))
	}
	if j.Cancelled || j.Shard != "" || !j.Declared.IsZero() {
		return invalid("Job", "(Cancelled, Shard or Declared set)", "these fields are left to the system")
	}
	return guavaconfig.ValidateSize("Job.Size", j.Size)
}

// check completes and validates a page.
func (p *Page) check() error {
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
