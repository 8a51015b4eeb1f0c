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

	// interferenceCmd compares placement and mitigation policies against
	// interference.
	interferenceCmd struct {
		Seeds   int    `default:"5" help:"Number of seeds, from 1."`
		Seconds int    `default:"1800" help:"Virtual seconds measured per run, after 300 s of warm-up."`
		Waves   []int  `default:"5,20,60,180" help:"Lengths in seconds of the waves, in which noisy tasks interfere most."`
		Lags    []int  `default:"1,5,15" help:"Ages in seconds of the reported usage and latency."`
		Commit  string `default:"unknown" help:"Commit named in the heading."`
		Output  string `default:"-" help:"File to write; - is standard output."`
	}

	// interferenceRun is one simulation with one policy and seed.
	interferenceRun struct {
		sim     *sim
		policy  string
		wave    time.Duration
		lag     time.Duration
		noise   *rand.Rand
		waves   []time.Time
		control guavainterference.Controller
		// Each instance counts as one request per second. overTarget is the
		// expected number of requests over target, inBreach the number of
		// instance-seconds with a ratio above 1.
		overTarget, requests, inBreach float64
		// work and declared are core-seconds of batch tasks: busy and declared.
		work, declared float64
		steps          map[guavainterference.StepKind]int
	}

	interferenceResult struct {
		overTarget, inBreach, work, evictions, throttles, releases float64
		err                                                        error
	}
)

const (
	policyNever             = "never evict, no estimate"
	policyFirstBreach       = "evict on first breach"
	policyReservation       = "static reservation"
	policyPlacementOnly     = "estimate, placement only"
	policyStepsOnly         = "estimate, steps only"
	policyPlacementAndSteps = "estimate, placement and steps"

	interferenceWarmUp  = 300
	interferenceWorkers = 24
	coresPerWorker      = 16
	serviceTargetMs     = 100.0
	serviceName         = "checkout"
	noisyKind           = "render"
	quietKind           = "audit"
	// aloneRatio is the ratio of the service's latency to its target without
	// other tasks on the worker.
	aloneRatio = 0.6
	// Increase of the ratio per busy core: of the quiet kind, of the noisy kind
	// outside a wave, and of the noisy kind during a wave.
	quietRatioPerCore, noisyRatioPerCore, waveRatioPerCore = 0.002, 0.005, 0.2
	// ratioDeviation is the standard deviation of the logarithm of a measured
	// ratio, about 10%.
	ratioDeviation = 0.1
	// One job of 10 tasks with 2 cores and 120 s every 12 s keeps 200 cores
	// busy. Batch tasks may use 256 cores at MaxBatchShare 0.5.
	tasksPerJob        = 10
	coresPerTask       = 2
	taskSeconds        = 120
	jobIntervalSeconds = 12
)

var interferencePolicies = []string{policyNever, policyFirstBreach, policyReservation, policyPlacementOnly, policyStepsOnly, policyPlacementAndSteps}

const interferenceText = `One shard of 24 workers of 16 cores in virtual time, driven as a daemon drives it: guavashard against guavafake's fleet, steps of 200 ms, the controller once a second. 16 instances of a service (2 cores, target 100 ms, 0.6 of it when alone) and jobs of two batch kinds, half each, together 200 busy cores where at most 256 are allowed (MaxBatchShare 0.5, no limit on the 8 workers without an instance). Tasks have 2 cores and 120 s. A busy core of "audit" adds 0.002 to the ratio of latency to target; one of "render" adds 0.005, and 0.2 during a wave. Waves reach all render tasks at once; gaps between them are exponential with a mean of three wave lengths. A measured ratio has a deviation of 10%. Requests over target follow from the true ratio r by an exponential tail: 0.01^(1/r). Work is busy core-seconds of batch tasks as a part of what was declared; preset: defaults.

`

