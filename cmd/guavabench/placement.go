package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"guavascale.example"
	"guavascale.example/guavainterference"
	"guavascale.example/guavaplace"
)

type (
	// placementCmd compares placement policies and measures the cost of a
	// placement decision.
	placementCmd struct {
		Seeds  int    `default:"10" help:"Number of seeds, from 1."`
		Commit string `default:"unknown" help:"Commit named in the heading."`
		Output string `default:"-" help:"File to write; - is standard output."`
	}

	// chooseFunc returns the index of the candidate to place a task on, or -1 if
	// the task fits none.
	chooseFunc func(rng *rand.Rand, t *guavascale.Task, candidates []guavaplace.Candidate) int

	packingResult struct {
		cores, memory, accelerators, refused float64
		// shared is the fraction of service instances that share a worker with
		// another instance of the same service.
		shared float64
	}
)

// packingPolicy sets no limit on the share of batch tasks, so that Choose may use
// the whole capacity as the other policies do.
var packingPolicy = guavaplace.Policy{LatencyWeight: 70, BatchWeight: 30}

var placementPolicies = []struct {
	name   string
	choose chooseFunc
}{
	{"Choose", func(_ *rand.Rand, t *guavascale.Task, candidates []guavaplace.Candidate) int {
		i, _ := guavaplace.Choose(t, candidates, packingPolicy)
		return i
	}},
	{"first fit", firstFit},
	{"best fit by processors", bestFit},
	{"random of the feasible", randomFit},
}

const placementText = `One shard of 64 workers: 56 of 32 cores and 125 GB, 8 of them with 4 accelerators, and 8 of 16 cores and 60 GB. The same list for each policy: 40 services of 3 instances (1 to 4 cores), then batch tasks until 1.3 times the cores of the shard are asked for: 60% small (1 to 2 cores, 2 to 4 GB a core), 25% large in memory (1 to 4 cores, 8 to 14 GB a core), 10% of 8 to 16 cores, 5% with an accelerator. Every task is tried once, in the order of the list. No interference and no share for batch work.

`

// Run runs all measurements and writes the page.
func (c placementCmd) Run() error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Placement: seeds 1 to %d, commit %s\n\n", c.Seeds, c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench placement --seeds %d`. A cell is the median over the seeds with the least and the greatest value.\n\n## Capacity placed\n\n", c.Seeds)
	b.WriteString(placementText)
	b.WriteString("| Policy | Cores placed | Memory placed | Accelerators placed | Tasks refused | Instances sharing a worker |\n|---|---|---|---|---|---|\n")
	for _, p := range placementPolicies {
		rs := runSeeds(c.Seeds, func(seed uint64) packingResult { return pack(seed, p.choose) })
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", p.name,
			aggregate(rs, func(r packingResult) float64 { return r.cores }),
			aggregate(rs, func(r packingResult) float64 { return r.memory }),
			aggregate(rs, func(r packingResult) float64 { return r.accelerators }),
			aggregate(rs, func(r packingResult) float64 { return r.refused }),
			aggregate(rs, func(r packingResult) float64 { return r.shared }))
	}
	c.zoneTable(&b)
	decisionCostTable(&b)
	return writePage(c.Output, b.String())
}

func packingCandidates() []guavaplace.Candidate {
	candidates := make([]guavaplace.Candidate, 64)
	for i := range candidates {
		size := guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000}
		if i%8 == 0 {
			size.Accelerators = 4
		}
		if i%8 == 7 {
			size = guavascale.Resources{MilliCores: 16_000, MemoryMB: 60_000}
		}
		candidates[i] = guavaplace.Candidate{Worker: guavascale.WorkerID(fmt.Sprintf("w%02d", i)), Capacity: size}
	}
	return candidates
}

// packingTasks returns the tasks to place for a seed.
func packingTasks(seed uint64) []guavascale.Task {
	rng := rand.New(rand.NewPCG(seed, 4))
	var list []guavascale.Task
	size := func(cores, perCore, accelerators int64) guavascale.Resources {
		return guavascale.Resources{MilliCores: cores * 1000, MemoryMB: cores * perCore, Accelerators: accelerators}
	}
	between := func(lo, hi int64) int64 { return lo + rng.Int64N(hi-lo+1) }
	for i := range 40 {
		t := guavascale.Task{
			Class: guavascale.ClassService, Service: fmt.Sprintf("s%d", i), Kind: "checkout",
			Size: size(between(1, 4), between(2000, 4000), 0),
		}
		list = append(list, t, t, t)
	}
	requested, limit := int64(0), int64(1.3*(56*32_000+8*16_000))
	for requested < limit {
		t := guavascale.Task{Class: guavascale.ClassBatch, Kind: "audit"}
		switch p := rng.Float64(); {
		case p < 0.6:
			t.Size = size(between(1, 2), between(2000, 4000), 0)
		case p < 0.85:
			t.Size = size(between(1, 4), between(8000, 14_000), 0)
		case p < 0.95:
			t.Size = size(between(8, 16), between(2000, 4000), 0)
		default:
			t.Size = size(between(1, 4), between(2000, 8000), 1)
		}
		requested += t.Size.MilliCores
		list = append(list, t)
	}
	return list
}

func pack(seed uint64, choose chooseFunc) packingResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	candidates := packingCandidates()
	instancesOf := make(map[string][]int)
	tasks := packingTasks(seed)
	refused := 0
	for i := range tasks {
		t := &tasks[i]
		for j := range candidates {
			candidates[j].SameService = 0
		}
		for _, j := range instancesOf[t.Service] {
			candidates[j].SameService++
		}
		j := choose(rng, t, candidates)
		if j < 0 {
			refused++
			continue
		}
		candidates[j].Used = candidates[j].Used.Add(t.Size)
		if t.Class == guavascale.ClassService {
			candidates[j].Instances++
			instancesOf[t.Service] = append(instancesOf[t.Service], j)
		}
	}
	return summarizePacking(candidates, instancesOf, refused, len(tasks))
}

