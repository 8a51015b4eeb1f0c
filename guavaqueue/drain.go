package guavaqueue

import "time"

// leaveMargin is kept back from a leaving worker's time for stops to be listed.
const drainMargin = 300 * time.Millisecond

// empty moves work off workers that are leaving: services at once, and tasks
// that save their progress when they would not end in time. The others have
// nothing to lose and run on.
func (e *Engine) drain(now time.Time) {
	for _, w := range e.workers {
		if !w.Leaving || w.misses > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase != phaseRunning {
				continue
			}
			spec := r.task.step.spec
			deadline := w.leavesAt.Add(-e.Limits.StopGrace - drainMargin)
			if spec.Service || spec.Checkpoints && now.After(deadline) && r.remaining(now) > drainMargin {
				e.stop(now, r)
			}
		}
	}
}

// remaining estimates how long a run still works, from its progress so far.
func (r *run) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(r.startedAt)
	if r.percent <= 0 {
		return max(r.task.step.spec.Estimate-elapsed, 0)
	}
	return elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
}
