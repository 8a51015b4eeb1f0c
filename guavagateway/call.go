package guavagateway

import (
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaroute"
)

type (
	// attemptResult describes how one attempt at an endpoint ended.
	attemptResult struct {
		// err is nil if a complete response was read.
		err error
		// wrote is set if any byte of the request was written to a connection to
		// an endpoint.
		wrote bool
		// rejected is set if the request certainly did not run: the endpoint
		// reported that, or the snapshot had expired and nothing was sent.
		rejected bool
		// canceled is set if the gateway itself ended the attempt.
		canceled bool
		elapsed  time.Duration
	}
)

const (
	headerOutcome   = "Guavascale-Outcome"
	headerNotRun    = "Guavascale-Not-Run"
	headerTimeout   = "Request-Timeout-Ms"
	headerKey       = "Idempotency-Key"
	headerPriority  = "Request-Priority"
	headerRequestID = "Request-Id"
)

// minFailureTimeout is the shortest elapsed time for which a timeout counts as a
// failure of the endpoint; a shorter one counts as no result. Otherwise a caller with very short deadlines could get
// healthy endpoints ejected.
const minFailureTimeout = time.Second

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// sendToEndpoint sends an attempt's request to its endpoint and reads the response.
func (g *Gateway) sendToEndpoint(a *attempt) attemptResult {
	if g.expired() {
		return attemptResult{err: errSnapshotExpired, rejected: true}
	}
	started := time.Now()
	res := g.exchangeWithRedial(a)
	res.elapsed = time.Since(started)
	if res.err != nil {
		res.err = &guavascale.UnavailableError{
			System:         "worker " + string(a.pick.Endpoint.Worker),
			Op:             "the request",
			MayHaveApplied: res.wrote,
			Cause:          res.err,
		}
		return res
	}
	res.rejected = a.resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(a.resp.Header.Peek(headerNotRun)) == "true"
	return res
}

// exchangeWithRedial exchanges the request and response on one connection. If a
// reused connection fails before any byte was written to it, another one is used.
// A connection is kept open only if the endpoint echoes Request-Id; otherwise a late
// or repeated response could be mistaken for the response to the next request.
func (g *Gateway) exchangeWithRedial(a *attempt) attemptResult {
	for {
		c, err := g.pool.get(a.pick.Endpoint, a.pick.Connections, a.deadline)
		if err != nil {
			return attemptResult{err: err}
		}
		if a.conn.attach(c) {
			err = g.exchange(c, a.req, a.resp, a.deadline)
		} else {
			err = os.ErrDeadlineExceeded
		}
		res := attemptResult{err: err, wrote: c.written > 0, canceled: a.conn.detach()}
		stale := !c.idleSince.IsZero() && !res.wrote && !res.canceled
		if err == nil && !res.canceled && c.echoesRequestID && !a.resp.Header.ConnectionClose() && c.r.Buffered() == 0 {
			g.pool.put(c, a.pick.Connections)
			return res
		}
		g.pool.discard(c)
		if err == nil || !stale {
			return res
		}
	}
}

// exchange writes the request and reads the complete response.
func (g *Gateway) exchange(c *endpointConn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	id := g.runID + "-" + strconv.FormatUint(g.lastRequestID.Add(1), 36)
	req.Header.Set(headerRequestID, id)
	remaining := max(1, time.Until(deadline).Milliseconds())
	req.Header.Set(headerTimeout, strconv.FormatInt(remaining, 10))
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if err := g.readResponse(c, resp, req.Header.IsHead()); err != nil {
		return err
	}
	return c.checkRequestID(id, resp)
}

// checkRequestID checks that a response belongs to the request with the given ID. On
// a connection where an earlier response carried a Request-Id, a response without
// one is rejected too, because it could be a late or repeated response.
func (c *endpointConn) checkRequestID(id string, resp *fasthttp.Response) error {
	echoed := string(resp.Header.Peek(headerRequestID))
	switch {
	case echoed == id:
		c.echoesRequestID = true
		return nil
	case echoed != "":
		return &responseError{Reason: "the answer belongs to another request"}
	case c.echoesRequestID:
		return &responseError{Reason: "the answer has no Request-Id, unlike earlier ones of its connection"}
	default:
		return nil
	}
}

// readResponse reads a complete response. Responses that are delimited by the end of
// the connection are rejected, because they cannot be distinguished from truncated
// ones.
func (g *Gateway) readResponse(c *endpointConn, resp *fasthttp.Response, head bool) error {
	if err := resp.Header.Read(c.r); err != nil {
		return err
	}
	status := resp.StatusCode()
	if status < fasthttp.StatusOK {
		return &responseError{Reason: "the endpoint answered with interim status " + strconv.Itoa(status)}
	}
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 {
		return &responseError{Reason: "the answer has no length"}
	}
	if err := resp.ReadBody(c.r, g.Limits.ResponseBytes); err != nil {
		return err
	}
	if length >= 0 && len(resp.Body()) != length {
		return &responseError{Reason: "the answer is truncated"}
	}
	if length == -1 {
		return resp.Header.ReadTrailer(c.r)
	}
	return nil
}

// routeResult returns the result that is reported to the router. Attempts that failed
// for lack of a connection or were canceled say nothing about the endpoint.
func (r attemptResult) routeResult() guavaroute.Result {
	failed := r.err != nil
	var limitErr *connLimitError
	if errors.As(r.err, &limitErr) || (failed && r.canceled) {
		return guavaroute.Result{Elapsed: r.elapsed, Rejected: true}
	}
	if failed && r.timedOut() && r.elapsed < minFailureTimeout {
		// Neither a failure of the endpoint nor a success of it.
		return guavaroute.Result{Elapsed: r.elapsed, Rejected: true}
	}
	return guavaroute.Result{Elapsed: r.elapsed, Failed: failed, Rejected: r.rejected}
}

func (r attemptResult) timedOut() bool {
	var netErr net.Error
	return errors.Is(r.err, os.ErrDeadlineExceeded) || errors.Is(r.err, fasthttp.ErrTimeout) || (errors.As(r.err, &netErr) && netErr.Timeout())
}

// isIdempotent reports whether a request may be sent more than once.
func isIdempotent(method string, s guavascale.Service) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	default:
		return s.Idempotent
	}
}
