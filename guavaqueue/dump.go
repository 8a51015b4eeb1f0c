package guavaqueue

import (
	"time"

	"guavascale.example/guavastate"
)

// maxDumpSteps bounds the number of waiting steps in a dump.
const maxDumpSteps = 500

// Dump returns a snapshot of the engine's state.
func (e *Engine) Dump(now time.Time) guavastate.Dump {
	d := guavastate.Dump{Token: e.Token, Stats: e.Stats(now), Apart: e.Apart(), Backlogs: e.Backlogs(now), Accounts: e.Accounts(now)}
	if e.catalog != nil {
		d.CatalogVersion = e.catalog.Version
	}
	for id, until := range e.missing.Until {
		d.MissingWorkers = append(d.MissingWorkers, id)
		d.MissingForMs = max(d.MissingForMs, until.Sub(now).Milliseconds())
	}
	for _, w := range e.workers {
		wd := guavastate.Worker{
			ID: w.ID, Zone: w.Zone, Listed: w.listed, Known: w.known, Leaving: w.Leaving, HeardMs: -1,
			Runs: len(w.runs), Used: w.used, Seen: w.ends.Seen, Durable: w.ends.Durable, Misses: w.failedHolds,
		}
		if w.clock.Known() {
			wd.HeardMs = now.Sub(w.clock.LowAt).Milliseconds()
			wd.LeaseMs = (w.lease.End - w.clock.Low - now.Sub(w.clock.LowAt)).Milliseconds()
		}
		d.Workers = append(d.Workers, wd)
	}
	d.Sort()
	for _, st := range e.readySteps {
		if len(d.Waiting) >= maxDumpSteps {
			break
		}
		d.Waiting = append(d.Waiting, guavastate.Step{
			Submission: st.sub.ID, Occurrence: st.occurrence, Step: st.index, Tasks: st.waiting,
			Reason: e.waitingReason(now, st), LateMs: now.Sub(st.place.Latest).Milliseconds(),
		})
	}
	return d
}

// waitingReason returns the reason why tasks of a ready step have no worker.
func (e *Engine) waitingReason(now time.Time, st *step) string {
	q := e.queue(st.sub)
	if q == nil {
		return "the queue is not in the configuration"
	}
	if !st.sub.account.MayStart(st.spec.Size, 1) {
		return "the limit of its account"
	}
	for _, t := range st.tasks {
		if len(t.runs) == 0 && t.inherited && !e.inheritedRunsKnown() {
			return "it may still run on a worker that has not answered this owner"
		}
	}
	usable, fitting, excluded := 0, 0, 0
	for _, w := range e.workers {
		if w.Service != q.Service || !e.usable(now, w) {
			continue
		}
		usable++
		if !w.Capacity.Fits(w.used.Add(st.tasks[0].size())) {
			continue
		}
		fitting++
		if st.spec.Filler && e.excluded(now, st.spec.Kind, w) {
			excluded++
		}
	}
	return guavastate.WaitingReason(usable, fitting, excluded)
}
