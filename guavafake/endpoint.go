package guavafake

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
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
		// Fleet determines which services run on a worker.
		Fleet *Fleet
		// LateAnswer is how long FaultLate delays a response; 0 means 3 s.
		LateAnswer time.Duration

		mu      sync.Mutex
		runs    map[string]int
		workers map[guavascale.WorkerID]*endpoint
	}

	// EndpointCounts counts the requests and connections at the listener of
	// one worker.
	EndpointCounts struct {
		// Runs counts the requests that ran.
		Runs int
		// NotServed counts the requests for which no instance was running,
		// NoSlot those that found all slots in use. Neither were run.
		NotServed int
		NoSlot    int
		// Interrupted counts the requests whose instance or worker ended
		// before the response.
		Interrupted int
		// RefusedConnections counts the connections closed because they
		// exceeded the limit.
		RefusedConnections int
		// PeakRequests and PeakConnections are the highest concurrent numbers.
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

// Headers of requests to endpoints and of their responses.
const (
	// HeaderNotRun marks a response from an endpoint that did not run the
	// request.
	HeaderNotRun = "Guavascale-Not-Run"
	// HeaderRequestID is echoed in the response.
	HeaderRequestID = "Request-Id"
	// HeaderDelay is the service time to simulate, in milliseconds.
	HeaderDelay = "Stand-In-Delay-Ms"
	// HeaderFault is the fault to inject, one of the Fault constants.
	HeaderFault = "Stand-In-Fault"
	// HeaderTag is the tag under which Runs counts the request.
	HeaderTag = "Stand-In-Tag"
)

// Faults of individual requests, values of HeaderFault.
const (
	// FaultTruncate closes the connection before the response is complete.
	FaultTruncate = "Truncate"
	// FaultLate delays the response.
	FaultLate = "Late"
	// FaultResetBefore resets the connection and does not run the request.
	FaultResetBefore = "Reset-Before"
	// FaultResetAfter runs the request and resets the connection.
	FaultResetAfter = "Reset-After"
	// FaultWrongID responds with a different request ID.
	FaultWrongID = "Wrong-Request-Id"
)

const defaultLateDelay = 3 * time.Second

// Open starts the listener of a worker and returns the worker with its
// EndpointAddress set. An empty EndpointAddress selects a free port on host.
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
// Open connections remain; each request on them checks whether the worker is
// reachable. It fails with NotFoundError for an unknown worker.
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

// Accept reopens the listener of a worker at the same address, after Refuse. It
// fails with NotFoundError for an unknown worker, and when another process has
// taken the port.
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

// listen serves a listener. The caller holds the mutex of Endpoints.
func (ep *endpoint) listen(ln net.Listener) {
	l := &limitListener{Listener: ln, ep: ep}
	ep.listener = l
	// Serve returns an error once the listener is closed.
	go func() { _ = ep.server.Serve(l) }()
}

// Close stops all listeners, and waits for requests in progress until ctx ends.
func (e *Endpoints) Close(ctx context.Context) error {
	e.mu.Lock()
	workers := maps.Clone(e.workers)
	e.workers = nil
	e.mu.Unlock()
	// Shutdown polls for the end of requests, so closing the servers one by one
	// would take seconds with a hundred workers.
	errs := make(chan error, len(workers))
	for _, ep := range workers {
		if ep.listener != nil {
			// The server doesn't know the listener before it has begun to serve.
			_ = ep.listener.Close()
		}
		go func() { errs <- ep.server.ShutdownWithContext(ctx) }()
	}
	var all error
	for range workers {
		all = errors.Join(all, <-errs)
	}
	return all
}

// Runs returns the number of requests that ran, by tag.
func (e *Endpoints) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// Counts returns the counts of all listeners, by worker.
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
	reachable, instances := ep.owner.Fleet.Instances(ep.info.ID, service)
	fault := string(ctx.Request.Header.Peek(HeaderFault))
	if !reachable || fault == FaultResetBefore {
		abortConnection(ctx, "")
		return
	}
	delay, err := requestDelay(ctx)
	if err != nil {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if !ep.beginRequest(len(instances) > 0, string(ctx.Request.Header.Peek(HeaderTag))) {
		ctx.Response.Header.Set(HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if fault == FaultLate {
		delay += ep.owner.lateDelay()
	}
	time.Sleep(delay)
	_, running := ep.owner.Fleet.Instances(ep.info.ID, service)
	served := slices.ContainsFunc(instances, func(a guavascale.AttemptID) bool { return slices.Contains(running, a) })
	ep.endRequest(served)
	if !served || fault == FaultResetAfter {
		abortConnection(ctx, "")
		return
	}
	writeEcho(ctx, fault)
}

// beginRequest counts a request and reserves a slot for it. It returns false
// when no instance serves the request or no slot is free.
func (ep *endpoint) beginRequest(serves bool, tag string) bool {
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

func (ep *endpoint) endRequest(served bool) {
	ep.owner.mu.Lock()
	defer ep.owner.mu.Unlock()
	ep.requests--
	if !served {
		ep.counts.Interrupted++
	}
}

func (e *Endpoints) lateDelay() time.Duration {
	if e.LateAnswer <= 0 {
		return defaultLateDelay
	}
	return e.LateAnswer
}

func requestDelay(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	value := string(ctx.Request.Header.Peek(HeaderDelay))
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	return time.Duration(ms) * time.Millisecond, err
}

// writeEcho responds with the body of the request, and applies the faults of
// the response.
func writeEcho(ctx *fasthttp.RequestCtx, fault string) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	if fault == FaultWrongID {
		id += "-wrong"
	}
	if fault == FaultTruncate {
		// The body is one byte shorter than announced, so that only a check of
		// the length detects it.
		body := string(ctx.PostBody())
		head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\n"
		abortConnection(ctx, head+"Content-Length: "+strconv.Itoa(len(body)+1)+"\r\n\r\n"+body)
		return
	}
	if id != "" {
		ctx.Response.Header.Set(HeaderRequestID, id)
	}
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	ctx.SetBody(ctx.PostBody())
}
