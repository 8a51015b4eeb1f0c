package guavascheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"guavascale.example"
	"guavascale.example/guavaevent"
)

// Guards against a crash that the log doesn't explain: the start before it was left out
// among the starts of a busy second.
func TestStartsOnTrialAreLogged(t *testing.T) {
	var out bytes.Buffer
	s := &Scheduler{Log: zerolog.New(&out)}
	tm := &term{scheduler: s}
	now := time.Unix(1000, 0)
	for i := range 3 * linesPerSecond {
		tm.logEvent(now, &guavaevent.Event{Kind: guavaevent.Start, Submission: fmt.Sprint("a", i)})
	}
	run := guavascale.Run{Task: guavascale.TaskRef{Submission: "deadly"}, Attempt: 2}
	tm.logEvent(now, &guavaevent.Event{Kind: guavaevent.Start, Submission: "deadly", Run: run, Trial: true, Value: 1})
	assert.Equal(t, linesPerSecond+1, strings.Count(out.String(), "\n"))
	assert.Contains(t, out.String(), `"Submission":"deadly","Task":"0.0.0","Attempt":2`)
}
