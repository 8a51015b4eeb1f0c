// Package guavacrash decides which tasks are to blame for the crash of a worker, and when
// a task is given up for it.
//
// The failure it answers: a task crashes each worker that starts it. The worker comes back
// after some seconds without any of its runs, and the task would take down one worker
// after the other, with all that runs there. A worker that crashes reports nothing, its
// host may go silent before it has answered the start, and the owner that gave the order
// may be lost before it knows of the crash. On the other hand, workers crash for other
// reasons, and start orders get lost or are carried out late.
//
// What the owner knew of each run when the worker was last certainly running is the
// evidence against its task. A suspect had just started, or the worker fell silent with
// its start order. It is charged with the crash. A run whose start has had no answer, so
// that nobody knows whether it had reached the worker, is in doubt, which costs its task
// nothing but the conditions of the next start. A task with a Record is started on trial:
// on a worker with few other runs and no other task on trial, right after that worker has
// been heard from, so that a further crash is proof and an order that is only lost is not.
// The start of a trial is stored as Open, so that the next owner can judge it by what has
// become of the worker. Trials are spaced out, which bounds their number where no crash
// can be proved.
//
// A crash with several suspects is charged to all that were on trial: to free one would let
// a task that crashes its workers go on for as long as it starts beside others. An innocent
// task loses such a charge with its next start that its worker outlives, unless the owner has
// changed since the crash: what is shared isn't stored.
package guavacrash

import (
	"time"

	"guavascale.example"
)

type (
	// Record is what counts against a task. The zero value is that of most tasks. It is
	// stored with the progress of the submission.
	Record struct {
		// Crashes is the number of workers that have probably crashed under the task.
		Crashes int `json:"-"`
		// Shared is how many of the Crashes another suspect may have caused. It isn't stored.
		Shared int `json:"-"`
		// Doubts is the number of workers that ended when it was not known whether they
		// had started the task.
		Doubts int `json:",omitempty"`
		// Open is a start that has not been judged, or nil.
		Open *Start `json:",omitempty"`
	}

	// Start is a start that may crash or have crashed its worker.
	Start struct {
		Worker guavascale.WorkerID
		// Address is that of the worker's agent: if another worker has it, this one has
		// ended. Born is the boot of the worker, 0 if not known.
		Address string `json:",omitempty"`
		Born    int64  `json:",omitempty"`
		// Evidence is what counts against the task if the worker has crashed.
		Evidence Evidence
		// Mark, unless empty, stands for Address and Born, which are not known.
		Mark Mark `json:"-"`
	}

	// Run is what the owner knows of a run.
	Run struct {
		// Start is when the worker is known to have started the run, or while Unanswered
		// is set, when the first start order was sent.
		Start      time.Time
		Unanswered bool
		// Broke is set if the connection of the start order broke, as it does if the
		// worker's process ends.
		Broke bool
		// Heard is set if the worker was heard from right before the first start order.
		Heard bool
		// Judged is set if the run is no evidence: another owner has started it, or the
		// crash after its start has been judged already.
		Judged bool
	}

	// Evidence is what counts against the task of a run if the worker has crashed.
	Evidence int

	// Case is a start for which a task, named by T, may be charged.
	Case[T any] struct {
		Task   T
		Record *Record
		Start  Start
		// Attempt is the number of the start, 0 if an earlier owner has ordered it.
		Attempt int64
	}

	// Verdict is the outcome of a crash for a task that is charged or in doubt.
	Verdict[T any] struct {
		Task    T
		Worker  guavascale.WorkerID
		Attempt int64
		// Charged is set if the task is charged, Cleared if it is not even in doubt for the
		// start any more, and GivenUp if too many workers have crashed under it.
		Charged, Cleared, GivenUp bool
	}

	// Trial is a place for the start of a task on trial.
	Trial struct {
		// Waited is how long the task could have started, Silence how long the worker has
		// not been heard from. Asked is set while an answer of the worker is due.
		Waited, Silence time.Duration
		Asked           bool
		// Best is set if no other worker fits better, Taken if another task was put on
		// trial there just now.
		Best, Taken bool
	}
)

const (
	None Evidence = iota
	Doubt
	Suspect
)

