package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const callerHost = "desk.example"

var httpClient = &http.Client{Timeout: 3200 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second}}

// call makes a call of a client to a daemon. The status is 0 if there was no answer.
func (s *system) call(d *daemon, method, prefix, id string, body []byte) (int, object) {
	r, err := http.NewRequest(method, "http://"+d.callers+prefix+id, bytes.NewReader(body))
	check(err)
	r.Host = callerHost
	r.Header.Set(wire.Deadline, "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var o object
	_ = json.Unmarshal(data, &o)
	return resp.StatusCode, o
}

func (sub *subSpec) body() []byte {
	steps := []object{}
	for _, st := range sub.steps {
		o := object{"count": st.count, "cpu": st.cpu, "memMb": st.mem, "estimateMs": st.estimate.Milliseconds()}
		set := func(k string, v any, on bool) {
			if on {
				o[k] = v
			}
		}
		set(wire.After, st.after, len(st.after) > 0)
		set(wire.Saves, true, st.saves)
		set("gang", true, st.gang)
		set("speculative", true, st.copies)
		set("longRunning", true, st.lasts)
		set("fills", true, st.fills)
		set("requirements", st.label, st.label != "")
		set("image", st.image, st.image != "")
		set("targetMs", st.target, st.target > 0)
		set("mayMiss", st.mayMiss, st.mayMiss > 0)
		set(wire.PerWorker, st.perWorker, st.perWorker > 0)
		steps = append(steps, o)
	}
	o := object{"spec": sub.spec, "steps": steps}
	if sub.repeat > 0 {
		o["repeatCount"], o["intervalMs"], o["startAtMs"] = sub.repeat, sub.interval.Milliseconds(), sub.startAt.UnixMilli()
	}
	data, err := json.Marshal(o)
	check(err)
	return data
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// add makes a submission known to the workers and the checks.
func (s *system) add(sub *subSpec) {
	if sub.id == "" {
		sub.id = newID()
	}
	if sub.spec == "" {
		sub.spec = "spec of " + sub.id
	}
	sub.tasks = map[string]*taskInfo{}
	s.mu.Lock()
	s.subs[sub.id] = sub
	s.mu.Unlock()
}

// submit hands a submission in, with up to 4 retries at other daemons.
func (s *system) submit(sub *subSpec, daemons []*daemon) bool {
	s.add(sub)
	body := sub.body()
	sub.sentAt = time.Now()
	for range 5 {
		d := daemons[rand.IntN(len(daemons))]
		status, _ := s.call(d, "POST", sub.prefix, sub.id, body)
		s.event("POST %s at %s: %d", sub.id, d.name, status)
		s.mu.Lock()
		sub.attempts++
		switch status {
		case 200:
			sub.accepted, sub.acceptedAt = true, time.Now()
		case 429, 503, 404:
			sub.rejections++
		}
		s.mu.Unlock()
		if status == 200 {
			if rand.IntN(10) == 0 {
				// The same request arrives again.
				go func() {
					pause(time.Second + time.Duration(rand.Int64N(int64(3*time.Second))))
					d := daemons[rand.IntN(len(daemons))]
					status, _ := s.call(d, "POST", sub.prefix, sub.id, body)
					s.event("POST %s at %s again: %d", sub.id, d.name, status)
				}()
			}
			return true
		}
		pause(300*time.Millisecond + time.Duration(rand.Int64N(int64(700*time.Millisecond))))
	}
	return false
}

func (s *system) cancel(sub *subSpec, daemons []*daemon) bool {
	s.mu.Lock()
	sub.cancelSent = time.Now()
	s.mu.Unlock()
	for range 5 {
		d := daemons[rand.IntN(len(daemons))]
		status, _ := s.call(d, "DELETE", sub.prefix, sub.id, nil)
		s.event("DELETE %s at %s: %d", sub.id, d.name, status)
		if status/100 == 2 || status == 410 {
			s.mu.Lock()
			sub.cancelAcked = time.Now()
			s.mu.Unlock()
			return true
		}
		pause(300 * time.Millisecond)
	}
	return false
}

// poll asks for the state of a submission and checks the answer.
func (s *system) poll(sub *subSpec, d *daemon) (int, string) {
	asked := time.Now()
	status, o := s.call(d, "GET", sub.prefix, sub.id, nil)
	state := text(o, "state")
	var broken []string
	s.mu.Lock()
	switch {
	case status == 410:
		if sub.accepted && sub.cancelSent.IsZero() && asked.Sub(sub.acceptedAt) > 3*time.Second {
			broken = append(broken, "LOST|"+fmt.Sprintf("%s answers 410 for accepted submission %s", d.name, sub.id))
		}
	case status == 200:
		if sub.state != state {
			s.event("GET %s at %s: %s", sub.id, d.name, state)
		}
		switch state {
		case "completed":
			for k := range max(sub.repeat, 1) {
				for n := range sub.steps {
					for i := range sub.steps[n].count {
						if t := s.taskLocked(fmt.Sprintf("%s.%d.%d.%d", sub.id, k, n, i)); t.doneAt.IsZero() {
							broken = append(broken, "MIXED|"+fmt.Sprintf("%s shows %s as completed, and %s isn't done", d.name, sub.id, t.name))
						}
					}
				}
			}
		case "failed":
			if cause := sub.cause(); cause == "" && sub.state != "failed" {
				broken = append(broken, "LOST|"+fmt.Sprintf("%s shows %s as failed without cause: %s", d.name, sub.id, sub.failures()))
			}
		case "cancelled":
			if sub.cancelSent.IsZero() {
				broken = append(broken, "LOST|"+fmt.Sprintf("%s shows %s as cancelled, and nobody has cancelled it", d.name, sub.id))
			}
		case "queued", "running":
		default:
			broken = append(broken, "MIXED|"+fmt.Sprintf("%s shows %s in state %q", d.name, sub.id, state))
		}
		sub.state = state
		if (state == "completed" || state == "failed" || state == "cancelled") && sub.finalAt.IsZero() {
			sub.finalAt = time.Now()
		}
	}
	s.mu.Unlock()
	for _, b := range broken {
		rule, what, _ := strings.Cut(b, "|")
		s.violate(rule, "%s", what)
	}
	return status, state
}

// cause returns why a submission may be shown as failed, or "".
func (sub *subSpec) cause() string {
	gangFails := map[string]int{}
	for _, t := range sub.tasks {
		if t.step.gang {
			gangFails[fmt.Sprint(t.occurrence, t.stepNum)] += len(t.failed)
		}
		if len(t.failed) >= sub.maxAttempts || t.crashes >= 2 {
			return t.name
		}
	}
	for g, n := range gangFails {
		if n >= sub.maxAttempts {
			return g
		}
	}
	return ""
}

func (sub *subSpec) failures() string {
	most := 0
	for _, t := range sub.tasks {
		most = max(most, len(t.failed))
	}
	return fmt.Sprintf("at most %d runs of a task have failed, of %d attempts", most, sub.maxAttempts)
}
