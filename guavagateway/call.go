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
	// reply is how one attempt at an endpoint ended.
	reply struct {
		// err is nil when a whole answer was read.
		err error
		// wrote is set when a byte of the request was written to a connection
		// of an endpoint.
		wrote bool
		// rejected is set when the endpoint answered that it did not run the
		// request.
		rejected bool
		// cut is set when the gateway itself ended the attempt.
		cut     bool
		elapsed time.Duration
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

// minFailureTime is the shortest timeout that counts as a failure of the
// endpoint. Otherwise a caller with very short deadlines would have healthy
// endpoints ejected.
const minFailureTime = time.Second

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// attempt sends the request of a try to its endpoint and reads the answer.
func (g *Gateway) attempt(t *try) reply {
	if g.expired() {
		return reply{err: errViewExpired, rejected: true}
	}
	started := time.Now()
	rep := g.exchangeOnce(t)
	rep.elapsed = time.Since(started)
	if rep.err != nil {
		rep.err = &guavascale.UnavailableError{
			System:         "worker " + string(t.pick.Endpoint.Worker),
			Op:             "the request",
			MayHaveApplied: rep.wrote,
			Cause:          rep.err,
		}
		return rep
	}
	rep.rejected = t.resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(t.resp.Header.Peek(headerNotRun)) == "true"
	return rep
}

// exchangeOnce uses one connection, or a further one when an idle connection
// turned out to be broken before any byte was written to it. A connection is
// kept only when the endpoint echoes Request-Id, for otherwise a late or
// repeated answer could be taken for the answer to the next request.
func (g *Gateway) exchangeOnce(t *try) reply {
	for {
		c, err := g.pool.get(t.pick.Endpoint, t.pick.Connections, t.deadline)
		if err != nil {
			return reply{err: err}
		}
		if t.line.hold(c) {
			err = g.exchange(c, t.req, t.resp, t.deadline)
		} else {
			err = os.ErrDeadlineExceeded
		}
		rep := reply{err: err, wrote: c.written > 0, cut: t.line.drop()}
		stale := !c.idle.IsZero() && !rep.wrote && !rep.cut
		if err == nil && !rep.cut && c.echoes && !t.resp.Header.ConnectionClose() && c.r.Buffered() == 0 {
			g.pool.put(c, t.pick.Connections)
			return rep
		}
		g.pool.discard(c)
		if err == nil || !stale {
			return rep
		}
	}
}

// exchange writes the request and reads the whole answer.
func (g *Gateway) exchange(c *conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	id := g.run + "-" + strconv.FormatUint(g.requests.Add(1), 36)
	req.Header.Set(headerRequestID, id)
	left := max(1, time.Until(deadline).Milliseconds())
	req.Header.Set(headerTimeout, strconv.FormatInt(left, 10))
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if err := g.read(c, resp, req.Header.IsHead()); err != nil {
		return err
	}
	return c.check(id, resp)
}

// check compares the Request-Id of an answer. On a connection where an earlier
// answer carried one, an answer without it is refused too: it could be a late
// or repeated one.
func (c *conn) check(id string, resp *fasthttp.Response) error {
	echoed := string(resp.Header.Peek(headerRequestID))
	switch {
	case echoed == id:
		c.echoes = true
		return nil
	case echoed != "":
		return &answerError{Reason: "the answer belongs to another request"}
	case c.echoes:
		return &answerError{Reason: "the answer has no Request-Id, unlike earlier ones of its connection"}
	default:
		return nil
	}
}

// read reads a whole answer. An answer whose end only the end of the
// connection tells is refused, since it cannot be told from a truncated one.
func (g *Gateway) read(c *conn, resp *fasthttp.Response, head bool) error {
	if err := resp.Header.Read(c.r); err != nil {
		return err
	}
	status := resp.StatusCode()
	if status < fasthttp.StatusOK {
		return &answerError{Reason: "the endpoint answered with interim status " + strconv.Itoa(status)}
	}
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 {
		return &answerError{Reason: "the answer has no length"}
	}
	if err := resp.ReadBody(c.r, g.Limits.AnswerBytes); err != nil {
		return err
	}
	if length >= 0 && len(resp.Body()) != length {
		return &answerError{Reason: "the answer is truncated"}
	}
	if length == -1 {
		return resp.Header.ReadTrailer(c.r)
	}
	return nil
}

// result tells the router how an attempt ended.
func (r reply) result() guavaroute.Result {
	failed := r.err != nil
	var limit *limitError
	if errors.As(r.err, &limit) || (failed && r.cut) {
		return guavaroute.Result{Elapsed: r.elapsed, Rejected: true}
	}
	if failed && r.timedOut() && r.elapsed < minFailureTime {
		failed = false
	}
	return guavaroute.Result{Elapsed: r.elapsed, Failed: failed, Rejected: r.rejected}
}

func (r reply) timedOut() bool {
	var ne net.Error
	return errors.Is(r.err, os.ErrDeadlineExceeded) || errors.Is(r.err, fasthttp.ErrTimeout) || (errors.As(r.err, &ne) && ne.Timeout())
}

// idempotent reports whether a request may be sent again.
func idempotent(method string, s guavascale.Service) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	default:
		return s.Idempotent
	}
}
