// Command guavascaled is the daemon that runs on every entry host. It contains
// the gateway for callers, the operator API and the scheduler.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavastore"
)

type (
	serveCmd struct {
		Config string `required:"" type:"existingfile" help:"Settings file, JSON with comments."`
	}

	versionCmd struct{}

	cli struct {
		Serve       serveCmd   `cmd:"" help:"Run a daemon."`
		CheckConfig checkCmd   `cmd:"" help:"Check a settings file, or a configuration of routes, services and accounts, and exit."`
		Queue       queueCmd   `cmd:"" help:"Run a daemon of the submission scheduler on the users' platform."`
		Dev         devCmd     `cmd:"" help:"Run a daemon with an in-memory platform and a few workers, for a first try."`
		Version     versionCmd `cmd:"" help:"Print the version."`
	}
)

// version is the release version that the subcommand version prints.
const version = "0.1.0"

const (
	dumpTimeout = 5 * time.Second
	// memoryLimit is the soft memory limit of the Go runtime. Near it, the
	// garbage collector runs more often, so that a daemon stays within its
	// budget of 128 MB. It does not bound live memory.
	memoryLimit = 112 << 20
)

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("guavascaled"),
		kong.Description("Places latency-critical services and batch work on the same workers and routes callers' requests.\n\nSIGTERM and SIGINT begin a graceful shutdown; SIGUSR1 writes a state dump to standard error."),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}

// Run runs the daemon until SIGTERM or SIGINT.
func (c *serveCmd) Run() error {
	debug.SetMemoryLimit(memoryLimit)
	s, err := guavaconfig.ReadSettings(c.Config)
	if err != nil {
		return err
	}
	log, err := newLogger(s.Log, os.Stderr)
	if err != nil {
		return err
	}
	d := &guavadaemon.Daemon{
		Settings: s,
		Platform: guavadaemon.Platform{
			Table:   &guavastore.Table{Address: s.Platform},
			Objects: &guavastore.Objects{Address: s.Platform},
			Hosts:   &guavastore.HostList{Address: s.Platform},
			Agent:   &guavastore.Agent{},
		},
		Log: log,
	}
	return runDaemon(d)
}

// runDaemon runs a daemon until SIGTERM or SIGINT, which start a graceful
// shutdown. A second signal terminates the process immediately.
func runDaemon(d *guavadaemon.Daemon) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	d.Prepare()
	go dumpOnSignal(d)
	return d.Run(ctx)
}

// dumpOnSignal writes a state dump to standard error on each SIGUSR1. The first
// dump waits until the daemon is ready.
func dumpOnSignal(d *guavadaemon.Daemon) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-d.Ready()
	for range signals {
		ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
		if err := d.Dump(ctx, os.Stderr); err != nil {
			d.Log.Error().Err(err).Msg("daemon: failed to write the state dump")
		}
		cancel()
	}
}

// Run prints the version.
func (versionCmd) Run() error {
	info, _ := debug.ReadBuildInfo()
	goVersion := ""
	if info != nil {
		goVersion = info.GoVersion
	}
	fmt.Printf("guavascaled %s %s\n", version, goVersion)
	return nil
}

// newLogger returns a logger that writes to w with the configured level and
// format.
func newLogger(l guavaconfig.Log, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", l.Level, err)
	}
	if l.Format == "Console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}
