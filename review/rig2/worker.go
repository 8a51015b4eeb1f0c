package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

type (
	run struct {
		task    string
		attempt int64
		spec    string
		began   time.Time
		// workedFrom is when the run began to work; zero while a gang waits.
		workedFrom time.Time
		worked     time.Duration
		restored   time.Duration
		need       time.Duration
		fails      bool
		saved      string
		savedAt    time.Duration
		stopping   time.Time
		percent    int64
		info       *taskInfo
	}

	endedRun struct {
		n       int64
		task    string
		attempt int64
		how     string
		saved   string
		lapses  int
	}

	// worker is a worker as the protocol page describes it.
	worker struct {
		sys              *system
		id, address      string
		service, zone    string
		labels           []string
		cpu, mem         int64
		guards           bool
		mu               sync.Mutex
		listener         net.Listener
		server           *http.Server
		up, cut, failing bool
		draining         bool
		late             float64
		unhealthy        float64
		clock0           time.Time
		born             int64
		fence            int64
		lease            int64
		runs             map[string]*run
		highest          map[string]int64
		ended            []*endedRun
		ends, acked      int64
		lapses           int
		wake             chan struct{}
		sequence         int
		lastBeat         time.Time
		stop             chan struct{}
		boot             int
		drainUntil       time.Time
	}
)

// clock is a steady clock that is 2% slow, as the pages allow.
func (w *worker) clock() int64 { return time.Since(w.clock0).Milliseconds()*98/100 + 1000 }

func key(task string, attempt int64) string { return fmt.Sprintf("%s#%d", task, attempt) }

// start begins a boot of the worker at its address.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		return
	}
	var l net.Listener
	var err error
	for range 200 {
		a := w.address
		if a == "" {
			// No other process takes a port here while the worker is down.
			a = fmt.Sprintf("127.78.%d.%d:0", os.Getpid()%250, 1+len(w.sys.workers)%250)
		}
		if l, err = net.Listen("tcp4", a); err == nil {
			break
		}
		pause(20 * time.Millisecond)
	}
	check(err)
	w.address, w.listener = l.Addr().String(), l
	w.up, w.draining = true, false
	w.clock0, w.born = time.Now(), time.Now().UnixMilli()
	w.fence, w.lease, w.ends, w.acked, w.ended = 0, 0, 0, 0, nil
	w.runs, w.highest = map[string]*run{}, map[string]int64{}
	w.wake, w.stop = make(chan struct{}), make(chan struct{})
	w.boot++
	w.lastBeat = time.Time{}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.loop(w.stop)
	w.sys.event("worker %s boots, born %d", w.id, w.born)
}

func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.stop)
	s := w.server
	for k, r := range w.runs {
		delete(w.runs, k)
		w.sys.ended(w, r, "crashed")
	}
	w.mu.Unlock()
	_ = s.Close()
	w.sys.event("worker %s crashes", w.id)
}

// entry is the worker's report about itself.
func (w *worker) entry() object {
	state := "ready"
	o := object{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "capacity": 8,
		"coldLeftMs": 0, "sequence": w.sequence, "born": w.born, "labels": w.labels,
		"room": object{"cpu": w.cpu, "memMb": w.mem, "gpu": 0},
	}
	if w.draining {
		state = "draining"
		o["remainingMs"] = max(0, time.Until(w.drainUntil).Milliseconds())
	}
	o["state"] = state
	return o
}

func (w *worker) loop(stop chan struct{}) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		w.mu.Lock()
		if time.Since(w.lastBeat) > heartbeat && !w.cut {
			w.sequence++
			if w.lastBeat = time.Now(); !w.sys.store.beat(w.id, w.entry()) {
				// It tries again soon.
				w.lastBeat = w.lastBeat.Add(100*time.Millisecond - heartbeat)
			}
		}
		w.step(time.Now())
		deadly := false
		for _, r := range w.runs {
			deadly = deadly || r.info.sub.deadly && time.Since(r.began) > 50*time.Millisecond
		}
		w.mu.Unlock()
		if deadly {
			go func() {
				w.crash()
				go w.sys.endOwner()
				pause(time.Second + time.Duration(rand.Int64N(int64(2*time.Second))))
				w.start()
			}()
			return
		}
	}
}

