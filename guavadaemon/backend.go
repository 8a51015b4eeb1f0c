package guavadaemon

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

// backend implements guavaoperator.Backend, the operator API of the daemon.
type backend struct{ d *Daemon }

var (
	_ guavaoperator.Backend = (*backend)(nil)

	errNoConfig = errors.New("the configuration has not been read yet")
)

func (b *backend) Config() (guavascale.Config, bool) { return b.d.watcher.Config() }

func (b *backend) Submit(ctx context.Context, c guavaconfig.Change) (guavascale.Config, error) {
	return b.d.watcher.Submit(ctx, c)
}

func (b *backend) State(ctx context.Context) (any, error) { return b.d.State(ctx) }

func (b *backend) Ready() error {
	if b.d.stopping.Load() {
		return errors.New("the daemon is shutting down")
	}
	if _, ok := b.d.watcher.Config(); !ok {
		return errNoConfig
	}
	return nil
}

// collectWork collects the tasks, jobs and workers of all shards, from this
// daemon and its live peers. It also returns the names of the daemons that did
// not respond.
func (b *backend) collectWork(ctx context.Context) (guavascale.Work, []string) {
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		all     guavascale.Work
		missing []string
	)
	add := func(daemon string, w guavascale.Work, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, daemon)
			return
		}
		all.Tasks = append(all.Tasks, w.Tasks...)
		all.Jobs = append(all.Jobs, w.Jobs...)
		all.Workers = append(all.Workers, w.Workers...)
	}
	self := b.d.instance()
	for _, m := range b.d.members.Live(b.d.clock.Now()) {
		wg.Add(1)
		b.d.peerPool.Submit(func() {
			defer wg.Done()
			if m.Instance == self {
				w, err := (&peerHandler{b.d}).Work(ctx)
				add(m.Daemon, w, err)
				return
			}
			w, err := b.d.peers.Work(ctx, m.PeerAddress)
			add(m.Daemon, w, err)
		})
	}
	wg.Wait()
	slices.SortFunc(all.Tasks, func(a, b guavascale.Task) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(all.Workers, func(a, b guavascale.WorkerStatus) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) })
	slices.Sort(missing)
	return all, missing
}

func (b *backend) Tasks(ctx context.Context, f guavaoperator.TaskFilter) (guavaoperator.TaskPage, error) {
	all, missing := b.collectWork(ctx)
	page := guavaoperator.TaskPage{Missing: missing}
	for _, t := range all.Tasks {
		switch {
		case string(t.ID) <= f.After && f.After != "":
		case f.Job != "" && t.Job != f.Job, f.Service != "" && t.Service != f.Service:
		case f.Worker != "" && t.Worker != f.Worker, f.State != "" && t.State != f.State:
		default:
			if len(page.Tasks) == pageLimit(f.Page) {
				page.More = true
				return page, nil
			}
			page.Tasks = append(page.Tasks, t)
		}
	}
	return page, nil
}

func pageLimit(p guavaoperator.Page) int {
	if p.Limit <= 0 {
		return guavaoperator.DefaultPage
	}
	return min(p.Limit, guavaoperator.MaxPage)
}

// Hosts combines the host list with the worker states that the owners of the
// shards report.
func (b *backend) Hosts(ctx context.Context) (guavaoperator.HostPage, error) {
	workers, err := b.d.Platform.Hosts.Workers(ctx)
	if err != nil {
		return guavaoperator.HostPage{}, err
	}
	all, missing := b.collectWork(ctx)
	statuses := make(map[guavascale.WorkerID]guavascale.WorkerStatus, len(all.Workers))
	for _, s := range all.Workers {
		statuses[s.Worker.ID] = s
	}
	cfg, _ := b.d.watcher.Config()
	page := guavaoperator.HostPage{Missing: missing}
	for _, w := range workers {
		st, ok := statuses[w.ID]
		page.Hosts = append(page.Hosts, hostStatus(w, st, ok, cfg.ZonesOut[w.Zone], b.d.Settings.RacksPerShard))
	}
	slices.SortFunc(page.Hosts, func(a, b guavaoperator.HostStatus) int { return cmp.Compare(a.Worker.ID, b.Worker.ID) })
	return page, nil
}

func hostStatus(w guavascale.Worker, st guavascale.WorkerStatus, known, zoneOut bool, racks int) guavaoperator.HostStatus {
	h := guavaoperator.HostStatus{
		Worker: w, Shard: guavascale.ShardOf(w, racks), State: guavaoperator.HostInService,
		Incarnation: st.Incarnation, Free: st.Free, Tasks: st.Tasks, ReportAgeMs: st.ReportAgeMs,
	}
	switch {
	case !known:
		h.State, h.Reason, h.ReportAgeMs = guavaoperator.HostSilent, "no daemon owns the shard", -1
	case zoneOut:
		h.State, h.Reason = guavaoperator.HostZoneOut, "the availability zone is out"
	case w.Leaving:
		h.State, h.Reason = guavaoperator.HostLeaving, "the platform takes the worker away"
	case st.Silent:
		h.State, h.Reason = guavaoperator.HostSilent, "the worker does not answer"
	case st.BackoffMs > 0:
		h.State, h.Reason = guavaoperator.HostBackoff, "several different tasks failed on the worker in a row"
	}
	return h
}

func decodeJobStatus(row guavascale.Row) (guavascale.JobStatus, error) {
	var st guavascale.JobStatus
	err := json.Unmarshal(row.Value, &st)
	return st, err
}
