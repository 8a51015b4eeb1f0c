package guavaqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavastate"
)

// Guards against work that waits beside free room without a trace of what keeps it off
// the workers.
func TestWaitingWorkIsExplained(t *testing.T) {
	cases := map[string]struct {
		// milliCores is the size of the services and tailLatency their latency.
		milliCores  int64
		tailLatency time.Duration
		excluded    bool
		want        []guavastate.Backlog
	}{
		"the services would be disturbed": {
			milliCores: 1600, tailLatency: 5 * time.Millisecond, excluded: true,
			want: []guavastate.Backlog{{Queue: "slow", Kind: "filler", Class: guavascale.ClassBatch, Tasks: 2, Room: 8, Excluded: 4}},
		},
		"the services are near their targets": {
			milliCores: 1600, tailLatency: 17 * time.Millisecond,
			want: []guavastate.Backlog{{Queue: "slow", Kind: "filler", Class: guavascale.ClassBatch, Tasks: 2, Room: 8, Disturbed: 4}},
		},
		"no room for the work twice over": {
			milliCores: 12_800, tailLatency: 5 * time.Millisecond, excluded: true,
			want: []guavastate.Backlog{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4)
			for _, w := range f.workers {
				w.info.Capacity = guavascale.Resources{MilliCores: 16_000, MemoryMB: 64_000}
				w.tailLatency = c.tailLatency
			}
			f.listWorkers()
			s := serviceOf("service", 4)
			s.Steps[0].Size.MilliCores, s.Steps[0].Kind, s.Steps[0].Target, s.Steps[0].MaxPerWorker = c.milliCores, "service", 18*time.Millisecond, 1
			f.submit(s)
			f.advance(2 * time.Second)
			require.Equal(t, 4, f.countRunning("service"))
			if c.excluded {
				f.exclude("service", "filler")
			}
			filler := fillersOf("filler", "filler", 2, time.Second)
			filler.Steps[0].Size.MilliCores = 6000
			f.submit(filler)
			f.advance(backlogWait + time.Second)
			got := f.engine.Backlogs(f.now)
			for i := range got {
				assert.GreaterOrEqual(t, got[i].WaitMs, backlogWait.Milliseconds())
				got[i].WaitMs = 0
			}
			assert.Equal(t, c.want, got, fmt.Sprint(f.engine.Stats(f.now)))
		})
	}
}