// Run runs all combinations and writes the page.
func (c interferenceCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Interference: seeds 1 to %d, commit %s\n\n", c.Seeds, c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench interference --seeds %d --seconds %d`. A cell is the median over the seeds with the least and the greatest value.\n\n", c.Seeds, c.Seconds)
	b.WriteString(interferenceText)
	b.WriteString("The baselines are: no estimate and no steps; evict the batch task with the most busy cores on a worker for each report of a breach; MaxBatchShare 0.125 without steps.\n\n")
	b.WriteString("| Wave s | Lag s | Policy | Requests over target, % | Time in breach, % | Work done | Evictions | Throttles | Releases |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, wave := range c.Waves {
		for _, lag := range c.Lags {
			for _, p := range interferencePolicies {
				rs, err := c.runs(p, wave, lag)
				if err != nil {
					return err
				}
				fmt.Fprintf(&b, "| %d | %d | %s | %s | %s | %s | %s | %s | %s |\n", wave, lag, p,
					aggregate(rs, func(r interferenceResult) float64 { return 100 * r.overTarget }),
					aggregate(rs, func(r interferenceResult) float64 { return 100 * r.inBreach }),
					aggregate(rs, func(r interferenceResult) float64 { return r.work }),
					aggregate(rs, func(r interferenceResult) float64 { return r.evictions }),
					aggregate(rs, func(r interferenceResult) float64 { return r.throttles }),
					aggregate(rs, func(r interferenceResult) float64 { return r.releases }))
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

func (c interferenceCmd) runs(policy string, wave, lag int) ([]interferenceResult, error) {
	rs := runSeeds(c.Seeds, func(seed uint64) interferenceResult {
		r := newInterferenceRun(seed, policy, time.Duration(wave)*time.Second, time.Duration(lag)*time.Second, c.Seconds)
		return r.run(c.Seconds)
	})
	for _, r := range rs {
		if r.err != nil {
			return nil, fmt.Errorf("policy %q, wave %d s, lag %d s: %w", policy, wave, lag, r.err)
		}
	}
	return rs, nil
}

func newInterferenceRun(seed uint64, policy string, wave, lag time.Duration, seconds int) *interferenceRun {
	preset := guavaconfig.Defaults(guavascale.Preset{})
	if policy == policyReservation {
		preset.MaxBatchShare = 0.125
	}
	r := &interferenceRun{
		sim: newSim(seed, preset), policy: policy, wave: wave, lag: lag,
		noise: rand.New(rand.NewPCG(seed, 2)), steps: make(map[guavainterference.StepKind]int),
	}
	// The waves use their own generator, so that all policies see the same.
	waves := rand.New(rand.NewPCG(seed, 3))
	end := simStart.Add(time.Duration(interferenceWarmUp+seconds) * time.Second)
	for at := simStart; at.Before(end); {
		at = at.Add(time.Duration(waves.ExpFloat64() * 3 * float64(wave)))
		r.waves = append(r.waves, at)
		at = at.Add(wave)
	}
	s := r.sim
	s.fleet.UsageLag = lag
	s.fleet.StopTime = time.Second
	s.fleet.Latency = func(now time.Time, _ guavascale.Task, beside []guavafake.RunningTask) float64 {
		return serviceTargetMs * r.ratio(now, beside) * math.Exp(ratioDeviation*r.noise.NormFloat64())
	}
	s.cfg.Services[serviceName] = guavascale.Service{
		Name: serviceName, Kind: serviceName, Instances: 16, TargetMs: serviceTargetMs,
		Size: guavascale.Resources{MilliCores: 2000, MemoryMB: 2048},
	}
	for i := range interferenceWorkers {
		s.addWorker(guavascale.Worker{
			ID: guavascale.WorkerID(fmt.Sprintf("w%02d", i)), Zone: "Okahandja",
			Capacity: guavascale.Resources{MilliCores: coresPerWorker * 1000, MemoryMB: 60_000},
		})
	}
	if policy == policyPlacementOnly || policy == policyPlacementAndSteps {
		s.interferenceLoss = r.control.Estimator.Loss
	}
	return r
}

// waveActive reports whether a wave is in progress.
func (r *interferenceRun) waveActive(now time.Time) bool {
	for _, w := range r.waves {
		if !now.Before(w) && now.Before(w.Add(r.wave)) {
			return true
		}
	}
	return false
}

// ratio returns the true ratio, without measurement deviation, of the service's
// 99th latency percentile to its target.
func (r *interferenceRun) ratio(now time.Time, beside []guavafake.RunningTask) float64 {
	ratio, noisyPerCore := aloneRatio, noisyRatioPerCore
	if r.waveActive(now) {
		noisyPerCore = waveRatioPerCore
	}
	for _, task := range beside {
		switch task.Task.Kind {
		case noisyKind:
			ratio += noisyPerCore * task.Cores
		case quietKind:
			ratio += quietRatioPerCore * task.Cores
		}
	}
	return ratio
}

func (r *interferenceRun) run(seconds int) interferenceResult {
	perSecond := int(time.Second / simStep)
	var evictedBefore int64
	for second := range interferenceWarmUp + seconds {
		if second == interferenceWarmUp {
			r.overTarget, r.requests, r.inBreach, r.work, r.declared = 0, 0, 0, 0, 0
			clear(r.steps)
			evictedBefore = r.sim.evictions()
		}
		if second%jobIntervalSeconds == 0 {
			r.declare(second / jobIntervalSeconds)
		}
		for range perSecond {
			r.sim.step()
		}
		r.mitigate()
		r.measure()
	}
	return interferenceResult{
		overTarget: r.overTarget / r.requests, inBreach: r.inBreach / r.requests, work: r.work / r.declared,
		evictions: float64(r.sim.evictions() - evictedBefore),
		throttles: float64(r.steps[guavainterference.StepThrottle]),
		releases:  float64(r.steps[guavainterference.StepRelease]),
		err:       r.sim.checkViolations(),
	}
}

func (r *interferenceRun) declare(n int) {
	kind := noisyKind
	if n%2 == 0 {
		kind = quietKind
	}
	r.sim.declare(r.sim.shards[0].Name, guavascale.Job{
		ID: fmt.Sprintf("job%d", n), Kind: kind, Tasks: tasksPerJob, RunSeconds: taskSeconds,
		Size: guavascale.Resources{MilliCores: coresPerTask * 1000, MemoryMB: 1024},
	})
}

// mitigate applies the mitigation steps of the policy.
func (r *interferenceRun) mitigate() {
	sh := r.sim.shards[0]
	switch r.policy {
	case policyFirstBreach:
		for _, w := range sh.Observe() {
			evictLargest(sh, &w)
		}
	case policyPlacementOnly, policyStepsOnly, policyPlacementAndSteps:
		p := guavainterference.Policy{
			LatencyWeight: r.sim.preset.LatencyWeight, BatchWeight: r.sim.preset.BatchWeight,
			EvictAfter: time.Duration(r.sim.preset.EvictAfterSeconds * float64(time.Second)),
		}
		steps := r.control.Update(r.sim.clock.now, sh.Name, sh.Observe(), p)
		if r.policy == policyPlacementOnly {
			return
		}
		for _, s := range steps {
			r.steps[s.Kind]++
			sh.Mitigate(s)
		}
	}
}

func evictLargest(sh *guavashard.Shard, w *guavainterference.Worker) {
	inBreach := false
	for _, s := range w.Services {
		inBreach = inBreach || s.Ratio > 1
	}
	if !inBreach {
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

// measure adds one second of requests and batch work to the totals.
func (r *interferenceRun) measure() {
	for _, list := range r.sim.fleet.RunningTasks() {
		for _, b := range list {
			if b.Task.Class == guavascale.ClassBatch {
				r.work += b.Cores
				continue
			}
			r.requests++
			ratio := r.ratio(r.sim.clock.now, list)
			r.overTarget += math.Pow(0.01, 1/ratio)
			if ratio > 1 {
				r.inBreach++
			}
		}
	}
	r.declared += tasksPerJob * coresPerTask * taskSeconds / float64(jobIntervalSeconds)
}
