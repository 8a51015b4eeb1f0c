package guavalimit

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against numbers and strings from outside that overflow, or that make a row that
// can't be encoded or that the store refuses.
func TestValueOutsideItsLimitsIsNamed(t *testing.T) {
	cases := map[string]struct {
		field string
		spoil func(*guavascale.Submission)
	}{
		"no ID":               {"ID", func(s *guavascale.Submission) { s.ID = "" }},
		"payload":             {"Payload", func(s *guavascale.Submission) { s.Payload = strings.Repeat("x", MaxPayloadBytes+1) }},
		"no steps":            {"Steps", func(s *guavascale.Submission) { s.Steps = nil }},
		"many steps":          {"Steps", func(s *guavascale.Submission) { s.Steps = make([]guavascale.Step, MaxSteps+1) }},
		"count overflows":     {"Steps[0].Count", func(s *guavascale.Submission) { s.Steps[0].Count = math.MaxInt }},
		"all counts":          {"Steps", func(s *guavascale.Submission) { s.Steps = append(s.Steps, guavascale.Step{Count: MaxTasks}) }},
		"size":                {"Steps[0].Size.MemoryMB", func(s *guavascale.Submission) { s.Steps[0].Size.MemoryMB = math.MaxInt64 }},
		"estimate":            {"Steps[0].Estimate", func(s *guavascale.Submission) { s.Steps[0].Estimate = math.MaxInt64 }},
		"negative estimate":   {"Steps[0].Estimate", func(s *guavascale.Submission) { s.Steps[0].Estimate = -1 }},
		"target":              {"Steps[0].Target", func(s *guavascale.Submission) { s.Steps[0].Target = Duration(1e300) }},
		"tasks per worker":    {"Steps[0].MaxPerWorker", func(s *guavascale.Submission) { s.Steps[0].MaxPerWorker = -1 }},
		"tasks away":          {"Steps[0].MaxAway", func(s *guavascale.Submission) { s.Steps[0].MaxAway = math.MaxInt }},
		"label":               {"Steps[0].Label", func(s *guavascale.Submission) { s.Steps[0].Label = strings.Repeat("x", MaxNameBytes+1) }},
		"later step":          {"Steps[0].After", func(s *guavascale.Submission) { s.Steps[0].After = []int{0} }},
		"occurrences":         {"Repeat", func(s *guavascale.Submission) { s.Repeat = MaxScheduledTasks + 1 }},
		"interval":            {"Interval", func(s *guavascale.Submission) { s.Repeat, s.Interval = 2, Duration(1e15) }},
		"product of interval": {"Interval", func(s *guavascale.Submission) { s.Repeat, s.Interval = 1000, MaxInterval }},
		"microseconds":        {"StartAt", func(s *guavascale.Submission) { s.Repeat, s.StartAt = 1, time.UnixMilli(1_780_000_000_000_000) }},
		"largest start":       {"StartAt", func(s *guavascale.Submission) { s.Repeat, s.StartAt = 1, time.UnixMilli(math.MaxInt64) }},
		"start before 1970":   {"StartAt", func(s *guavascale.Submission) { s.Repeat, s.StartAt = 1, time.UnixMilli(-62_135_596_800_000) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := guavascale.Submission{ID: "a", Steps: []guavascale.Step{{Count: 1}}}
			require.NoError(t, Check(&s))
			tc.spoil(&s)
			var invalid *guavascale.ValidationError
			require.ErrorAs(t, Check(&s), &invalid)
			assert.Equal(t, tc.field, invalid.Field)
			assert.NotEmpty(t, invalid.Allowed)
		})
	}
}

// Guards against limits that are too wide: the due time of the last occurrence overflows,
// or a row with it can't be encoded.
func TestLargestSchedule(t *testing.T) {
	s := guavascale.Submission{ID: "a", Steps: []guavascale.Step{{Count: 1}}, Repeat: MaxScheduledTasks, StartAt: MaxStartAt}
	s.Interval = MaxSpan / time.Duration(s.Repeat-1)
	require.NoError(t, Check(&s))
	last := s.StartAt.Add(time.Duration(s.Repeat-1) * s.Interval)
	assert.Greater(t, last.Year(), 9000)
	_, err := json.Marshal(last)
	assert.NoError(t, err)
}
