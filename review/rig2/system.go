package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	stepSpec struct {
		count, perWorker int
		cpu, mem         int64
		estimate         time.Duration
		after            []int
		saves, gang      bool
		copies, lasts    bool
		fills            bool
		label            string
		image            string
		target           float64
		mayMiss          int
		work             time.Duration
		// ownFails is how many runs of each task fail by its own fault.
		ownFails int
	}

	subSpec struct {
		id, spec, prefix string
		maxAttempts      int
		// deadly tasks crash each worker that starts them.
		deadly   bool
		steps    []stepSpec
		repeat   int
		startAt  time.Time
		interval time.Duration

		sentAt, acceptedAt   time.Time
		attempts, rejections int
		accepted             bool
		cancelSent           time.Time
		cancelAcked          time.Time
		state                string
		finalAt              time.Time
		tasks                map[string]*taskInfo
	}

	taskInfo struct {
		name                string
		sub                 *subSpec
		step                *stepSpec
		occurrence, stepNum int
		active              map[string]string
		starts              []time.Time
		doneAt              time.Time
		doneNoted           bool
		doneRuns            int
		failed              []time.Time
		failedNoted         []time.Time
		crashes             int
		startsAfter         int
		checkpoints         map[string]time.Duration
	}

	gangState struct {
		present map[string]bool
		over    string
	}

	// system is the state of the stand-ins, and the checks.
	system struct {
		mu         sync.Mutex
		store      *store
		subs       map[string]*subSpec
		workers    []*worker
		gangs      map[string]*gangState
		holdMax    time.Duration
		stopGrace  time.Duration
		record     *os.File
		begun      time.Time
		violations []string
		counts     map[string]int
		ending     atomic.Bool
		// daemons is set if owners end after a deadly task has crashed a worker.
		daemons []*daemon
		// troubleAt is when each daemon was last started, stopped or cut off.
		troubleAt map[int]time.Time
	}
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		killAll()
		os.Exit(2)
	}
}

func (s *system) event(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
}

func (s *system) violate(rule, format string, args ...any) {
	v := fmt.Sprintf("%s: %s", rule, fmt.Sprintf(format, args...))
	s.event("BROKEN %s", v)
	s.mu.Lock()
	s.violations = append(s.violations, v)
	s.mu.Unlock()
}

// trouble records that a daemon isn't in touch for some time.
func (s *system) trouble(daemon int) {
	s.mu.Lock()
	s.troubleAt[daemon] = time.Now()
	s.mu.Unlock()
}

func (s *system) stopTime() time.Duration {
	return time.Duration(rand.Int64N(int64(s.stopGrace)*8/10)) + s.stopGrace/10
}

// task returns a task by its name, or nil.
func (s *system) task(name string) *taskInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taskLocked(name)
}

func (s *system) taskLocked(name string) *taskInfo {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	sub := s.subs[parts[0]]
	k, e1 := strconv.Atoi(parts[1])
	n, e2 := strconv.Atoi(parts[2])
	i, e3 := strconv.Atoi(parts[3])
	if sub == nil || e1 != nil || e2 != nil || e3 != nil || k < 0 || k >= max(sub.repeat, 1) || n < 0 || n >= len(sub.steps) || i < 0 || i >= sub.steps[n].count {
		return nil
	}
	t := sub.tasks[name]
	if t == nil {
		t = &taskInfo{name: name, sub: sub, step: &sub.steps[n], occurrence: k, stepNum: n, active: map[string]string{}, checkpoints: map[string]time.Duration{}}
		sub.tasks[name] = t
	}
	return t
}

func (t *taskInfo) room() (cpu, mem int64) {
	if t.step.fills {
		return 0, t.step.mem
	}
	return t.step.cpu, t.step.mem
}

func (s *system) workOf(t *taskInfo) time.Duration {
	if t.step.lasts {
		return 0
	}
	return time.Duration(float64(t.step.work) * (0.7 + 0.6*rand.Float64()))
}

func (s *system) failsNow(t *taskInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(t.failed) < t.step.ownFails
}

func (s *system) newCheckpoint(t *taskInfo, worked time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := fmt.Sprintf("%08x%08x", worked.Milliseconds(), rand.Uint32())
	s.gangOwner(t).checkpoints[c] = worked
	return c
}

// gangOwner returns the task that holds the checkpoints: those of a gang are valid for all.
func (s *system) gangOwner(t *taskInfo) *taskInfo {
	if !t.step.gang {
		return t
	}
	return s.taskLocked(fmt.Sprintf("%s.%d.%d.0", t.sub.id, t.occurrence, t.stepNum))
}

func (s *system) gangKey(t *taskInfo, attempt int64) string {
	return fmt.Sprintf("%s.%d.%d#%d", t.sub.id, t.occurrence, t.stepNum, attempt)
}

func (s *system) gangPresent(t *taskInfo, attempt int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[s.gangKey(t, attempt)]
	return g != nil && len(g.present) == t.step.count && g.over == ""
}

func (s *system) gangOver(t *taskInfo, attempt int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gangs[s.gangKey(t, attempt)]; g != nil {
		return g.over
	}
	return ""
}

