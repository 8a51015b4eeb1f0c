package guavapair

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"guavascale.example/guavarow"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against pairs that are excluded without cause, and against pairs that
// are not excluded although one filler is enough to disturb the service. Each case
// replays the measurements of one service beside its fillers.
func TestPairProbabilities(t *testing.T) {
	type observed struct {
		disturbed bool
		fillers   []string
	}
	cases := map[string]struct {
		observed []observed
		excluded map[string]bool
	}{
		"an unobserved pair is not excluded": {
			excluded: map[string]bool{"a": false},
		},
		"one filler alone beside a disturbed service": {
			observed: []observed{{disturbed: true, fillers: []string{"a"}}},
			excluded: map[string]bool{"a": true},
		},
		"one of two, identified by an undisturbed measurement": {
			observed: []observed{{fillers: []string{"b"}}, {fillers: []string{"b"}}, {disturbed: true, fillers: []string{"a", "b"}}, {disturbed: true, fillers: []string{"a", "b"}}},
			excluded: map[string]bool{"a": true, "b": false},
		},
		"a disturbed service without fillers changes no estimate": {
			observed: []observed{{disturbed: true}, {disturbed: true}},
			excluded: map[string]bool{"a": false},
		},
		"a false positive is corrected": {
			observed: []observed{{disturbed: true, fillers: []string{"a"}}, {fillers: []string{"a"}}, {fillers: []string{"a"}}},
			excluded: map[string]bool{"a": false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Model
			for _, s := range c.observed {
				if s.disturbed {
					m.RecordDisturbed(testEpoch, "service", s.fillers)
				} else {
					m.RecordUndisturbed("service", s.fillers)
				}
			}
			for filler, want := range c.excluded {
				assert.Equal(t, want, m.probability("service", filler) >= exclusionThreshold, "%s: %.2f", filler, m.probability("service", filler))
			}
		})
	}
}

// Guards against a pair that stays excluded forever after one false positive, and
// against concurrent trials of a pair that interferes.
func TestExcludedPairsAreRetried(t *testing.T) {
	var m Model
	now := testEpoch
	m.RecordDisturbed(now, "service", []string{"a"})
	assert.True(t, m.Excluded(now, "service", "a"))
	now = now.Add(baseExclusionTime)
	assert.False(t, m.Excluded(now, "service", "a"), "a trial is due")
	m.StartTrial(now, "service", "a")
	assert.True(t, m.Excluded(now, "service", "a"), "one trial at a time")
	m.RecordDisturbed(now.Add(trialDuration/2), "service", []string{"a"})
	now = now.Add(trialDuration + baseExclusionTime)
	assert.True(t, m.Excluded(now, "service", "a"), "the second exclusion lasts longer")
	for range 4 {
		m.RecordUndisturbed("service", []string{"a"})
	}
	assert.False(t, m.Excluded(now, "service", "a"))
}

// Guards against a wrong verdict that stands for as long as owners keep changing, and
// against one that outlasts a clock that was ahead when it was stored.
func TestExclusionEndsUnderLaterOwners(t *testing.T) {
	cases := map[string]struct {
		// stored is how much of the exclusion was left when it was stored, by the clock
		// there, and passed the time since the owner has changed.
		stored, passed time.Duration
		earlierVersion bool
		want           bool
	}{
		"it goes on":               {stored: 20 * time.Second, passed: 19 * time.Second, want: true},
		"it ends when it would":    {stored: 20 * time.Second, passed: 20 * time.Second, want: false},
		"it has ended":             {stored: -time.Second, want: false},
		"it never begins anew":     {stored: time.Hour, passed: baseExclusionTime, want: false},
		"a row without the time":   {earlierVersion: true, passed: baseExclusionTime - time.Second, want: true},
		"its time is over as well": {earlierVersion: true, passed: baseExclusionTime, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var first, second Model
			first.RecordDisturbed(testEpoch.Add(c.stored-baseExclusionTime), "service", []string{"a"})
			row := first.Row()
			if c.earlierVersion {
				row.Pairs[0].RetryAtMs = 0
			}
			second.Restore(testEpoch, row)
			assert.Equal(t, c.want, second.Excluded(testEpoch.Add(c.passed), "service", "a"))
		})
	}
}

// Guards against a row that loses the pairs or their verdicts.
func TestModelIsRestored(t *testing.T) {
	var first, second Model
	first.RecordDisturbed(testEpoch, "service", []string{"a"})
	first.RecordUndisturbed("service", []string{"b"})
	row := first.Row()
	assert.ElementsMatch(t, []guavarow.Pair{
		{Service: "service", Filler: "a", Suspicion: 0.8, Strikes: 1, RetryAtMs: testEpoch.Add(baseExclusionTime).UnixMilli()},
		{Service: "service", Filler: "b", Suspicion: 0.15},
	}, row.Pairs)
	second.Restore(testEpoch, row)
	assert.Equal(t, []string{"service/a"}, second.Apart())
	assert.ElementsMatch(t, row.Pairs, second.Row().Pairs)
}
