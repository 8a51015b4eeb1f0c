package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaaccount"
	"guavascale.example/guavaclock"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadescriptor"
	"guavascale.example/guavaqueue"
	"guavascale.example/guavascheduler"
	"guavascale.example/internal/listen"
	guavaplatform "guavascale.example/platform"
)

type (
	// queueCmd runs a daemon of the submission scheduler on the users' platform.
	queueCmd struct {
		Config string `required:"" help:"Settings file, JSON with comments."`
	}

	// queueDaemon holds the submission scheduler and the HTTP server for callers.
	queueDaemon struct {
		settings guavaconfig.QueueSettings
		// settingsFile is the path of the settings file, read again on SIGHUP.
		settingsFile string
		log          zerolog.Logger
		scheduler    *guavascheduler.Scheduler
		handler      *guavaplatform.SubmissionHandler
		// accounts is shared by the handler and the scheduler. clock measures the age of
		// what was read, also while the host is suspended.
		accounts  *guavaaccount.Gate
		clock     guavascale.Clock
		server    *fasthttp.Server
		listeners listen.Group
		// requests is the number of callers' requests that are being handled.
		requests atomic.Int64
	}
)

const (
	// logBufferLines is the capacity of the log buffer in lines,
	// logPollInterval the time between two checks for lines to write.
	logBufferLines  = 2000
	logPollInterval = 30 * time.Millisecond
	// memoryLimitFraction is the fraction of the process's memory budget at
	// which the garbage collector runs more often.
	memoryLimitFraction = 0.5
	// gcPercent (GOGC) trades memory for processor time, which is scarcer on
	// the entry hosts: the live heap is only a few megabytes.
	gcPercent = 300
	// ownerLease is how long an owner that cannot commit continues to send
	// orders.
	ownerLease = 5 * time.Second
	// startTransit is the time that is reserved for a start order on its way to a
	// worker.
	startTransit = 300 * time.Millisecond
	// retentionFactor extends the guaranteed time for which ended submissions
	// can be read.
	retentionFactor = 1.5
	// drainTime is how long a daemon that shuts down still accepts requests:
	// the load balancer takes it out of rotation after two failed checks, one
	// second apart. It is at most half of the grace period.
	drainTime = 2500 * time.Millisecond
	// shutdownMargin is subtracted from the time between SIGTERM and SIGKILL,
	// so that the shutdown completes before SIGKILL.
	shutdownMargin = time.Second
	// maxBodyBytes limits the bodies of callers' requests, idleTimeout the
	// time that callers' connections stay open without a request.
	maxBodyBytes = 256 << 10
	idleTimeout  = 60 * time.Second
)

// newNonBlockingWriter returns a buffered writer that never blocks. When out is
// written too slowly, it drops lines and writes a warning with their number.
func newNonBlockingWriter(out io.Writer) diode.Writer {
	return diode.NewWriter(out, logBufferLines, logPollInterval, func(missed int) {
		// The reader of out is slow, so this write may block. It runs on the
		// goroutine that empties the buffer and does not block callers of Write.
		_, _ = fmt.Fprintf(out, `{"level":"warn","Lines":%d,"message":"daemon: log lines were dropped"}`+"\n", missed)
	})
}

// Run runs the daemon until SIGTERM or SIGINT.
func (c *queueCmd) Run() error {
	s, err := guavaconfig.ReadQueueSettings(c.Config)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.Guarantees.MemoryMB * memoryLimitFraction * (1 << 20)))
	out := newNonBlockingWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log, err := newLogger(s.Log, out)
	if err != nil {
		return err
	}
	d := newQueueDaemon(s, log)
	d.settingsFile = c.Config
	return d.run()
}

// descriptorLimit returns the number of descriptors that the process may open, or 0 if it
// is not known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}

