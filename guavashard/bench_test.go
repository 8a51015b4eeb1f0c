package guavashard

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavainterference"
)

// benchShard returns a shard in steady state with ten batch tasks and two
// service instances on each worker.
func benchShard(b *testing.B, workers int) *harness {
	t := &testing.T{}
	h := newHarness(t, 1, 0)
	for i := range workers {
		h.fleet.Add(guavascale.Worker{
			ID: guavascale.WorkerID(fmt.Sprintf("w%03d", i)), Zone: testZone,
			Capacity:     guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000},
			AgentAddress: "agent", EndpointAddress: "endpoint", Slots: 8, Connections: 60,
		})
	}
	h.view.Preset.BatchLeaseSeconds = 720
	h.view.Preset.ServiceLeaseSeconds = 720
	h.view.Preset.StartsPerSecond = 10_000
	h.view.WorkerSizes = []guavascale.Resources{{MilliCores: 32_000, MemoryMB: 125_000}}
	h.view.Config.Services["seats"] = guavascale.Service{
		Name: "seats", Kind: "checkout", Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 1024},
	}
	h.view.Instances["seats"] = 2 * workers
	for i := range workers {
		h.declareUntilLogged(testJob(fmt.Sprintf("job%d", i), 10, 1e6))
	}
	h.run(20 * time.Second)
	n := 0
	for _, list := range h.fleet.Running() {
		n += len(list)
	}
	require.Equal(b, 12*workers, n)
	return h
}

// BenchmarkSecond measures the cost of one second of a shard in steady state to
// its owner: ten steps and a message to each worker, without the network. The
// time spent in the fake fleet is excluded.
func BenchmarkSecond(b *testing.B) {
	for _, workers := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := benchShard(b, workers)
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for range 10 {
					h.clock.now = h.clock.now.Add(testStep)
					h.view.StartUntil = h.clock.now.Add(2 * time.Second)
					h.view.ActUntil = h.clock.now.Add(9 * time.Second)
					e := h.shard.Step(h.clock.now, &h.view)
					bytes += deliverMessages(b, h, e)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-bytes/op")
		})
	}
}

// deliverMessages delivers the messages of a step and their reports, and returns
// their total size as JSON in bytes.
func deliverMessages(b *testing.B, h *harness, e Effects) int {
	bytes := 0
	for _, m := range e.Messages {
		b.StopTimer()
		r, err := h.fleet.Send(context.Background(), m.Worker, m.Orders)
		b.StartTimer()
		out, _ := json.Marshal(m.Orders)
		in, _ := json.Marshal(r)
		var decoded guavascale.Report
		_ = json.Unmarshal(in, &decoded)
		bytes += len(out) + len(in)
		h.shard.HandleReport(h.clock.now, h.clock.now, m.Worker.ID, decoded, err)
	}
	return bytes
}

// BenchmarkStart measures the arrival, start and end of one task, including the
// commits of the records.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := benchShard(b, workers)
			t := guavascale.Task{
				ID: "x/0", Class: guavascale.ClassBatch, State: guavascale.TaskPending, Home: "Shard-Brest-0",
				Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
			}
			records := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				t.ID = guavascale.TaskID(fmt.Sprintf("x/%d", i))
				e := h.shard.HandleInbox([]guavascale.Row{inboxRow(t)})
				records += commitAll(h, e)
				records += commitAll(h, h.shard.Step(h.clock.now, &h.view))
				e2 := h.shard.tasks[t.ID]
				h.shard.endTask(e2, guavascale.TaskDone, "")
				records += commitAll(h, h.shard.takeEffects())
			}
			b.ReportMetric(float64(records)/float64(b.N), "log-bytes/op")
		})
	}
}

func inboxRow(t guavascale.Task) guavascale.Row {
	value, _ := json.Marshal(guavascale.InboxItem{Task: &t})
	return guavascale.Row{Key: InboxKey(testName, string(t.ID)), Version: 1, Value: value}
}

func commitAll(h *harness, e Effects) int {
	bytes := 0
	for _, a := range e.Appends {
		for _, r := range a.Records {
			data, _ := json.Marshal(r)
			bytes += len(data)
		}
		h.shard.HandleCommit(a.ID, nil)
	}
	return bytes
}

// BenchmarkDecision measures the selection of a worker for one task, alternating
// between two kinds of tasks.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := benchShard(b, workers)
			var est guavainterference.Estimator
			h.view.Interference = est.Loss
			h.shard.Step(h.clock.now, &h.view)
			tasks := []*taskEntry{{}, {}}
			for i, kind := range []string{"audit-pack", "render"} {
				tasks[i].task = guavascale.Task{
					Class: guavascale.ClassBatch, Kind: kind, Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
				}
			}
			h.shard.prepareCandidates()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.shard.chooseWorker(tasks[i%2])
			}
		})
	}
}
