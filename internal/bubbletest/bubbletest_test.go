package bubbletest

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crash of the race detector when timers of a bubble run on two
// processors at once.
func TestTimersRunOneAtATime(t *testing.T) {
	processors := runtime.GOMAXPROCS(0)
	Run(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 1000 {
					time.AfterFunc(time.Millisecond, func() {})
					time.Sleep(time.Millisecond)
					for range 20 {
						<-time.NewTimer(0).C
					}
				}
			})
		}
		wg.Wait()
	})
	require.Equal(t, processors, runtime.GOMAXPROCS(0), "the number of processors is restored")
}
