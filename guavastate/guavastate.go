// Package guavastate holds snapshots of a scheduler's state for logs, metrics and operators.
package guavastate

import (
	"cmp"
	"slices"

	"guavascale.example"
	"guavascale.example/guavabackfill"
)

type (
	// Stats holds counts of an engine's state for logs and metrics.
	Stats struct {
		// Submissions counts all submissions, Open those that have not ended.
		Submissions int
		Open        int
		// Waiting counts the tasks that are ready to start, WaitingFillers the
		// fillers among them, and Runs the runs that are or may be active.
		Waiting        int
		WaitingFillers int
		Runs           int
		Workers        int
		// Listed counts the workers that are in the platform's list, Known those that
		// have answered this owner, Usable those that may get starts now.
		Listed int
		Known  int
		Usable int
		// Capacity is the total capacity of the usable workers, Used the part in
		// use by runs, and Fillers the declared processors of the fillers on
		// them, in thousandths of a core.
		Capacity guavascale.Resources
		Used     guavascale.Resources
		Fillers  int64
		// KeepsRoom is set while ordinary tasks are placed so that room for large ones
		// remains, and Reservations counts the reservations for large steps.
		KeepsRoom    bool
		Reservations guavabackfill.Counts
	}

	// Dump is a human-readable snapshot of an engine's state.
	Dump struct {
		Token          uint64
		CatalogVersion uint64
		Stats          Stats
		// MissingWorkers holds the workers of an earlier owner that have not
		// answered. Tasks that may run there wait for at most MissingForMs.
		MissingWorkers []guavascale.WorkerID `json:",omitempty"`
		MissingForMs   int64                 `json:",omitempty"`
		Apart          []string              `json:",omitempty"`
		Backlogs       []Backlog             `json:",omitempty"`
		Accounts       []Account             `json:",omitempty"`
		Workers        []Worker
		Waiting        []Step
	}

	// Account is the state of a client account.
	Account struct {
		Name string
		// Limit is the last known limit, Running what runs and may be running. Inherited is the
		// part of it that earlier owners may have started and that no worker has reported.
		Limit     guavascale.Resources `json:",omitzero"`
		Running   guavascale.Resources
		Inherited guavascale.Resources `json:",omitzero"`
		// Runs counts the known runs.
		Runs int64
		// Weight is the number of submissions a second to which the account has a claim, Share
		// the largest share of the capacity in use, in any field.
		Weight, Share float64
		// Waiting counts the tasks that are ready to start, AtLimit those of them that the
		// limit holds back, OverRate those that come after the work of others.
		Waiting, AtLimit, OverRate int64
		// WaitingCoreSeconds is the work of the waiting tasks by their declared sizes and run
		// times, EndsPerSecond the number of runs that have ended lately.
		WaitingCoreSeconds, EndsPerSecond float64
		// Rejected counts the submissions that this owner has rejected, by reason.
		Rejected map[string]int64 `json:",omitempty"`
	}

	// Worker is the state of a worker in a Dump.
	Worker struct {
		ID      guavascale.WorkerID
		Zone    guavascale.Zone
		Listed  bool
		Known   bool
		Leaving bool
		// HeardMs is the time since the worker's last response; -1 without one.
		HeardMs int64
		// LeaseMs is the longest time until the worker's lease ends.
		LeaseMs int64
		Runs    int
		Used    guavascale.Resources
		// Seen is the number of the last run end that was applied, Durable that
		// of the last one that is durable.
		Seen    uint64
		Durable uint64
		Misses  int
	}

	// Step is the state of a step with tasks to place in a Dump.
	Step struct {
		Submission string
		Occurrence int
		Step       int
		Tasks      int
		// Reason is why the tasks wait.
		Reason string
		// LateMs is the time since the objective was missed; it is negative before
		// that.
		LateMs int64
	}

	// Backlog describes the waiting tasks of a queue that can run on the same workers, and
	// what keeps them off the workers with room. Every usable worker is counted once, under
	// the first reason that applies.
	Backlog struct {
		Queue string
		Kind  string `json:",omitempty"`
		Class guavascale.TaskClass
		Tasks int
		// Running counts the active runs of the same kind and class.
		Running int
		// WaitMs is the longest time for which a step has had waiting tasks and no start.
		WaitMs int64
		// Room is the number of further tasks that the usable workers hold by their
		// declared capacity.
		Room int64
		// Full workers have no room, Excluded ones have a service that a filler must not
		// run beside, Disturbed ones a service near its target, Crowded ones no processors
		// left that their other tasks don't use. Open ones could take a task.
		Full, Excluded, Disturbed, Crowded, Open int
	}
)

// WaitingReason returns why a task has no worker, by the numbers of the usable workers, of
// those among them with room, and of those among these whose services it would disturb.
func WaitingReason(usable, fitting, excluded int) string {
	switch {
	case usable == 0:
		return "no worker of the service can be used"
	case fitting == 0:
		return "no worker has room"
	case excluded == fitting:
		return "it would disturb the services of every worker with room"
	default:
		return "its bound per worker, its label or the processors that services leave"
	}
}

// Sort puts the workers in order of their IDs.
func (d *Dump) Sort() {
	slices.Sort(d.MissingWorkers)
	slices.SortFunc(d.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
}
