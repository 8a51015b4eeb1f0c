package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavainterference"
	"guavascale.example/guavashard"
)

type (
	lossFunc func(t *guavascale.Task, beside []guavainterference.Load) float64

	// interferenceCmd writes the tables of interference and mitigation.
	interferenceCmd struct {
		Seeds   int    `default:"5" help:"Number of seeds, from 1."`
		Seconds int    `default:"1800" help:"Virtual seconds measured per run, after 300 s of warm-up."`
		Waves   []int  `default:"5,20,60,180" help:"Lengths of the waves in seconds."`
		Lags    []int  `default:"1,5,15" help:"Lags of the measurements in seconds."`
		Commit  string `default:"unknown" help:"Commit named in the heading."`
		Output  string `default:"-" help:"File to write; - is standard output."`
	}

	// noiseRun is one run of the model.
	noiseRun struct {
		sim     *sim
		policy  string
		wave    time.Duration
		lag     time.Duration
		noise   *rand.Rand
		waves   []time.Time
		control guavainterference.Controller
		// over and requests are the requests over target and all of them, in
		// seconds of an instance; breach are those with a ratio above 1.
		over, requests, breach float64
		work, offered          float64
		steps                  map[guavainterference.StepKind]int
	}

	noiseResult struct {
		over, breach, work, evictions, throttles, releases float64
		err                                                error
	}
)

const (
	policyNever    = "never evict, no estimate"
	policyFirst    = "evict on first breach"
	policyReserve  = "static reservation"
	policyPlace    = "estimate, placement only"
	policySteps    = "estimate, steps only"
	policyEstimate = "estimate, placement and steps"

	noiseWarmUp  = 300
	noiseWorkers = 24
	noiseCores   = 16
	noiseTarget  = 100.0
	noiseService = "checkout"
	loudKind     = "render"
	quietKind    = "audit"
	// The service needs 0.6 of its target alone.
	noiseBase = 0.6
	// Disturbance per busy core: of the quiet kind, and of the loud one
	// outside and inside a wave.
	quietPerCore, lullPerCore, loudPerCore = 0.002, 0.005, 0.2
	// A measured percentile deviates by a tenth.
	noiseDeviation = 0.1
	// Jobs of 10 tasks of 2 cores and 120 s: 200 cores of the 256 that batch
	// tasks may take at MaxBatchShare 0.5.
	noiseJobTasks   = 10
	noiseTaskCores  = 2
	noiseTaskTime   = 120
	noiseJobSeconds = 12
)

var noisePolicies = []string{policyNever, policyFirst, policyReserve, policyPlace, policySteps, policyEstimate}

const interferenceText = `One shard of 24 workers of 16 cores in virtual time, driven as a daemon drives it: guavashard against guavafake's fleet, steps of 200 ms, the controller once a second. 16 instances of a service (2 cores, target 100 ms, 0.6 of it when alone) and jobs of two batch kinds, half each, together 200 busy cores where at most 256 are allowed (MaxBatchShare 0.5, no limit on the 8 workers without an instance). Tasks have 2 cores and 120 s. A busy core of "audit" adds 0.002 to the ratio of latency to target; one of "render" adds 0.005, and 0.2 during a wave. Waves reach all render tasks at once; gaps between them are exponential with a mean of three wave lengths. A measured ratio has a deviation of 10%. Requests over target follow from the true ratio r by an exponential tail: 0.01^(1/r). Work is busy core-seconds of batch tasks as a part of what was declared; preset: defaults.

`

