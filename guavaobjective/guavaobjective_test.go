package guavaobjective

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"guavascale.example"
)

// Guards against an objective that is computed from another chain than the longest one.
func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	steps := []guavascale.Step{
		{Estimate: time.Second},
		{Estimate: 4 * time.Second},
		{Estimate: 2 * time.Second, After: []int{0}},
		{Estimate: 3 * time.Second, After: []int{0, 2}},
	}
	chains := Chains(steps)
	assert.Equal(t, []time.Duration{6 * time.Second, 4 * time.Second, 5 * time.Second, 3 * time.Second}, chains)
	assert.Equal(t, 13*time.Second, Objective(&guavascale.Queue{Slack: 2, Target: time.Second}, chains))
}

// Guards against a step that counts as late while its chain still fits.
func TestUrgencyIsByTheRestOfTheChain(t *testing.T) {
	for left, want := range map[time.Duration]Urgency{5: InTime, 4: Late, -15: Late, -16: TooLate} {
		assert.Equal(t, want, Rate(left, 5, 10), "%d left", left)
	}
}
