package guavainterference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

var testStart = time.Unix(1_000_000, 0)

// observeSimulated passes n seconds of noisy measurements to the estimator, in
// which the kind "loud" adds 6% of the target to the latency per busy core and
// "quiet" adds nothing. It returns the time of the last one.
func observeSimulated(e *Estimator, n int) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	at := testStart
	for range n {
		at = at.Add(time.Second)
		loud, quiet := float64(rng.IntN(9)), float64(rng.IntN(17))
		ratio := (0.6 + 0.06*loud) * (1 + 0.1*rng.NormFloat64())
		e.Observe(&Worker{
			Services: []Service{{Task: "s/0", Kind: "checkout", Ratio: ratio, MeasuredAt: at}},
			Batch:    []Batch{{Task: "l/0", Kind: "loud", Cores: loud}, {Task: "q/0", Kind: "quiet", Cores: quiet}},
		})
	}
	return at
}

func loads(kinds map[string]int64) []Load {
	list := []Load{{Kind: "checkout", Class: guavascale.ClassService, MilliCores: 1000}}
	for kind, cores := range kinds {
		list = append(list, Load{Kind: kind, Class: guavascale.ClassBatch, MilliCores: cores * 1000})
	}
	return list
}

func batchTask(kind string, cores int64) *guavascale.Task {
	return &guavascale.Task{Class: guavascale.ClassBatch, Kind: kind, Size: guavascale.Resources{MilliCores: cores * 1000}}
}

// Guards against attributing the interference of one batch kind to another that
// runs at the same time.
func TestEstimatorSeparatesKinds(t *testing.T) {
	var e Estimator
	observeSimulated(&e, 300)
	require.InDelta(t, 0.06, e.Get("checkout", "loud").PerCore, 0.015)
	require.InDelta(t, 0, e.Get("checkout", "quiet").PerCore, 0.01)
	require.Less(t, e.Get("checkout", "loud").Deviation, priorPerCoreDeviation/2)
	for name, c := range map[string]struct {
		task     *guavascale.Task
		beside   []Load
		min, max float64
	}{
		"quiet beside quiet":   {batchTask("quiet", 8), loads(map[string]int64{"quiet": 8}), 0, 0.05},
		"loud alone":           {batchTask("loud", 2), loads(nil), 0, 0.05},
		"loud beside loud":     {batchTask("loud", 8), loads(map[string]int64{"loud": 6}), 0.3, 0.7},
		"no service":           {batchTask("loud", 8), nil, 0, 0},
		"service beside loud":  {&guavascale.Task{Class: guavascale.ClassService, Kind: "checkout"}, loads(map[string]int64{"loud": 16}), 0.4, 0.8},
		"service beside quiet": {&guavascale.Task{Class: guavascale.ClassService, Kind: "checkout"}, loads(map[string]int64{"quiet": 8}), 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			loss := e.Loss(c.task, c.beside)
			require.GreaterOrEqual(t, loss, c.min)
			require.LessOrEqual(t, loss, c.max)
		})
	}
}

// Guards against estimates that never expire: a batch kind that placement keeps
// away from a service is not measured there and would never be tried again.
func TestEstimatesDecayToPrior(t *testing.T) {
	var e Estimator
	at := observeSimulated(&e, 300)
	for range 360 {
		at = at.Add(30 * time.Second)
		e.Observe(&Worker{Services: []Service{{Task: "s/0", Kind: "checkout", Ratio: 0.6, MeasuredAt: at}}})
	}
	est := e.Get("checkout", "loud")
	require.InDelta(t, priorPerCore, est.PerCore, 0.01)
	require.InDelta(t, priorPerCoreDeviation, est.Deviation, 0.002)
}

// Guards against memory use that grows with the number of kinds, which callers
// choose.
func TestEstimatorIsBounded(t *testing.T) {
	var e Estimator
	require.Equal(t, priorPerCore, e.Get("a", "b").PerCore, "the zero value holds priors")
	for i := range 3 * maxServiceKinds {
		for j := range 2 * maxBatchKinds {
			e.Observe(&Worker{
				Services: []Service{{Kind: fmt.Sprint("s", i), Ratio: 0.5, MeasuredAt: testStart.Add(time.Duration(i) * time.Second)}},
				Batch:    []Batch{{Kind: fmt.Sprint("b", j), Cores: 1}},
			})
		}
	}
	require.Len(t, e.Estimates(), maxServiceKinds*maxBatchKinds)
	require.True(t, e.Get(fmt.Sprint("s", 3*maxServiceKinds-1), fmt.Sprint("b", 2*maxBatchKinds-1)).Known, "the newest pair is kept")
}

// Guards against keeping batch tasks away from services whose latency the platform
// does not report: without measurements the uncertainty would never shrink.
func TestUnmeasuredServiceAddsNoLoss(t *testing.T) {
	var e Estimator
	beside := loads(map[string]int64{"loud": 16})
	require.Zero(t, e.Loss(batchTask("loud", 8), beside))
	e.Observe(&Worker{Services: []Service{{Kind: "checkout", Ratio: 0.5, MeasuredAt: testStart}}})
	require.Positive(t, e.Loss(batchTask("loud", 8), beside), "an unknown kind beside a measured service")
}

// Guards against allocations in placement, which calls Loss for every candidate
// worker.
func TestLossAllocatesNothing(t *testing.T) {
	var e Estimator
	observeSimulated(&e, 10)
	beside := loads(map[string]int64{"loud": 2, "quiet": 2, "other": 2})
	require.Zero(t, testing.AllocsPerRun(100, func() { e.Loss(batchTask("loud", 1), beside) }))
}

func BenchmarkLoss(b *testing.B) {
	var e Estimator
	observeSimulated(&e, 100)
	task, beside := batchTask("loud", 1), loads(map[string]int64{"loud": 2, "quiet": 2, "other": 2})
	b.ReportAllocs()
	for b.Loop() {
		e.Loss(task, beside)
	}
}

func BenchmarkObserve(b *testing.B) {
	var e Estimator
	b.ReportAllocs()
	for b.Loop() {
		observeSimulated(&e, 1)
	}
}
