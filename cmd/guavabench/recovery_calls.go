package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/guavaconfig"
	"guavascale.example/guavagateway"
)

const (
	recoveryCallers     = 7
	recoveryCallerPause = 20 * time.Millisecond
	// keyedEvery is the interval of requests with an idempotency key: one in 10
	// has one.
	keyedEvery    = 10
	probeInterval = 250 * time.Millisecond
	callDeadline  = 5 * time.Second
)

// start starts the readiness probe and the callers, which run until ctx ends.
func (c *callers) start(ctx context.Context, wg *sync.WaitGroup) {
	c.failuresByReason = map[string]int{}
	c.probe()
	wg.Go(func() {
		for ctx.Err() == nil {
			sleepContext(ctx, probeInterval)
			c.probe()
		}
	})
	for range recoveryCallers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c.call(i%keyedEvery == 0)
				sleepContext(ctx, recoveryCallerPause)
			}
		})
	}
}

func (c *callers) probe() {
	var ready []string
	for _, n := range c.system.live() {
		addr := n.daemon.Addresses().Gateway
		status, _, err := fasthttp.GetTimeout(nil, "http://"+addr+guavagateway.ReadyPath, time.Second)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, addr)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = ready
}

func (c *callers) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return ""
	}
	return c.ready[rand.IntN(len(c.ready))]
}

func (c *callers) call(keyed bool) {
	addr := c.pick()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/" + recoveryService + "/seats")
	if keyed {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Idempotency-Key", guavaconfig.NewID())
	}
	reason := ""
	if err := fasthttp.DoTimeout(req, resp, callDeadline); err != nil {
		reason = "no answer"
	} else if resp.StatusCode() != fasthttp.StatusOK {
		reason = fmt.Sprintf("%d %s", resp.StatusCode(), resp.Header.Peek("Guavascale-Outcome"))
	}
	c.record(keyed, reason)
}

func (c *callers) record(keyed bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := int64(0)
	if reason != "" {
		failed = 1
		c.failuresByReason[fmt.Sprintf("%s (keyed: %t)", reason, keyed)]++
	}
	if keyed {
		c.counts.keyed++
		c.counts.keyedFailed += failed
		return
	}
	c.counts.requests++
	c.counts.failed += failed
}

// waitReady waits until the readiness probe has seen the daemon with this gateway
// address as ready, so that it receives requests.
func (c *callers) waitReady(addr string) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(probeInterval) {
		c.mu.Lock()
		ready := slices.Contains(c.ready, addr)
		c.mu.Unlock()
		if ready {
			return
		}
	}
}

// takeFailureReasons returns and resets the number of failures by reason.
func (c *callers) takeFailureReasons() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.failuresByReason
	c.failuresByReason = map[string]int{}
	return m
}

func (c *callers) total() callCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
