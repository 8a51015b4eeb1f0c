package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against findings about a request that was sent before the final state
// was observed, and against final states that change without a finding.
func TestContradictions(t *testing.T) {
	end := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		before, now string
		asked       time.Duration
		want        bool
	}{
		"running after completed":          {"completed", "running", time.Millisecond, true},
		"failed after completed":           {"completed", "failed", time.Millisecond, true},
		"running requested before the end": {"completed", "running", -422 * time.Millisecond, false},
		"completed again":                  {"completed", "completed", time.Millisecond, false},
		"queued after running is allowed":  {"running", "queued", time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&submissionStatus{state: tt.before, endedAt: end}).contradicts(end.Add(tt.asked), tt.now)
			assert.Equal(t, tt.want, got)
		})
	}
}
