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
	// phaseMonitor samples a system during one phase of a trial.
	phaseMonitor struct {
		system *recoverySystem
		// tasks is the number of declared batch tasks, instances the target
		// number of service instances.
		tasks, instances int
		start            time.Time
		before           guavafake.Verdict
		// excused holds the workers whose tasks must be started again.
		excused map[guavascale.WorkerID]bool
		// workersUp is the number of workers that should respond.
		workersUp  int
		running    map[guavascale.TaskID]guavascale.WorkerID
		callers    *callers
		sentBefore callCounts

		cancel context.CancelFunc
		done   chan struct{}
		result phaseResult
		// reads and writes hold the total store calls at each time in sampledAt.
		sampledAt []time.Duration
		reads     []int64
		writes    []int64
	}

	// phaseResult holds the measurements of one phase of a trial. Times are in
	// seconds after its start.
	phaseResult struct {
		shardsOwned, allOwned, allReported, batchRunning      float64
		reads, writes, readPeak, writePeak                    float64
		restarts, needlessRestarts, partialResumes, lostTasks float64
		missingInstances, missingTime, instanceStarts         float64
		failed, keyedFailed, requests                         float64
		violations                                            float64
	}

	// callCounts counts requests by result, without and with an idempotency key.
	callCounts struct{ requests, failed, keyed, keyedFailed int64 }

	// callers send requests to random ready daemons, as a load balancer would
	// that probes readiness every 250 ms.
	callers struct {
		system           *recoverySystem
		mu               sync.Mutex
		ready            []string
		counts           callCounts
		failuresByReason map[string]int
	}
)

const (
	sampleInterval = 100 * time.Millisecond
	// rateWindow is the time after an event over which store calls are averaged.
	rateWindow = 10 * time.Second
	// peakSamples is the window of the peak rate in samples, 1 s.
	peakSamples = 10
	// knownTasksAttempts limits how often the known tasks are counted until none
	// is missing.
	knownTasksAttempts = 10
)

// startMonitor starts to monitor a phase. Restarts of tasks that ran on the
// excused workers do not count as needless.
func startMonitor(s *recoverySystem, load *callers, running map[guavascale.TaskID]guavascale.WorkerID, excused []guavascale.WorkerID) *phaseMonitor {
	m := &phaseMonitor{
		system: s, tasks: recoveryTasks, instances: recoveryInstances, start: time.Now(), callers: load, sentBefore: load.total(),
		before: s.platform.Fleet.Verdict(), excused: map[guavascale.WorkerID]bool{},
		running: running, done: make(chan struct{}),
	}
	for _, id := range excused {
		m.excused[id] = true
	}
	list, _ := s.platform.Fleet.Workers(context.Background())
	m.workersUp = len(list)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.run(ctx)
	return m
}

func (m *phaseMonitor) run(ctx context.Context) {
	defer close(m.done)
	for i := 0; ctx.Err() == nil; i++ {
		m.sample(i%3 == 0)
		sleepContext(ctx, sampleInterval)
	}
}

// sample records, for each condition that does not hold now, the time as the last
// at which it did not. The state of the daemons is read only if states is set, in
// every third sample.
func (m *phaseMonitor) sample(states bool) {
	t := time.Since(m.start)
	m.sampledAt = append(m.sampledAt, t)
	m.reads = append(m.reads, m.system.reads.Load())
	m.writes = append(m.writes, m.system.writes.Load())
	all, shards := m.system.unowned()
	if shards > 0 {
		m.result.shardsOwned = t.Seconds()
	}
	if all > 0 {
		m.result.allOwned = t.Seconds()
	}
	instances, batch := m.system.runningTasks()
	if missing := float64(m.instances - instances); missing > 0 {
		m.result.missingInstances = max(m.result.missingInstances, missing)
		m.result.missingTime += sampleInterval.Seconds()
	}
	if batch < m.tasks {
		m.result.batchRunning = t.Seconds()
	}
	if states && !m.system.allReported(m.tasks, m.workersUp) {
		m.result.allReported = t.Seconds()
	}
}

// end stops the monitor and adds the measurements that cover the whole phase.
func (m *phaseMonitor) end() phaseResult {
	m.cancel()
	<-m.done
	m.result.reads, m.result.readPeak = m.rate(m.reads)
	m.result.writes, m.result.writePeak = m.rate(m.writes)
	m.countStarts()
	sent := m.callers.total()
	m.result.requests = float64(sent.requests - m.sentBefore.requests)
	m.result.failed = float64(sent.failed - m.sentBefore.failed)
	m.result.keyedFailed = float64(sent.keyedFailed - m.sentBefore.keyedFailed)
	// The tasks of a shard that is moving to another owner are temporarily
	// reported by no daemon, so the count is repeated.
	for range knownTasksAttempts {
		m.result.lostTasks = float64(m.tasks - m.system.knownTasks())
		if m.result.lostTasks == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	return m.result
}

func (m *phaseMonitor) rate(v []int64) (mean, peak float64) {
	for i := range v {
		if m.sampledAt[i] > rateWindow {
			break
		}
		if i > 0 {
			mean = float64(v[i]-v[0]) / (m.sampledAt[i] - m.sampledAt[0]).Seconds()
		}
		if i >= peakSamples {
			span := (m.sampledAt[i] - m.sampledAt[i-peakSamples]).Seconds()
			peak = max(peak, float64(v[i]-v[i-peakSamples])/span)
		}
	}
	return mean, peak
}

func (m *phaseMonitor) countStarts() {
	v := m.system.platform.Fleet.Verdict()
	for _, starts := range v.StartsByZone {
		for _, st := range starts {
			if !st.At.After(m.start) {
				continue
			}
			if st.Class == guavascale.ClassService {
				m.result.instanceStarts++
				continue
			}
			m.result.restarts++
			fmt.Fprintf(m.system.trace, "start %s on %s after %.1f s\n", st.Attempt, st.Worker, st.At.Sub(m.start).Seconds())
			if !m.excused[m.running[taskOf(st.Attempt)]] {
				m.result.needlessRestarts++
			}
		}
	}
	m.result.partialResumes = float64(v.Unreported - m.before.Unreported)
	m.result.violations = float64(len(v.Violations) - len(m.before.Violations))
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

// runningTasks returns the numbers of running service instances and batch tasks.
func (s *recoverySystem) runningTasks() (instances, batch int) {
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

func (s *recoverySystem) runningBatchTasks() map[guavascale.TaskID]guavascale.WorkerID {
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

// allReported reports whether the open shards, whose owners may act, together
// hold the given number of batch tasks and have recent responses from the
// given number of workers.
func (s *recoverySystem) allReported(tasks, up int) bool {
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

// knownTasks returns the number of distinct unfinished batch tasks that the
// daemons report.
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
