package main

import (
	"slices"
	"sync"
)

// runSeeds calls run with the seeds 1 to n, at most parallelRuns at a time, and
// returns the results in the order of the seeds.
func runSeeds[R any](n int, run func(seed uint64) R) []R {
	rs := make([]R, n)
	slots := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i := range rs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rs[i] = run(uint64(i + 1))
		})
	}
	wg.Wait()
	return rs
}

// aggregate returns a table cell with one value of each run.
func aggregate[R any](rs []R, value func(R) float64) cell {
	var c cell
	for _, r := range rs {
		c.values = append(c.values, value(r))
	}
	slices.Sort(c.values)
	return c
}
