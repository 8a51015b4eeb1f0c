package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against findings about the answer of a request that was sent before the
// end was told, and against final states that are taken back unnoticed.
func TestContradictions(t *testing.T) {
	end := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		before, now string
		asked       time.Duration
		want        bool
	}{
		"running after completed":            {"completed", "running", time.Millisecond, true},
		"failed after completed":             {"completed", "failed", time.Millisecond, true},
		"running asked before the end":       {"completed", "running", -422 * time.Millisecond, false},
		"completed again":                    {"completed", "completed", time.Millisecond, false},
		"queued after running is no promise": {"running", "queued", time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&told{state: tt.before, endedAt: end}).contradicts(end.Add(tt.asked), tt.now)
			assert.Equal(t, tt.want, got)
		})
	}
}
