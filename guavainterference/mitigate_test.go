package guavainterference

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// at returns a worker whose service was measured some seconds after the start.
func at(seconds, ratio float64, batch ...Batch) *Worker {
	return &Worker{
		ID: "w", MilliCores: 32_000, Batch: batch,
		Services: []Service{{Task: "s/0", Kind: "checkout", Ratio: ratio, MeasuredAt: testStart.Add(after(seconds))}},
	}
}

func after(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func running(task, kind string, percent int) Batch {
	return Batch{Task: guavascale.TaskID(task), Kind: kind, Cores: 8, Percent: percent, Movable: true}
}

var testPolicy = Policy{LatencyWeight: 70, BatchWeight: 30, EvictAfter: 5 * time.Second}

func allowed() bool { return true }

func TestMitigator(t *testing.T) {
	var e Estimator
	teach(&e, 300)
	loud, quiet := running("l/0", "loud", 100), running("q/0", "quiet", 100)
	urgent, held := loud, running("l/0", "loud", 25)
	urgent.Task, urgent.Urgent = "u/0", true
	slowed := Batch{Task: "q/0", Kind: "quiet", Cores: 2, Percent: 50, Movable: true}
	batchFirst := Policy{LatencyWeight: 1, BatchWeight: 99, EvictAfter: 5 * time.Second}
	for name, c := range map[string]struct {
		policy Policy
		lag    float64
		inputs []*Worker
		want   []string
	}{
		// A service within its target needs nothing.
		"calm": {testPolicy, 1, []*Worker{at(0, 0.9, loud), at(1, 0.99, loud)}, nil},
		// The kind that disturbs is throttled, not the one beside it.
		"throttles the cause": {testPolicy, 1, []*Worker{at(0, 1.2, quiet, loud)}, []string{"Throttle l/0 50"}},
		// An urgent task is the last choice.
		"spares urgent tasks": {testPolicy, 1, []*Worker{at(0, 1.2, urgent, loud)}, []string{"Throttle l/0 50"}},
		// A measurement taken before the throttle could show must not lead to
		// another step, however late it arrives.
		"late measurements": {
			testPolicy, 15,
			[]*Worker{at(0, 1.5, loud), at(6, 1.5, loud), at(12, 1.5, loud), at(18, 1.5, loud)},
			[]string{"Throttle l/0 50"},
		},
		// The same measurement in two reports leads to one step.
		"repeated measurement": {
			testPolicy, 1, []*Worker{at(0, 1.5, loud), at(0, 1.5, loud)}, []string{"Throttle l/0 50"},
		},
		"evicts when a breach lasts": {
			testPolicy, 1, []*Worker{at(0, 1.5, loud), at(6, 1.5, loud)}, []string{"Throttle l/0 50", "Evict l/0 0"},
		},
		// A breach that ended in between starts anew.
		"interrupted breach": {
			testPolicy, 1,
			[]*Worker{at(0, 1.5, loud), at(6, 0.9, held), at(12, 1.5, held)},
			[]string{"Throttle l/0 50"},
		},
		"weights keep batch work": {
			batchFirst, 1,
			[]*Worker{at(0, 1.5, loud), at(6, 1.5, running("l/0", "loud", 50)), at(12, 1.5, held)},
			[]string{"Throttle l/0 50", "Throttle l/0 25"},
		},
		// Between the two limits nothing changes, so that a service near its
		// target does not make throttles swing.
		"hysteresis":          {testPolicy, 1, []*Worker{at(0, 0.9, held), at(20, 0.95, held), at(40, 0.9, held)}, nil},
		"releases after calm": {testPolicy, 1, []*Worker{at(0, 0.5, held), at(11, 0.5, held)}, []string{"Release l/0 50"}},
		// A release that would bring the breach back by the estimate waits.
		"release that would disturb": {testPolicy, 1, []*Worker{at(0, 0.8, held), at(11, 0.8, held)}, nil},
		// A service that is slow by itself must not keep batch work throttled.
		"futile": {
			testPolicy, 1,
			[]*Worker{at(0, 1.5, slowed), at(30, 1.5, slowed), at(61, 1.5, slowed)},
			[]string{"Release q/0 100"},
		},
		"not futile": {
			batchFirst, 1, []*Worker{at(0, 1.5, held), at(30, 1.5, held), at(61, 1.5, held)}, nil,
		},
		// After a relapse the next release takes twice as long.
		"relapse": {
			batchFirst, 1,
			[]*Worker{
				at(0, 0.5, held), at(11, 0.5, held), at(17, 1.1, running("l/0", "loud", 50)),
				at(30, 0.5, held), at(45, 0.5, held), at(51, 0.5, held),
			},
			[]string{"Release l/0 50", "Throttle l/0 25", "Release l/0 50"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var m Mitigator
			var got []string
			for _, w := range c.inputs {
				now := w.Services[0].MeasuredAt.Add(after(c.lag))
				for _, s := range m.Decide(now, w, &e, c.policy, allowed) {
					got = append(got, fmt.Sprintf("%s %s %d", s.Kind, s.Task, s.Percent))
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against an eviction storm when a wave of noisy tasks reaches all
// workers at once.
func TestBudgetBoundsEvictions(t *testing.T) {
	var c Controller
	teach(&c.Estimator, 300)
	evicted := 0
	for second := range 60 {
		var workers []Worker
		for i := range 64 {
			w := at(float64(second), 2, running(fmt.Sprintf("l/%d", i), "loud", 100))
			w.ID = guavascale.WorkerID(fmt.Sprint("w", i))
			w.Services[0].Task = guavascale.TaskID(fmt.Sprint("s/", i))
			workers = append(workers, *w)
		}
		for _, s := range c.Update(testStart.Add(after(float64(second)+1)), "Shard-Rennes-0", workers, testPolicy) {
			if s.Kind == StepEvict {
				evicted++
			}
		}
	}
	require.Positive(t, evicted)
	require.LessOrEqual(t, evicted, 2*64/8, "a burst of an eighth of the workers, and an eighth a minute")
	require.Len(t, c.Recent(), maxRecent)
}

// Guards against counting one measurement several times: reports repeat it
// until there is a newer one, and the estimate would become too certain.
func TestControllerLearnsOnce(t *testing.T) {
	var once, often Controller
	w := at(0, 1.5, running("l/0", "loud", 100))
	once.Update(testStart, "p", []Worker{*w}, testPolicy)
	for range 10 {
		often.Update(testStart, "p", []Worker{*w}, testPolicy)
	}
	require.Equal(t, once.Estimator.Estimates(), often.Estimator.Estimates())
	often.Forget(testStart.Add(time.Hour), func(guavascale.Partition) bool { return false })
	require.Empty(t, often.mitigators)
	require.Empty(t, often.newest)
	require.Empty(t, often.budgets)
}
