package guavaqueue

import "time"

// drainMargin is reserved at the end of a leaving worker's time so that it can
// still report the stopped runs.
const drainMargin = 300 * time.Millisecond

// drain stops runs on a leaving worker so that they continue elsewhere: services at once,
// and tasks with checkpoints just before it leaves if they would not end in time. Stopping
// other tasks early saves none of their work.
func (e *Engine) drain(now time.Time, w *worker) {
	if !w.Leaving || w.failedHolds > 0 {
		return
	}
	for _, r := range w.runs {
		if r.phase != phaseRunning {
			continue
		}
		spec := r.task.step.spec
		deadline := w.leavesAt.Add(-e.Limits.StopGrace - drainMargin)
		if spec.Service || spec.Checkpoints && now.After(deadline) && r.progress(now).Remaining() > drainMargin {
			e.stop(now, r)
		}
	}
}
