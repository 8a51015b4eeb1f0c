package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavascale.example/platform/guavastandin"
)

type (
	// soak is one run of the soak test.
	soak struct {
		*cli
		seed      uint64
		dir       string
		store     *guavastandin.Store
		checker   *guavastandin.Checker
		workers   []*guavastandin.Worker
		processes []*process
		client    *submissionClient

		mu          sync.Mutex
		faultCounts map[string]int
		findings    []string
		wg          sync.WaitGroup
		// configMu is held while a version of the configuration is stored.
		configMu      sync.Mutex
		configVersion int
		// replacements counts the workers that have replaced others.
		replacements int
		// ended is set once the run has ended.
		ended bool
	}

	// fault is a kind of fault. Its inject function starts the fault and
	// returns the function that ends it.
	fault struct {
		name   string
		inject func(s *soak, r *rand.Rand) func()
	}
)

const (
	submitInterval = 60 * time.Millisecond
	faultInterval  = 700 * time.Millisecond
	maxFaultTime   = 4 * time.Second
	stopTimeout    = 6 * time.Second
	readyTimeout   = 10 * time.Second
	// minCrashes is the number of workers that must crash under a task before its
	// submission may fail.
	minCrashes = 2
	// restartTime is how long a worker is down that a task has crashed.
	restartTime = 2 * time.Second
	// workerMilliCores and workerMemoryMB are the room of a worker.
	workerMilliCores = 4000
	workerMemoryMB   = 4000
)

// faults are injected at random and overlap: each lasts up to maxFaultTime, and
// the next one may start before it ends.
var faults = []fault{
	{"kill", func(s *soak, r *rand.Rand) func() {
		p := s.randomProcess(r)
		s.addError(p.stop(syscall.SIGKILL, stopTimeout))
		return func() { s.addError(p.start()) }
	}},
	{"pause", func(s *soak, r *rand.Rand) func() {
		p := s.randomProcess(r)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"restart", func(s *soak, r *rand.Rand) func() {
		p := s.randomProcess(r)
		p.signal(syscall.SIGCONT)
		s.addError(p.stop(syscall.SIGTERM, stopTimeout))
		return func() { s.addError(p.start()) }
	}},
	{"store path", func(s *soak, r *rand.Rand) func() {
		p := s.randomProcess(r)
		p.store.setMode(proxyMode(1 + r.IntN(4)))
		return func() { p.store.setMode(proxyPass) }
	}},
	{"store", func(s *soak, r *rand.Rand) func() {
		choices := []guavastandin.StoreFaults{{Refuse: true}, {Latency: 300 * time.Millisecond}, {LoseAnswers: 0.4}}
		chosen := choices[r.IntN(len(choices))]
		s.store.SetFaults(chosen)
		return func() {
			if chosen.Refuse {
				// The rows of the workers have expired meanwhile.
				for _, w := range s.workers {
					s.addError(w.Renew())
				}
			}
			s.store.SetFaults(guavastandin.StoreFaults{})
		}
	}},
	{"store history", func(s *soak, _ *rand.Rand) func() {
		s.store.Compact()
		return func() {}
	}},
	{"worker crash", func(s *soak, r *rand.Rand) func() {
		w := s.workers[r.IntN(len(s.workers))]
		if !w.Crash() {
			return func() {}
		}
		return func() { s.addError(w.Listen()) }
	}},
	{"host silent", func(s *soak, r *rand.Rand) func() {
		w, same := s.workers[r.IntN(len(s.workers))], r.IntN(2) == 0
		if !w.CrashSilently() {
			return func() {}
		}
		if same {
			return func() { s.addError(w.Listen()) }
		}
		return func() { s.addError(w.Replace(s.newWorkerID())) }
	}},
	{"worker faults", func(s *soak, r *rand.Rand) func() {
		w := s.workers[r.IntN(len(s.workers))]
		choices := []guavastandin.WorkerFaults{{Cut: true}, {LateStarts: 0.4, MaxLate: 2 * time.Second}}
		w.SetFaults(choices[r.IntN(len(choices))])
		return func() { w.SetFaults(guavastandin.WorkerFaults{}) }
	}},
	{"deadly task", func(s *soak, r *rand.Rand) func() {
		for _, w := range s.workers {
			w.SetFaults(guavastandin.WorkerFaults{SilentCrash: r.IntN(2) == 0})
		}
		s.submit(rand.New(rand.NewPCG(r.Uint64(), 3)), deadly)
		return func() {}
	}},
	{"rooms", func(s *soak, r *rand.Rand) func() {
		first := r.IntN(len(s.workers))
		last := [...]int{first + 1, len(s.workers)}[r.IntN(2)]
		if r.IntN(4) == 0 {
			first = 0
		}
		// Some rooms shrink to nothing, some below what is in use.
		share := int64(max(r.IntN(12)-2, 0))
		changed := s.workers[first:last]
		for _, w := range changed {
			s.addError(w.SetRoom(workerMilliCores*share/10, workerMemoryMB*share/10))
		}
		return func() {
			for _, w := range changed {
				s.addError(w.SetRoom(workerMilliCores, workerMemoryMB))
			}
		}
	}},
	{"burst", func(s *soak, r *rand.Rand) func() {
		s.submit(rand.New(rand.NewPCG(r.Uint64(), 3)), burst)
		return func() {}
	}},
	{"configuration", func(s *soak, r *rand.Rand) func() {
		s.addError(s.configure())
		if r.IntN(2) == 0 {
			return func() {}
		}
		s.addError(s.store.Evacuate("z1", true))
		return func() { s.addError(s.store.Evacuate("z1", false)) }
	}},
}

// submit sends a submission in the background.
func (s *soak) submit(r *rand.Rand, kind submissionKind) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.client.submit(r, kind)
	}()
}

