package guavagateway

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/guavaroute"
)

type (
	// try is one attempt of a request at one endpoint.
	try struct {
		g        *Gateway
		pick     guavaroute.Pick
		req      *fasthttp.Request
		resp     *fasthttp.Response
		deadline time.Time
		rep      reply
		line     line
	}

	// line is the connection of an attempt, which another goroutine may cut.
	line struct {
		mu   sync.Mutex
		conn *conn
		cut  bool
	}
)

// send makes one attempt, or two when hedging is due. It returns the answered
// attempt, or the last one to end; the caller releases it.
func (r *request) send(p guavaroute.Pick) *try {
	t := r.newTry(p)
	if !r.idempotent || r.g.HedgeAfter <= 0 {
		t.run()
		r.note(t)
		return t
	}
	return r.hedge(t)
}

// hedge sends the request to a second endpoint when the first is late and the
// retry budget allows. The attempt that is not needed is cut off.
func (r *request) hedge(first *try) *try {
	ends := make(chan *try, 2)
	go first.runTo(ends)
	timer := time.NewTimer(r.g.HedgeAfter)
	defer timer.Stop()
	select {
	case t := <-ends:
		r.note(t)
		return t
	case <-timer.C:
	}
	r.tried = append(r.tried, first.pick.Endpoint.Task)
	p, ok := r.nextPick()
	if !ok {
		t := <-ends
		r.note(t)
		return t
	}
	second := r.newTry(p)
	go second.runTo(ends)
	t := <-ends
	r.note(t)
	if !t.answered() {
		t.release()
		t = <-ends
		r.note(t)
		return t
	}
	first.line.cutOff()
	second.line.cutOff()
	go func() { (<-ends).release() }()
	return t
}

// note remembers what an attempt that ended means for the request's outcome.
func (r *request) note(t *try) {
	r.tried = append(r.tried, t.pick.Endpoint.Task)
	if t.rep.wrote && !t.rep.rejected {
		r.mayHaveRun = true
	}
}

func (r *request) newTry(p guavaroute.Pick) *try {
	t := &try{g: r.g, pick: p, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), deadline: r.deadline}
	prepare(t.req, &r.ctx.Request)
	return t
}

func (t *try) run() {
	t.rep = t.g.attempt(t)
	t.g.done(t.pick, t.rep)
}

func (t *try) runTo(ends chan<- *try) {
	t.run()
	ends <- t
}

func (t *try) answered() bool { return t.rep.err == nil && !t.rep.rejected }

func (t *try) release() {
	fasthttp.ReleaseRequest(t.req)
	fasthttp.ReleaseResponse(t.resp)
}

// hold sets the connection in use and reports whether it may be used.
func (l *line) hold(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	return !l.cut
}

// cutOff ends the use of the connection; the attempt fails and closes it.
func (l *line) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	if l.conn != nil {
		_ = l.conn.SetDeadline(time.Unix(1, 0))
	}
}

// drop ends the hold before the connection is kept or closed, and reports
// whether the attempt was cut off.
func (l *line) drop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	return l.cut
}
