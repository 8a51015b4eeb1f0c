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
	// limitListener rejects connections in excess of max with an error in JSON.
	limitListener struct {
		net.Listener
		max       int64
		openConns atomic.Int64
	}

	// limitConn decrements the listener's connection count when it is closed
	// for the first time.
	limitConn struct {
		net.Conn
		openConns *atomic.Int64
		closed    atomic.Bool
	}

	// discardLogger discards fasthttp's log messages.
	discardLogger struct{}
)

// Accept returns the next connection that does not exceed the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.max {
			return &limitConn{Conn: conn, openConns: &l.openConns}, nil
		}
		l.openConns.Add(-1)
		rejectConnection(conn)
	}
}

// Close closes the connection and makes room for another one.
func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// rejectConnection responds to a connection that exceeds the limit and closes
// it. The response fits into the socket's send buffer, so the write does not
// delay the next Accept.
func rejectConnection(conn net.Conn) {
	body, _ := json.Marshal(ErrorBody{Error: "the listener has no free connection", Kind: KindRequest})
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = conn.Close()
}

// replyReadError responds to a request that could not be read. The messages are
// fixed because fasthttp's errors quote the input, which may contain
// credentials.
func replyReadError(rc *fasthttp.RequestCtx, err error) {
	replyError(rc, readError(err), false)
}

func readError(err error) *StatusError {
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
func (discardLogger) Printf(string, ...any) {}
