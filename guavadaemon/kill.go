package guavadaemon

import (
	"context"
	"net"
)

// Kill ends Run without a graceful shutdown, as the death of the process would:
// nothing is released and the session row stays. It is meant for tests and
// measurements that run several daemons in one process. Prepare must have been
// called. Calls to the store that are under way may still take effect.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

func (d *Daemon) closeAbruptly(cancel context.CancelFunc, l listeners) {
	d.stopping.Store(true)
	cancel()
	for _, ln := range []net.Listener{l.gateway, l.operator, l.peer, l.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	d.server.Close()
	d.peers.Close()
	// The goroutines of both servers end; with an ended context nothing waits
	// for calls in progress.
	ended, endNow := context.WithCancel(context.Background())
	endNow()
	_ = d.gateway.Shutdown(ended)
	_ = d.operator.Shutdown(ended)
}
