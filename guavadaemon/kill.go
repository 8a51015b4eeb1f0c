package guavadaemon

import (
	"context"
	"net"
)

// Kill makes Run return without a graceful shutdown, as if the process had
// crashed: no partition is released and the session row stays. It is meant for
// tests and measurements that run several daemons in one process. Prepare must be
// called first. Store calls in progress may still take effect.
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
	// Stop the goroutines of both servers. The cancelled context keeps Shutdown
	// from waiting for requests in progress.
	ended, endNow := context.WithCancel(context.Background())
	endNow()
	_ = d.gateway.Shutdown(ended)
	_ = d.operator.Shutdown(ended)
}
