package guavafake

import (
	"context"
	"errors"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
)

type (
	// Endpoints serves callers' requests to the service instances of workers,
	// with one listener per worker. The zero value works once Fleet is set.
	Endpoints struct {
		// Fleet tells which services run on a worker.
		Fleet *Fleet
		// LateAnswer is how long the fault Late holds an answer back; 0
		// stands for 3 s.
		LateAnswer time.Duration

		mu      sync.Mutex
		runs    map[string]int
		workers map[guavascale.WorkerID]*endpoint
	}

	// EndpointCounts counts what happened at the listener of one worker.
	EndpointCounts struct {
		// Runs counts the requests that ran.
		Runs int
		// NotServed counts the requests for which no instance ran, NoSlot
		// those that found all slots taken. Neither was run.
		NotServed int
		NoSlot    int
		// Interrupted counts the requests whose instance or worker ended
		// before they were answered.
		Interrupted int
		// RefusedConnections counts the connections beyond the limit.
		RefusedConnections int
		// PeakRequests and PeakConnections are the highest numbers at a time.
		PeakRequests    int
		PeakConnections int
	}

	// endpoint is the listener of one worker. Its counts are guarded by the
	// mutex of Endpoints.
	endpoint struct {
		owner       *Endpoints
		info        guavascale.Worker
		server      *fasthttp.Server
		listener    net.Listener
		requests    int
		connections int
		counts      EndpointCounts
	}
)

// Headers of requests to endpoints and of their answers.
const (
	// HeaderNotRun marks an answer of an endpoint that did not run the request.
	HeaderNotRun = "Guavascale-Not-Run"
	// HeaderRequestID is echoed.
	HeaderRequestID = "Request-Id"
	// HeaderDelay is the service time in milliseconds.
	HeaderDelay = "Stand-In-Delay-Ms"
	// HeaderFault is one of the Fault constants.
	HeaderFault = "Stand-In-Fault"
	// HeaderTag names the request in the counts of runs.
	HeaderTag = "Stand-In-Tag"
)

// Faults of single requests, values of HeaderFault.
const (
	// FaultTruncate breaks the connection off within the answer.
	FaultTruncate = "Truncate"
	// FaultLate holds the answer back.
	FaultLate = "Late"
	// FaultResetBefore resets the connection and does not run the request.
	FaultResetBefore = "Reset-Before"
	// FaultResetAfter runs the request and resets the connection.
	FaultResetAfter = "Reset-After"
	// FaultWrongID answers with another request ID.
	FaultWrongID = "Wrong-Request-Id"
)

const defaultLateAnswer = 3 * time.Second

// Open starts the listener of a worker and returns the worker with its
// EndpointAddress set. An empty EndpointAddress stands for a free port of host.
func (e *Endpoints) Open(w guavascale.Worker, host string) (guavascale.Worker, error) {
	address := w.EndpointAddress
	if address == "" {
		address = net.JoinHostPort(host, "0")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return w, err
	}
	w.EndpointAddress = ln.Addr().String()
	ep := &endpoint{owner: e, info: w}
	ep.server = newServer(ep.serve)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.workers == nil {
		e.workers = map[guavascale.WorkerID]*endpoint{}
	}
	e.workers[w.ID] = ep
	ep.listen(ln)
	return w, nil
}

// Refuse closes the listener of a worker, so that new connections are refused.
// Open connections stay; requests on them find out whether the worker is
// reachable. It fails with NotFoundError.
func (e *Endpoints) Refuse(id guavascale.WorkerID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.workers[id]
	if ep == nil {
		return &guavascale.NotFoundError{Kind: "endpoint of worker", Name: string(id)}
	}
	if ep.listener == nil {
		return nil
	}
	err := ep.listener.Close()
	ep.listener = nil
	return err
}

// Accept opens the listener of a worker again, at the same address, after
// Refuse. It fails with NotFoundError, and when another process took the port.
func (e *Endpoints) Accept(id guavascale.WorkerID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.workers[id]
	if ep == nil {
		return &guavascale.NotFoundError{Kind: "endpoint of worker", Name: string(id)}
	}
	if ep.listener != nil {
		return nil
	}
	ln, err := net.Listen("tcp", ep.info.EndpointAddress)
	if err != nil {
		return err
	}
	ep.listen(ln)
	return nil
}

