package guavaoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// limitListener refuses connections above a number with an error in JSON.
	limitListener struct {
		net.Listener
		max  int64
		open atomic.Int64
	}

	// limitConn counts itself out once when it is closed.
	limitConn struct {
		net.Conn
		open   *atomic.Int64
		closed atomic.Bool
	}

	// noLog drops fasthttp's own messages.
	noLog struct{}
)

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		turnAway(conn)
	}
}

// Close closes the connection.
func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// turnAway answers a connection that is over the limit. The answer fits into
// the socket's buffer, so the write does not delay the next connection.
func turnAway(conn net.Conn) {
	body, _ := json.Marshal(ErrorBody{Error: "the listener has no free connection", Kind: KindRequest})
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = conn.Close()
}

// refuse answers a request that could not be read. The texts are fixed, since
// fasthttp's errors quote the input.
func refuse(rc *fasthttp.RequestCtx, err error) {
	fail(rc, unreadable(err), false)
}

func unreadable(err error) *StatusError {
	var (
		header  *fasthttp.ErrSmallBuffer
		timeout net.Error
	)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &StatusError{fasthttp.StatusRequestEntityTooLarge, "the body is larger than Limits.BodyBytes"}
	case errors.As(err, &header):
		return &StatusError{fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is larger than Limits.HeaderBytes"}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &StatusError{fasthttp.StatusRequestTimeout, "the request took longer than Limits.ReadSeconds"}
	default:
		return &StatusError{fasthttp.StatusBadRequest, "the request is not valid HTTP"}
	}
}

// Printf does nothing.
func (noLog) Printf(string, ...any) {}
