// Package bubbletest runs tests in synctest bubbles.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in a bubble, as [synctest.Test] does. In a build with the race
// detector it uses one processor until f returns, so the test must not run in
// parallel with others.
//
// The timers of a bubble share one context of the race detector. With Go 1.26 a
// timer without a receiver runs on the goroutine that reads its channel, and
// beside other timers of the bubble on another processor. The shadow stack of the
// context is then corrupted, and the race detector crashes with a segmentation
// violation. It finds races by the order of events, on one processor as well.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
