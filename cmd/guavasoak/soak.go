package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavascale.example/platform/guavastandin"
)

type (
	// soak is one run.
	soak struct {
		*cli
		seed      uint64
		dir       string
		store     *guavastandin.Store
		judge     *guavastandin.Checker
		workers   []*guavastandin.Worker
		processes []*process
		callers   *callers

		mu       sync.Mutex
		injected map[string]int
		findings []string
		wait     sync.WaitGroup
		config   int
	}

	// fault begins something and returns what ends it.
	fault struct {
		name  string
		begin func(s *soak, r *rand.Rand) func()
	}
)

const (
	callEvery  = 60 * time.Millisecond
	faultEvery = 700 * time.Millisecond
	maxFault   = 4 * time.Second
	stopLimit  = 6 * time.Second
	readyLimit = 10 * time.Second
)

// faults overlap: each lasts up to maxFault, and the next begins before.
var faults = []fault{
	{"kill", func(s *soak, r *rand.Rand) func() {
		p := s.process(r)
		s.found(p.stop(syscall.SIGKILL, stopLimit))
		return func() { s.found(p.start()) }
	}},
	{"pause", func(s *soak, r *rand.Rand) func() {
		p := s.process(r)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"restart", func(s *soak, r *rand.Rand) func() {
		p := s.process(r)
		p.signal(syscall.SIGCONT)
		s.found(p.stop(syscall.SIGTERM, stopLimit))
		return func() { s.found(p.start()) }
	}},
	{"store path", func(s *soak, r *rand.Rand) func() {
		p := s.process(r)
		p.store.set(proxyMode(1 + r.IntN(4)))
		return func() { p.store.set(proxyPass) }
	}},
	{"store", func(s *soak, r *rand.Rand) func() {
		all := []guavastandin.StoreFaults{{Refuse: true}, {Latency: 300 * time.Millisecond}, {LoseAnswers: 0.4}}
		s.store.SetFaults(all[r.IntN(len(all))])
		return func() { s.store.SetFaults(guavastandin.StoreFaults{}) }
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
		return func() { s.found(w.Listen()) }
	}},
	{"configuration", func(s *soak, r *rand.Rand) func() {
		s.found(s.configure())
		if r.IntN(2) == 0 {
			return func() {}
		}
		s.found(s.store.Evacuate("z1", true))
		return func() { s.found(s.store.Evacuate("z1", false)) }
	}},
}

func (s *soak) process(r *rand.Rand) *process { return s.processes[r.IntN(len(s.processes))] }

func (s *soak) found(err error) {
	if err != nil {
		s.finding(err.Error())
	}
}

func (s *soak) finding(f string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != "" {
		s.findings = append(s.findings, f)
	}
}

func (s *soak) configure() error {
	s.mu.Lock()
	s.config++
	version := s.config
	s.mu.Unlock()
	return s.store.Configure(version, guavastandin.Route{Host: callHost, PathPrefix: callPrefix, Service: "desk"})
}

// run plays one seed and returns its findings.
func (s *soak) run() ([]string, error) {
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(s.seed, 1))
	stop := make(chan struct{})
	s.wait.Add(1)
	go s.call(stop)
	var ends []func()
	for begun := time.Now(); time.Since(begun) < s.Faults; {
		f := faults[r.IntN(len(faults))]
		s.injected[f.name]++
		finish := f.begin(s, r)
		length := time.Duration(r.Float64() * float64(maxFault))
		var once sync.Once
		end := func() { once.Do(finish) }
		time.AfterFunc(length, end)
		ends = append(ends, end)
		time.Sleep(time.Duration(r.Float64() * 2 * float64(faultEvery)))
	}
	close(stop)
	s.wait.Wait()
	for _, end := range ends {
		end()
	}
	s.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.findings, s.judge.Violations()...), nil
}

func (s *soak) begin() error {
	s.dir = filepath.Join(s.Logs, fmt.Sprintf("seed-%d", s.seed))
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	s.store, s.judge, s.injected = &guavastandin.Store{}, &guavastandin.Checker{}, make(map[string]int)
	address, err := s.store.Listen()
	if err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.Workers {
		w := &guavastandin.Worker{
			ID: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%3), Service: "desk", MilliCores: 4000, MemoryMB: 4000,
			LeaseMax: 3 * time.Second, StopTime: 50 * time.Millisecond, Store: s.store, Checker: s.judge,
		}
		if err := w.Listen(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for i := range s.Daemons {
		p, err := newProcess(s.dir, s.Daemon, fmt.Sprintf("d%d", i), address)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	s.callers = &callers{processes: s.processes, told: make(map[string]*told), counts: make(map[int]int)}
	return s.awaitReady()
}

func (s *soak) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < readyLimit; time.Sleep(50 * time.Millisecond) {
		status, _ := s.callers.call(s.processes[0], "GET", "", nil)
		if status == 200 {
			return nil
		}
	}
	return fmt.Errorf("daemon %s did not answer within %s; see %s", s.processes[0].name, readyLimit, s.processes[0].log)
}

// call hands submissions in and asks for states until stop is closed.
func (s *soak) call(stop chan struct{}) {
	defer s.wait.Done()
	r := rand.New(rand.NewPCG(s.seed, 2))
	t := time.NewTicker(callEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		s.wait.Add(1)
		own := rand.New(rand.NewPCG(r.Uint64(), 3))
		go func() {
			defer s.wait.Done()
			s.callers.submit(own)
			if open := s.callers.open(); len(open) > 0 {
				s.finding(s.callers.poll(s.process(own), open[own.IntN(len(open))]))
			}
		}()
	}
}

// settle waits until all accepted submissions have ended, and checks that those
// which every answer rejected did not run.
func (s *soak) settle() {
	for begun := time.Now(); time.Since(begun) < s.Settle; time.Sleep(100 * time.Millisecond) {
		open := s.callers.open()
		if len(open) == 0 {
			break
		}
		for i, id := range open {
			s.finding(s.callers.poll(s.processes[i%len(s.processes)], id))
		}
	}
	for _, id := range s.callers.open() {
		s.finding(fmt.Sprintf("submission %s was accepted and had not ended %s after the last fault", id, s.Settle))
	}
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	for id, t := range s.callers.told {
		if t.rejected && s.judge.Ran(id) {
			s.finding(fmt.Sprintf("submission %s ran although every answer rejected it", id))
		}
	}
}

// end stops everything that this run has started.
func (s *soak) end() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		// The run is over, and what the daemon says of its end does not count.
		_ = p.stop(syscall.SIGKILL, stopLimit)
		p.store.close()
	}
	for _, w := range s.workers {
		w.Crash()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// summary tells what happened in a run.
func (s *soak) summary() string {
	var names []string
	for name, n := range s.injected {
		names = append(names, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(names)
	accepted, rejected := 0, 0
	for _, t := range s.callers.told {
		switch {
		case t.accepted:
			accepted++
		case t.rejected:
			rejected++
		}
	}
	return fmt.Sprintf(
		"%d submissions, %d accepted, %d rejected, %d starts; faults: %s",
		len(s.callers.told), accepted, rejected, s.judge.Starts(), strings.Join(names, ", "),
	)
}
