package guavagateway

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/guavaroute"
)

type (
	// attempt is one attempt to send a request to one endpoint.
	attempt struct {
		g        *Gateway
		pick     guavaroute.Pick
		req      *fasthttp.Request
		resp     *fasthttp.Response
		deadline time.Time
		result   attemptResult
		conn     cancelableConn
	}

	// cancelableConn is the connection that an attempt uses. Another goroutine may
	// cancel it.
	cancelableConn struct {
		mu       sync.Mutex
		conn     *endpointConn
		canceled bool
	}

	// faultError reports a panic in an attempt, after which the request may have
	// run.
	faultError struct{ fault any }
)

func (e *faultError) Error() string { return fmt.Sprintf("internal fault: %v", e.fault) }

// sendAttempt makes one attempt, or two concurrent ones if the request is hedged. It
// returns the attempt that got a response, or else the last one to end, which must
// be released after use.
func (r *request) sendAttempt(p guavaroute.Pick) *attempt {
	a := r.newAttempt(p)
	if !r.idempotent || r.g.HedgeAfter <= 0 {
		a.execute()
		r.recordAttempt(a)
		return a
	}
	return r.sendHedged(a)
}

// sendHedged also sends the request to a second endpoint if the first one has not
// responded within HedgeAfter and the retry budget allows it. The attempt that is not
// needed is canceled.
func (r *request) sendHedged(first *attempt) *attempt {
	done := make(chan *attempt, 2)
	go first.executeTo(done)
	timer := time.NewTimer(r.g.HedgeAfter)
	defer timer.Stop()
	select {
	case a := <-done:
		r.recordAttempt(a)
		return a
	case <-timer.C:
	}
	r.tried = append(r.tried, first.pick.Endpoint.Task)
	p, ok := r.pickForRetry()
	if !ok {
		a := <-done
		r.recordAttempt(a)
		return a
	}
	second := r.newAttempt(p)
	go second.executeTo(done)
	a := <-done
	r.recordAttempt(a)
	if !a.answered() {
		a.release()
		a = <-done
		r.recordAttempt(a)
		return a
	}
	first.conn.cancel()
	second.conn.cancel()
	go func() { (<-done).release() }()
	return a
}

// recordAttempt records the effect of a completed attempt on the request's outcome.
func (r *request) recordAttempt(a *attempt) {
	r.tried = append(r.tried, a.pick.Endpoint.Task)
	if a.result.wrote && !a.result.rejected {
		r.mayHaveRun = true
	}
}

func (r *request) newAttempt(p guavaroute.Pick) *attempt {
	a := &attempt{g: r.g, pick: p, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), deadline: r.deadline}
	prepareRequest(a.req, &r.ctx.Request)
	return a
}

// execute sends the request and releases the slot, also after a panic, which may
// happen on a goroutine of its own.
func (a *attempt) execute() {
	defer func() {
		if fault := recover(); fault != nil {
			a.g.Log.Error().Interface("Fault", fault).Bytes("Stack", debug.Stack()).Msg("gateway: an attempt panicked")
			a.result = attemptResult{err: &faultError{fault}, wrote: true}
		}
		a.g.releaseSlot(a.pick, a.result)
	}()
	a.result = a.g.sendToEndpoint(a)
}

func (a *attempt) executeTo(done chan<- *attempt) {
	a.execute()
	done <- a
}

func (a *attempt) answered() bool { return a.result.err == nil && !a.result.rejected }

func (a *attempt) release() {
	fasthttp.ReleaseRequest(a.req)
	fasthttp.ReleaseResponse(a.resp)
}

// attach sets the connection in use. It reports false if the attempt was canceled.
func (cc *cancelableConn) attach(c *endpointConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.conn = c
	return !cc.canceled
}

// cancel makes I/O on the connection fail; the attempt then closes it.
func (cc *cancelableConn) cancel() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.canceled = true
	if cc.conn != nil {
		_ = cc.conn.SetDeadline(time.Unix(1, 0))
	}
}

// detach clears the connection before it is pooled or closed, and reports whether the
// attempt was canceled.
func (cc *cancelableConn) detach() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.conn = nil
	return cc.canceled
}
