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
	// countingConn counts the bytes that were written to a connection, so
	// that a failure tells whether an endpoint may have seen the request.
	countingConn struct {
		net.Conn
		written int64
	}

	// conn is a connection to an endpoint. One request uses it at a time.
	conn struct {
		countingConn
		r       *bufio.Reader
		w       *bufio.Writer
		worker  guavascale.WorkerID
		address string
		// idle is when the connection was last returned; zero for a new one.
		idle time.Time
		// echoes is set once an answer carried the Request-Id of its request.
		echoes bool
	}

	// pool holds connections to endpoints by worker. Its zero value works.
	pool struct {
		headerBytes int

		mu      sync.Mutex
		workers map[guavascale.WorkerID]*workerConns
	}

	workerConns struct {
		idle []*conn
		// open counts connections in use and idle ones.
		open int
	}
)

const (
	// dialTimeout is shorter than the 3 s within which a leaving endpoint
	// must stop getting requests.
	dialTimeout = time.Second
	// maxIdle is short, since an endpoint that closes an idle connection
	// while a request is written to it makes the outcome unknown.
	maxIdle = 5 * time.Second
)

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request, such as a second answer.
func (c *conn) quiet() bool {
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

// get returns a connection to an endpoint: an idle one, or a new one when
// fewer than limit are open. Nothing has been sent when it fails.
func (p *pool) get(e guavascale.Endpoint, limit int, deadline time.Time) (*conn, error) {
	for {
		c := p.take(e)
		if c == nil {
			break
		}
		if time.Since(c.idle) < maxIdle && c.SetDeadline(deadline) == nil && c.quiet() {
			c.written = 0
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(e.Worker, limit) {
		return nil, &limitError{Worker: e.Worker, Limit: limit}
	}
	c, err := p.dial(e, deadline)
	if err != nil {
		p.unreserve(e.Worker)
		return nil, err
	}
	return c, nil
}

func (p *pool) dial(e guavascale.Endpoint, deadline time.Time) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	nc, err := d.Dial("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{countingConn: countingConn{Conn: nc}, worker: e.Worker, address: e.Address}
	c.r = bufio.NewReaderSize(nc, max(p.headerBytes, 4096))
	c.w = bufio.NewWriter(&c.countingConn)
	if err := c.SetDeadline(deadline); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

func (p *pool) take(e guavascale.Endpoint) *conn {
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

func (p *pool) reserve(id guavascale.WorkerID, limit int) bool {
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

func (p *pool) unreserve(id guavascale.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lower(id)
}

// lower counts a closed connection. The caller holds mu.
func (p *pool) lower(id guavascale.WorkerID) {
	w := p.workers[id]
	w.open--
	if w.open == 0 {
		delete(p.workers, id)
	}
}

// put returns a connection on which a whole answer was read, and closes it
// when more than limit are open.
func (p *pool) put(c *conn, limit int) {
	c.idle = time.Now()
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

// discard closes a connection, which is not used again.
func (p *pool) discard(c *conn) {
	c.Close()
	p.unreserve(c.worker)
}

// keep closes the idle connections to workers that no listed endpoint needs.
func (p *pool) keep(endpoints []guavascale.Endpoint) {
	used := make(map[guavascale.WorkerID]bool, len(endpoints))
	for _, e := range endpoints {
		used[e.Worker] = used[e.Worker] || !e.Leaving
	}
	p.closeIdle(func(c *conn) bool { return !used[c.worker] })
}

// sweep closes connections that were idle for long.
func (p *pool) sweep(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.Sub(c.idle) >= maxIdle })
}

func (p *pool) closeIdle(unused func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.workers {
		rest := w.idle[:0]
		closed := 0
		for _, c := range w.idle {
			if unused(c) {
				c.Close()
				closed++
				continue
			}
			rest = append(rest, c)
		}
		clear(w.idle[len(rest):])
		w.idle = rest
		for range closed {
			p.lower(id)
		}
	}
}

// open returns the number of open connections by worker.
func (p *pool) open() map[guavascale.WorkerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[guavascale.WorkerID]int, len(p.workers))
	for id, w := range p.workers {
		n[id] = w.open
	}
	return n
}
