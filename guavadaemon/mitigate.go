package guavadaemon

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavainterference"
)

// InterferenceState describes measured interference in a state dump.
type InterferenceState struct {
	// Estimates holds the measured pairs of service and batch kinds.
	Estimates []guavainterference.Estimate
	// Steps holds the latest mitigation steps, oldest first.
	Steps []guavainterference.Step
}

const (
	// mitigateInterval is the time between evaluations of the measurements, which
	// arrive about once a second.
	mitigateInterval         = time.Second
	estimatorCleanupInterval = time.Minute
)

// mitigateInterference updates the estimates from the reports of the owned
// shards and takes mitigation steps to protect services. An eviction is only
// proposed here; like every change it takes effect once it is in the shard's log.
func (c *control) mitigateInterference(now time.Time, preset guavascale.Preset) {
	if now.Before(c.nextMitigation) {
		return
	}
	c.nextMitigation = now.Add(mitigateInterval)
	p := guavainterference.Policy{
		LatencyWeight: preset.LatencyWeight, BatchWeight: preset.BatchWeight,
		EvictAfter: guavaconfig.Seconds(preset.EvictAfterSeconds),
	}
	for _, o := range c.shards {
		if o.shard == nil {
			continue
		}
		for _, step := range c.interference.Update(now, o.partition, o.shard.Observe(), p) {
			c.logMitigation(step, o.shard.Mitigate(step))
		}
	}
	if now.Before(c.nextEstimatorCleanup) {
		return
	}
	c.nextEstimatorCleanup = now.Add(estimatorCleanupInterval)
	c.interference.Forget(now, func(p guavascale.Partition) bool { return c.shards[p] != nil })
}

func (c *control) logMitigation(s guavainterference.Step, taken bool) {
	e := c.d.Log.Debug()
	if s.Kind == guavainterference.StepEvict {
		e = c.d.Log.Info()
	}
	e.Str("Step", string(s.Kind)).Str("Task", string(s.Task)).Str("Worker", string(s.Worker)).
		Str("service", string(s.Service)).Float64("Ratio", s.Ratio).Int("Percent", s.Percent).
		Bool("taken", taken).Msg("mitigation: step for a service")
}

func (c *control) interferenceState() InterferenceState {
	return InterferenceState{Estimates: c.interference.Estimator.Estimates(), Steps: c.interference.Recent()}
}
