package guavafake

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

type (
	// limitListener closes the connections beyond the limit of a worker.
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

	// silentLogger drops fasthttp's messages about connections that the
	// faults break off.
	silentLogger struct{}
)

// maxBodyBytes admits snapshots and rows with large batches.
const maxBodyBytes = 64 << 20

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		Logger:                silentLogger{},
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
}

// Printf drops the message.
func (silentLogger) Printf(string, ...any) {}

// breakOff writes raw bytes in place of an answer and closes the connection.
// With nothing to write the connection is reset.
func breakOff(ctx *fasthttp.RequestCtx, raw string) {
	conn := ctx.Conn()
	if c, ok := conn.(*limitConn); ok {
		conn = c.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok && raw == "" {
		// A linger time of 0 makes the close send a reset.
		_ = tcp.SetLinger(0)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		// The peer may have gone already; the connection is closed in any case.
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
		if l.ep.admit() {
			return &limitConn{Conn: conn, ep: l.ep}, nil
		}
		// The peer sees the close; there is nothing else to do.
		_ = conn.Close()
	}
}

// Close closes the listener; closing it again is no error, since the server
// closes all its listeners at shutdown.
func (l *limitListener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Close closes the connection and gives its place back.
func (c *limitConn) Close() error {
	c.once.Do(c.ep.leave)
	return c.Conn.Close()
}

func (ep *endpoint) admit() bool {
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

func (ep *endpoint) leave() {
	ep.owner.mu.Lock()
	defer ep.owner.mu.Unlock()
	ep.connections--
}