func (w *worker) step(now time.Time) {
	for k, r := range w.runs {
		if !r.workedFrom.IsZero() {
			r.worked = r.restored + time.Duration(float64(now.Sub(r.workedFrom))*float64(r.percent)/100)
			if r.info.step.saves && r.worked-r.savedAt >= 2*time.Second && r.stopping.IsZero() {
				r.savedAt = r.worked
				r.saved = w.sys.newCheckpoint(r.info, r.worked)
			}
		}
		switch {
		case w.clock() > w.lease:
			w.lapses++
			w.end(k, r, "lapsed")
		case !r.stopping.IsZero() && now.After(r.stopping):
			if r.info.step.saves && !r.workedFrom.IsZero() {
				r.saved = w.sys.newCheckpoint(r.info, r.worked)
			}
			w.end(k, r, "stopped")
		case !r.stopping.IsZero():
		case w.failing && now.Sub(r.began) > 100*time.Millisecond:
			w.end(k, r, "failed")
		case r.fails && now.Sub(r.began) > 60*time.Millisecond:
			w.end(k, r, "failed")
		case r.info.step.gang && r.workedFrom.IsZero():
			if w.sys.gangPresent(r.info, r.attempt) {
				r.workedFrom = now
			} else if now.Sub(r.began) > 3*time.Second {
				w.end(k, r, "alone")
			}
		case r.info.step.gang && w.sys.gangOver(r.info, r.attempt) != "":
			how := w.sys.gangOver(r.info, r.attempt)
			if how != "done" {
				how = "broken"
			}
			w.end(k, r, how)
		case r.need > 0 && r.worked >= r.need:
			w.end(k, r, "done")
		}
	}
}

func (w *worker) end(k string, r *run, how string) {
	delete(w.runs, k)
	w.ends++
	w.ended = append(w.ended, &endedRun{w.ends, r.task, r.attempt, how, r.saved, w.lapses})
	w.sys.ended(w, r, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var o object
	if json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(400)
		return
	}
	w.mu.Lock()
	boot := w.boot
	if w.cut || !w.up {
		w.mu.Unlock()
		hang(r)
		return
	}
	if r.Header.Get(wire.Instance) != w.id {
		w.mu.Unlock()
		rw.WriteHeader(421)
		return
	}
	if r.URL.Path == wire.Start && rand.Float64() < w.unhealthy {
		w.mu.Unlock()
		answer(rw, 503, object{})
		return
	}
	if rand.Float64() < w.late {
		w.mu.Unlock()
		go func() {
			pause(2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second))))
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up && w.boot == boot && !w.cut {
				w.carryOut(r.URL.Path, o)
			}
		}()
		hang(r)
		return
	}
	status, resp := w.carryOut(r.URL.Path, o)
	if r.URL.Path == wire.Hold && status == 200 {
		if len(w.ended) == 0 && number(o, "waitMs") > 0 {
			wake, stop := w.wake, w.stop
			w.mu.Unlock()
			select {
			case <-wake:
			case <-stop:
			case <-time.After(time.Duration(number(o, "waitMs")) * time.Millisecond):
			}
			w.mu.Lock()
		}
		if w.cut || !w.up || w.boot != boot {
			w.mu.Unlock()
			hang(r)
			return
		}
		w.lists(resp)
	}
	resp["clockMs"] = w.clock()
	cut := w.cut
	w.mu.Unlock()
	if cut {
		hang(r)
		return
	}
	answer(rw, status, resp)
}

