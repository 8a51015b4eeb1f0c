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
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaqueue"
	"guavascale.example/guavascheduler"
	guavaplatform "guavascale.example/platform"
)

type (
	// queueCmd runs the scheduler of submissions on the users' platform.
	queueCmd struct {
		Config string `required:"" help:"Settings file, JSON with comments."`
	}

	// queueDaemon is the process of the scheduler of submissions.
	queueDaemon struct {
		settings guavaconfig.QueueSettings
		// config is the path of the settings file.
		config    string
		log       zerolog.Logger
		scheduler *guavascheduler.Scheduler
		callers   *guavaplatform.SubmissionHandler
		server    *fasthttp.Server
	}
)

const (
	// ringLines bounds the log lines that wait to be written, ringInterval is
	// how often they are.
	ringLines    = 2000
	ringInterval = 30 * time.Millisecond
	// memoryShare is the part of the process's memory at which the garbage
	// collector runs more often.
	memoryShare = 0.5
	// gcPercent trades memory for processor time, which is scarcer on the
	// entry hosts: the live heap is a few megabytes.
	gcPercent = 300
	// ownerLease is how long an owner that can't commit goes on giving orders.
	ownerLease = 5 * time.Second
	// keepSlack prolongs the time for which ended submissions can be read.
	keepSlack = 1.5
	// drainTime is how long a leaving daemon still serves: the balancer takes
	// it out of rotation after two checks, a second apart. It is at most half
	// of the grace.
	drainTime = 2500 * time.Millisecond
	// closeMargin is kept back from the time until SIGKILL.
	closeMargin = time.Second
	// maxBodyBytes and idleTimeout bound callers' requests and connections.
	maxBodyBytes = 256 << 10
	idleTimeout  = 60 * time.Second
)

// newRing returns a writer that never blocks: it drops lines when the reader of
// standard output is too slow, and says so.
func newRing(out io.Writer) diode.Writer {
	return diode.NewWriter(out, ringLines, ringInterval, func(missed int) {
		// The reader is behind, so this line may block the ring's goroutine.
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
	debug.SetMemoryLimit(int64(s.Guarantees.MemoryMB * memoryShare * (1 << 20)))
	out := newRing(os.Stdout)
	defer func() { _ = out.Close() }()
	log, err := newLogger(s.Log, out)
	if err != nil {
		return err
	}
	d := newQueueDaemon(s, log)
	d.config = c.Config
	return d.run()
}

func newQueueDaemon(s guavaconfig.QueueSettings, log zerolog.Logger) *queueDaemon {
	store := &guavaplatform.Store{Address: s.Platform}
	g := s.Guarantees
	scheduler := &guavascheduler.Scheduler{
		Instance: s.Name + "-" + strconv.FormatUint(rand.Uint64(), 36),
		Address:  s.Peer.Listen,
		Table:    store,
		Runner:   &guavaplatform.Workers{},
		Workers:  &guavaplatform.Watcher{Store: store, Log: log},
		Clock:    &guavascheduler.BootClock{},
		Strength: g.Cores,
		Limits: guavaqueue.Limits{
			LeaseMax:    guavaconfig.Milliseconds(g.LeaseMaxMs),
			StopGrace:   guavaconfig.Milliseconds(g.StopGraceMs),
			OwnerLease:  ownerLease,
			DisturbMax:  guavaconfig.Milliseconds(g.DisturbMaxMs),
			Keep:        time.Duration(g.KeepSeconds * keepSlack * float64(time.Second)),
			RackPenalty: g.RackPenalty,
		},
		Log: log,
	}
	scheduler.Prepare()
	d := &queueDaemon{settings: s, log: log, scheduler: scheduler, callers: &guavaplatform.SubmissionHandler{Submissions: scheduler}}
	d.server = &fasthttp.Server{
		Handler:               d.callers.Serve,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
	}
	return d
}

func (d *queueDaemon) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers, err := net.Listen("tcp4", d.settings.Peer.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	callers, err := net.Listen("tcp4", d.settings.Callers.Listen)
	if err != nil {
		return err
	}
	if addr := d.settings.Metrics.Listen; addr != "" {
		metrics, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		go func() { d.report((&fasthttp.Server{Handler: d.serveMetrics, NoDefaultDate: true}).Serve(metrics)) }()
	}
	go func() { d.report(d.scheduler.ServePeers(peers)) }()
	go func() { d.report(d.server.Serve(callers)) }()
	if addr := d.settings.Ready.Listen; addr != "" {
		ready, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		go func() { d.report((&fasthttp.Server{Handler: d.serveReady, NoDefaultDate: true}).Serve(ready)) }()
	}
	watch := &guavaplatform.Watcher{Store: &guavaplatform.Store{Address: d.settings.Platform}, Log: d.log}
	go watch.WatchCatalogs(ctx, d.setCatalog)
	go d.scheduler.Run(ctx)
	d.log.Info().Str("Name", d.settings.Name).Str("Instance", d.scheduler.Instance).Msg("daemon: started")
	return d.wait(ctx)
}

func (d *queueDaemon) report(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Error().Err(err).Msg("daemon: a listener ended")
	}
}

// wait serves until a signal and then leaves in order.
func (d *queueDaemon) wait(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGUSR1)
	for sig := range signals {
		if sig == syscall.SIGTERM || sig == os.Interrupt {
			break
		}
		d.handle(ctx, sig)
	}
	d.log.Info().Msg("daemon: leaving")
	begun := time.Now()
	grace := time.Duration(d.settings.Guarantees.TermSeconds*float64(time.Second)) - closeMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	d.callers.Draining.Store(true)
	// An owner whose commits fail can't leave in order; requests in progress
	// must not wait for that.
	drain := min(drainTime, grace/2)
	leave, done := context.WithTimeout(ctx, drain)
	d.scheduler.Leave(leave)
	done()
	if rest := drain - time.Since(begun); rest > 0 {
		time.Sleep(rest)
	}
	err := d.server.ShutdownWithContext(ctx)
	d.log.Info().Dur("AfterMs", time.Since(begun)).Err(err).Msg("daemon: stopped")
	if err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
}

// handle serves signals that don't end the daemon.
func (d *queueDaemon) handle(ctx context.Context, sig os.Signal) {
	switch sig {
	case syscall.SIGUSR1:
		if err := d.scheduler.WriteDump(ctx, os.Stderr); err != nil {
			d.log.Error().Err(err).Msg("daemon: the state dump failed")
		}
	case syscall.SIGHUP:
		s, err := guavaconfig.ReadQueueSettings(d.config)
		if err != nil {
			d.log.Error().Err(err).Msg("daemon: the settings file can't be used; the settings stay as they are")
			return
		}
		// Addresses and guarantees hold for the life of a process.
		d.log.Info().Bool("Changed", s != d.settings).Msg("daemon: read the settings; changes take effect at the next start")
	}
}

// serveMetrics serves counters at /metrics and the state at /state.
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

func (d *queueDaemon) serveReady(ctx *fasthttp.RequestCtx) {
	if !d.scheduler.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (d *queueDaemon) setCatalog(c *guavascale.Catalog) {
	d.callers.SetCatalog(c)
	d.scheduler.SetCatalog(c)
	d.log.Info().Uint64("Version", c.Version).Int("Queues", len(c.Queues)).Int("ClosedZones", len(c.Closed)).
		Msg("daemon: a configuration is in force")
}