// listen serves a listener. The mutex of Endpoints is held.
func (ep *endpoint) listen(ln net.Listener) {
	l := &limitListener{Listener: ln, ep: ep}
	ep.listener = l
	// Serve returns when the listener is closed.
	go func() { _ = ep.server.Serve(l) }()
}

// Close stops all listeners; requests in progress have until ctx ends.
func (e *Endpoints) Close(ctx context.Context) error {
	e.mu.Lock()
	workers := maps.Clone(e.workers)
	e.workers = nil
	e.mu.Unlock()
	// A shutdown polls for the end of requests, so that closing one after the
	// other would take seconds with a hundred workers.
	errs := make(chan error, len(workers))
	for _, ep := range workers {
		go func() { errs <- ep.server.ShutdownWithContext(ctx) }()
	}
	var all error
	for range workers {
		all = errors.Join(all, <-errs)
	}
	return all
}

// Runs returns the number of runs by tag.
func (e *Endpoints) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// Counts returns the counts of all listeners.
func (e *Endpoints) Counts() map[guavascale.WorkerID]EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[guavascale.WorkerID]EndpointCounts, len(e.workers))
	for id, ep := range e.workers {
		counts[id] = ep.counts
	}
	return counts
}

func (ep *endpoint) serve(ctx *fasthttp.RequestCtx) {
	service, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	reachable, serves := ep.owner.Fleet.Serves(ep.info.ID, service)
	fault := string(ctx.Request.Header.Peek(HeaderFault))
	if !reachable || fault == FaultResetBefore {
		breakOff(ctx, "")
		return
	}
	delay, err := delayOf(ctx)
	if err != nil {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if !ep.begin(serves, string(ctx.Request.Header.Peek(HeaderTag))) {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if fault == FaultLate {
		delay += ep.owner.lateAnswer()
	}
	time.Sleep(delay)
	_, serves = ep.owner.Fleet.Serves(ep.info.ID, service)
	ep.finish(serves)
	if !serves || fault == FaultResetAfter {
		breakOff(ctx, "")
		return
	}
	answer(ctx, fault)
}

// begin takes a slot for a request that an instance serves and counts it.
func (ep *endpoint) begin(serves bool, tag string) bool {
	e := ep.owner
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !serves:
		ep.counts.NotServed++
		return false
	case ep.requests >= ep.info.Slots:
		ep.counts.NoSlot++
		return false
	}
	ep.requests++
	ep.counts.Runs++
	ep.counts.PeakRequests = max(ep.counts.PeakRequests, ep.requests)
	if tag != "" {
		if e.runs == nil {
			e.runs = map[string]int{}
		}
		e.runs[tag]++
	}
	return true
}

func (ep *endpoint) finish(served bool) {
	ep.owner.mu.Lock()
	defer ep.owner.mu.Unlock()
	ep.requests--
	if !served {
		ep.counts.Interrupted++
	}
}

func (e *Endpoints) lateAnswer() time.Duration {
	if e.LateAnswer <= 0 {
		return defaultLateAnswer
	}
	return e.LateAnswer
}

func delayOf(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	value := string(ctx.Request.Header.Peek(HeaderDelay))
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	return time.Duration(ms) * time.Millisecond, err
}

// answer echoes the request.
func answer(ctx *fasthttp.RequestCtx, fault string) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	if fault == FaultWrongID {
		id += "-wrong"
	}
	if fault == FaultTruncate {
		// One byte fewer than announced, so that only a check of the length
		// notices it.
		body := string(ctx.PostBody())
		head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\n"
		breakOff(ctx, head+"Content-Length: "+strconv.Itoa(len(body)+1)+"\r\n\r\n"+body)
		return
	}
	if id != "" {
		ctx.Response.Header.Set(HeaderRequestID, id)
	}
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	ctx.SetBody(ctx.PostBody())
}
