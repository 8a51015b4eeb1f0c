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
	// changesCmd measures in real time how long it takes after a change until
	// the guarantees P4, P8 and P10 hold.
	changesCmd struct {
		Daemons int    `default:"7" help:"Number of daemons."`
		Workers int    `default:"56" help:"Number of workers."`
		Cycles  int    `default:"12" help:"How many times a zone is taken out of service and brought back."`
		Commit  string `default:"unknown" help:"Commit named in the heading."`
		Output  string `default:"-" help:"File to write; - is standard output."`
	}

	// changesRun holds the results of all cycles in milliseconds after the
	// change was accepted. A cycle without a start or request in the zone after
	// that counts as 0.
	changesRun struct {
		inForce, lastStart, lastRequest []float64
		startsInZone                    int
	}
)

const (
	zoneOutTime  = 6 * time.Second
	zoneBackTime = 4 * time.Second
	// callerPause is the pause between two requests of a caller. Each daemon
	// has one caller.
	callerPause = 5 * time.Millisecond
	// loadJobTasks is the number of tasks of each job of the load.
	loadJobTasks = 200
)

// Run measures all cycles and writes the table.
func (c changesCmd) Run() error {
	zones := []guavascale.Zone{"Rennes", "Brest", "Vannes"}
	s, err := startSystem(c.Daemons, c.Workers, zones, guavascale.Resources{MilliCores: 32_000, MemoryMB: 125_000})
	if err != nil {
		return err
	}
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := c.declareService(ctx, s); err != nil {
		return err
	}
	var wg sync.WaitGroup
	c.generateLoad(ctx, s, &wg)
	time.Sleep(zoneBackTime)
	var run changesRun
	for i := range c.Cycles {
		if err := run.runCycle(ctx, s, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	cancel()
	wg.Wait()
	return c.write(&run, s)
}

func (c changesCmd) declareService(ctx context.Context, s *system) error {
	_, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.PutService, Service: &guavascale.Service{
		Name: "licence", Kind: "checkout", Team: "desk", Instances: c.Workers / 2, TargetMs: 50,
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 1024},
	}})
	return err
}

// generateLoad declares a job every second, so that tasks keep starting, and
// sends requests until ctx ends.
func (c changesCmd) generateLoad(ctx context.Context, s *system, wg *sync.WaitGroup) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			_, _ = s.client.DeclareJob(ctx, guavaoperator.JobRequest{ID: guavaconfig.NewID(), Job: loadJob(i)})
			sleepContext(ctx, time.Second)
		}
	}()
	for _, d := range s.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				_, _, _ = fasthttp.Get(nil, "http://"+d.Addresses().Gateway+"/licence/seats")
				sleepContext(ctx, callerPause)
			}
		}()
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func loadJob(i int) guavascale.Job {
	return guavascale.Job{
		ID: fmt.Sprintf("feed-%d", i), Team: "audit", Kind: "audit-pack", Tasks: loadJobTasks, RunSeconds: 0.5,
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
}

// runCycle takes a zone out of service for zoneOutTime, records what still
// happens in it, and brings it back.
func (r *changesRun) runCycle(ctx context.Context, s *system, zone guavascale.Zone) error {
	res, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.TakeZoneOut, Name: string(zone)})
	if err != nil {
		return err
	}
	accepted := time.Now()
	requests := s.zoneRequests(zone)
	var inForce, lastRequest time.Duration
	for time.Since(accepted) < zoneOutTime {
		if inForce == 0 && s.allDaemonsAt(res.Version) {
			inForce = time.Since(accepted)
		}
		if runs := s.zoneRequests(zone); runs != requests {
			requests, lastRequest = runs, time.Since(accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if inForce == 0 {
		return fmt.Errorf("version %d was not in force at all daemons after %s", res.Version, zoneOutTime)
	}
	var lastStart time.Duration
	for _, st := range s.platform.Fleet.Verdict().StartsByZone[zone] {
		if st.At.After(accepted) {
			lastStart = max(lastStart, st.At.Sub(accepted))
			r.startsInZone++
		}
	}
	r.inForce = append(r.inForce, milliseconds(inForce))
	r.lastStart = append(r.lastStart, milliseconds(lastStart))
	r.lastRequest = append(r.lastRequest, milliseconds(lastRequest))
	if _, err := s.submit(ctx, guavaconfig.Change{Kind: guavaconfig.BringZoneBack, Name: string(zone)}); err != nil {
		return err
	}
	sleepContext(ctx, zoneBackTime)
	return nil
}

func (s *system) allDaemonsAt(version uint64) bool {
	return !slices.ContainsFunc(s.daemons, func(d *guavadaemon.Daemon) bool { return d.ConfigVersion() < version })
}

func (s *system) zoneRequests(zone guavascale.Zone) int {
	n := 0
	for id, c := range s.platform.Endpoints.Counts() {
		if strings.HasPrefix(string(id), string(zone)+"-") {
			n += c.Runs
		}
	}
	return n
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

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
