package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavadaemon"
	"guavascale.example/guavaoperator"
)

type (
	// changesCmd measures P4, P8 and P10 in real time.
	changesCmd struct {
		Daemons int    `default:"7" help:"Number of daemons."`
		Workers int    `default:"56" help:"Number of workers."`
		Cycles  int    `default:"12" help:"Number of times that a zone is taken out and brought back."`
		Commit  string `default:"unknown" help:"Commit named in the heading."`
		Output  string `default:"-" help:"File to write; - is standard output."`
	}

	// changesRun holds the times of all cycles, in milliseconds after the
	// acceptance of a change; a zone without a late event counts as 0.
	changesRun struct {
		inForce, lastStart, lastRequest []float64
		startsInZone                    int
	}
)

const (
	outTime  = 6 * time.Second
	backTime = 4 * time.Second
	// callerPause is the time between requests of one caller; there is one
	// caller per daemon.
	callerPause = 5 * time.Millisecond
	// feedTasks is the size of the jobs that keep tasks starting.
	feedTasks = 200
)

// Run measures and writes the table.
func (c changesCmd) Run() error {
	zones := []guavascale.Zone{"Rennes", "Brest", "Vannes"}
	s, err := startSystem(c.Daemons, c.Workers, zones, guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000})
	if err != nil {
		return err
	}
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := c.declare(ctx, s); err != nil {
		return err
	}
	var wg sync.WaitGroup
	c.load(ctx, s, &wg)
	time.Sleep(backTime)
	var run changesRun
	for i := range c.Cycles {
		if err := run.cycle(ctx, s, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	cancel()
	wg.Wait()
	return c.write(&run, s)
}

func (c changesCmd) declare(ctx context.Context, s *system) error {
	_, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: "licence", Kind: "checkout", Team: "desk", Instances: c.Workers / 2, TargetMs: 50,
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 1024},
	}})
	return err
}

// load keeps tasks starting and requests coming until ctx ends.
func (c changesCmd) load(ctx context.Context, s *system, wg *sync.WaitGroup) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			_, _ = s.client.DeclareJob(ctx, guavaoperator.JobRequest{ID: guavaconfig.NewID(), Job: feedJob(i)})
			sleep(ctx, time.Second)
		}
	}()
	for _, d := range s.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				_, _, _ = fasthttp.Get(nil, "http://"+d.Addresses().Gateway+"/licence/seats")
				sleep(ctx, callerPause)
			}
		}()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func feedJob(i int) guavascale.Job {
	return guavascale.Job{
		ID: fmt.Sprintf("feed-%d", i), Team: "audit", Kind: "audit-pack", Tasks: feedTasks, RunSeconds: 0.5,
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
}

// cycle takes a zone out, waits, and brings it back.
func (r *changesRun) cycle(ctx context.Context, s *system, zone guavascale.Zone) error {
	res, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(zone)})
	if err != nil {
		return err
	}
	accepted := time.Now()
	last := s.zoneRuns(zone)
	var inForce, lastRequest time.Duration
	for time.Since(accepted) < outTime {
		if inForce == 0 && s.allAt(res.Version) {
			inForce = time.Since(accepted)
		}
		if runs := s.zoneRuns(zone); runs != last {
			last, lastRequest = runs, time.Since(accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if inForce == 0 {
		return fmt.Errorf("version %d was not in force at all daemons after %s", res.Version, outTime)
	}
	var lastStart time.Duration
	for _, st := range s.platform.Fleet.Verdict().StartsByZone[zone] {
		if st.At.After(accepted) {
			lastStart = max(lastStart, st.At.Sub(accepted))
			r.startsInZone++
		}
	}
	r.inForce = append(r.inForce, ms(inForce))
	r.lastStart = append(r.lastStart, ms(lastStart))
	r.lastRequest = append(r.lastRequest, ms(lastRequest))
	if _, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.BringZoneBack, Name: string(zone)}); err != nil {
		return err
	}
	sleep(ctx, backTime)
	return nil
}

func (s *system) allAt(version uint64) bool {
	return !slices.ContainsFunc(s.daemons, func(d *guavadaemon.Daemon) bool { return d.ConfigVersion() < version })
}

func (s *system) zoneRuns(zone guavascale.Zone) int {
	n := 0
	for id, c := range s.platform.Endpoints.Counts() {
		if strings.HasPrefix(string(id), string(zone)+"-") {
			n += c.Runs
		}
	}
	return n
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (c changesCmd) write(r *changesRun, s *system) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Changes in force: commit %s\n\n", c.Commit)
	fmt.Fprintf(&b, "Written by `guavabench changes --daemons %d --workers %d --cycles %d`; real time, daemons in one process over loopback. A zone is taken out while tasks start and callers send requests. Milliseconds after the change was accepted.\n\n", c.Daemons, c.Workers, c.Cycles)
	b.WriteString("| What | least | median | greatest | bound |\n|---|---|---|---|---|\n")
	row := func(name string, v []float64, bound int) {
		slices.Sort(v)
		fmt.Fprintf(&b, "| %s | %.0f | %.0f | %.0f | %d |\n", name, v[0], v[len(v)/2], v[len(v)-1], bound)
	}
	row("change in force at all daemons (P10)", r.inForce, 3000)
	row("last task start in the zone (P4)", r.lastStart, 3000)
	row("last request at an endpoint in the zone (P8)", r.lastRequest, 3000)
	v := s.platform.Fleet.Verdict()
	fmt.Fprintf(&b, "\nStarts in the zone after acceptance, all cycles: %d. Starts of tasks in all: %d. Violations seen by the stand-in: %d.\n", r.startsInZone, len(v.StartsByAttempt), len(v.Violations))
	if c.Output == "-" {
		_, err := fmt.Print(b.String())
		return err
	}
	return os.WriteFile(c.Output, []byte(b.String()), 0o644)
}
