package guavadaemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavashard"
	"guavascale.example/internal/bubbletest"
)

const (
	faultJobs  = 6
	faultTasks = 6
	// maxZoneReaction is the time after which no task may start in a zone that
	// was taken out.
	maxZoneReaction = 3 * time.Second
)

// zoneOutage records when a zone was out. outSince is when the change was
// accepted; backSince is when the zone counts as back in service.
type zoneOutage struct {
	zone                guavascale.Zone
	outSince, backSince time.Time
}

// Guards against lost, duplicated and repeated tasks, starts in a zone that is
// out, and a configuration that reverts, while daemons are killed, paused and
// disconnected from the store, the store is down or loses responses, and workers
// fail.
func TestSystemUnderFaults(t *testing.T) {
	// The first meter starts a goroutine that serves all meters. It must not
	// start inside a synctest bubble.
	metrics.NewMeter().Stop()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	s := newTestSystem(t, seed)
	time.Sleep(20 * time.Second)
	for i := range faultJobs {
		s.declareJob(fmt.Sprintf("job-%d", i), faultTasks)
	}
	var zones []zoneOutage
	version := uint64(0)
	for range 100 {
		time.Sleep(time.Duration(s.rng.IntN(6000)) * time.Millisecond)
		zones = s.injectFault(zones)
		for _, d := range s.daemons {
			version = max(version, d.ConfigVersion())
		}
	}
	s.clearFaults(zones)
	// Wait until leases of 12 minutes expire and the tasks that waited for them
	// have run.
	time.Sleep(20 * time.Minute)
	s.checkOutcome(zones, version)
}

// declareJob repeats a declaration until it succeeds.
func (s *testSystem) declareJob(id string, tasks int) {
	job := guavascale.Job{
		ID: id, Team: "audit", Kind: "audit-pack", Tasks: tasks, RunSeconds: 20 + 100*s.rng.Float64(),
		Size: guavascale.Resources{MilliCores: 1000, MemoryMB: 512},
	}
	for {
		if _, err := (&backend{s.randomDaemon().Daemon}).DeclareJob(s.t.Context(), job); err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

func (s *testSystem) randomWorker() guavascale.WorkerID {
	i := s.rng.IntN(testWorkers)
	return guavascale.WorkerID(fmt.Sprintf("%s-%d", testZones[i%len(testZones)], i))
}

// injectFault starts or ends one random fault, or toggles a zone.
func (s *testSystem) injectFault(zones []zoneOutage) []zoneOutage {
	enabled := s.rng.IntN(2) == 0
	switch s.rng.IntN(9) {
	case 0:
		if len(s.daemons) > 1 {
			s.kill(s.randomDaemon())
		}
		s.startDaemon()
	case 1:
		s.randomDaemon().link.setFaults(enabled, false)
	case 2:
		s.randomDaemon().link.setFaults(false, enabled)
	case 3:
		s.table.SetFaults(guavafake.StoreFaults{Down: enabled})
	case 4:
		s.table.SetFaults(guavafake.StoreFaults{LoseProbability: 0.2, Seed: s.rng.Uint64()})
	case 5:
		_ = s.fleet.SetFaults(s.randomWorker(), guavafake.WorkerFaults{CutOff: enabled})
	case 6:
		s.restartWorker(s.randomWorker())
	case 7:
		_ = s.fleet.SetFaults(s.randomWorker(), guavafake.WorkerFaults{LoseAnswers: 3})
	default:
		return s.toggleZone(zones)
	}
	return zones
}

// toggleZone takes a zone out or brings it back through a random daemon.
func (s *testSystem) toggleZone(zones []zoneOutage) []zoneOutage {
	zone := testZones[s.rng.IntN(len(testZones))]
	d := s.randomDaemon()
	cfg, ok := d.watcher.Config()
	if !ok {
		return zones
	}
	kind := guavaconfig.TakeZoneOut
	if cfg.ZonesOut[zone] {
		kind = guavaconfig.BringZoneBack
	}
	submittedAt := time.Now()
	change := guavaconfig.Change{ID: guavaconfig.NewID(), Based: cfg.Version, Kind: kind, Name: string(zone)}
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	_, err := d.watcher.Submit(ctx, change)
	if kind == guavaconfig.TakeZoneOut && err == nil {
		return append(zones, zoneOutage{zone: zone, outSince: time.Now()})
	}
	if kind == guavaconfig.BringZoneBack {
		// A failed change may have taken effect, so the zone counts as back.
		for i := range zones {
			if zones[i].zone == zone && zones[i].backSince.IsZero() {
				zones[i].backSince = submittedAt
			}
		}
	}
	return zones
}

// clearFaults ends all faults and brings all zones back.
func (s *testSystem) clearFaults(zones []zoneOutage) {
	s.table.SetFaults(guavafake.StoreFaults{})
	for _, d := range s.daemons {
		d.link.setFaults(false, false)
	}
	for i := range testWorkers {
		_ = s.fleet.SetFaults(guavascale.WorkerID(fmt.Sprintf("%s-%d", testZones[i%len(testZones)], i)), guavafake.WorkerFaults{})
	}
	time.Sleep(time.Minute)
	for i := range zones {
		if zones[i].backSince.IsZero() {
			zones[i].backSince = time.Now()
		}
	}
	for _, zone := range testZones {
		cfg, _ := s.daemons[0].watcher.Config()
		if !cfg.ZonesOut[zone] {
			continue
		}
		change := guavaconfig.Change{ID: guavaconfig.NewID(), Based: cfg.Version, Kind: guavaconfig.BringZoneBack, Name: string(zone)}
		_, err := s.daemons[0].watcher.Submit(s.t.Context(), change)
		require.NoError(s.t, err)
	}
}

func (s *testSystem) checkOutcome(zones []zoneOutage, version uint64) {
	ctx := s.t.Context()
	v := s.fleet.Verdict()
	require.Empty(s.t, s.preventableViolations())
	for i := range faultJobs {
		id := fmt.Sprintf("job-%d", i)
		row, err := s.table.Get(ctx, guavashard.JobKey(id))
		require.NoError(s.t, err)
		st, err := decodeJobStatus(row)
		require.NoError(s.t, err)
		require.True(s.t, st.Ended, "%s has not ended: %+v", id, st)
		require.Equal(s.t, faultTasks, st.Done, id)
	}
	for _, z := range zones {
		for _, start := range v.StartsByZone[z.zone] {
			late := start.At.After(z.outSince.Add(maxZoneReaction)) && start.At.Before(z.backSince)
			require.False(s.t, late, "%s started at %s, out since %s", start.Attempt, start.At, z.outSince)
		}
	}
	for _, d := range s.daemons {
		require.GreaterOrEqual(s.t, d.ConfigVersion(), version, "the configuration reverted")
	}
}