// restart restarts a worker, unless the run is over.
func (s *soak) restart(w *guavastandin.Worker) {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if !ended {
		s.addError(w.Listen())
	}
}

// newWorkerID returns an ID that no worker has had.
func (s *soak) newWorkerID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replacements++
	return fmt.Sprintf("w%d", s.Workers+s.replacements)
}

func (s *soak) randomProcess(r *rand.Rand) *process { return s.processes[r.IntN(len(s.processes))] }

func (s *soak) addError(err error) {
	if err != nil {
		s.addFinding(err.Error())
	}
}

func (s *soak) addFinding(f string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != "" {
		s.findings = append(s.findings, f)
	}
}

// unguarded reports whether the workers of the run start whatever they are told to.
func (s *soak) unguarded() bool { return s.seed%2 == 1 }

func (s *soak) configure() error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.configVersion++
	route := guavastandin.Route{Host: routeHost, PathPrefix: routePrefix, Service: "desk", Unguarded: s.unguarded(), PublicPrefix: publicPrefix}
	return s.store.Configure(s.configVersion, route, s.client.keys.declared()...)
}

// run runs the soak test with one seed and returns its findings.
func (s *soak) run() ([]string, error) {
	defer s.tearDown()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(s.seed, 1))
	stop := make(chan struct{})
	s.wg.Add(1)
	go s.submitUntil(stop)
	if s.hasAccounts() {
		s.wg.Add(3)
		go s.rotateUntil(stop)
		go s.cutUntil(stop)
		go s.probeUntil(stop)
	}
	if s.restartsWorkers() {
		s.wg.Add(1)
		go s.restartUntil(stop)
	}
	var ends []func()
	for begun := time.Now(); time.Since(begun) < s.Faults; {
		f := faults[r.IntN(len(faults))]
		s.countFault(f.name)
		finish := f.inject(s, r)
		length := time.Duration(r.Float64() * float64(maxFaultTime))
		var once sync.Once
		end := func() { once.Do(finish) }
		time.AfterFunc(length, end)
		ends = append(ends, end)
		time.Sleep(time.Duration(r.Float64() * 2 * float64(faultInterval)))
	}
	close(stop)
	s.wg.Wait()
	for _, end := range ends {
		end()
	}
	s.settle()
	s.stopDaemons()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append(s.findings, s.client.findings...), s.checker.Violations()...), nil
}