const (
	// SuspectTime is how long a run must have been active, at a time at which the worker
	// was certainly running, so that it counts as harmless. A worker crashes as soon as it
	// starts the task.
	SuspectTime = 300 * time.Millisecond
	// HeardTime is how old the last sign of life of a worker may be at a start on trial.
	HeardTime = 150 * time.Millisecond
	// arrivalTime bounds how long an order takes that is carried out at once, and an
	// answer on its way back.
	arrivalTime = 100 * time.Millisecond
	// maxCrashes is the number of workers that may crash under a task before it is given
	// up if no other suspect of the last crash had been charged before, and MaxSharedCrashes
	// the number that may crash whatever else ran there.
	maxCrashes       = 3
	MaxSharedCrashes = 4
	// strictAfter is the number of crashes and doubts after which trials are spaced out and
	// kept apart whatever that costs.
	strictAfter = 3
	// trialDelay is the time between the first of these trials, and doubles with each
	// further one up to maxTrialDelay.
	trialDelay    = 500 * time.Millisecond
	maxTrialDelay = 10 * time.Second
	// trialWait is how long a task on trial waits for the worker that fits best, and
	// maxTrialWait how long for a sign of life of any or, once trials are kept apart, for a
	// worker of its own. Those wait as long again for a sign of life.
	trialWait    = 2500 * time.Millisecond
	maxTrialWait = 4 * trialWait
)

// Against returns the evidence against the task of a run if its worker has crashed after
// alive, the latest time at which the worker was certainly running.
func (r Run) Against(alive time.Time) Evidence {
	switch {
	case r.Judged:
		return None
	case !r.Unanswered && alive.Sub(r.Start) >= SuspectTime:
		return None
	case !r.Unanswered || r.Broke:
		return Suspect
	case r.Heard && alive.Sub(r.Start) <= arrivalTime:
		// The worker fell silent with the order.
		return Suspect
	default:
		return Doubt
	}
}

// OnTrial reports whether the task may only be started on trial.
func (r Record) OnTrial() bool { return r.Crashes > 0 || r.Doubts > 0 }

// Harmless takes back the crashes that another suspect may have caused, after a start of the
// task that its worker has outlived.
func (r *Record) Harmless() {
	r.Crashes -= r.Shared
	r.Shared = 0
}

// Describe returns what is known of the task, and the number of workers, after a start was
// charged to it or doubted.
func (r Record) Describe(charged bool) (reason string, workers int) {
	if charged {
		return "workers crashed under the task", r.Crashes
	}
	return "workers ended, with the task perhaps started", r.Doubts
}

// Delay returns how long the next start of the task must wait.
func (r Record) Delay() time.Duration {
	if !r.Strict() {
		return 0
	}
	return min(trialDelay<<min(r.Crashes+r.Doubts-strictAfter, 16), maxTrialDelay)
}

// Strict reports whether trials of the task are kept apart from others whatever that
// costs.
func (r Record) Strict() bool { return r.Crashes+r.Doubts >= strictAfter }

// MayStart reports whether a task with the record may be started at a place. It waits for
// a sign of life of the worker that fits best, for some time, then for that of any.
func (r Record) MayStart(p Trial) bool {
	heard := !p.Asked && p.Silence <= HeardTime
	switch {
	case !r.OnTrial() || p.Waited > maxTrialWait && !r.Strict() || p.Waited > 2*maxTrialWait:
		return true
	case p.Waited > maxTrialWait:
		return heard
	case !heard || r.Strict() && p.Taken:
		return false
	default:
		return p.Best || p.Waited > trialWait
	}
}

// Judge changes the records of the tasks whose runs a worker had when it crashed, and
// returns the verdicts. Suspects that were on trial are charged, since any of them may have
// caused the crash; the others are charged if none was on trial, and else in doubt, so that
// the next start of each is a trial. If it is not certain that the worker has crashed, the
// suspects are only in doubt.
func Judge[T any](cases []Case[T], certain bool) []Verdict[T] {
	// again counts the suspects under which workers have crashed before.
	suspects, again, onTrial := 0, 0, 0
	for _, c := range cases {
		if c.Start.Evidence != Suspect || !certain {
			continue
		}
		suspects++
		if c.Record.Crashes > 0 {
			again++
		}
		if c.Record.OnTrial() {
			onTrial++
		}
	}
	var verdicts []Verdict[T]
	for _, c := range cases {
		r, against := c.Record, c.Start.Evidence
		open := r.Open != nil && r.Open.Worker == c.Start.Worker
		if open {
			r.Open = nil
		}
		v := Verdict[T]{Task: c.Task, Worker: c.Start.Worker, Attempt: c.Attempt}
		switch {
		case against == None || again > 0 && against == Doubt:
			if v.Cleared = true; !open {
				continue
			}
		case against == Suspect && certain && (onTrial == 0 || r.OnTrial()):
			r.Crashes++
			if suspects > 1 {
				r.Shared++
			}
			v.Charged = true
			v.GivenUp = r.Crashes >= MaxSharedCrashes || r.Crashes >= maxCrashes && again == 1
		default:
			r.Doubts++
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}
