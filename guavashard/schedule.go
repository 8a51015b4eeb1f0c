package guavashard

import (
	"encoding/json"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaplace"
)

const (
	// minHandOverDelay is how long a task waits for capacity in its shard
	// before it is handed over to another one. The delay doubles with each
	// hand-over, up to maxHandOverDelay, to limit repeated hand-overs in a full
	// fleet.
	minHandOverDelay = 2 * time.Second
	maxHandOverDelay = 2 * time.Minute
	// unresponsiveHandOverDelay is how long a task whose lease expired on an
	// unresponsive worker stays in that worker's shard. If the worker returns,
	// only that shard receives the last checkpoint.
	unresponsiveHandOverDelay = 30 * time.Second
	// maxInterferenceWait is how long a task avoids workers on which it is
	// expected to interfere with services. Without this limit, a kind of task
	// that interferes on every worker would never run.
	maxInterferenceWait = 2 * time.Minute
	// maxPlacementsPerStep limits the number of tasks placed in one Step.
	// Placement takes about 1 µs per worker and task.
	maxPlacementsPerStep = 256
	// maxRefusalsPerStep limits the number of refused tasks that are remembered
	// in one Step. Placement stops when it is reached.
	maxRefusalsPerStep = 32
)

// refusalCache remembers the tasks that could not be placed in one Step, so
// that placement is not repeated for each similar task of a large job.
type refusalCache struct{ tasks [2][]*taskEntry }

func classIndex(t *guavascale.Task) int {
	if t.Class == guavascale.ClassService {
		return 1
	}
	return 0
}

// add caches a refused task and reports whether the cache has space for more.
func (r *refusalCache) add(e *taskEntry) bool {
	i := classIndex(&e.task)
	r.tasks[i] = append(r.tasks[i], e)
	return len(r.tasks[0])+len(r.tasks[1]) < maxRefusalsPerStep
}

// find returns a refused task of the same class, team and kind that is no
// larger than t, or nil.
func (r *refusalCache) find(t *guavascale.Task) *taskEntry {
	for _, e := range r.tasks[classIndex(t)] {
		if e.task.Team == t.Team && e.task.Kind == t.Kind && t.Size.Fits(e.task.Size) {
			return e
		}
	}
	return nil
}

// enqueue adds a task to the queue if it needs a worker and is not queued yet.
func (s *Shard) enqueue(e *taskEntry) {
	if e.queued || !awaitsWorker(&e.task) {
		return
	}
	e.queued = true
	s.queue = append(s.queue, e)
}

func awaitsWorker(t *guavascale.Task) bool {
	return t.State == guavascale.TaskPending || t.State == guavascale.TaskSuspended
}

// placeWaiting proposes starts for waiting tasks: urgent ones first, then
// service instances, then the others in the order of arrival.
func (s *Shard) placeWaiting() {
	s.compactQueue()
	if len(s.queue) == 0 {
		return
	}
	s.prepareCandidates()
	slices.SortStableFunc(s.queue, func(a, b *taskEntry) int { return priority(&a.task) - priority(&b.task) })
	startsAllowed := s.now.Before(s.view.StartUntil) && !s.view.Config.ZonesOut[s.Zone]
	awaitsReports := s.awaitsFirstReports()
	var refused refusalCache
	placed := 0
	for _, e := range s.queue {
		if placed >= maxPlacementsPerStep {
			return
		}
		if e.proposed != nil || s.now.Before(e.retryAt) || s.cancelled(&e.task) {
			continue
		}
		if awaitsReports && e.task.Attempt > 0 {
			e.refusal = "a worker that may hold its last checkpoint has not reported yet"
			continue
		}
		if !s.fitsAnyWorker(&e.task) {
			e.refusal = "larger than any worker of the fleet"
			continue
		}
		if similar := refused.find(&e.task); similar != nil && !s.overridesRefusal(e, similar) {
			e.refusal = similar.refusal
			s.maybeHandOver(e, startsAllowed)
			continue
		}
		if startsAllowed && s.placeTask(e) {
			placed++
			continue
		}
		s.maybeHandOver(e, startsAllowed)
		if !refused.add(e) {
			return
		}
	}
}

// awaitsFirstReports reports whether a worker may still hold a checkpoint that this
// owner doesn't know: it has not reported since the log was read, and its time to
// respond has not passed.
func (s *Shard) awaitsFirstReports() bool {
	return s.inGracePeriod() && slices.ContainsFunc(s.sortedWorkers, func(w *workerState) bool {
		return w.listed && w.lastReportAt.IsZero()
	})
}

