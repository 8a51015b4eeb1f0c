package guavavacancy

import (
	"time"

	"guavascale.example"
)

// leaveMargin is reserved at the end of a leaving worker's time so that it can still report
// the stopped runs.
const leaveMargin = 300 * time.Millisecond

// Leave reports whether a run has to be stopped on a worker that is about to leave, so that it
// continues elsewhere: a service at once, and a task with checkpoints just before it is too late
// for a stop, if it would not end in time. Stopping other tasks early saves none of their work.
// The run can be stopped for left still, and would end after remaining.
func Leave(spec *guavascale.Step, left, remaining time.Duration) bool {
	return spec.Service || spec.Checkpoints && left < leaveMargin && remaining > leaveMargin
}
