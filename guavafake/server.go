package guavafake

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

type (
	// limitListener closes new connections that exceed the limit of a worker.
	limitListener struct {
		net.Listener
		ep   *endpoint
		once sync.Once
	}

	limitConn struct {
		net.Conn
		ep   *endpoint
		once sync.Once
	}

	// discardLogger discards fasthttp's messages about connections that were
	// aborted by injected faults.
	discardLogger struct{}
)

// maxBodyBytes is large enough for snapshots and for rows with large batches.
const maxBodyBytes = 64 << 20

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		Logger:                discardLogger{},
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// abortConnection writes raw bytes in place of a response and closes the
// connection. If raw is empty, the connection is reset.
func abortConnection(ctx *fasthttp.RequestCtx, raw string) {
	conn := ctx.Conn()
	if c, ok := conn.(*limitConn); ok {
		conn = c.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok && raw == "" {
		// With a linger time of 0, Close sends a TCP reset.
		_ = tcp.SetLinger(0)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// The peer may already have disconnected; the connection is closed in
		// any case.
		_, _ = c.Write([]byte(raw))
	})
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.ep.acquireConnection() {
			return &limitConn{Conn: conn, ep: l.ep}, nil
		}
		// The peer observes the close, so an error needs no handling.
		_ = conn.Close()
	}
}

// Close closes the listener. Closing it again is not an error, because the
// server closes all its listeners on shutdown.
func (l *limitListener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Close closes the connection and releases it from the limit.
func (c *limitConn) Close() error {
	c.once.Do(c.ep.releaseConnection)
	return c.Conn.Close()
}

func (ep *endpoint) acquireConnection() bool {
	ep.owner.mu.Lock()
	defer ep.owner.mu.Unlock()
	if ep.connections >= ep.info.Connections {
		ep.counts.RefusedConnections++
		return false
	}
	ep.connections++
	ep.counts.PeakConnections = max(ep.counts.PeakConnections, ep.connections)
	return true
}

func (ep *endpoint) releaseConnection() {
	ep.owner.mu.Lock()
	defer ep.owner.mu.Unlock()
	ep.connections--
}
