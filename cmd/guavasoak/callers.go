package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/platform/guavastandin"
)

type (
	// callers hand submissions in and remember what they were told.
	callers struct {
		processes []*process
		client    fasthttp.Client

		mu sync.Mutex
		// told holds the last answer about each submission.
		told   map[string]*told
		counts map[int]int
	}

	told struct {
		accepted bool
		// rejected is set while every answer has said that it does not run.
		rejected bool
		state    string
		// endedAt is when a final state was first told.
		endedAt time.Time
	}
)

const (
	callTimeout = 1500 * time.Millisecond
	callHost    = "soak.example"
	callPrefix  = "/q/"
)

// submit hands one submission in, up to a few times.
func (c *callers) submit(r *rand.Rand) {
	id := fmt.Sprintf("%016x", r.Uint64())
	t := &told{rejected: true}
	c.mu.Lock()
	c.told[id] = t
	c.mu.Unlock()
	step := guavastandin.Step{Tasks: 1 + r.IntN(4), MilliCores: 500, MemoryMB: 64, Estimate: 200 * time.Millisecond}
	steps := []guavastandin.Step{step}
	if r.IntN(2) == 0 {
		step.Tasks, step.After = 1, []int{0}
		steps = append(steps, step)
	}
	body, err := guavastandin.Submission(time.Duration(50+r.IntN(600))*time.Millisecond, steps)
	if err != nil {
		panic(err) // Only numbers and texts are encoded.
	}
	for range 5 {
		status, _ := c.call(c.processes[r.IntN(len(c.processes))], fasthttp.MethodPost, id, body)
		c.mu.Lock()
		c.counts[status]++
		t.accepted = t.accepted || status == fasthttp.StatusOK
		t.rejected = t.rejected && status == fasthttp.StatusServiceUnavailable
		accepted := t.accepted
		c.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Duration(200+r.IntN(600)) * time.Millisecond)
	}
}

// noAnswer stands for a call that got no answer.
const noAnswer = -1

func (c *callers) call(p *process, method, id string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.callers + callPrefix + id)
	req.UseHostHeader = true
	req.Header.SetHost(callHost)
	req.Header.SetMethod(method)
	req.Header.Set(guavastandin.HeaderDeadline, fmt.Sprint(callTimeout.Milliseconds()))
	req.SetBody(body)
	if err := c.client.DoTimeout(req, resp, callTimeout); err != nil {
		return noAnswer, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// poll asks for the state of a submission and checks the answer.
func (c *callers) poll(p *process, id string) (finding string) {
	begun := time.Now()
	status, body := c.call(p, fasthttp.MethodGet, id, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.told[id]
	switch status {
	case fasthttp.StatusGone:
		if t.accepted {
			return fmt.Sprintf("submission %s was accepted and is unknown at %s", id, p.name)
		}
	case fasthttp.StatusOK:
		state, err := guavastandin.ParseState(body)
		if err != nil {
			return fmt.Sprintf("submission %s: the state at %s can't be read: %v", id, p.name, err)
		}
		if t.contradicts(begun, state) {
			return fmt.Sprintf("submission %s was %s and is now %s at %s; asked %s after that was told, answered in %s",
				id, t.state, state, p.name, begun.Sub(t.endedAt).Round(time.Millisecond), time.Since(begun).Round(time.Millisecond))
		}
		if ended(state) && !ended(t.state) {
			t.endedAt = time.Now()
		}
		if !ended(t.state) {
			t.state = state
		}
	}
	return ""
}

// contradicts reports whether an answer takes back a final state that was told
// before it was asked for. The answer of an earlier request may arrive later: a
// paused daemon or a slow store holds it up.
func (t *told) contradicts(asked time.Time, state string) bool {
	return ended(t.state) && state != t.state && asked.After(t.endedAt)
}

func ended(state string) bool { return state == "completed" || state == "failed" }

// open returns the accepted submissions that were not seen to end.
func (c *callers) open() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, t := range c.told {
		if t.accepted && !ended(t.state) {
			ids = append(ids, id)
		}
	}
	return ids
}
