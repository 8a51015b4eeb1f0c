package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

type (
	// zonesCmd compares drain policies for taking a zone out of service and
	// bringing it back.
	zonesCmd struct {
		Seeds  int    `default:"5" help:"Number of seeds, from 1."`
		Commit string `default:"unknown" help:"Commit named in the heading."`
		Output string `default:"-" help:"File to write; - is standard output."`
	}

	// drainPolicy is a policy for draining a zone.
	drainPolicy struct {
		name string
		// rate limits the tasks that each shard moves per second.
		rate float64
		// restart stops tasks without a checkpoint, so that they start from
		// zero.
		restart bool
	}

	zoneRun struct {
		sim     *sim
		policy  drainPolicy
		notice  int // seconds
		rng     *rand.Rand
		jobs    int
		tallies []string
		// declared is the core-seconds declared since the zone was taken out.
		declared float64
		// workDone is the work of all tasks completed when the zone is taken out,
		// when it returns, and at the end of the run.
		workDone [3]float64
		// busyCores and pendingTasks hold one value per second.
		busyCores, pendingTasks []float64
	}

	zoneResult struct {
		// duringOutage and afterReturn are the core-seconds of completed tasks
		// per second while the zone is out and after its return. repeated is
		// the work that was repeated or lost, as a fraction of the declared
		// work.
		duringOutage, afterReturn, repeated float64
		// tallies is the fraction of tally jobs that end before booking closes.
		tallies                      float64
		lowestLevel, recoverySeconds float64
		evictions                    float64
		err                          error
	}
)

// Times and intervals are in seconds of virtual time.
const (
	zoneOutAt         = 600
	zoneBackAt        = 1500
	zoneRunEnd        = 2100
	bookingCloseAfter = 270
	zoneCount         = 4
	shardsPerZone     = 2
	auditInterval     = 20
	auditTasks        = 20
	auditSeconds      = 300
	tallyJobs         = 12
	tallyTasks        = 10
	tallySeconds      = 200
	zoneTaskCores     = 2
)

var drainPolicies = []drainPolicy{
	{"not moved", 0.0001, false},
	{"0.2 per second, checkpoints", 0.2, false},
	{"1 per second, checkpoints", 1, false},
	{"5 per second, checkpoints (default)", 5, false},
	{"30 per second, checkpoints", 30, false},
	{"all at once, checkpoints", 1000, false},
	{"all at once, restart from zero", 1000, true},
}

const zonesText = `4 zones of 2 shards of 8 workers of 16 cores in virtual time: guavashard against guavafake's fleet, steps of 200 ms; a checkpoint takes 5 s. 24 service instances, audit jobs that keep 600 cores busy (tasks of 2 cores and 300 s), and 12 urgent Tallies of 10 tasks (2 cores, 200 s) declared at random from 120 s before a zone is taken out until 60 s after. Booking closes 270 s after the zone is taken out. The hosts of the zone go away after the notice and are back, restarted, when the zone returns 900 s after it was taken out. MaxBatchShare 0.7, lease 720 s, other fields of the preset at their defaults; the drain rate is per shard.

Done is the declared work of the tasks that ended, in cores: in the 900 s while the zone is out, and in the 600 s after its return. Repeated is the busy core-seconds in both beyond the work of ended tasks, less the same figure of a run in which no zone is taken out, as a part of the declared work: what was computed twice or lost, and what differs in progress at the end. Recovery is the end of the last half minute in which on average 5 tasks more wait than before Tallies were declared. The lowest level is that of the busy cores against the time before the Tallies.

`

