package guavadaemon

import (
	"context"
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

const devRetryInterval = 200 * time.Millisecond

// DeclareForDev declares a service and a job through the operator backend. It
// waits until a configuration and a shard are known.
func (d *Daemon) DeclareForDev(ctx context.Context, svc guavascale.Service, job guavascale.Job) error {
	b := &backend{d}
	for {
		cfg, ok := d.watcher.Config()
		if _, home := b.chooseHomeShard(job.Size); ok && home {
			change := guavaconfig.Change{
				ID: "dev-" + svc.Name, Based: cfg.Version, Kind: guavaconfig.PutService, Service: &svc,
			}
			if _, err := d.watcher.Submit(ctx, change); err != nil {
				return err
			}
			_, err := b.DeclareJob(ctx, job)
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(devRetryInterval):
		}
	}
}
