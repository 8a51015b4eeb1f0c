package guavaplace

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

func cores(n int64) guavascale.Resources {
	return guavascale.Resources{MilliCores: n * 1000, MemoryMB: n * 1000}
}

func room(id string, used int64) Room {
	return Room{Worker: guavascale.WorkerID(id), Capacity: cores(16), Used: cores(used), BatchUsed: cores(used)}
}

func with(r Room, change func(*Room)) Room {
	change(&r)
	return r
}

func TestChoose(t *testing.T) {
	batch := guavascale.Task{Class: guavascale.ClassBatch, Size: cores(4)}
	service := guavascale.Task{Class: guavascale.ClassService, Size: cores(4)}
	even := Policy{LatencyWeight: 50, BatchWeight: 50, MaxBatchShare: 0.5}
	avoid := even
	avoid.Avoid = true
	accelerated := with(room("a", 8), func(r *Room) { r.Capacity.Accelerators = 2 })
	harmed := with(room("a", 8), func(r *Room) { r.Interference, r.Instances = 0.5, 1; r.BatchUsed = cores(0) })
	for name, c := range map[string]struct {
		task    guavascale.Task
		policy  Policy
		rooms   []Room
		want    int
		refusal Refusal
	}{
		"batch packs":               {batch, even, []Room{room("a", 0), room("b", 8)}, 1, RefusalNone},
		"service takes the emptier": {service, even, []Room{room("a", 8), room("b", 0)}, 1, RefusalNone},
		// A worker must not hold two instances while another has room.
		"service spreads": {
			service, even, []Room{with(room("a", 0), func(r *Room) { r.SameService = 1 }), room("b", 12)}, 1, RefusalNone,
		},
		// P1: no worker gets more than it holds.
		"full":      {batch, even, []Room{room("a", 13)}, -1, RefusalNoRoom},
		"too large": {guavascale.Task{Class: guavascale.ClassBatch, Size: cores(17)}, even, []Room{room("a", 0)}, -1, RefusalTooLarge},
		"closed":    {batch, even, []Room{with(room("a", 0), func(r *Room) { r.Closed = true })}, -1, RefusalClosed},
		// Batch work beside services keeps to its share.
		"share": {batch, even, []Room{with(room("a", 8), func(r *Room) { r.Instances = 1 })}, -1, RefusalNoRoom},
		// Accelerators are kept for the tasks that need them.
		"accelerators": {batch, even, []Room{accelerated, room("b", 8)}, 1, RefusalNone},
		// Services prefer empty workers, but not because of their accelerators.
		"accelerators for service": {service, even, []Room{accelerated, room("b", 8)}, 1, RefusalNone},
		// A worker with much free memory and few free processors gets the task
		// that needs memory.
		"balance": {
			guavascale.Task{Class: guavascale.ClassBatch, Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 8000}},
			even,
			[]Room{
				with(room("a", 8), func(r *Room) { r.Used.MemoryMB = 8000 }),
				with(room("b", 8), func(r *Room) { r.Used.MemoryMB = 1000 }),
			},
			1, RefusalNone,
		},
		"prefers less loss":   {batch, even, []Room{harmed, room("b", 0)}, 1, RefusalNone},
		"waits, not harms":    {batch, avoid, []Room{harmed}, -1, RefusalLoss},
		"harms when it must":  {batch, even, []Room{harmed}, 0, RefusalNone},
		"loss and no room":    {batch, avoid, []Room{harmed, room("b", 13)}, -1, RefusalLoss},
		"services never wait": {service, avoid, []Room{harmed}, 0, RefusalNone},
	} {
		t.Run(name, func(t *testing.T) {
			i, refusal := Choose(&c.task, c.rooms, c.policy)
			require.Equal(t, c.want, i)
			require.Equal(t, c.refusal, refusal)
		})
	}
}

// Guards the cost of a decision.
func TestChooseAllocatesNothing(t *testing.T) {
	rooms := make([]Room, 64)
	for i := range rooms {
		rooms[i] = room("a", int64(i%16))
	}
	task := guavascale.Task{Class: guavascale.ClassBatch, Size: cores(1)}
	require.Zero(t, testing.AllocsPerRun(100, func() { Choose(&task, rooms, Policy{MaxBatchShare: 0.5}) }))
}