func (s *Shard) compactQueue() {
	kept := s.queue[:0]
	for _, e := range s.queue {
		if s.tasks[e.task.ID] == e && awaitsWorker(&e.task) {
			kept = append(kept, e)
			continue
		}
		e.queued = false
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// priority returns the rank of a task in the queue. Lower values are placed
// first.
func priority(t *guavascale.Task) int {
	switch {
	case t.Urgent:
		return 0
	case t.Class == guavascale.ClassService:
		return 1
	default:
		return 2
	}
}

// placeTask proposes to start the task on the best worker and reports whether
// it did.
func (s *Shard) placeTask(e *taskEntry) bool {
	if reason := s.quotaRefusal(&e.task); reason != "" {
		e.refusal = reason
		return false
	}
	i, refusal := s.chooseWorker(e)
	if i < 0 {
		e.refusal = string(refusal)
		return false
	}
	if !e.task.Urgent && !s.startLimiter.allow(s.now, s.view.Preset.StartsPerSecond) {
		e.refusal = "start rate of the preset reached"
		return false
	}
	w := s.candidates.workers[i]
	t := e.task
	t.State = guavascale.TaskStarting
	t.Attempt++
	t.Worker, t.Incarnation = w.worker.ID, w.incarnation
	t.LeaseSeconds = s.leaseSeconds(&t)
	t.Reason = ""
	e.refusal = ""
	s.Starts++
	s.proposeTask(t, t.Urgent)
	s.updateCandidate(i, &t)
	return true
}

func (s *Shard) leaseSeconds(t *guavascale.Task) float64 {
	if t.Class == guavascale.ClassService {
		return s.view.Preset.ServiceLeaseSeconds
	}
	return s.view.Preset.BatchLeaseSeconds
}

func (s *Shard) policy(e *taskEntry) guavaplace.Policy {
	p := &s.view.Preset
	return guavaplace.Policy{
		LatencyWeight: p.LatencyWeight, BatchWeight: p.BatchWeight, MaxBatchShare: p.MaxBatchShare,
		AvoidInterference: s.avoidsInterference(e),
	}
}

// avoidsInterference reports whether a task still avoids workers on which it is
// expected to interfere with services.
func (s *Shard) avoidsInterference(e *taskEntry) bool {
	return !e.task.Urgent && s.now.Sub(e.waitingSince) < maxInterferenceWait
}

// overridesRefusal reports whether a task may be placed although a similar one
// was refused because of interference: it has waited for maxInterferenceWait or
// is urgent.
func (s *Shard) overridesRefusal(e, similar *taskEntry) bool {
	return similar.refusal == string(guavaplace.RefusalInterference) && !s.avoidsInterference(e)
}

// quotaRefusal returns the reason for refusing a task that would exceed the
// quota of its team, or "". The usage of other shards is taken from their
// summaries and may be a few seconds old, so a team can temporarily exceed its
// quota by the tasks that other shards started since.
func (s *Shard) quotaRefusal(t *guavascale.Task) string {
	quota, ok := s.view.Config.Quotas[t.Team]
	if !ok || t.Class != guavascale.ClassBatch {
		return ""
	}
	if !quota.Fits(s.teamUsage[t.Team].Add(s.remoteTeamUsage[t.Team]).Add(t.Size)) {
		return "quota of team " + t.Team + " reached"
	}
	return ""
}

// updateRemoteUsage recomputes the team usage of the other shards.
func (s *Shard) updateRemoteUsage() {
	clear(s.remoteTeamUsage)
	for i := range s.view.OtherShards {
		o := &s.view.OtherShards[i]
		if o.Partition == s.Name {
			continue
		}
		for team, used := range o.TeamUse {
			s.remoteTeamUsage[team] = s.remoteTeamUsage[team].Add(used)
		}
	}
}

// maybeHandOver hands a batch task that could not be placed over to another
// shard with free capacity, at once if this shard can never run the task or its
// zone is out of service, otherwise after a delay.
func (s *Shard) maybeHandOver(e *taskEntry, startsAllowed bool) {
	t := &e.task
	if t.Class != guavascale.ClassBatch {
		return
	}
	delay := min(minHandOverDelay<<min(t.Hops, 6), maxHandOverDelay)
	zoneOut := s.view.Config.ZonesOut[s.Zone]
	tooLarge := e.refusal == string(guavaplace.RefusalTooLarge)
	if w := s.workers[e.previousWorker]; w != nil && w.listed && !s.responsive(w) {
		delay = max(delay, unresponsiveHandOverDelay)
	}
	if !zoneOut && !tooLarge && s.now.Sub(e.waitingSince) < delay {
		return
	}
	if !startsAllowed && !zoneOut {
		return
	}
	if s.quotaRefusal(t) != "" || !s.now.Before(s.view.ActUntil) {
		return
	}
	target := s.chooseShard(t)
	if target == "" {
		return
	}
	s.handOver(e, target)
}

// fitsAnyWorker reports whether any worker of the fleet is large enough for the
// task.
func (s *Shard) fitsAnyWorker(t *guavascale.Task) bool {
	for _, size := range s.view.WorkerSizes {
		if size.Fits(t.Size) {
			return true
		}
	}
	return len(s.view.WorkerSizes) == 0
}

// chooseShard returns the shard with more free capacity out of two random ones
// that can accept the task ("power of two choices"), or "" if there is none.
func (s *Shard) chooseShard(t *guavascale.Task) guavascale.Partition {
	var candidates []*guavascale.PartitionSummary
	for i := range s.view.OtherShards {
		o := &s.view.OtherShards[i]
		if o.Partition == s.Name || s.view.Config.ZonesOut[o.Zone] || !o.Free.Fits(t.Size) {
			continue
		}
		candidates = append(candidates, o)
	}
	if len(candidates) == 0 {
		return ""
	}
	a := candidates[s.view.Rand.IntN(len(candidates))]
	b := candidates[s.view.Rand.IntN(len(candidates))]
	if b.Total.MilliCores > a.Total.MilliCores {
		a = b
	}
	return a.Partition
}

// handOver proposes to move a task to another shard. A single commit marks it
// as handed over here and writes it to the inbox of the target shard.
func (s *Shard) handOver(e *taskEntry, target guavascale.Partition) {
	moved := e.task
	moved.Hops++
	moved.Reason = ""
	departed := moved
	departed.State, departed.MovedTo = guavascale.TaskHandedOver, target
	value, _ := json.Marshal(guavascale.InboxItem{Task: &moved})
	s.propose(Append{
		Records: []Record{{Task: &departed}},
		Writes:  []guavascale.Write{{Key: InboxKey(target, string(moved.ID)), Value: value}},
		Urgent:  moved.Urgent,
	})
}
