// Command guavademo shows the scheduler at work with real processes and checks
// its promises.
//
// The model: a cluster is one guavaplatform and three guavascaled on loopback,
// started from settings files in a temporary folder. Callers send requests to
// random ready daemons, as behind a load balancer, and keep a ledger: each
// request has a tag of its own, by which the stand-in counts its runs, and a
// body of its own, which the endpoint echoes. Meanwhile an operator declares
// jobs, switches the preset and takes a zone out, one daemon is killed and
// another one is stopped. At the end the ledger, the runs at the stand-in and
// the verdict of the stand-in's judge show whether a promise was broken.
//
// Only counts decide, save for the time until a configuration is in force,
// which is part of a promise. It exits with 1 when a promise was broken, and
// then keeps the folder with the logs.
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

type options struct {
	Programs string `type:"existingdir" help:"Folder of guavaplatform and guavascaled; by default the one of this program."`
	JSON     bool   `name:"json" help:"Print the report as JSON."`
	Keep     bool   `help:"Keep the temporary folder with settings and logs."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("guavademo"), kong.Description("Runs a trial of separate processes and checks the promises, in less than 75 s."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	kept, err := o.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "guavademo:", err)
		os.Exit(2)
	}
	if !kept {
		os.Exit(1)
	}
}

// run runs the demo and reports whether all promises were kept.
func (o *options) run(ctx context.Context) (bool, error) {
	dir, err := os.MkdirTemp("", "guavademo-")
	if err != nil {
		return false, err
	}
	kept := false
	defer func() {
		if kept && !o.Keep {
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
	kept, err = o.demo(ctx, dir)
	return kept, err
}

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
