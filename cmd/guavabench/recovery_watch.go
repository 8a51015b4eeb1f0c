package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavalease"
)

type (
	// watch samples a system during one phase of a trial.
	watch struct {
		s *recoverySystem
		// tasks is the number of batch tasks declared, instances the wanted
		// number of service instances.
		tasks, instances int
		start            time.Time
		before           guavafake.Verdict
		// excused holds the workers whose tasks had to be started again.
		excused map[guavascale.WorkerID]bool
		// up is the number of workers that should answer.
		up      int
		running map[guavascale.TaskID]guavascale.WorkerID
		load    *callers
		sent    callCounts

		cancel context.CancelFunc
		done   chan struct{}
		ph     phase
		// rates holds reads and writes so far at each sample.
		at     []time.Duration
		reads  []int64
		writes []int64
	}

	// phase is what one phase of a trial showed. Times are in seconds after
	// its start.
	phase struct {
		shardsOwned, allOwned, heard, batchBack float64
		reads, writes, readPeak, writePeak      float64
		restarts, needless, shortened, lost     float64
		deficit, deficitTime, instanceStarts    float64
		failed, keyedFailed, requests           float64
		violations                              float64
	}

	// callCounts counts requests.
	callCounts struct{ requests, failed, keyed, keyedFailed int64 }

	// callers send requests to the daemons that are ready, as a load balancer
	// that probes readiness every 250 ms distributes them.
	callers struct {
		s      *recoverySystem
		mu     sync.Mutex
		ready  []string
		counts callCounts
		reason map[string]int
	}
)

const (
	sampleInterval = 100 * time.Millisecond
	// rateTime is the time after an event over which store calls are averaged.
	rateTime = 10 * time.Second
	// peakSamples is the window of the peak, 1 s.
	peakSamples = 10
	// lostAttempts bounds the counts of known tasks until none is missing.
	lostAttempts = 10
)

// begin starts a phase. Tasks that ran on the excused workers may be started
// again.
func begin(s *recoverySystem, load *callers, running map[guavascale.TaskID]guavascale.WorkerID, excused []guavascale.WorkerID) *watch {
	w := &watch{
		s: s, tasks: recoveryTasks, instances: recoveryInstances, start: time.Now(), load: load, sent: load.total(),
		before: s.platform.Fleet.Verdict(), excused: map[guavascale.WorkerID]bool{},
		running: running, done: make(chan struct{}),
	}
	for _, id := range excused {
		w.excused[id] = true
	}
	list, _ := s.platform.Fleet.Workers(context.Background())
	w.up = len(list)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx)
	return w
}

func (w *watch) run(ctx context.Context) {
	defer close(w.done)
	for i := 0; ctx.Err() == nil; i++ {
		w.sample(i%3 == 0)
		sleepContext(ctx, sampleInterval)
	}
}

// sample extends each time up to which a condition did not hold. The state of
// the daemons is read in every third sample only.
func (w *watch) sample(states bool) {
	t := time.Since(w.start)
	w.at = append(w.at, t)
	w.reads = append(w.reads, w.s.reads.Load())
	w.writes = append(w.writes, w.s.writes.Load())
	all, shards := w.s.unowned()
	if shards > 0 {
		w.ph.shardsOwned = t.Seconds()
	}
	if all > 0 {
		w.ph.allOwned = t.Seconds()
	}
	instances, batch := w.s.runs()
	if missing := float64(w.instances - instances); missing > 0 {
		w.ph.deficit = max(w.ph.deficit, missing)
		w.ph.deficitTime += sampleInterval.Seconds()
	}
	if batch < w.tasks {
		w.ph.batchBack = t.Seconds()
	}
	if states && !w.s.heard(w.tasks, w.up) {
		w.ph.heard = t.Seconds()
	}
}

