package guavashard

import (
	"fmt"
	"time"

	"guavascale.example"
	"guavascale.example/guavainterference"
)

// Observe returns the latest measurements of the workers of the shard, for the
// estimation and mitigation of interference. Unresponsive workers and those
// without tasks are omitted.
func (s *Shard) Observe() []guavainterference.Worker {
	if s.view == nil {
		return nil
	}
	list := make([]guavainterference.Worker, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if s.responsive(w) && len(w.tasks) > 0 {
			list = append(list, s.observeWorker(w))
		}
	}
	return list
}

func (s *Shard) observeWorker(w *workerState) guavainterference.Worker {
	o := guavainterference.Worker{ID: w.worker.ID, MilliCores: w.worker.Capacity.MilliCores}
	for _, e := range w.tasks {
		a, ok := w.reports[e.attempt]
		if !ok || !e.reportedRunning {
			continue
		}
		if e.task.Class == guavascale.ClassBatch {
			o.Batch = append(o.Batch, guavainterference.Batch{
				Task: e.task.ID, Kind: e.task.Kind, Urgent: e.task.Urgent,
				Cores: float64(a.Used.MilliCores) / 1000, Percent: e.throttlePercent, Evictions: e.task.Evictions,
				Evictable: e.proposed == nil && e.task.State == guavascale.TaskStarting,
			})
			continue
		}
		target := s.view.Config.Services[e.task.Service].TargetMs
		if target <= 0 || a.LatencyMs <= 0 || s.leaving(e) {
			continue
		}
		o.Services = append(o.Services, guavainterference.Service{
			Task: e.task.ID, Kind: e.task.Kind, Ratio: a.LatencyMs / target,
			MeasuredAt: w.lastReportAt.Add(-time.Duration(a.UsageAgeMs) * time.Millisecond),
		})
	}
	return o
}

// Mitigate applies a mitigation step and reports whether it did.
func (s *Shard) Mitigate(step guavainterference.Step) bool {
	switch step.Kind {
	case guavainterference.StepEvict:
		return s.Evict(step.Task, fmt.Sprintf("%s misses its target beside it", step.Service))
	case guavainterference.StepThrottle, guavainterference.StepRelease:
		return s.Throttle(step.Task, step.Percent)
	default:
		return false
	}
}
