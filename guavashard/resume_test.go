package guavashard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// pause advances the time without running the owner, as in a store outage. The
// workers continue to run.
func (h *harness) pause(d time.Duration) { h.clock.now = h.clock.now.Add(d) }

// Guards against repeated work and unnecessary starts when the owner resumes
// after an outage: it must wait for reports of the workers before it expires
// their leases or replaces their service instances.
func TestOwnerResumesAfterOutage(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		starts int
	}{
		"shorter than the lease": {outage: 40 * time.Second, starts: 1},
		"longer than the lease":  {outage: 100 * time.Second, starts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 3)
			h.declareUntilLogged(testJob("tally", 4, 300))
			h.view.Config.Services["seats"] = guavascale.Service{Name: "seats", Size: guavascale.Resources{MilliCores: 500, MemoryMB: 256}}
			h.view.Instances["seats"] = 2
			h.run(20 * time.Second)
			h.pause(tt.outage)
			h.run(20 * time.Second)
			v := h.fleet.Verdict()
			require.Zero(t, v.Unreported, "checkpointed work was repeated")
			require.Len(t, v.StartsByTask, 6, "no instance was added")
			for id, n := range v.StartsByTask {
				require.Equal(t, tt.starts, n, id)
			}
			h.requireNoViolations()
		})
	}
}

// Guards against endpoints and capacity that disappear from the summary after a
// takeover until the workers have reported.
func TestSummaryDuringTakeover(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.view.Config.Services["seats"] = guavascale.Service{Name: "seats", Size: guavascale.Resources{MilliCores: 500, MemoryMB: 256}}
	h.view.Instances["seats"] = 2
	h.run(5 * time.Second)
	before := h.shard.Summary()
	require.Len(t, before.Endpoints, 2)
	h.takeOver()
	effects := h.shard.Step(h.clock.now, &h.view)
	after := h.shard.Summary()
	require.Equal(t, before.Endpoints, after.Endpoints)
	require.Equal(t, before.Capacity, after.Capacity)
	require.True(t, after.Free.IsZero(), "a worker that has not reported has no free capacity")
	h.cutOff(before.Endpoints[0].Worker, true)
	h.perform(effects)
	h.run(20 * time.Second)
	endpoints := h.shard.Summary().Endpoints
	for _, e := range endpoints {
		require.NotEqual(t, before.Endpoints[0].Worker, e.Worker, "an instance on a worker that never reported is not an endpoint")
	}
	require.Len(t, endpoints, 2)
	h.requireNoViolations()
}

// Guards against tasks that never resume because their worker does not return:
// lease renewals to an unresponsive worker must not postpone the lease expiry.
func TestTaskOfLostWorkerResumes(t *testing.T) {
	tests := map[string]struct{ takeOver bool }{
		"same owner": {},
		"new owner":  {takeOver: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.declareUntilLogged(testJob("tally", 1, 300))
			h.run(20 * time.Second)
			lost := h.shard.Tasks()[0].Worker
			h.cutOff(lost, true)
			h.run(10 * time.Second)
			if tt.takeOver {
				h.takeOver()
			}
			// The lease lasts 60 s; ActUntil, maxOrderDelay and leaseMargin add
			// less than 30 s.
			h.run(100 * time.Second)
			require.Equal(t, 2, h.fleet.Verdict().StartsByTask["tally/0"])
			require.NotEqual(t, lost, h.shard.Tasks()[0].Worker)
			h.requireNoViolations()
		})
	}
}
