package guavashard

import (
	"encoding/json"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaplace"
)

const (
	// handOverAfter is how long a task waits in a shard without room before
	// it goes to another shard. It doubles with each hand-over, so that a
	// task does not travel forever in a full fleet.
	handOverAfter    = 2 * time.Second
	maxHandOverDelay = 2 * time.Minute
	// silentHandOver is how long a task whose lease ended at a silent worker
	// stays in that worker's shard, which alone learns its last checkpoint.
	silentHandOver = 30 * time.Second
	// avoidFor is how long a task waits in a shard rather than run where it
	// is expected to disturb. Without an end, a kind that disturbs everywhere
	// would never run.
	avoidFor = 2 * time.Minute
	// maxPlacements bounds the placements of one Step, which takes about
	// 1 µs for each worker and task.
	maxPlacements = 256
	// maxRefusals bounds the different sizes of one Step that found no room.
	maxRefusals = 32
)

// refusals remembers within one Step which tasks found no room, so that the
// tasks of a large job are not tried one by one.
type refusals struct{ tasks [2][]*entry }

func classIndex(t *guavascale.Task) int {
	if t.Class == guavascale.ClassService {
		return 1
	}
	return 0
}

// add remembers a refusal and reports whether there is room for more.
func (r *refusals) add(e *entry) bool {
	i := classIndex(&e.task)
	r.tasks[i] = append(r.tasks[i], e)
	return len(r.tasks[0])+len(r.tasks[1]) < maxRefusals
}

// find returns a refused task of the same class, team and kind that is not
// larger.
func (r *refusals) find(t *guavascale.Task) *entry {
	for _, e := range r.tasks[classIndex(t)] {
		if e.task.Team == t.Team && e.task.Kind == t.Kind && t.Size.Fits(e.task.Size) {
			return e
		}
	}
	return nil
}

// enqueue adds a task to the queue if it waits for a worker.
func (s *Shard) enqueue(e *entry) {
	if e.queued || !waits(&e.task) {
		return
	}
	e.queued = true
	s.waiting = append(s.waiting, e)
}

func waits(t *guavascale.Task) bool {
	return t.State == guavascale.TaskPending || t.State == guavascale.TaskSuspended
}

// placeWaiting proposes starts for waiting tasks: urgent ones first, then
// service instances, then the others in the order of arrival.
func (s *Shard) placeWaiting() {
	s.compactQueue()
	if len(s.waiting) == 0 {
		return
	}
	s.prepareRooms()
	slices.SortStableFunc(s.waiting, func(a, b *entry) int { return rank(&a.task) - rank(&b.task) })
	mayStart := s.now.Before(s.view.StartUntil) && !s.view.Config.ZonesOut[s.Zone]
	var refused refusals
	placed := 0
	for _, e := range s.waiting {
		if placed >= maxPlacements {
			return
		}
		if e.next != nil || s.now.Before(e.notBefore) || s.cancelled(&e.task) {
			continue
		}
		if !s.canEverRun(&e.task) {
			e.refusal = "larger than any worker of the fleet"
			continue
		}
		if like := refused.find(&e.task); like != nil && !s.outwaited(e, like) {
			e.refusal = like.refusal
			s.considerHandOver(e, mayStart)
			continue
		}
		if mayStart && s.placeTask(e) {
			placed++
			continue
		}
		s.considerHandOver(e, mayStart)
		if !refused.add(e) {
			return
		}
	}
}

