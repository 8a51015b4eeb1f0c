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
	// failure is an answer of the gateway itself.
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

	// limitListener refuses connections beyond a limit with an answer.
	limitListener struct {
		net.Listener
		limit int64
		open  atomic.Int64
	}

	limitedConn struct {
		net.Conn
		once sync.Once
		open *atomic.Int64
	}
)

// refuseTime bounds the answer to a connection beyond the limit.
const refuseTime = 100 * time.Millisecond

func (g *Gateway) newServer() *fasthttp.Server {
	l := g.Limits
	return &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.refuse,
		Logger:                       serverLog{g},
		Name:                         "guavascale",
		Concurrency:                  l.Connections + 1,
		ReadBufferSize:               l.HeaderBytes,
		ReadTimeout:                  l.ReadTime,
		WriteTimeout:                 l.ReadTime,
		IdleTimeout:                  l.IdleTime,
		MaxRequestBodySize:           l.RequestBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
	}
}

// refuse answers input that is not a request.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	f := badRequest("the request is malformed")
	switch {
	case errors.As(err, &small):
		f.status, f.reason = fasthttp.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("headers exceed %d bytes", g.Limits.HeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.status, f.reason = fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds %d bytes", g.Limits.RequestBytes)
	case errors.As(err, &ne) && ne.Timeout():
		f.reason = fmt.Sprintf("the request did not arrive within %v", g.Limits.ReadTime)
	}
	g.meters.requests.Inc(1)
	g.write(ctx, f)
	ctx.SetConnectionClose()
}

func (r *request) fail(f *failure) { r.g.write(r.ctx, f) }

func (g *Gateway) write(ctx *fasthttp.RequestCtx, f *failure) {
	g.meters.outcome(f.outcome)
	ctx.Response.Reset()
	ctx.SetStatusCode(f.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerOutcome, string(f.outcome))
	body, err := json.Marshal(wireFailure{f.outcome, f.reason})
	if err != nil {
		g.Log.Error().Err(err).Msg("gateway: failure not encoded")
	}
	ctx.SetBody(append(body, '\n'))
}

func badRequest(reason string) *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusBadRequest, reason}
}

func unavailable(reason string) *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusServiceUnavailable, reason}
}

func overload() *failure {
	return &failure{guavascale.OutcomeNotRun, fasthttp.StatusTooManyRequests, "the service is overloaded"}
}

// Drain turns readiness false, so that the load balancer sends callers to
// other daemons. Requests are served as before.
func (g *Gateway) Drain() {
	g.init()
	g.draining.Store(true)
}

// Shutdown drains, stops accepting connections and waits until the requests in
// progress are answered or ctx ends. It fails with the error of ctx. Callers
// of Drain leave time for the load balancer before they call Shutdown.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	err := g.server.ShutdownWithContext(ctx)
	g.down.Do(func() {
		close(g.stop)
		select {
		case <-g.finish.Stop().Done():
		case <-ctx.Done():
		}
		g.pool.closeIdle(func(*conn) bool { return true })
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
		refuseConn(c)
	}
}

// refuseConn answers a connection beyond the limit. The write fits into the
// send buffer of a new connection, so that it does not block the listener.
func refuseConn(c net.Conn) {
	body := `{"Outcome":"NotRun","Reason":"the daemon has too many connections"}` + "\n"
	if c.SetDeadline(time.Now().Add(refuseTime)) == nil {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: NotRun\r\nContent-Type: application/json\r\n"+
			"Content-Length: %d\r\nConnection: close\r\n\r\n%s", headerOutcome, len(body), body)
	}
	c.Close()
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