// Run runs all combinations and writes the page.
func (c zonesCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Zones out and back: seeds 1 to %d, commit %s\n\n", c.Seeds, c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench zones --seeds %d`. A cell is the median over the seeds with the least and the greatest value.\n\n", c.Seeds)
	b.WriteString(zonesText)
	b.WriteString("| Notice s | Policy | Done while out | Done after | Repeated | Tallies before booking closes | Lowest level | Recovery s | Tasks moved |\n|---|---|---|---|---|---|---|---|---|\n")
	baseline := runSeeds(c.Seeds, func(seed uint64) zoneResult { return newZoneRun(seed, drainPolicies[0], 0).run() })
	c.row(&b, "none", "no zone out", baseline)
	for _, notice := range []int{30, 300} {
		for _, p := range drainPolicies {
			rs := runSeeds(c.Seeds, func(seed uint64) zoneResult {
				r := newZoneRun(seed, p, notice).run()
				r.repeated -= baseline[seed-1].repeated
				return r
			})
			for _, r := range rs {
				if r.err != nil {
					return fmt.Errorf("policy %q, notice %d s: %w", p.name, notice, r.err)
				}
			}
			c.row(&b, fmt.Sprint(notice), p.name, rs)
		}
	}
	return writePage(c.Output, b.String())
}

func (c zonesCmd) row(b *strings.Builder, notice, name string, rs []zoneResult) {
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", notice, name,
		aggregate(rs, func(r zoneResult) float64 { return r.duringOutage }),
		aggregate(rs, func(r zoneResult) float64 { return r.afterReturn }),
		aggregate(rs, func(r zoneResult) float64 { return r.repeated }),
		aggregate(rs, func(r zoneResult) float64 { return r.tallies }),
		aggregate(rs, func(r zoneResult) float64 { return r.lowestLevel }),
		aggregate(rs, func(r zoneResult) float64 { return r.recoverySeconds }),
		aggregate(rs, func(r zoneResult) float64 { return r.evictions }))
}

// newZoneRun returns a run in which the hosts of a zone go away notice seconds
// after it is taken out. With a notice of 0 no zone is taken out.
func newZoneRun(seed uint64, p drainPolicy, notice int) *zoneRun {
	preset := guavaconfig.Defaults(guavascale.Preset{MaxBatchShare: 0.7})
	preset.DrainPerSecond = p.rate
	r := &zoneRun{sim: newSim(seed, preset), policy: p, notice: notice, rng: rand.New(rand.NewPCG(seed, 7))}
	s := r.sim
	s.fleet.StopTime = 5 * time.Second
	s.cfg.Services["ballots"] = guavascale.Service{
		Name: "ballots", Kind: "ballots", Instances: 24, TargetMs: 100,
		Size: guavascale.Resources{MilliCores: zoneTaskCores * 1000, MemoryMB: 2048},
	}
	for z := range zoneCount {
		for i := range shardsPerZone * 8 {
			s.addWorker(guavascale.Worker{
				ID: guavascale.WorkerID(fmt.Sprintf("z%d-w%02d", z, i)), Zone: guavascale.Zone(fmt.Sprintf("Z%d", z)),
				Rack: i / 8, Capacity: guavascale.Resources{MilliCores: 16_000, MemoryMB: 60_000},
			})
		}
	}
	if p.restart {
		s.modifyOrders = func(o *guavascale.Orders) {
			for i := range o.Orders {
				o.Orders[i].Checkpoint = false
			}
		}
	}
	return r
}

func (r *zoneRun) run() zoneResult {
	tallyAt := make(map[int]int)
	for range tallyJobs {
		tallyAt[zoneOutAt-120+r.rng.IntN(180)]++
	}
	for second := range zoneRunEnd {
		if second%auditInterval == 0 {
			r.declare("audit", auditTasks, auditSeconds, false, second)
		}
		for range tallyAt[second] {
			r.tallies = append(r.tallies, r.declare("tally", tallyTasks, tallySeconds, true, second))
		}
		switch second {
		case zoneOutAt:
			r.workDone[0] = r.completedWork()
		case zoneBackAt:
			r.workDone[1] = r.completedWork()
		}
		if r.notice > 0 {
			r.applyZoneChange(second)
		}
		for range int(time.Second / simStep) {
			r.sim.step()
		}
		r.busyCores = append(r.busyCores, r.sim.busyCores())
		r.pendingTasks = append(r.pendingTasks, r.sim.pendingTasks())
	}
	r.workDone[2] = r.completedWork()
	return r.result()
}

