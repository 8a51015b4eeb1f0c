// Command guavademo runs the scheduler as separate processes, injects failures
// and checks the guarantees of the scheduler, which the output calls promises.
//
// It starts one guavaplatform and three guavascaled on the loopback interface,
// with settings files in a temporary directory. Callers send requests to random
// ready daemons, as a load balancer would, and log them. Each request has a
// unique tag, by which the platform counts how often it ran, and a unique body,
// which the endpoint echoes. Meanwhile an operator declares jobs, switches the
// preset and takes a zone out of service; one daemon is killed and another one
// is stopped gracefully. At the end, the logged requests are compared with the
// runs that the platform counted, and the violations that the platform observed
// are added.
//
// The checks use counts only, except for the time until a configuration is in
// force, which is itself guaranteed. The exit code is 1 if a guarantee was
// violated and 2 if the run failed. In both cases the directory with the logs is
// kept.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// options are the flags of the program.
type options struct {
	Programs string `type:"existingdir" help:"Directory of guavaplatform and guavascaled; by default that of this program."`
	JSON     bool   `name:"json" help:"Print the report as JSON."`
	Keep     bool   `help:"Keep the temporary directory with settings and logs."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("guavademo"), kong.Description("Runs a trial of separate processes and checks the promises, in less than 75 s."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	ok, err := o.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavademo:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// run runs the demo in a temporary directory and reports whether all guarantees
// were met.
func (o *options) run(ctx context.Context) (bool, error) {
	dir, err := os.MkdirTemp("", "guavademo-")
	if err != nil {
		return false, err
	}
	ok := false
	defer func() {
		if ok && !o.Keep {
			os.RemoveAll(dir)
			return
		}
		fmt.Fprintln(os.Stderr, "settings and logs are in", dir)
	}()
	if o.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return false, err
		}
		o.Programs = filepath.Dir(self)
	}
	ok, err = o.demo(ctx, dir)
	return ok, err
}

// demo starts the cluster, runs the scenario and prints the report. It reports
// whether all guarantees were met.
func (o *options) demo(ctx context.Context, dir string) (bool, error) {
	d := demo{progress: os.Stdout, began: time.Now()}
	if o.JSON {
		d.progress = io.Discard
	}
	c, err := startCluster(demoSpec(o.Programs, dir))
	if err != nil {
		return false, err
	}
	defer c.stop()
	d.cluster, d.operator.cluster = c, c
	if err := d.run(ctx); err != nil {
		return false, err
	}
	if err := d.finish(ctx); err != nil {
		return false, err
	}
	if o.JSON {
		err = d.report.writeJSON(os.Stdout)
	} else {
		d.report.writeText(os.Stdout)
	}
	return len(d.report.Broken) == 0, err
}