// Run runs all cells and writes the page.
func (c interferenceCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Interference: seeds 1 to %d, commit %s\n\n", c.Seeds, c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench interference --seeds %d --seconds %d`. A cell is the median over the seeds with the least and the greatest value.\n\n", c.Seeds, c.Seconds)
	b.WriteString(interferenceText)
	b.WriteString("The baselines are: no estimate and no steps; evict the batch task with the most busy cores on a worker for each report of a breach; MaxBatchShare 0.125 without steps.\n\n")
	b.WriteString("| Wave s | Lag s | Policy | Requests over target, % | Time in breach, % | Work done | Evictions | Throttles | Releases |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, wave := range c.Waves {
		for _, lag := range c.Lags {
			for _, p := range noisePolicies {
				rs, err := c.runs(p, wave, lag)
				if err != nil {
					return err
				}
				fmt.Fprintf(&b, "| %d | %d | %s | %s | %s | %s | %s | %s | %s |\n", wave, lag, p,
					aggregate(rs, func(r noiseResult) float64 { return 100 * r.over }),
					aggregate(rs, func(r noiseResult) float64 { return 100 * r.breach }),
					aggregate(rs, func(r noiseResult) float64 { return r.work }),
					aggregate(rs, func(r noiseResult) float64 { return r.evictions }),
					aggregate(rs, func(r noiseResult) float64 { return r.throttles }),
					aggregate(rs, func(r noiseResult) float64 { return r.releases }))
			}
		}
	}
	return writePage(c.Output, b.String())
}

