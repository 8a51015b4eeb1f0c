package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/platform/guavastandin"
)

// client is a client of the system.
type client struct {
	w    *world
	http fasthttp.Client
}

const (
	// clientLimit is the time limit of a client, and noResponse the status of a call
	// without a response.
	clientLimit = 3 * time.Second
	noResponse  = 0
)

// do makes a call at a daemon and returns its status and body.
func (c *client) do(d *daemon, method, path string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.callers + path)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set(guavastandin.HeaderDeadline, fmt.Sprint(clientLimit.Milliseconds()))
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, clientLimit); err != nil {
		return noResponse, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// submit hands a submission in, once, and returns the status.
func (c *client) submit(d *daemon, id string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Impossible: the body contains only numbers, strings and lists.
	}
	status, _ := c.do(d, "POST", prefix+id, data)
	c.w.note("POST %s at %s -> %d", id, d.name, status)
	return status
}

// submitUntil hands a submission in until it is accepted, at each daemon in turn.
func (c *client) submitUntil(id string, body any, tries int) bool {
	for i := range tries {
		if c.submit(c.w.daemons[i%len(c.w.daemons)], id, body) == fasthttp.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission. It returns the status and the state.
func (c *client) state(d *daemon, id string) (int, string) {
	status, body := c.do(d, "GET", prefix+id, nil)
	state, err := guavastandin.ParseState(body)
	if status == fasthttp.StatusOK && err != nil {
		state = "unreadable"
	}
	c.w.note("GET %s at %s -> %d %s", id, d.name, status, state)
	return status, state
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a submission whose tasks run for the estimate.
func step(count int, estimate time.Duration) map[string]any {
	return map[string]any{"count": count, "cpu": 1000, "memMb": 256, "estimateMs": estimate.Milliseconds()}
}

// submission is a submission whose tasks run for the given time.
func submission(work time.Duration, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": work.String(), "steps": steps}
}

// pick returns a daemon for a client: three of four get the first one, as the share of
// channels per daemon is uneven.
func (w *world) pick(first *daemon) *daemon {
	if first != nil && rand.IntN(4) > 0 {
		return first
	}
	return w.daemons[rand.IntN(len(w.daemons))]
}

// submitAtRate hands in new submissions at random times for a while, one in each interval
// on average, without waiting for the answers. Most go to the first daemon, unless that
// is nil. It returns the times at which submissions were accepted.
func (w *world) submitAtRate(first *daemon, length, interval time.Duration, body any) map[string]time.Time {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	accepted := make(map[string]time.Time)
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval))) {
		wg.Go(func() {
			id := newID()
			if w.client.submit(w.pick(first), id, body) == fasthttp.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				accepted[id] = time.Now()
			}
		})
	}
	wg.Wait()
	return accepted
}
