package guavainterference

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// workerAt returns a worker with one service, measured the given number of
// seconds after testStart.
func workerAt(second, ratio float64, batch ...Batch) *Worker {
	return &Worker{
		ID: "w", MilliCores: 32_000, Batch: batch,
		Services: []Service{{Task: "s/0", Kind: "checkout", Ratio: ratio, MeasuredAt: testStart.Add(seconds(second))}},
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func batchOf(task, kind string, percent int) Batch {
	return Batch{Task: guavascale.TaskID(task), Kind: kind, Cores: 8, Percent: percent, Evictable: true}
}

var testPolicy = Policy{LatencyWeight: 70, BatchWeight: 30, EvictAfter: 5 * time.Second}

func alwaysAllow() bool { return true }

func TestMitigator(t *testing.T) {
	var e Estimator
	observeSimulated(&e, 300)
	loud, quiet := batchOf("l/0", "loud", 100), batchOf("q/0", "quiet", 100)
	urgent, throttled := loud, batchOf("l/0", "loud", 25)
	urgent.Task, urgent.Urgent = "u/0", true
	halfSpeed := Batch{Task: "q/0", Kind: "quiet", Cores: 2, Percent: 50, Evictable: true}
	batchFirst := Policy{LatencyWeight: 1, BatchWeight: 99, EvictAfter: 5 * time.Second}
	for name, c := range map[string]struct {
		policy Policy
		lag    float64
		inputs []*Worker
		want   []string
	}{
		"service within its target": {testPolicy, 1, []*Worker{workerAt(0, 0.9, loud), workerAt(1, 0.99, loud)}, nil},
		// The interfering kind is throttled, not the other one.
		"throttles the cause": {testPolicy, 1, []*Worker{workerAt(0, 1.2, quiet, loud)}, []string{"Throttle l/0 50"}},
		// An urgent task is throttled last.
		"spares urgent tasks": {testPolicy, 1, []*Worker{workerAt(0, 1.2, urgent, loud)}, []string{"Throttle l/0 50"}},
		// A measurement taken before the throttle takes effect must not cause
		// another step, however late it arrives.
		"late measurements": {
			testPolicy, 15,
			[]*Worker{workerAt(0, 1.5, loud), workerAt(6, 1.5, loud), workerAt(12, 1.5, loud), workerAt(18, 1.5, loud)},
			[]string{"Throttle l/0 50"},
		},
		// The same measurement in two reports causes one step.
		"repeated measurement": {
			testPolicy, 1, []*Worker{workerAt(0, 1.5, loud), workerAt(0, 1.5, loud)}, []string{"Throttle l/0 50"},
		},
		"evicts when a breach lasts": {
			testPolicy, 1, []*Worker{workerAt(0, 1.5, loud), workerAt(6, 1.5, loud)}, []string{"Throttle l/0 50", "Evict l/0 0"},
		},
		// EvictAfter counts from the start of the current breach.
		"interrupted breach": {
			testPolicy, 1,
			[]*Worker{workerAt(0, 1.5, loud), workerAt(6, 0.9, throttled), workerAt(12, 1.5, throttled)},
			[]string{"Throttle l/0 50"},
		},
		"weights keep batch work": {
			batchFirst, 1,
			[]*Worker{workerAt(0, 1.5, loud), workerAt(6, 1.5, batchOf("l/0", "loud", 50)), workerAt(12, 1.5, throttled)},
			[]string{"Throttle l/0 50", "Throttle l/0 25"},
		},
		// Between releaseRatio and 1 nothing changes, so that throttles don't
		// oscillate when a service is close to its target.
		"hysteresis":                 {testPolicy, 1, []*Worker{workerAt(0, 0.9, throttled), workerAt(20, 0.95, throttled), workerAt(40, 0.9, throttled)}, nil},
		"releases after low latency": {testPolicy, 1, []*Worker{workerAt(0, 0.5, throttled), workerAt(11, 0.5, throttled)}, []string{"Release l/0 50"}},
		// Throttles stay if the estimate predicts a new breach after a release.
		"release that would cause a breach": {testPolicy, 1, []*Worker{workerAt(0, 0.8, throttled), workerAt(11, 0.8, throttled)}, nil},
		// A service that misses its target for another reason must not keep
		// batch tasks throttled.
		"ineffective throttle": {
			testPolicy, 1,
			[]*Worker{workerAt(0, 1.5, halfSpeed), workerAt(30, 1.5, halfSpeed), workerAt(61, 1.5, halfSpeed)},
			[]string{"Release q/0 100"},
		},
		"effective throttle": {
			batchFirst, 1, []*Worker{workerAt(0, 1.5, throttled), workerAt(30, 1.5, throttled), workerAt(61, 1.5, throttled)}, nil,
		},
		// After a release that causes a breach, the next one waits twice as long.
		"release that causes a breach": {
			batchFirst, 1,
			[]*Worker{
				workerAt(0, 0.5, throttled), workerAt(11, 0.5, throttled), workerAt(17, 1.1, batchOf("l/0", "loud", 50)),
				workerAt(30, 0.5, throttled), workerAt(45, 0.5, throttled), workerAt(51, 0.5, throttled),
			},
			[]string{"Release l/0 50", "Throttle l/0 25", "Release l/0 50"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var m Mitigator
			var got []string
			for _, w := range c.inputs {
				now := w.Services[0].MeasuredAt.Add(seconds(c.lag))
				for _, s := range m.Decide(now, w, &e, c.policy, alwaysAllow) {
					got = append(got, fmt.Sprintf("%s %s %d", s.Kind, s.Task, s.Percent))
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against mass evictions when interfering tasks start on all workers at
// once.
func TestBudgetLimitsEvictions(t *testing.T) {
	var c Controller
	observeSimulated(&c.Estimator, 300)
	evicted := 0
	for second := range 60 {
		var workers []Worker
		for i := range 64 {
			w := workerAt(float64(second), 2, batchOf(fmt.Sprintf("l/%d", i), "loud", 100))
			w.ID = guavascale.WorkerID(fmt.Sprint("w", i))
			w.Services[0].Task = guavascale.TaskID(fmt.Sprint("s/", i))
			workers = append(workers, *w)
		}
		for _, s := range c.Update(testStart.Add(seconds(float64(second)+1)), "Shard-Rennes-0", workers, testPolicy) {
			if s.Kind == StepEvict {
				evicted++
			}
		}
	}
	require.Positive(t, evicted)
	require.LessOrEqual(t, evicted, 2*64/8, "a burst of an eighth of the workers, then an eighth per minute")
	require.Len(t, c.Recent(), maxRecentSteps)
}

// Guards against observing a measurement several times: reports repeat it until
// there is a newer one, and the variance of the estimate would become too small.
func TestControllerObservesMeasurementsOnce(t *testing.T) {
	var once, repeated Controller
	w := workerAt(0, 1.5, batchOf("l/0", "loud", 100))
	once.Update(testStart, "p", []Worker{*w}, testPolicy)
	for range 10 {
		repeated.Update(testStart, "p", []Worker{*w}, testPolicy)
	}
	require.Equal(t, once.Estimator.Estimates(), repeated.Estimator.Estimates())
	repeated.Forget(testStart.Add(time.Hour), func(guavascale.Partition) bool { return false })
	require.Empty(t, repeated.mitigators)
	require.Empty(t, repeated.lastMeasured)
	require.Empty(t, repeated.budgets)
}
