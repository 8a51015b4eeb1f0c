package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"guavascale.example"
)

// BenchmarkDecisions measures an owner's decisions: on every worker service
// tasks of ten kinds, and submissions of 12 tasks, half of them fillers, one in
// nine of a kind that every service keeps apart and that waits. One iteration is
// a second of that load.
func BenchmarkDecisions(b *testing.B) {
	sites := map[string]struct {
		workers, cores, submissions int
		waiting                     int
	}{
		"48 workers":              {48, 32, 14, 0},
		"490 workers":             {490, 18, 39, 0},
		"490 workers and a queue": {490, 18, 39, 400},
	}
	for name, site := range sites {
		b.Run(name, func(b *testing.B) {
			f := newFleet(b, site.workers)
			for _, w := range f.workers {
				w.w.Capacity = guavascale.Resources{MilliCores: int64(site.cores) * 1000, MemoryMB: 128_000}
			}
			f.list()
			for i := range site.workers {
				s := serviceOf(fmt.Sprintf("service%d", i), 4)
				s.Steps[0].Size.MilliCores, s.Steps[0].Kind = 3200, fmt.Sprint(i%10)
				s.Steps[0].Target = 18 * time.Millisecond
				f.submit(s)
			}
			for i := range 10 {
				f.engine.interference.keepApart(f.now, fmt.Sprint(i), "0")
			}
			f.run(time.Second)
			for i := range site.waiting {
				f.submit(fillersOf(fmt.Sprintf("w%d", i), "0", 12, time.Second))
			}
			f.run(time.Second)
			n := 0
			for b.Loop() {
				for range site.submissions {
					n++
					s := batchOf(fmt.Sprintf("s%d", n), 2, 6, time.Second)
					for j := range s.Steps {
						s.Steps[j].Size.MilliCores = 1800
						s.Steps[j].Filler, s.Steps[j].Checkpoints = n%2 == 0, n%2 == 0
						s.Steps[j].Kind = fmt.Sprint(1 + n%8)
					}
					f.submit(s)
				}
				f.run(time.Second)
			}
			b.ReportMetric(float64(f.starts)/float64(b.N), "starts/op")
		})
	}
}
