package main

import (
	"math/rand/v2"
	"time"

	"guavascale.example/platform/guavastandin"
)

type (
	// restartSeries restarts some workers at once, several times in succession.
	restartSeries struct {
		// workers are indexes.
		workers []int
		rounds  []restartRound
	}

	// restartRound is one restart: workers crash silently, are back under their IDs after
	// down, are cut off once they have been up, and crash again some time after the cut.
	restartRound struct {
		down, up, cut, after time.Duration
		// faults are those of the workers from the crash to the cut.
		faults guavastandin.WorkerFaults
		// cutStore is set if the list of workers shows the restart only after the cut.
		cutStore bool
	}
)

const (
	// restartInterval is the mean time between the beginnings of two series, which overlap.
	restartInterval = 4 * time.Second
	// longFactor is how many times longer than others long tasks run. Their estimate is the
	// same, and longShare is the share of submissions that have them, one in so many.
	longFactor = 6
	longShare  = 3
)

// restartsWorkers reports whether the run has series of restarts and long tasks. They have a
// random source of their own, so that the other faults of these seeds keep their draw.
func (s *soak) restartsWorkers() bool { return s.seed%3 == 0 }

func drawRestarts(r *rand.Rand, workers int) restartSeries {
	series := restartSeries{workers: r.Perm(workers)[:1+r.IntN(workers/2+1)]}
	for range 2 + r.IntN(2) {
		round := restartRound{
			down:  between(r, 300*time.Millisecond, time.Second),
			up:    between(r, 0, 2500*time.Millisecond),
			cut:   between(r, time.Second, 8*time.Second),
			after: between(r, 0, time.Second),
		}
		round.faults = guavastandin.WorkerFaults{KeepCalls: r.IntN(4) > 0, LoseAnswers: max(2*r.Float64()-1, 0)}
		if r.IntN(2) == 0 {
			round.faults.LateStarts, round.faults.MaxLate = r.Float64(), between(r, 0, time.Second)
		}
		round.cutStore = r.IntN(2) == 0
		series.rounds = append(series.rounds, round)
	}
	return series
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*float64(high-low))
}

// restartUntil begins series of restarts until stop is closed.
func (s *soak) restartUntil(stop chan struct{}) {
	defer s.wg.Done()
	r := rand.New(rand.NewPCG(s.seed, 8))
	for sleep(stop, between(r, 0, 2*restartInterval)) {
		s.countFault("workers restart")
		series := drawRestarts(r, len(s.workers))
		for _, i := range series.workers {
			s.wg.Add(1)
			go s.restartInSeries(stop, s.workers[i], series.rounds)
		}
	}
}

func (s *soak) restartInSeries(stop chan struct{}, w *guavastandin.Worker, rounds []restartRound) {
	defer s.wg.Done()
	for _, round := range rounds {
		w.SetFaults(round.faults)
		s.addError(w.CutStore(round.cutStore))
		// Whoever has crashed the worker restarts it, so one that is down stays down.
		crashed := w.CrashSilently()
		sleep(stop, round.down)
		if crashed {
			s.addError(w.Listen())
		}
		sleep(stop, round.up)
		w.SetFaults(guavastandin.WorkerFaults{Cut: true})
		sleep(stop, round.cut)
		w.SetFaults(guavastandin.WorkerFaults{})
		s.addError(w.CutStore(false))
		if !sleep(stop, round.after) {
			return
		}
	}
}

// sleep waits for a time or until stop is closed, and reports whether stop is still open.
func sleep(stop chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// countFault counts a fault of a kind.
func (s *soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[name]++
}
