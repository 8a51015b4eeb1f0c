package guavagateway

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"guavascale.example"
)

type (
	// countingConn counts the bytes written to a connection, which shows after a
	// failure whether the endpoint may have received the request.
	countingConn struct {
		net.Conn
		written int64
	}

	// endpointConn is a connection to an endpoint. It is used by one request at a
	// time.
	endpointConn struct {
		countingConn
		r       *bufio.Reader
		w       *bufio.Writer
		worker  guavascale.WorkerID
		address string
		// idleSince is when the connection was last returned to the pool; zero
		// for a new connection.
		idleSince time.Time
		// echoesRequestID is set once a response carried the Request-Id of its
		// request.
		echoesRequestID bool
	}

	// connPool pools connections to endpoints by worker. The zero value is ready to
	// use.
	connPool struct {
		headerBytes int

		mu      sync.Mutex
		workers map[guavascale.WorkerID]*workerConns
	}

	// workerConns holds the connections to one worker.
	workerConns struct {
		idle []*endpointConn
		// open is the number of connections, both in use and idle.
		open int
	}
)

const (
	// dialTimeout is shorter than the 3 s within which a leaving endpoint must
	// stop receiving requests.
	dialTimeout = time.Second
	// maxIdleTime is short because the outcome of a request is unknown if the
	// endpoint closes an idle connection while the request is written to it.
	maxIdleTime = 5 * time.Second
)

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// isQuiescent reports whether an idle connection is open and has no data to read.
// Data on an idle connection, such as a repeated response, belongs to no request.
func (c *endpointConn) isQuiescent() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// get returns an idle connection to an endpoint, or a new one if fewer than limit
// connections to the worker are open. If it fails, nothing was sent.
func (p *connPool) get(e guavascale.Endpoint, limit int, deadline time.Time) (*endpointConn, error) {
	for {
		c := p.takeIdle(e)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < maxIdleTime && c.SetDeadline(deadline) == nil && c.isQuiescent() {
			c.written = 0
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(e.Worker, limit) {
		return nil, &connLimitError{Worker: e.Worker, Limit: limit}
	}
	c, err := p.dial(e, deadline)
	if err != nil {
		p.unreserve(e.Worker)
		return nil, err
	}
	return c, nil
}

func (p *connPool) dial(e guavascale.Endpoint, deadline time.Time) (*endpointConn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	nc, err := d.Dial("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	c := &endpointConn{countingConn: countingConn{Conn: nc}, worker: e.Worker, address: e.Address}
	c.r = bufio.NewReaderSize(nc, max(p.headerBytes, 4096))
	c.w = bufio.NewWriter(&c.countingConn)
	if err := c.SetDeadline(deadline); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

func (p *connPool) takeIdle(e guavascale.Endpoint) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[e.Worker]
	if w == nil || len(w.idle) == 0 {
		return nil
	}
	c := w.idle[len(w.idle)-1]
	w.idle = w.idle[:len(w.idle)-1]
	if c.address != e.Address {
		w.open--
		c.Close()
		return nil
	}
	return c
}

func (p *connPool) reserve(id guavascale.WorkerID, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[guavascale.WorkerID]*workerConns{}
	}
	w := p.workers[id]
	if w == nil {
		w = &workerConns{}
		p.workers[id] = w
	}
	if w.open >= limit {
		return false
	}
	w.open++
	return true
}

func (p *connPool) unreserve(id guavascale.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpen(id)
}

// decrementOpen accounts for a closed connection. p.mu must be held.
func (p *connPool) decrementOpen(id guavascale.WorkerID) {
	w := p.workers[id]
	w.open--
	if w.open == 0 {
		delete(p.workers, id)
	}
}

// put returns a connection to the pool after a complete response was read from it.
// The connection is closed if more than limit connections to its worker are open.
func (p *connPool) put(c *endpointConn, limit int) {
	c.idleSince = time.Now()
	p.mu.Lock()
	w := p.workers[c.worker]
	if w.open <= limit {
		w.idle = append(w.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection and removes it from the pool.
func (p *connPool) discard(c *endpointConn) {
	c.Close()
	p.unreserve(c.worker)
}

// retainWorkers closes the idle connections to workers without a listed endpoint
// that is not leaving.
func (p *connPool) retainWorkers(endpoints []guavascale.Endpoint) {
	used := make(map[guavascale.WorkerID]bool, len(endpoints))
	for _, e := range endpoints {
		used[e.Worker] = used[e.Worker] || !e.Leaving
	}
	p.closeIdle(func(c *endpointConn) bool { return !used[c.worker] })
}

// closeExpired closes connections that have been idle for at least maxIdleTime.
func (p *connPool) closeExpired(now time.Time) {
	p.closeIdle(func(c *endpointConn) bool { return now.Sub(c.idleSince) >= maxIdleTime })
}

func (p *connPool) closeIdle(unused func(*endpointConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.workers {
		kept := w.idle[:0]
		closed := 0
		for _, c := range w.idle {
			if unused(c) {
				c.Close()
				closed++
				continue
			}
			kept = append(kept, c)
		}
		clear(w.idle[len(kept):])
		w.idle = kept
		for range closed {
			p.decrementOpen(id)
		}
	}
}

// openByWorker returns the number of open connections by worker.
func (p *connPool) openByWorker() map[guavascale.WorkerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[guavascale.WorkerID]int, len(p.workers))
	for id, w := range p.workers {
		n[id] = w.open
	}
	return n
}
