package main

import (
	"io"
	"net"
	"sync"
	"time"
)

type (
	// proxyMode is how a proxy treats its connections.
	proxyMode int

	// proxy forwards connections from a loopback address to a target address.
	proxy struct {
		target   string
		listener net.Listener

		mu    sync.Mutex
		mode  proxyMode
		conns map[net.Conn]struct{}
	}
)

const (
	proxyPass proxyMode = iota
	proxyDelay
	// proxyDropAll discards the bytes of both directions; proxyDropResponses
	// forwards requests and discards responses.
	proxyDropAll
	proxyDropResponses
	// proxyReset closes new connections as soon as they are accepted.
	proxyReset

	proxyDelayTime = 150 * time.Millisecond
	proxyBuffer    = 16 << 10
)

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. proxyReset also closes the open connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == proxyReset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(proxyReset)
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == proxyReset {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.forward(out, in, false)
		go p.forward(in, out, true)
	}
}

func (p *proxy) forward(to, from net.Conn, responses bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == proxyDropAll, m == proxyDropResponses && responses:
			// A connection that has lost bytes is unusable, so the rest of its
			// bytes are discarded as well.
			_, _ = io.Copy(io.Discard, from)
			return
		case m == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
