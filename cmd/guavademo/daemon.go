package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/guavaconfig"
	"guavascale.example/guavagateway"
	"guavascale.example/guavaoperator"
)

type (
	// daemon is a daemon process with clients for its interfaces and its observed
	// state.
	daemon struct {
		*process
		gateway       string
		gatewayClient *fasthttp.HostClient
		operator      *guavaoperator.Client
		// ready is the result of the last readiness check. stopping is set
		// before SIGTERM is sent.
		ready    atomic.Bool
		stopping atomic.Bool

		mu sync.Mutex
		// firstSeen maps a configuration version to the time when that version
		// or a higher one was first observed.
		firstSeen map[uint64]time.Time
		version   uint64
		// reverts counts the times when a version lower than before was observed.
		reverts int
	}

	// dialError wraps the error of a connection that was not established.
	dialError struct{ error }
)

const (
	pollInterval    = 50 * time.Millisecond
	pollTimeout     = time.Second
	operatorTimeout = 5 * time.Second
	dialTimeout     = time.Second
	// callerIdleTime is shorter than the time after which a daemon closes an
	// idle connection, so that no request is sent on a connection that the
	// daemon closes.
	callerIdleTime = 2 * time.Second
)

// Unwrap returns the error of the dialer.
func (e dialError) Unwrap() error { return e.error }

// newDaemon returns the daemon for a process that was started with the settings.
func newDaemon(p *process, s guavaconfig.Settings, token guavaconfig.Secret) *daemon {
	return &daemon{
		process: p,
		gateway: s.Gateway.Listen,
		gatewayClient: &fasthttp.HostClient{
			Addr:                      s.Gateway.Listen,
			MaxConns:                  1024,
			MaxIdleConnDuration:       callerIdleTime,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      dial,
		},
		operator: &guavaoperator.Client{
			Addresses: []string{s.Operator.Listen}, Token: token, Timeout: operatorTimeout,
		},
		firstSeen: map[uint64]time.Time{},
	}
}

// dial opens a connection. It wraps errors in dialError.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// observe polls the readiness, as a load balancer does, and the configuration
// version until the process exits.
func (d *daemon) observe() {
	go d.observeConfig()
	for !d.exitedWithin(pollInterval) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.gateway+guavagateway.ReadyPath, pollTimeout)
		d.ready.Store(err == nil && status == fasthttp.StatusOK)
	}
	d.ready.Store(false)
}

// observeConfig polls the configuration version until the process exits.
func (d *daemon) observeConfig() {
	for !d.exitedWithin(pollInterval) {
		cfg, err := d.operator.Config(context.Background())
		if err == nil {
			d.recordVersion(cfg.Version, time.Now())
		}
	}
}

// recordVersion records an observed configuration version. The polls of a
// process run one after another, so a version lower than before means that the
// configuration was reverted.
func (d *daemon) recordVersion(version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version < d.version {
		d.reverts++
	}
	for v := d.version + 1; v <= version; v++ {
		d.firstSeen[v] = now
	}
	d.version = max(d.version, version)
}

// firstSeenAt returns when a version or a higher one was first observed.
func (d *daemon) firstSeenAt(version uint64) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.firstSeen[version]
	return at, ok
}

// revertCount returns how often a reverted configuration was observed.
func (d *daemon) revertCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reverts
}