func writePage(path, page string) error {
	if path == "-" {
		_, err := fmt.Print(page)
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

func (c interferenceCmd) runs(policy string, wave, lag int) ([]noiseResult, error) {
	rs := runSeeds(c.Seeds, func(seed uint64) noiseResult {
		r := newNoiseRun(seed, policy, time.Duration(wave)*time.Second, time.Duration(lag)*time.Second, c.Seconds)
		return r.run(c.Seconds)
	})
	for _, r := range rs {
		if r.err != nil {
			return nil, fmt.Errorf("policy %q, wave %d s, lag %d s: %w", policy, wave, lag, r.err)
		}
	}
	return rs, nil
}

func newNoiseRun(seed uint64, policy string, wave, lag time.Duration, seconds int) *noiseRun {
	preset := guavaconfig.Defaults(guavascale.Preset{})
	if policy == policyReserve {
		preset.MaxBatchShare = 0.125
	}
	r := &noiseRun{
		sim: newSim(seed, preset), policy: policy, wave: wave, lag: lag,
		noise: rand.New(rand.NewPCG(seed, 2)), steps: make(map[guavainterference.StepKind]int),
	}
	// The waves of a seed are the same for all policies.
	waves := rand.New(rand.NewPCG(seed, 3))
	end := simStart.Add(time.Duration(noiseWarmUp+seconds) * time.Second)
	for at := simStart; at.Before(end); {
		at = at.Add(time.Duration(waves.ExpFloat64() * 3 * float64(wave)))
		r.waves = append(r.waves, at)
		at = at.Add(wave)
	}
	s := r.sim
	s.fleet.UsageLag = lag
	s.fleet.StopTime = time.Second
	s.fleet.Latency = func(now time.Time, _ guavascale.Task, beside []guavafake.RunningTask) float64 {
		return noiseTarget * r.ratio(now, beside) * math.Exp(noiseDeviation*r.noise.NormFloat64())
	}
	s.cfg.Services[noiseService] = guavascale.Service{
		Name: noiseService, Kind: noiseService, Instances: 16, TargetMs: noiseTarget,
		Size: guavascale.Resources{MilliCores: 2000, MemoryMB: 2048},
	}
	for i := range noiseWorkers {
		s.addWorker(guavascale.Worker{
			ID: guavascale.WorkerID(fmt.Sprintf("w%02d", i)), Zone: "Okahandja",
			Capacity: guavascale.Resources{MilliCores: noiseCores * 1000, MemoryMB: 60_000},
		})
	}
	if policy == policyPlace || policy == policyEstimate {
		s.loss = r.control.Estimator.Loss
	}
	return r
}

// loud reports whether a wave is on.
func (r *noiseRun) loud(now time.Time) bool {
	for _, w := range r.waves {
		if !now.Before(w) && now.Before(w.Add(r.wave)) {
			return true
		}
	}
	return false
}

// ratio is the true ratio of the service's 99th percentile to its target.
func (r *noiseRun) ratio(now time.Time, beside []guavafake.RunningTask) float64 {
	ratio, loud := noiseBase, lullPerCore
	if r.loud(now) {
		loud = loudPerCore
	}
	for _, b := range beside {
		switch b.Task.Kind {
		case loudKind:
			ratio += loud * b.Cores
		case quietKind:
			ratio += quietPerCore * b.Cores
		}
	}
	return ratio
}

func (r *noiseRun) run(seconds int) noiseResult {
	perSecond := int(time.Second / simStep)
	var evictedBefore int64
	for second := range noiseWarmUp + seconds {
		if second == noiseWarmUp {
			r.over, r.requests, r.breach, r.work, r.offered = 0, 0, 0, 0, 0
			clear(r.steps)
			evictedBefore = r.sim.evictions()
		}
		if second%noiseJobSeconds == 0 {
			r.declare(second / noiseJobSeconds)
		}
		for range perSecond {
			r.sim.step()
		}
		r.act()
		r.measure()
	}
	return noiseResult{
		over: r.over / r.requests, breach: r.breach / r.requests, work: r.work / r.offered,
		evictions: float64(r.sim.evictions() - evictedBefore),
		throttles: float64(r.steps[guavainterference.StepThrottle]),
		releases:  float64(r.steps[guavainterference.StepRelease]),
		err:       r.sim.check(),
	}
}

func (r *noiseRun) declare(n int) {
	kind := loudKind
	if n%2 == 0 {
		kind = quietKind
	}
	r.sim.declare(r.sim.shards[0].Name, guavascale.Job{
		ID: fmt.Sprintf("job%d", n), Kind: kind, Tasks: noiseJobTasks, RunSeconds: noiseTaskTime,
		Size: guavascale.Resources{MilliCores: noiseTaskCores * 1000, MemoryMB: 1024},
	})
}

// act takes the steps of the policy.
func (r *noiseRun) act() {
	sh := r.sim.shards[0]
	switch r.policy {
	case policyFirst:
		for _, w := range sh.Observe() {
			evictLargest(sh, &w)
		}
	case policyPlace, policySteps, policyEstimate:
		p := guavainterference.Policy{
			LatencyWeight: r.sim.preset.LatencyWeight, BatchWeight: r.sim.preset.BatchWeight,
			EvictAfter: time.Duration(r.sim.preset.EvictAfterSeconds * float64(time.Second)),
		}
		steps := r.control.Update(r.sim.clock.now, sh.Name, sh.Observe(), p)
		if r.policy == policyPlace {
			return
		}
		for _, s := range steps {
			r.steps[s.Kind]++
			sh.Mitigate(s)
		}
	}
}

func evictLargest(sh *guavashard.Shard, w *guavainterference.Worker) {
	breach := false
	for _, s := range w.Services {
		breach = breach || s.Ratio > 1
	}
	if !breach {
		return
	}
	var largest *guavainterference.Batch
	for i := range w.Batch {
		if b := &w.Batch[i]; b.Evictable && (largest == nil || b.Cores > largest.Cores) {
			largest = b
		}
	}
	if largest != nil {
		sh.Evict(largest.Task, "breach")
	}
}

// measure adds up one second of requests and work.
func (r *noiseRun) measure() {
	for _, list := range r.sim.fleet.RunningTasks() {
		for _, b := range list {
			if b.Task.Class == guavascale.ClassBatch {
				r.work += b.Cores
				continue
			}
			r.requests++
			ratio := r.ratio(r.sim.clock.now, list)
			r.over += math.Pow(0.01, 1/ratio)
			if ratio > 1 {
				r.breach++
			}
		}
	}
	r.offered += noiseJobTasks * noiseTaskCores * noiseTaskTime / float64(noiseJobSeconds)
}
