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
	// zonesCmd writes the tables of taking a zone out and back.
	zonesCmd struct {
		Seeds  int    `default:"5" help:"Number of seeds, from 1."`
		Commit string `default:"unknown" help:"Commit named in the heading."`
		Output string `default:"-" help:"File to write; - is standard output."`
	}

	// drainPolicy is a way to empty a zone.
	drainPolicy struct {
		name string
		rate float64
		// restart stops tasks without a checkpoint.
		restart bool
	}

	zoneRun struct {
		sim      *sim
		policy   drainPolicy
		notice   int
		rng      *rand.Rand
		jobs     int
		tallies  []string
		declared float64
		// ended is the work of the tasks that ended before the zone is taken
		// out, before it returns, and until the end.
		ended [3]float64
		// level is the busy cores, and waiting the waiting tasks, of each
		// second.
		level, waiting []float64
	}

	zoneResult struct {
		// while and after are the core-seconds of ended tasks per second while
		// the zone is out and after its return, repeated the work done again or
		// lost as a part of what was declared.
		while, after, repeated float64
		// tallies is the part delivered before booking closes.
		tallies           float64
		lowest, recovered float64
		evictions         float64
		err               error
	}
)

const (
	zoneOutAt    = 600
	zoneBackAt   = 1500
	zoneEnd      = 2100
	bookingClose = 270
	zoneCount    = 4
	zoneRacks    = 2
	auditEvery   = 20
	auditTasks   = 20
	auditSeconds = 300
	tallyJobs    = 12
	tallyTasks   = 10
	tallySeconds = 200
	zoneCores    = 2
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

// Run runs all cells and writes the page.
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
		aggregate(rs, func(r zoneResult) float64 { return r.while }),
		aggregate(rs, func(r zoneResult) float64 { return r.after }),
		aggregate(rs, func(r zoneResult) float64 { return r.repeated }),
		aggregate(rs, func(r zoneResult) float64 { return r.tallies }),
		aggregate(rs, func(r zoneResult) float64 { return r.lowest }),
		aggregate(rs, func(r zoneResult) float64 { return r.recovered }),
		aggregate(rs, func(r zoneResult) float64 { return r.evictions }))
}

// newZoneRun returns a run; with a notice of 0 no zone is taken out.
func newZoneRun(seed uint64, p drainPolicy, notice int) *zoneRun {
	preset := guavaconfig.Defaults(guavascale.Preset{MaxBatchShare: 0.7})
	preset.DrainPerSecond = p.rate
	r := &zoneRun{sim: newSim(seed, preset), policy: p, notice: notice, rng: rand.New(rand.NewPCG(seed, 7))}
	s := r.sim
	s.fleet.StopTime = 5 * time.Second
	s.cfg.Services["ballots"] = guavascale.Service{
		Name: "ballots", Kind: "ballots", Instances: 24, TargetMs: 100,
		Size: guavascale.Resources{MilliCores: zoneCores * 1000, MemoryMB: 2048},
	}
	for z := range zoneCount {
		for i := range zoneRacks * 8 {
			s.addWorker(guavascale.Worker{
				ID: guavascale.WorkerID(fmt.Sprintf("z%d-w%02d", z, i)), Zone: guavascale.Zone(fmt.Sprintf("Z%d", z)),
				Rack: i / 8, Capacity: guavascale.Resources{MilliCores: 16_000, MemoryMB: 60_000},
			})
		}
	}
	if p.restart {
		s.alter = func(o *guavascale.Orders) {
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
	for second := range zoneEnd {
		if second%auditEvery == 0 {
			r.declare("audit", auditTasks, auditSeconds, false, second)
		}
		for range tallyAt[second] {
			r.tallies = append(r.tallies, r.declare("tally", tallyTasks, tallySeconds, true, second))
		}
		switch second {
		case zoneOutAt:
			r.ended[0] = r.endedWork()
		case zoneBackAt:
			r.ended[1] = r.endedWork()
		}
		if r.notice > 0 {
			r.change(second)
		}
		for range int(time.Second / simStep) {
			r.sim.step()
		}
		r.level = append(r.level, r.sim.busyCores())
		r.waiting = append(r.waiting, r.sim.pending())
	}
	r.ended[2] = r.endedWork()
	return r.result()
}

// change takes the first zone out and back, and its hosts with it.
func (r *zoneRun) change(second int) {
	switch second {
	case zoneOutAt:
		r.sim.cfg.ZonesOut["Z0"] = true
	case zoneOutAt + r.notice:
		r.hosts(r.sim.fleet.Kill)
	case zoneBackAt:
		r.hosts(r.sim.fleet.Restart)
		delete(r.sim.cfg.ZonesOut, "Z0")
	}
}

func (r *zoneRun) hosts(act func(guavascale.WorkerID) error) {
	for i := range zoneRacks * 8 {
		_ = act(guavascale.WorkerID(fmt.Sprintf("z0-w%02d", i)))
	}
}

func (r *zoneRun) declare(kind string, tasks int, seconds float64, urgent bool, second int) string {
	// A daemon declares jobs in shards of zones in service.
	shards := r.sim.shards
	if r.sim.cfg.ZonesOut["Z0"] {
		shards = shards[zoneRacks:]
	}
	r.jobs++
	id := fmt.Sprintf("%s%d", kind, r.jobs)
	r.sim.declare(shards[r.jobs%len(shards)].Name, guavascale.Job{
		ID: id, Kind: kind, Tasks: tasks, RunSeconds: seconds, Urgent: urgent,
		Size: guavascale.Resources{MilliCores: zoneCores * 1000, MemoryMB: 2048},
	})
	if second >= zoneOutAt {
		r.declared += float64(tasks) * zoneCores * seconds
	}
	return id
}

// endedWork returns the core-seconds of the tasks that are done.
func (r *zoneRun) endedWork() float64 {
	sum := 0.0
	for id := range r.sim.fleet.Verdict().Done {
		seconds := auditSeconds
		if strings.HasPrefix(string(id), "tally") {
			seconds = tallySeconds
		}
		sum += float64(zoneCores * seconds)
	}
	return sum
}

func (r *zoneRun) result() zoneResult {
	var out zoneResult
	before := mean(r.level[zoneOutAt-300 : zoneOutAt-120])
	out.lowest = math.Inf(1)
	busy := 0.0
	for _, l := range r.level[zoneOutAt:] {
		out.lowest = min(out.lowest, l/before)
		busy += l
	}
	out.while = (r.ended[1] - r.ended[0]) / (zoneBackAt - zoneOutAt)
	out.after = (r.ended[2] - r.ended[1]) / (zoneEnd - zoneBackAt)
	out.repeated = (busy - r.ended[2] + r.ended[0]) / r.declared
	out.recovered = recovery(r.waiting[zoneOutAt:], mean(r.waiting[zoneOutAt-300:zoneOutAt-120]))
	closing := simStart.Add((zoneOutAt + bookingClose) * time.Second)
	for _, id := range r.tallies {
		if at, ok := r.sim.ended[id]; ok && !at.After(closing) {
			out.tallies += 1.0 / float64(len(r.tallies))
		}
	}
	out.evictions = float64(r.sim.evictions())
	// Without checkpoints work is lost on purpose.
	if !r.policy.restart {
		out.err = r.sim.check()
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

// recovery returns the seconds until the backlog is gone for good: the end of
// the last half minute in which on average 5 tasks more than before wait.
func recovery(waiting []float64, before float64) float64 {
	last := 0
	for i := 0; i+30 <= len(waiting); i++ {
		if mean(waiting[i:i+30]) > before+5 {
			last = i + 30
		}
	}
	return float64(last)
}
