package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/platform/guavastandin"
)

type (
	// submissionClient sends submissions to the daemons and records their
	// responses.
	submissionClient struct {
		processes []*process
		client    fasthttp.Client
		checker   *guavastandin.Checker
		keys      keyring
		// cut is a daemon that is cut off the store, or nil.
		cut atomic.Pointer[process]

		mu sync.Mutex
		// submissions holds the observed status of each submission by ID.
		submissions  map[string]*submissionStatus
		statusCounts map[int]int
		// probes counts the calls that must not be answered with success, by what they lack.
		probes   map[string]int
		findings []string
	}

	// submissionKind tells what a submission is made of.
	submissionKind int

	submissionStatus struct {
		// account is the index of the account, if there are accounts.
		account  int
		accepted bool
		// rejected is set as long as every response has been a rejection.
		rejected bool
		state    string
		// endedAt is when a final state was first observed.
		endedAt time.Time
		// toldBy is the daemon that told the final state.
		toldBy *process
	}
)

const (
	// ordinary submissions have a few tasks. The task of a deadly one crashes its workers.
	// The tasks of a burst are so many and short that a worker can't report all ends at
	// once while the store is down.
	ordinary submissionKind = iota
	deadly
	burst
	// long tasks run longFactor times longer than ordinary ones. They are small and of one
	// step, so that all fit and end within the time to settle.
	long
)

const (
	burstTasks     = 1500
	burstWork      = 20 * time.Millisecond
	longMilliCores = 100
	requestTimeout = 1500 * time.Millisecond
	routeHost      = "soak.example"
	routePrefix    = "/q/"
)

// submit sends one submission up to 5 times, until it is accepted.
func (c *submissionClient) submit(r *rand.Rand, kind submissionKind) {
	id := fmt.Sprintf("%016x", r.Uint64())
	t := &submissionStatus{rejected: true}
	if c.keys.enabled() {
		t.account = r.IntN(accountCount)
	}
	c.mu.Lock()
	c.submissions[id] = t
	c.mu.Unlock()
	step := guavastandin.Step{Tasks: 1 + r.IntN(4), MilliCores: 500, MemoryMB: 64, Estimate: 200 * time.Millisecond}
	steps := []guavastandin.Step{step}
	if r.IntN(2) == 0 {
		step.Tasks, step.After = 1, []int{0}
		steps = append(steps, step)
	}
	work := time.Duration(50+r.IntN(600)) * time.Millisecond
	payload := work.String()
	switch kind {
	case ordinary:
	case deadly:
		payload, steps = guavastandin.DeadlyPayload, steps[:1]
		steps[0].Tasks = 1
	case long:
		payload, steps = (longFactor * work).String(), steps[:1]
		steps[0].MilliCores = longMilliCores
	case burst:
		payload, steps = burstWork.String(), steps[:1]
		steps[0].Tasks, steps[0].MilliCores, steps[0].MemoryMB, steps[0].Estimate = burstTasks, 50, 1, burstWork
	}
	body, err := guavastandin.Submission(payload, steps)
	if err != nil {
		panic(err) // Impossible: the body contains only numbers and strings.
	}
	c.checker.SetSizes(id, steps)
	for range 5 {
		p := c.processes[r.IntN(len(c.processes))]
		sentAt, key := time.Now(), c.keys.key(t.account)
		status, _ := c.call(p, fasthttp.MethodPost, routePrefix, id, key, body)
		finding := c.denial(p, t.account, key, sentAt, status)
		c.mu.Lock()
		if finding != "" {
			c.findings = append(c.findings, finding)
		}
		c.statusCounts[status]++
		t.accepted = t.accepted || status == fasthttp.StatusOK
		t.rejected = t.rejected && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusUnauthorized)
		accepted := t.accepted
		c.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Duration(200+r.IntN(600)) * time.Millisecond)
	}
}

// noResponse is the status of a request that got no response.
const noResponse = -1

// call makes a call to a route, with an API key unless it is empty.
func (c *submissionClient) call(p *process, method, prefix, id, key string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.callersAddress + prefix + id)
	req.UseHostHeader = true
	req.Header.SetHost(routeHost)
	req.Header.SetMethod(method)
	req.Header.Set(guavastandin.HeaderDeadline, fmt.Sprint(requestTimeout.Milliseconds()))
	if key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, guavastandin.Authorization(key))
	}
	req.SetBody(body)
	if err := c.client.DoTimeout(req, resp, requestTimeout); err != nil {
		return noResponse, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// poll requests the state of a submission and returns a finding if the response
// violates a guarantee.
func (c *submissionClient) poll(p *process, id string) (finding string) {
	c.mu.Lock()
	t := c.submissions[id]
	c.mu.Unlock()
	requestedAt, key := time.Now(), c.keys.key(t.account)
	status, body := c.call(p, fasthttp.MethodGet, routePrefix, id, key, nil)
	if finding := c.denial(p, t.account, key, requestedAt, status); finding != "" {
		return finding
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case fasthttp.StatusGone:
		if t.accepted {
			return fmt.Sprintf("submission %s was accepted and is unknown at %s", id, p.name)
		}
	case fasthttp.StatusOK:
		state, err := guavastandin.ParseState(body)
		if err != nil {
			return fmt.Sprintf("submission %s: cannot decode the state returned by %s: %v", id, p.name, err)
		}
		if t.contradicts(requestedAt, state) {
			return fmt.Sprintf("submission %s was %s and is now %s at %s; requested %s after the final state was observed, answered in %s",
				id, t.state, state, p.name, requestedAt.Sub(t.endedAt).Round(time.Millisecond), time.Since(requestedAt).Round(time.Millisecond))
		}
		if isFinal(state) && !isFinal(t.state) {
			t.endedAt, t.toldBy = time.Now(), p
		}
		if !isFinal(t.state) {
			t.state = state
		}
	}
	return ""
}

// contradicts reports whether a state differs from the final state that was
// observed before the request was sent. Responses to earlier requests don't
// count: a paused daemon or a slow store can delay them.
func (t *submissionStatus) contradicts(requestedAt time.Time, state string) bool {
	return isFinal(t.state) && state != t.state && requestedAt.After(t.endedAt)
}

func isFinal(state string) bool { return state == "completed" || state == "failed" }

// unfinished returns the IDs of the accepted submissions for which no final
// state was observed.
func (c *submissionClient) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, t := range c.submissions {
		if t.accepted && !isFinal(t.state) {
			ids = append(ids, id)
		}
	}
	return ids
}