// started checks a start and returns the work that its checkpoint holds.
func (s *system) started(w *worker, r *run) time.Duration {
	now := time.Now()
	var broken []string
	fail := func(rule, format string, args ...any) {
		broken = append(broken, rule+"|"+fmt.Sprintf(format, args...))
	}
	s.mu.Lock()
	t, sub := r.info, r.info.sub
	s.counts["starts"]++
	if r.spec != sub.spec {
		fail("UNASKED", "%s#%d starts on %s with another spec", r.task, r.attempt, w.id)
	}
	restored := time.Duration(0)
	if r.saved != "" {
		c, ok := s.gangOwner(t).checkpoints[r.saved]
		if !ok {
			fail("UNASKED", "%s#%d starts on %s with a checkpoint %s that isn't the task's", r.task, r.attempt, w.id, r.saved)
		}
		restored = c
	}
	if sub.repeat > 0 {
		due := sub.startAt.Add(time.Duration(t.occurrence) * sub.interval)
		if early := due.Sub(now); early > 250*time.Millisecond {
			fail("ORDER", "%s#%d starts %v early", r.task, r.attempt, early)
		}
	}
	for _, d := range t.step.after {
		for i := range sub.steps[d].count {
			p := s.taskLocked(fmt.Sprintf("%s.%d.%d.%d", sub.id, t.occurrence, d, i))
			if p.doneAt.IsZero() {
				fail("ORDER", "%s#%d starts before %s is done", r.task, r.attempt, p.name)
			}
		}
	}
	if t.step.label != "" && !slices.Contains(w.labels, t.step.label) {
		fail("ROUTE", "%s#%d starts on %s without the label %s", r.task, r.attempt, w.id, t.step.label)
	}
	if t.step.perWorker > 0 {
		n := 1
		for _, o := range w.runs {
			if o.info.sub == sub && o.info.stepNum == t.stepNum && o.info.occurrence == t.occurrence {
				n++
			}
		}
		if n > t.step.perWorker {
			fail("ROUTE", "%s#%d is run %d of its step on %s, at most %d", r.task, r.attempt, n, w.id, t.step.perWorker)
		}
	}
	if !t.step.copies {
		for k, on := range t.active {
			fail("TWICE", "%s#%d starts on %s while %s runs on %s", r.task, r.attempt, w.id, k, on)
		}
		if t.doneNoted && !t.step.lasts {
			fail("TWICE", "%s#%d starts on %s after it has ended done and that was noted", r.task, r.attempt, w.id)
		}
	}
	if len(t.failedNoted) >= sub.maxAttempts && !t.step.lasts && !t.step.copies {
		fail("BUDGET", "%s#%d starts on %s after %d failed runs", r.task, r.attempt, w.id, len(t.failedNoted))
	}
	if !sub.cancelAcked.IsZero() && now.Sub(sub.cancelAcked) > 3*time.Second {
		fail("UNASKED", "%s#%d starts on %s %v after its cancelling was acknowledged", r.task, r.attempt, w.id, now.Sub(sub.cancelAcked))
	}
	if sub.deadly && t.crashes >= 3 && now.Sub(s.troubleAt[s.store.lastWriter()]) > 3500*time.Millisecond {
		if t.startsAfter++; t.startsAfter >= 3 {
			fail("BUDGET", "%s#%d starts on %s, %d times after %d workers have crashed under it", r.task, r.attempt, w.id, t.startsAfter, t.crashes)
		}
	}
	t.starts = append(t.starts, now)
	t.active[key(r.task, r.attempt)] = w.id
	if t.step.gang {
		k := s.gangKey(t, r.attempt)
		if s.gangs[k] == nil {
			s.gangs[k] = &gangState{present: map[string]bool{}}
		}
		s.gangs[k].present[r.task] = true
	}
	s.mu.Unlock()
	s.event("worker %s starts %s#%d", w.id, r.task, r.attempt)
	for _, b := range broken {
		rule, what, _ := strings.Cut(b, "|")
		s.violate(rule, "%s", what)
	}
	return restored
}

// ended records the end of a run.
func (s *system) ended(w *worker, r *run, how string) {
	s.mu.Lock()
	t := r.info
	delete(t.active, key(r.task, r.attempt))
	s.counts[how]++
	switch how {
	case "done":
		t.doneAt = time.Now()
		t.doneRuns++
	case "failed":
		t.failed = append(t.failed, time.Now())
	case "crashed":
		t.crashes++
	}
	if t.step.gang {
		if g := s.gangs[s.gangKey(t, r.attempt)]; g != nil {
			delete(g.present, r.task)
			if g.over == "" {
				g.over = how
			}
			if how == "done" {
				for i := range t.step.count {
					p := s.taskLocked(fmt.Sprintf("%s.%d.%d.%d", t.sub.id, t.occurrence, t.stepNum, i))
					if p.doneAt.IsZero() {
						p.doneAt = time.Now()
					}
				}
			}
		}
	}
	s.mu.Unlock()
	s.event("worker %s ends %s#%d %s", w.id, r.task, r.attempt, how)
}

// noted records that an end has been taken note of.
func (s *system) noted(w *worker, e *endedRun, lapsed bool) {
	broken := ""
	rule := ""
	s.mu.Lock()
	if t := s.taskLocked(e.task); t != nil {
		switch e.how {
		case "done":
			if !lapsed {
				t.doneNoted = true
				for _, at := range t.starts {
					if at.After(t.doneAt) && !t.step.copies && !t.step.lasts && !t.step.gang {
						rule, broken = "TWICE", fmt.Sprintf("%s has started again after it ended done, and the end is noted on %s", e.task, w.id)
					}
				}
			}
		case "failed":
			t.failedNoted = append(t.failedNoted, time.Now())
		}
	}
	s.mu.Unlock()
	s.event("worker %s forgets end %d, %s#%d %s", w.id, e.n, e.task, e.attempt, e.how)
	if broken != "" {
		s.violate(rule, "%s", broken)
	}
}
