package guavascheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against retry delays so short that callers use up their attempts before
// an outage ends. A caller makes five attempts, and each one takes 400 ms to be
// rejected.
func TestRetryAfterOutlastsOutages(t *testing.T) {
	const attempts, rejection = 5, 400 * time.Millisecond
	at := time.Duration(0)
	for range attempts - 1 {
		at += rejection
		at += retryAfter(at).Round(time.Second)
	}
	assert.Greater(t, at, 9*time.Second, "outage covered by a caller whose first attempt is at its start")
	assert.Equal(t, minRetryAfter, retryAfter(0))
	assert.Equal(t, maxRetryAfter, retryAfter(time.Hour))
}