func newQueueDaemon(s guavaconfig.QueueSettings, log zerolog.Logger) *queueDaemon {
	store := &guavaplatform.Store{Address: s.Platform}
	g := s.Guarantees
	clock := &guavascheduler.BootClock{}
	accounts := &guavaaccount.Gate{MaxAge: guavaaccount.Bound(guavaconfig.Milliseconds(g.RevokeMaxMs))}
	shares := guavadescriptor.Divide(s.MaxDescriptors)
	if s.MaxDescriptors == 0 {
		shares = guavadescriptor.Divide(descriptorLimit())
	}
	log.Info().Interface("Shares", shares).Msg("daemon: bounds of connections")
	scheduler := &guavascheduler.Scheduler{
		Instance:    s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36),
		Address:     s.Peer.Listen,
		Zone:        s.Zone,
		Table:       store,
		Runner:      &guavaplatform.Workers{MaxConnections: shares.Workers},
		Workers:     &guavaplatform.Watcher{Store: store, Log: log, Clock: clock},
		Clock:       clock,
		Accounts:    accounts,
		Strength:    g.Cores,
		BoundQueues: s.BoundQueues,
		// A host of the users may open 4,100 descriptors.
		Connections: shares,
		// Starts need some time on their way.
		MaxListAge:     guavaconfig.Milliseconds(g.LeaveMaxMs) - startTransit,
		MaxCapacityAge: guavaconfig.Milliseconds(g.ShrinkMaxMs) - startTransit,
		Limits: guavaqueue.Limits{
			Terms:         guavaclock.Terms{LeaseMax: guavaconfig.Milliseconds(g.LeaseMaxMs), OrderDelay: guavaconfig.Milliseconds(g.OrderDelayMs)},
			StopGrace:     guavaconfig.Milliseconds(g.StopGraceMs),
			OwnerLease:    ownerLease,
			DisturbMax:    guavaconfig.Milliseconds(g.DisturbMaxMs),
			Keep:          time.Duration(g.KeepSeconds * retentionFactor * float64(time.Second)),
			RackPenalty:   g.RackPenalty,
			EndsPerReport: guavaplatform.EndsPerReport,
			LookAheadFrom: s.LookAheadFrom,
			CompareFrom:   s.CompareFrom,
		},
		Log: log,
	}
	scheduler.Prepare()
	d := &queueDaemon{settings: s, log: log, scheduler: scheduler, accounts: accounts, clock: clock}
	d.handler = &guavaplatform.SubmissionHandler{Submissions: scheduler, Log: log, Accounts: accounts, Clock: clock}
	d.server = &fasthttp.Server{
		Handler:               d.serveCaller,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
		// Errors about malformed requests would show parts of headers, which may hold keys.
		SecureErrorLogMessage: true,
		Concurrency:           shares.Callers,
	}
	return d
}

// run opens the listeners, starts the servers and the scheduler, and runs until
// SIGTERM or SIGINT.
func (d *queueDaemon) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A signal that arrives while the daemon starts is handled once it serves.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	// The peer address is kept until the process ends: others take the answer of another
	// process at it as proof that this one gives no more orders.
	peerListener, err := net.Listen("tcp4", d.settings.Peer.Listen)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp4", d.settings.Callers.Listen)
	if err != nil {
		return err
	}
	if addr := d.settings.Metrics.Listen; addr != "" {
		metricsListener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		go func() {
			d.logServeError((&fasthttp.Server{Handler: d.serveMetrics, NoDefaultDate: true}).Serve(metricsListener))
		}()
	}
	go func() { d.logServeError(d.scheduler.ServePeers(peerListener)) }()
	go func() { d.logServeError(d.listeners.Serve(callerListener, d.server.Serve)) }()
	if addr := d.settings.Ready.Listen; addr != "" {
		readyListener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		go func() {
			d.logServeError((&fasthttp.Server{Handler: d.serveReady, NoDefaultDate: true}).Serve(readyListener))
		}()
	}
	watcher := &guavaplatform.Watcher{Store: &guavaplatform.Store{Address: d.settings.Platform}, Log: d.log, Clock: d.clock}
	go watcher.WatchCatalogs(ctx, d.setCatalog, d.accounts.Confirm)
	go d.scheduler.Run(ctx)
	d.log.Info().Str("Name", d.settings.Name).Str("Instance", d.scheduler.Instance).Msg("daemon: started")
	return d.serveUntilSignal(ctx, signals)
}