func (s *soak) setUp() error {
	s.dir = filepath.Join(s.Logs, fmt.Sprintf("seed-%d", s.seed))
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	s.store, s.checker, s.faultCounts = &guavastandin.Store{}, &guavastandin.Checker{}, make(map[string]int)
	address, err := s.store.Listen()
	if err != nil {
		return err
	}
	s.client = &submissionClient{
		checker: s.checker, submissions: make(map[string]*submissionStatus), statusCounts: make(map[int]int), probes: make(map[string]int),
	}
	if s.hasAccounts() {
		s.client.keys.declare()
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.Workers {
		w := &guavastandin.Worker{
			ID: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%3), Service: "desk", MilliCores: workerMilliCores, MemoryMB: workerMemoryMB,
			Unguarded: s.unguarded(),
			LeaseMax:  3 * time.Second, StopTime: 50 * time.Millisecond, Store: s.store, Checker: s.checker,
		}
		w.Crashed = func() { time.AfterFunc(restartTime, func() { s.restart(w) }) }
		if err := w.Listen(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for i := range s.Daemons {
		p, err := newProcess(s.dir, s.Daemon, fmt.Sprintf("d%d", i), address, s.hasAccounts())
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	s.client.processes = s.processes
	return s.awaitReady()
}

func (s *soak) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		status, _ := s.client.call(s.processes[0], "GET", routePrefix, "", s.client.keys.key(0), nil)
		if status == 200 {
			return nil
		}
	}
	p := s.processes[0]
	return fmt.Errorf("daemon %s did not answer within %s; its log ends with\n%s", p.name, readyTimeout, lastLines(p.logFile))
}

// submitUntil sends submissions and polls their states until stop is closed.
func (s *soak) submitUntil(stop chan struct{}) {
	defer s.wg.Done()
	r := rand.New(rand.NewPCG(s.seed, 2))
	t := time.NewTicker(submitInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		s.wg.Add(1)
		rng := rand.New(rand.NewPCG(r.Uint64(), 3))
		go func() {
			defer s.wg.Done()
			kind := ordinary
			if s.restartsWorkers() && rng.IntN(longShare) == 0 {
				kind = long
			}
			s.client.submit(rng, kind)
			if ids := s.client.unfinished(); len(ids) > 0 {
				s.addFinding(s.client.poll(s.randomProcess(rng), ids[rng.IntN(len(ids))]))
			}
		}()
	}
}

// settle waits until all accepted submissions have ended, and checks that no
// submission ran for which every response was a rejection.
func (s *soak) settle() {
	for begun := time.Now(); time.Since(begun) < s.Settle; time.Sleep(100 * time.Millisecond) {
		ids := s.client.unfinished()
		if len(ids) == 0 {
			break
		}
		for i, id := range ids {
			s.addFinding(s.client.poll(s.processes[i%len(s.processes)], id))
		}
	}
	for _, id := range s.client.unfinished() {
		s.addFinding(fmt.Sprintf("submission %s was accepted and had not ended %s after the last fault", id, s.Settle))
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	for id, t := range s.client.submissions {
		if t.state == "failed" && s.checker.Crashes(id) < minCrashes {
			s.addFinding(fmt.Sprintf("submission %s failed without cause", id))
		}
		if t.rejected && s.checker.Ran(id) {
			s.addFinding(fmt.Sprintf("submission %s ran although every response rejected it", id))
		}
	}
}

// stopDaemons kills the daemons. One that has exited before that is a finding.
func (s *soak) stopDaemons() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		s.addError(p.stop(syscall.SIGKILL, stopTimeout))
	}
}

// tearDown stops everything that the run has started.
func (s *soak) tearDown() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.stopDaemons()
	for _, p := range s.processes {
		p.store.close()
	}
	for _, w := range s.workers {
		w.Crash()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// summary returns the counts of submissions, starts and faults.
func (s *soak) summary() string {
	var names []string
	for name, n := range s.faultCounts {
		names = append(names, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(names)
	accepted, rejected := 0, 0
	for _, t := range s.client.submissions {
		switch {
		case t.accepted:
			accepted++
		case t.rejected:
			rejected++
		}
	}
	summary := fmt.Sprintf(
		"%d submissions, %d accepted, %d rejected, %d starts; faults: %s",
		len(s.client.submissions), accepted, rejected, s.checker.Starts(), strings.Join(names, ", "),
	)
	for _, what := range slices.Sorted(maps.Keys(s.client.probes)) {
		summary += fmt.Sprintf("; %d calls with %s", s.client.probes[what], what)
	}
	return summary
}