func (s *Shard) compactQueue() {
	kept := s.waiting[:0]
	for _, e := range s.waiting {
		if s.tasks[e.task.ID] == e && waits(&e.task) {
			kept = append(kept, e)
			continue
		}
		e.queued = false
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func rank(t *guavascale.Task) int {
	switch {
	case t.Urgent:
		return 0
	case t.Class == guavascale.ClassService:
		return 1
	default:
		return 2
	}
}

// placeTask proposes a start of the task and reports whether it did.
func (s *Shard) placeTask(e *entry) bool {
	if reason := s.overQuota(&e.task); reason != "" {
		e.refusal = reason
		return false
	}
	i, refusal := s.choose(e)
	if i < 0 {
		e.refusal = string(refusal)
		return false
	}
	if !e.task.Urgent && !s.starts.take(s.now, s.view.Preset.StartsPerSecond) {
		e.refusal = "start rate of the preset reached"
		return false
	}
	w := s.rooms.workers[i]
	t := e.task
	t.State = guavascale.TaskStarting
	t.Attempt++
	t.Worker, t.Incarnation = w.worker.ID, w.incarnation
	t.LeaseSeconds = s.leaseSeconds(&t)
	t.Reason = ""
	e.refusal = ""
	s.Starts++
	s.proposeTask(t, t.Urgent)
	s.updateRoom(i, &t)
	return true
}

func (s *Shard) leaseSeconds(t *guavascale.Task) float64 {
	if t.Class == guavascale.ClassService {
		return s.view.Preset.ServiceLeaseSeconds
	}
	return s.view.Preset.BatchLeaseSeconds
}

func (s *Shard) policy(e *entry) guavaplace.Policy {
	p := &s.view.Preset
	return guavaplace.Policy{
		LatencyWeight: p.LatencyWeight, BatchWeight: p.BatchWeight, MaxBatchShare: p.MaxBatchShare,
		AvoidInterference: s.avoids(e),
	}
}

// avoids reports whether a task still waits rather than disturb a service.
func (s *Shard) avoids(e *entry) bool { return !e.task.Urgent && s.now.Sub(e.since) < avoidFor }

// outwaited reports whether a task may start where a younger one like it was
// refused for the sake of a service.
func (s *Shard) outwaited(e, like *entry) bool {
	return like.refusal == string(guavaplace.RefusalInterference) && !s.avoids(e)
}

// overQuota returns a reason when the start would exceed the team's quota. The
// usage in other shards is as old as their summaries, so a team may exceed its
// quota for a few seconds by what other shards started meanwhile.
func (s *Shard) overQuota(t *guavascale.Task) string {
	quota, ok := s.view.Config.Quotas[t.Team]
	if !ok || t.Class != guavascale.ClassBatch {
		return ""
	}
	if !quota.Fits(s.usage[t.Team].Add(s.remote[t.Team]).Add(t.Size)) {
		return "quota of team " + t.Team + " reached"
	}
	return ""
}

func (s *Shard) updateQuotas() {
	clear(s.remote)
	for i := range s.view.Others {
		o := &s.view.Others[i]
		if o.Partition == s.Name {
			continue
		}
		for team, used := range o.TeamUse {
			s.remote[team] = s.remote[team].Add(used)
		}
	}
}

// considerHandOver moves a task that found no room to a shard that has some.
func (s *Shard) considerHandOver(e *entry, mayStart bool) {
	t := &e.task
	if t.Class != guavascale.ClassBatch {
		return
	}
	delay := min(handOverAfter<<min(t.Hops, 6), maxHandOverDelay)
	zoneOut := s.view.Config.ZonesOut[s.Zone]
	tooLarge := e.refusal == string(guavaplace.RefusalTooLarge)
	if w := s.workers[e.lastWorker]; w != nil && w.listed && !s.responsive(w) {
		delay = max(delay, silentHandOver)
	}
	if !zoneOut && !tooLarge && s.now.Sub(e.since) < delay {
		return
	}
	if !mayStart && !zoneOut {
		return
	}
	if s.overQuota(t) != "" || !s.now.Before(s.view.ActUntil) {
		return
	}
	to := s.chooseShard(t)
	if to == "" {
		return
	}
	s.handOver(e, to)
}

func (s *Shard) canEverRun(t *guavascale.Task) bool {
	for _, size := range s.view.Largest {
		if size.Fits(t.Size) {
			return true
		}
	}
	return len(s.view.Largest) == 0
}

// chooseShard returns the better of two random shards with room for the task,
// or "".
func (s *Shard) chooseShard(t *guavascale.Task) guavascale.Partition {
	var candidates []*guavascale.PartitionSummary
	for i := range s.view.Others {
		o := &s.view.Others[i]
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

// handOver proposes to move a task: one commit ends it here and puts it into
// the other shard's inbox.
func (s *Shard) handOver(e *entry, to guavascale.Partition) {
	moved := e.task
	moved.Hops++
	moved.Reason = ""
	left := moved
	left.State, left.MovedTo = guavascale.TaskHandedOver, to
	value, _ := json.Marshal(guavascale.InboxItem{Task: &moved})
	s.propose(Append{
		Records: []Record{{Task: &left}},
		Writes:  []guavascale.Write{{Key: InboxKey(to, string(moved.ID)), Value: value}},
		Urgent:  moved.Urgent,
	})
}
