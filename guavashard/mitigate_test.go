package guavashard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavainterference"
)

// newInterferenceHarness returns a harness with one worker that runs a service
// instance and batch tasks that increase its latency.
func newInterferenceHarness(t *testing.T) *harness {
	h := newHarness(t, 1, 1)
	h.fleet.UsageLag = time.Second
	h.fleet.Latency = func(_ time.Time, _ guavascale.Task, running []guavafake.RunningTask) float64 {
		latency := 60.0
		for _, b := range running {
			if b.Task.Class == guavascale.ClassBatch {
				latency += 100 * b.Cores
			}
		}
		return latency
	}
	h.view.Preset.LatencyWeight, h.view.Preset.BatchWeight = 70, 30
	h.view.Config.Services["seats"] = guavascale.Service{
		Name: "seats", Kind: "checkout", TargetMs: 100, Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
	h.view.Instances["seats"] = 1
	h.run(3 * time.Second)
	h.declareUntilLogged(testJob("packs", 2, 30))
	return h
}

// mitigate runs the harness for the given time with a controller update every
// second, and returns the number of applied steps of each kind.
func (h *harness) mitigate(c *guavainterference.Controller, d time.Duration) map[guavainterference.StepKind]int {
	taken := make(map[guavainterference.StepKind]int)
	p := guavainterference.Policy{LatencyWeight: 70, BatchWeight: 30, EvictAfter: 5 * time.Second}
	for range int(d / time.Second) {
		h.run(time.Second)
		for _, step := range c.Update(h.clock.now, testName, h.shard.Observe(), p) {
			if h.shard.Mitigate(step) {
				taken[step.Kind]++
			}
		}
	}
	return taken
}

// Guards P3: tasks that are throttled and evicted to protect a service complete
// exactly once.
func TestMitigatedTasksCompleteOnce(t *testing.T) {
	h := newInterferenceHarness(t)
	var c guavainterference.Controller
	h.view.Interference = c.Estimator.Loss
	steps := h.mitigate(&c, 10*time.Minute)
	require.Positive(t, steps[guavainterference.StepThrottle])
	require.Positive(t, steps[guavainterference.StepEvict])
	require.Equal(t, 2, h.status("packs").Done)
	require.True(t, c.Estimator.Get("checkout", "audit-pack").Known)
	h.requireNoViolations()
}

// Guards against an attempt that stays throttled forever because the owner that
// throttled it was replaced: throttles are not logged, so the next owner has
// no record of them.
func TestNewOwnerReleasesThrottles(t *testing.T) {
	h := newInterferenceHarness(t)
	h.run(3 * time.Second)
	cores := func() (sum float64) {
		for _, b := range h.fleet.RunningTasks()["w0"] {
			if b.Task.Class == guavascale.ClassBatch {
				sum += b.Cores
			}
		}
		return sum
	}
	full := cores()
	require.Positive(t, full)
	for _, task := range h.shard.Tasks() {
		h.shard.Throttle(task.ID, 25)
	}
	h.run(3 * time.Second)
	require.InDelta(t, full/4, cores(), 0.001)
	h.takeOver()
	h.run(5 * time.Second)
	require.InDelta(t, full, cores(), 0.001)
}

// Guards against a throttle order in every step: each order causes a message,
// and a throttle stays in force for a long time.
func TestThrottleAddsNoMessages(t *testing.T) {
	h := newInterferenceHarness(t)
	h.run(3 * time.Second)
	sent := 0
	h.delay = func(Message) time.Duration { sent++; return 0 }
	h.run(10 * time.Second)
	before := sent
	for _, task := range h.shard.Tasks() {
		h.shard.Throttle(task.ID, 50)
	}
	h.run(10 * time.Second)
	require.LessOrEqual(t, sent-before, before+2)
}