func (w *worker) lists(resp object) {
	running, ended := []any{}, []any{}
	for _, r := range w.runs {
		percent, fifth := int64(100), int64(1)
		if r.need > 0 {
			percent = min(100, int64(100*r.worked/r.need))
			fifth = r.info.step.cpu * r.percent / 100
		} else if time.Since(r.began) < 300*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{r.task, r.attempt, r.saved, percent, fifth})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	resp["running"], resp["ended"], resp["born"] = running, ended, w.born
}

func (w *worker) carryOut(path string, o object) (int, object) {
	resp := object{"clockMs": w.clock()}
	refuse := func(reason string) (int, object) {
		resp["reason"] = reason
		return 409, resp
	}
	token := number(o, wire.Token)
	if token < w.fence {
		return refuse("fence")
	}
	w.fence = token
	extend := func() { w.lease = max(w.lease, min(number(o, "deadlineMs"), w.clock()+w.sys.holdMax.Milliseconds())) }
	task, attempt := text(o, "task"), number(o, "attempt")
	switch path {
	case wire.Start:
		if w.runs[key(task, attempt)] != nil {
			extend()
			return 200, resp
		}
		if number(o, "deadlineMs") <= w.clock() {
			return refuse("late")
		}
		extend()
		if attempt <= w.highest[task] {
			return refuse("old")
		}
		info := w.sys.task(task)
		if info == nil {
			w.sys.violate("UNASKED", "worker %s is told to start %s, which nobody sent", w.id, task)
			return 400, resp
		}
		cpu, mem := info.room()
		for _, r := range w.runs {
			c, m := r.info.room()
			cpu, mem = cpu+c, mem+m
		}
		if cpu > w.cpu || mem > w.mem {
			if w.guards {
				return refuse("room")
			}
			w.sys.violate("LIMIT", "start of %s#%d brings worker %s to %d of %d cpu, %d of %d memory", task, attempt, w.id, cpu, w.cpu, mem, w.mem)
		}
		w.highest[task] = attempt
		r := &run{task: task, attempt: attempt, spec: text(o, "spec"), began: time.Now(), saved: text(o, wire.Saved), percent: 100, info: info}
		r.restored = w.sys.started(w, r)
		r.savedAt = r.restored
		r.need = w.sys.workOf(info)
		r.fails = w.sys.failsNow(info)
		if !info.step.gang {
			r.workedFrom = r.began
			if r.saved != "" {
				r.workedFrom = r.began.Add(250 * time.Millisecond)
			}
		}
		w.runs[key(task, attempt)] = r
	case wire.Stop:
		w.highest[task] = max(w.highest[task], attempt)
		if r := w.runs[key(task, attempt)]; r != nil && r.stopping.IsZero() {
			r.stopping = time.Now().Add(w.sys.stopTime())
			w.sys.event("worker %s stops %s#%d", w.id, task, attempt)
		}
	case wire.Pace:
		if r := w.runs[key(task, attempt)]; r != nil {
			r.percent = number(o, "percent")
			r.restored = r.worked
			if !r.workedFrom.IsZero() {
				r.workedFrom = time.Now()
			}
		}
	case wire.Hold:
		if number(o, "deadlineMs") > 0 {
			extend()
		}
		seen := number(o, wire.Seen)
		kept := w.ended[:0]
		for _, e := range w.ended {
			if e.n <= seen {
				w.sys.noted(w, e, w.lapses > e.lapses)
			} else {
				kept = append(kept, e)
			}
		}
		w.ended = kept
	default:
		return 404, resp
	}
	return 200, resp
}

// endOwner ends the owner some time after a crash, in one of two cases.
func (s *system) endOwner() {
	i := s.store.lastWriter()
	if len(s.daemons) == 0 || i < 0 || rand.IntN(2) == 0 || !s.ending.CompareAndSwap(false, true) {
		return
	}
	defer s.ending.Store(false)
	pause(time.Duration(rand.Int64N(int64(1500 * time.Millisecond))))
	sig := syscall.SIGKILL
	if rand.IntN(2) == 0 {
		sig = syscall.SIGTERM
	}
	s.daemons[i].end(sig)
	s.daemons[i].start()
	pause(2 * time.Second)
}