func summarizePacking(candidates []guavaplace.Candidate, instancesOf map[string][]int, refused, tasks int) packingResult {
	var used, all guavascale.Resources
	for i := range candidates {
		used, all = used.Add(candidates[i].Used), all.Add(candidates[i].Capacity)
	}
	shared, instances := 0, 0
	for _, list := range instancesOf {
		count := make(map[int]int)
		for _, j := range list {
			count[j]++
		}
		for _, n := range count {
			instances += n
			if n > 1 {
				shared += n
			}
		}
	}
	return packingResult{
		cores:        float64(used.MilliCores) / float64(all.MilliCores),
		memory:       float64(used.MemoryMB) / float64(all.MemoryMB),
		accelerators: float64(used.Accelerators) / float64(all.Accelerators),
		refused:      float64(refused) / float64(tasks),
		shared:       float64(shared) / float64(instances),
	}
}

func fits(t *guavascale.Task, c *guavaplace.Candidate) bool {
	return c.Capacity.Sub(c.Used).Fits(t.Size)
}

func firstFit(_ *rand.Rand, t *guavascale.Task, candidates []guavaplace.Candidate) int {
	for i := range candidates {
		if fits(t, &candidates[i]) {
			return i
		}
	}
	return -1
}

func bestFit(_ *rand.Rand, t *guavascale.Task, candidates []guavaplace.Candidate) int {
	best, least := -1, int64(0)
	for i := range candidates {
		left := candidates[i].Capacity.MilliCores - candidates[i].Used.MilliCores
		if fits(t, &candidates[i]) && (best < 0 || left < least) {
			best, least = i, left
		}
	}
	return best
}

func randomFit(rng *rand.Rand, t *guavascale.Task, candidates []guavaplace.Candidate) int {
	var feasible []int
	for i := range candidates {
		if fits(t, &candidates[i]) {
			feasible = append(feasible, i)
		}
	}
	if len(feasible) == 0 {
		return -1
	}
	return feasible[rng.IntN(len(feasible))]
}

// decisionCostTable measures the real time and allocations per decision.
func decisionCostTable(b *strings.Builder) {
	b.WriteString("\n## Cost per decision\n\nReal time on a shared machine, one goroutine, `testing.Benchmark`. Choose over all workers is what a scheduler without shards would do; a daemon decides within one shard of at most 64 workers, and goes to another shard by two random choices among the shards' summaries. Loss is the estimate for one worker with three batch kinds, added for each worker of the shard that can hold the task.\n\n")
	b.WriteString("| Decision | Workers | ns | B | Allocations |\n|---|---|---|---|---|\n")
	row := func(name string, workers int, f func(b *testing.B)) {
		r := testing.Benchmark(f)
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d |\n", name, workers, r.NsPerOp(), r.AllocedBytesPerOp(), r.AllocsPerOp())
	}
	for _, n := range []int{64, 50, 250, 2500, 18_000} {
		name := "Choose over all workers"
		if n == 64 {
			name = "Choose within a shard"
		}
		row(name, n, func(b *testing.B) { benchChoose(b, n) })
	}
	for _, n := range []int{50, 250, 2500, 18_000} {
		row("Divide one service of 20 instances", n, func(b *testing.B) { benchDivide(b, n) })
	}
	row("Loss", 1, benchLoss)
}

func benchChoose(b *testing.B, n int) {
	candidates := make([]guavaplace.Candidate, 0, n+64)
	for len(candidates) < n {
		candidates = append(candidates, packingCandidates()...)
	}
	candidates = candidates[:n]
	for i := range candidates {
		candidates[i].Used = guavascale.Resources{MilliCores: int64(i%16) * 1000, MemoryMB: int64(i%16) * 2000}
	}
	t := guavascale.Task{Class: guavascale.ClassBatch, Size: guavascale.Resources{MilliCores: 2000, MemoryMB: 4000}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		guavaplace.Choose(&t, candidates, packingPolicy)
	}
}

func benchDivide(b *testing.B, workers int) {
	var shards []guavaplace.ShardCapacity
	for i := range (workers + 63) / 64 {
		zone := guavascale.Zone(fmt.Sprintf("z%d", i%11))
		shards = append(shards, guavaplace.ShardCapacity{
			Shard: guavascale.Partition(fmt.Sprintf("Shard-%s-%d", zone, i)), Zone: zone, MilliCores: 64 * 32_000,
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		guavaplace.Divide("seats", 20, shards)
	}
}

func benchLoss(b *testing.B) {
	var e guavainterference.Estimator
	t := guavascale.Task{Class: guavascale.ClassBatch, Kind: "a", Size: guavascale.Resources{MilliCores: 2000}}
	beside := []guavainterference.Load{{Kind: "checkout", Class: guavascale.ClassService, Tasks: 1, MilliCores: 2000}}
	w := guavainterference.Worker{Services: []guavainterference.Service{{Kind: "checkout", Ratio: 0.7, MeasuredAt: simStart}}}
	for _, kind := range []string{"a", "b", "c"} {
		beside = append(beside, guavainterference.Load{Kind: kind, Class: guavascale.ClassBatch, Tasks: 1, MilliCores: 2000})
		w.Batch = append(w.Batch, guavainterference.Batch{Kind: kind, Cores: 2})
	}
	e.Observe(&w)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		e.Loss(&t, beside)
	}
}