// end closes the phase and adds what the whole of it showed.
func (w *watch) end() phase {
	w.cancel()
	<-w.done
	w.ph.reads, w.ph.readPeak = w.rate(w.reads)
	w.ph.writes, w.ph.writePeak = w.rate(w.writes)
	w.countStarts()
	sent := w.load.total()
	w.ph.requests = float64(sent.requests - w.sent.requests)
	w.ph.failed = float64(sent.failed - w.sent.failed)
	w.ph.keyedFailed = float64(sent.keyedFailed - w.sent.keyedFailed)
	// A shard that moves to another owner at this moment is in nobody's list.
	for range lostAttempts {
		w.ph.lost = float64(w.tasks - w.s.knownTasks())
		if w.ph.lost == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	return w.ph
}

func (w *watch) rate(v []int64) (mean, peak float64) {
	for i := range v {
		if w.at[i] > rateTime {
			break
		}
		if i > 0 {
			mean = float64(v[i]-v[0]) / (w.at[i] - w.at[0]).Seconds()
		}
		if i >= peakSamples {
			span := (w.at[i] - w.at[i-peakSamples]).Seconds()
			peak = max(peak, float64(v[i]-v[i-peakSamples])/span)
		}
	}
	return mean, peak
}

func (w *watch) countStarts() {
	v := w.s.platform.Fleet.Verdict()
	for _, starts := range v.StartsByZone {
		for _, st := range starts {
			if !st.At.After(w.start) {
				continue
			}
			if st.Class == guavascale.ClassService {
				w.ph.instanceStarts++
				continue
			}
			w.ph.restarts++
			fmt.Fprintf(w.s.trace, "start %s on %s after %.1f s\n", st.Attempt, st.Worker, st.At.Sub(w.start).Seconds())
			if !w.excused[w.running[taskOf(st.Attempt)]] {
				w.ph.needless++
			}
		}
	}
	w.ph.shortened = float64(v.Unreported - w.before.Unreported)
	w.ph.violations = float64(len(v.Violations) - len(w.before.Violations))
}

func taskOf(a guavascale.AttemptID) guavascale.TaskID {
	id, _, _ := strings.Cut(string(a), "#")
	return guavascale.TaskID(id)
}

func isClaimPartition(p guavascale.Partition) bool { return strings.HasPrefix(string(p), "Claim-") }

func isInstance(a guavascale.AttemptID) bool {
	return strings.HasPrefix(string(a), recoveryService+"/")
}

func (s *recoverySystem) ownerRows() map[guavascale.Partition]guavalease.OwnerRow {
	rows, _ := s.platform.Table.Scan(context.Background(), guavalease.OwnerPrefix, "", 500)
	owners := make(map[guavascale.Partition]guavalease.OwnerRow, len(rows))
	for _, r := range rows {
		o, _ := guavalease.DecodeOwner(r.Value)
		owners[guavascale.Partition(strings.TrimPrefix(r.Key, guavalease.OwnerPrefix))] = o
	}
	return owners
}

// runs counts the service instances and batch tasks that run.
func (s *recoverySystem) runs() (instances, batch int) {
	for _, attempts := range s.platform.Fleet.Running() {
		for _, a := range attempts {
			if isInstance(a) {
				instances++
			} else {
				batch++
			}
		}
	}
	return instances, batch
}

func (s *recoverySystem) batchRuns() map[guavascale.TaskID]guavascale.WorkerID {
	runs := map[guavascale.TaskID]guavascale.WorkerID{}
	for id, attempts := range s.platform.Fleet.Running() {
		for _, a := range attempts {
			if !isInstance(a) {
				runs[taskOf(a)] = id
			}
		}
	}
	return runs
}

// heard reports whether each shard is open at its owner, which may act, and
// the workers that are up answered it recently.
func (s *recoverySystem) heard(tasks, up int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	owners := s.ownerRows()
	var skipped []guavascale.Partition
	for _, n := range s.live() {
		st, err := n.daemon.State(ctx)
		if err != nil {
			return false
		}
		for _, sh := range st.Shards {
			if !sh.Open || !sh.Acts || sh.Epoch != owners[sh.Partition].Epoch {
				skipped = append(skipped, sh.Partition)
				continue
			}
			up -= sh.Answering
			tasks -= sh.BatchTasks
		}
	}
	if tasks > 0 || up > 0 {
		fmt.Fprintf(s.trace, "%s missing: %d tasks, %d workers; shards not counted: %v\n", time.Now().Format(time.TimeOnly), tasks, up, skipped)
	}
	return tasks <= 0 && up <= 0
}

// knownTasks returns the number of different batch tasks that the owners of
// the shards hold.
func (s *recoverySystem) knownTasks() int {
	known := map[guavascale.TaskID]bool{}
	for _, n := range s.live() {
		w, err := n.daemon.Work(context.Background())
		if err != nil {
			continue
		}
		for _, t := range w.Tasks {
			if t.Class == guavascale.ClassBatch && !t.State.Ended() {
				known[t.ID] = true
			}
		}
	}
	return len(known)
}
