// Package listen closes the listeners of a server, also of one that has not begun to serve.
//
// Assumed failure: Serve runs in a goroutine of its own, and the server is shut down before
// Serve has handed its listener over. The shutdown finds nothing to close, and Serve accepts
// connections for good. So the listener belongs to a Group from the first line of Serve on,
// and a Group that is closed takes no more listeners.
package listen

import (
	"net"
	"sync"
)

type (
	// Group holds the listeners of a server. The zero value is ready to use. Its methods are
	// safe for concurrent use.
	Group struct {
		mu     sync.Mutex
		open   []*listener
		closed bool
	}

	// listener may be closed more than once: by its group and by its server.
	listener struct {
		net.Listener
		once sync.Once
		err  error
	}
)

// Serve calls serve with a listener and returns its error, or nil if the group was closed.
// It closes the listener and doesn't call serve if the group is closed already.
func (g *Group) Serve(ln net.Listener, serve func(net.Listener) error) error {
	l := &listener{Listener: ln}
	if !g.add(l) {
		return l.Close()
	}
	err := serve(l)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	return err
}

func (g *Group) add(l *listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.open = append(g.open, l)
	}
	return !g.closed
}

// Close closes all listeners of the group, and those that come later.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, l := range g.open {
		_ = l.Close()
	}
	g.open = nil
}

func (l *listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}