// applyZoneChange takes the first zone out of service, kills its hosts after the
// notice, and restarts them when the zone is brought back.
func (r *zoneRun) applyZoneChange(second int) {
	switch second {
	case zoneOutAt:
		r.sim.cfg.ZonesOut["Z0"] = true
	case zoneOutAt + r.notice:
		r.forEachZoneHost(r.sim.fleet.Kill)
	case zoneBackAt:
		r.forEachZoneHost(r.sim.fleet.Restart)
		delete(r.sim.cfg.ZonesOut, "Z0")
	}
}

func (r *zoneRun) forEachZoneHost(act func(guavascale.WorkerID) error) {
	for i := range shardsPerZone * 8 {
		_ = act(guavascale.WorkerID(fmt.Sprintf("z0-w%02d", i)))
	}
}

func (r *zoneRun) declare(kind string, tasks int, seconds float64, urgent bool, second int) string {
	// Daemons assign new jobs only to shards of zones in service.
	shards := r.sim.shards
	if r.sim.cfg.ZonesOut["Z0"] {
		shards = shards[shardsPerZone:]
	}
	r.jobs++
	id := fmt.Sprintf("%s%d", kind, r.jobs)
	r.sim.declare(shards[r.jobs%len(shards)].Name, guavascale.Job{
		ID: id, Kind: kind, Tasks: tasks, RunSeconds: seconds, Urgent: urgent,
		Size: guavascale.Resources{MilliCores: zoneTaskCores * 1000, MemoryMB: 2048},
	})
	if second >= zoneOutAt {
		r.declared += float64(tasks) * zoneTaskCores * seconds
	}
	return id
}

// completedWork returns the declared core-seconds of all completed tasks.
func (r *zoneRun) completedWork() float64 {
	sum := 0.0
	for id := range r.sim.fleet.Verdict().Done {
		seconds := auditSeconds
		if strings.HasPrefix(string(id), "tally") {
			seconds = tallySeconds
		}
		sum += float64(zoneTaskCores * seconds)
	}
	return sum
}

func (r *zoneRun) result() zoneResult {
	var out zoneResult
	baseline := mean(r.busyCores[zoneOutAt-300 : zoneOutAt-120])
	out.lowestLevel = math.Inf(1)
	busy := 0.0
	for _, l := range r.busyCores[zoneOutAt:] {
		out.lowestLevel = min(out.lowestLevel, l/baseline)
		busy += l
	}
	out.duringOutage = (r.workDone[1] - r.workDone[0]) / (zoneBackAt - zoneOutAt)
	out.afterReturn = (r.workDone[2] - r.workDone[1]) / (zoneRunEnd - zoneBackAt)
	out.repeated = (busy - r.workDone[2] + r.workDone[0]) / r.declared
	out.recoverySeconds = backlogRecovery(r.pendingTasks[zoneOutAt:], mean(r.pendingTasks[zoneOutAt-300:zoneOutAt-120]))
	closing := simStart.Add((zoneOutAt + bookingCloseAfter) * time.Second)
	for _, id := range r.tallies {
		if at, ok := r.sim.jobEnds[id]; ok && !at.After(closing) {
			out.tallies += 1.0 / float64(len(r.tallies))
		}
	}
	out.evictions = float64(r.sim.evictions())
	// Without checkpoints, work is lost on purpose, which the fleet reports as a
	// violation.
	if !r.policy.restart {
		out.err = r.sim.checkViolations()
	}
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// backlogRecovery returns the seconds until the backlog is permanently gone: the
// end of the last 30 s window in which the mean number of pending tasks exceeds
// the baseline by more than 5.
func backlogRecovery(pending []float64, baseline float64) float64 {
	last := 0
	for i := 0; i+30 <= len(pending); i++ {
		if mean(pending[i:i+30]) > baseline+5 {
			last = i + 30
		}
	}
	return float64(last)
}
