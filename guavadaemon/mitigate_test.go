package guavadaemon

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavafake"
	"guavascale.example/guavainterference"
)

// Guards against a daemon that measures interference but never acts: the reports
// of its workers must reach the estimator, and the steps must reach the workers.
func TestDaemonThrottlesForService(t *testing.T) {
	p := &guavafake.Platform{}
	p.Fleet.UsageLag = 100 * time.Millisecond
	p.Fleet.Latency = func(_ time.Time, _ guavascale.Task, beside []guavafake.RunningTask) float64 {
		latency := 20.0
		for _, b := range beside {
			if b.Task.Class == guavascale.ClassBatch {
				latency += 30 * b.Cores
			}
		}
		return latency
	}
	_, err := p.Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, p.AddWorkers(guavafake.FleetSpec{
		Workers: 1, Zones: []guavascale.Zone{"Rennes"}, Host: "127.0.0.1",
		Capacity: guavascale.Resources{MilliCores: 8000, MemoryMB: 16_384},
	}))
	local := guavaconfig.Listener{Listen: "127.0.0.1:0"}
	d := &Daemon{
		Settings: guavaconfig.Settings{
			Name: "a", Zone: "Rennes", Platform: "127.0.0.1:1", Gateway: local, Operator: local, Peer: local,
			Credentials: []guavaconfig.Credential{{Name: "test", Token: "token-of-the-test"}},
		}.Defaults(),
		Platform: Platform{Table: &p.Table, Objects: &p.Objects, Hosts: &p.Fleet, Agent: &p.Fleet},
	}
	d.Prepare()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	<-d.Ready()
	size := guavascale.Resources{MilliCores: 1000, MemoryMB: 512}
	require.NoError(t, d.DeclareForDev(ctx,
		guavascale.Service{Name: "seats", Kind: "checkout", Team: "desk", Instances: 1, Size: size, TargetMs: 50},
		guavascale.Job{ID: "packs", Team: "audit", Kind: "audit-pack", Tasks: 3, Size: size, RunSeconds: 600}))
	var state State
	throttled := func() bool {
		var err error
		state, err = d.State(ctx)
		return err == nil && len(state.Interference.Steps) > 0
	}
	require.Eventually(t, throttled, 40*time.Second, 100*time.Millisecond)
	require.Equal(t, guavainterference.StepThrottle, state.Interference.Steps[0].Kind)
	require.NotEmpty(t, state.Interference.Estimates)
	slowed := func() bool {
		for _, list := range p.Fleet.RunningTasks() {
			for _, b := range list {
				if b.Task.Class == guavascale.ClassBatch && b.Cores < 1 {
					return true
				}
			}
		}
		return false
	}
	require.Eventually(t, slowed, 10*time.Second, 100*time.Millisecond, "the throttle reaches the worker")
	cancel()
	<-done
}