// logServeError logs why a server stopped, unless its listener was closed.
func (d *queueDaemon) logServeError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Error().Err(err).Msg("daemon: a server stopped accepting connections")
	}
}

// serveUntilSignal serves until SIGTERM or SIGINT and then shuts down gracefully.
func (d *queueDaemon) serveUntilSignal(ctx context.Context, signals <-chan os.Signal) error {
	for sig := range signals {
		if sig == syscall.SIGTERM || sig == os.Interrupt {
			break
		}
		d.handleSignal(ctx, sig)
	}
	d.log.Info().Msg("daemon: shutting down")
	start := time.Now()
	grace := time.Duration(d.settings.Guarantees.TermSeconds*float64(time.Second)) - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	d.handler.Draining.Store(true)
	// An owner whose commits fail cannot release the shard. The timeout keeps
	// time for requests in progress.
	drain := min(drainTime, grace/2)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, drain)
	d.scheduler.Leave(leaveCtx)
	cancelLeave()
	if remaining := drain - time.Since(start); remaining > 0 {
		time.Sleep(remaining)
	}
	d.listeners.Close()
	err := d.server.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) && d.requests.Load() == 0 {
		// The server waits five seconds for the first request of a connection, and without
		// a bound for the rest of one. Nothing has run for a request that isn't complete.
		// A caller that reads its response slowly looks the same.
		err = nil
	}
	d.log.Info().Dur("AfterMs", time.Since(start)).Err(err).Msg("daemon: stopped")
	if err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
}

// serveCaller serves a caller's request.
func (d *queueDaemon) serveCaller(ctx *fasthttp.RequestCtx) {
	d.requests.Add(1)
	defer d.requests.Add(-1)
	d.handler.Serve(ctx)
}

// handleSignal handles the signals that do not end the daemon: SIGUSR1 writes a
// state dump to standard error, SIGHUP reads the settings file again.
func (d *queueDaemon) handleSignal(ctx context.Context, sig os.Signal) {
	switch sig {
	case syscall.SIGUSR1:
		if err := d.scheduler.WriteDump(ctx, os.Stderr); err != nil {
			d.log.Error().Err(err).Msg("daemon: failed to write the state dump")
		}
	case syscall.SIGHUP:
		s, err := guavaconfig.ReadQueueSettings(d.settingsFile)
		if err != nil {
			d.log.Error().Err(err).Msg("daemon: failed to read the settings file; keeping the current settings")
			return
		}
		// Addresses and guarantees are read only when the process starts.
		d.log.Info().Bool("Changed", s != d.settings).Msg("daemon: read the settings; changes take effect at the next start")
	}
}

// serveMetrics serves the metrics at /metrics and a state dump at /state.
func (d *queueDaemon) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	switch string(ctx.Path()) {
	case "/metrics":
		d.scheduler.WriteMetrics(ctx)
	case "/state":
		if err := d.scheduler.WriteDump(ctx, ctx); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveReady responds with status 503 while the scheduler is not ready, or calls with
// API keys are refused since the configuration was read too long ago.
func (d *queueDaemon) serveReady(ctx *fasthttp.RequestCtx) {
	if !d.scheduler.Ready() || d.accounts.Stale(d.clock.Now()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// setCatalog passes a new version of the catalog to the handler and the
// scheduler.
func (d *queueDaemon) setCatalog(c *guavascale.Catalog) {
	// First, so that no key is checked against an older version than that of its route.
	d.accounts.SetCatalog(c)
	d.handler.SetCatalog(c)
	d.scheduler.SetCatalog(c)
	d.log.Info().Uint64("Version", c.Version).Int("Queues", len(c.Queues)).Int("ClosedZones", len(c.Closed)).Int("Accounts", len(c.Accounts)).
		Msg("daemon: applied a configuration")
}
