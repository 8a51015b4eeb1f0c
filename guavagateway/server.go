package guavagateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
)

type (
	// failure is an error response that the gateway itself generates.
	failure struct {
		outcome guavascale.Outcome
		status  int
		reason  string
	}

	// wireFailure is the JSON body of a failure.
	wireFailure struct {
		Outcome guavascale.Outcome
		Reason  string
	}

	// limitListener limits the number of open connections. Connections beyond the
	// limit get an error response and are closed.
	limitListener struct {
		net.Listener
		limit int64
		open  atomic.Int64
	}

	// limitedConn decrements the listener's count of open connections on Close.
	limitedConn struct {
		net.Conn
		once sync.Once
		open *atomic.Int64
	}
)

// rejectTimeout limits writing the response to a connection beyond the limit.
const rejectTimeout = 100 * time.Millisecond

func (g *Gateway) newServer() *fasthttp.Server {
	l := g.Limits
	return &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.handleProtocolError,
		Logger:                       serverLog{g},
		Name:                         "guavascale",
		Concurrency:                  l.Connections + 1,
		ReadBufferSize:               l.HeaderBytes,
		ReadTimeout:                  l.ReadTimeout,
		WriteTimeout:                 l.ReadTimeout,
		IdleTimeout:                  l.IdleTimeout,
		MaxRequestBodySize:           l.RequestBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
	}
}

// handleProtocolError responds to input that is not a valid HTTP request.
func (g *Gateway) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var headersTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	f := badRequest("the request is malformed")
	switch {
	case errors.As(err, &headersTooLarge):
		f.status, f.reason = fasthttp.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("headers exceed %d bytes", g.Limits.HeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.status, f.reason = fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds %d bytes", g.Limits.RequestBytes)
	case errors.As(err, &netErr) && netErr.Timeout():
		f.reason = fmt.Sprintf("the request did not arrive within %v", g.Limits.ReadTimeout)
	}
	g.metrics.requests.Inc(1)
	g.writeFailure(ctx, f)
	ctx.SetConnectionClose()
}

func (r *request) fail(f *failure) { r.g.writeFailure(r.ctx, f) }

func (g *Gateway) writeFailure(ctx *fasthttp.RequestCtx, f *failure) {
	g.metrics.countOutcome(f.outcome)
	ctx.Response.Reset()
	ctx.SetStatusCode(f.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerOutcome, string(f.outcome))
	body, err := json.Marshal(wireFailure{f.outcome, f.reason})
	if err != nil {
		g.Log.Error().Err(err).Msg("gateway: could not encode an error response")
	}
	ctx.SetBody(append(body, '\n'))
}

func badRequest(reason string) *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusBadRequest, reason}
}

func unavailable(reason string) *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusServiceUnavailable, reason}
}

func overloaded() *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusTooManyRequests, "the service is overloaded"}
}

// Drain makes Ready report false, so that the load balancer sends callers to other
// daemons. Requests are still served.
func (g *Gateway) Drain() {
	g.init()
	g.draining.Store(true)
}

// Shutdown drains, stops accepting connections and waits until the requests in
// progress have completed or ctx is done, in which case it returns the error of ctx.
// To let the load balancer react, call Drain some time before Shutdown.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	g.listeners.Close()
	err := g.server.ShutdownWithContext(ctx)
	g.shutdownOnce.Do(func() {
		close(g.stop)
		select {
		case <-g.recorders.Stop().Done():
		case <-ctx.Done():
		}
		g.pool.closeIdle(func(*endpointConn) bool { return true })
	})
	return err
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		rejectConn(c)
	}
}

// rejectConn sends an error response to a connection beyond the limit and closes it.
// The response fits into the send buffer of a new connection, so the write does not
// block the listener.
func rejectConn(c net.Conn) {
	body := `{"Outcome":"NotRun","Reason":"the daemon has too many connections"}` + "\n"
	if c.SetDeadline(time.Now().Add(rejectTimeout)) == nil {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: NotRun\r\nContent-Type: application/json\r\n"+
			"Content-Length: %d\r\nConnection: close\r\n\r\n%s", headerOutcome, len(body), body)
	}
	c.Close()
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
