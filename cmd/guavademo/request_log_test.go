package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
)

// Guards against a request log that misses a violated guarantee, or that reports
// a lost response as a violation.
func TestRequestLog(t *testing.T) {
	tests := map[string]struct {
		kind    kind
		results []result
		runs    int
		want    requestCounts
	}{
		"answered":                       {kind: kindPost, results: []result{resultAnswered}, runs: 1, want: requestCounts{MaxRuns: 1}},
		"ran twice":                      {kind: kindPost, results: []result{resultAnswered}, runs: 2, want: requestCounts{MaxRuns: 2}},
		"GET ran twice":                  {kind: kindGet, results: []result{resultAnswered}, runs: 2},
		"answered without a run":         {kind: kindPost, results: []result{resultAnswered}, want: requestCounts{AnsweredWithoutRun: 1}},
		"not run":                        {kind: kindPost, results: []result{resultNotRun}},
		"not run, but ran":               {kind: kindPost, results: []result{resultNotRun}, runs: 1, want: requestCounts{MaxRuns: 1, NotRunButRan: 1}},
		"GET not run, but ran":           {kind: kindGet, results: []result{resultNotRun}, runs: 1, want: requestCounts{NotRunButRan: 1}},
		"key taken by what was not run":  {kind: kindKeyed, results: []result{resultNotRun, resultAlreadyRun}, runs: 1, want: requestCounts{MaxRuns: 1, NotRunButRan: 1}},
		"key taken in vain":              {kind: kindKeyed, results: []result{resultNotRun, resultAlreadyRun}, want: requestCounts{KeysTakenInVain: 1}},
		"lost, then already run":         {kind: kindKeyed, results: []result{resultLost, resultAlreadyRun}, runs: 1, want: requestCounts{MaxRuns: 1}},
		"lost, then ran again":           {kind: kindKeyed, results: []result{resultLost, resultAnswered}, runs: 2, want: requestCounts{MaxRuns: 2}},
		"outcome unknown":                {kind: kindPost, results: []result{resultUnknown}, runs: 1, want: requestCounts{MaxRuns: 1}},
		"wrong answer":                   {kind: kindPost, results: []result{resultWrong}, runs: 1, want: requestCounts{MaxRuns: 1, Wrong: 1}},
		"earlier key, replayed":          {kind: kindRepeat, results: []result{resultReplayed}, runs: 1, want: requestCounts{MaxRuns: 1}},
		"earlier key, not run this time": {kind: kindRepeat, results: []result{resultNotRun}, runs: 1, want: requestCounts{MaxRuns: 1}},
		"earlier key, ran again":         {kind: kindRepeat, results: []result{resultAnswered}, runs: 2, want: requestCounts{MaxRuns: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l requestLog
			l.add(request{Tag: "a", Kind: tt.kind, Results: tt.results})
			got := l.count(map[string]int{"a": tt.runs})
			tt.want.Requests, tt.want.Sent, tt.want.Results = 1, len(tt.results), got.Results
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a report that lists no violation although a guarantee was
// violated.
func TestCheckGuarantees(t *testing.T) {
	tests := map[string]struct {
		change func(r *report)
		broken int
	}{
		"all kept":               {change: func(*report) {}},
		"violation":              {change: func(r *report) { r.Violations = []guavafake.Violation{{}} }, broken: 1},
		"task not done":          {change: func(r *report) { r.TasksDone = 0 }, broken: 1},
		"start in closed zone":   {change: func(r *report) { r.StartsInClosedZone = 1 }, broken: 1},
		"request in closed zone": {change: func(r *report) { r.RequestsInClosedZone = 1 }, broken: 1},
		"wrong answer":           {change: func(r *report) { r.Wrong = 1 }, broken: 1},
		"answered without run":   {change: func(r *report) { r.AnsweredWithoutRun = 1 }, broken: 1},
		"not run, but ran":       {change: func(r *report) { r.NotRunButRan = 1 }, broken: 1},
		"two runs":               {change: func(r *report) { r.MaxRuns = 2 }, broken: 1},
		"cut":                    {change: func(r *report) { r.CutByGracefulStop = 1 }, broken: 1},
		"reverted":               {change: func(r *report) { r.Reverts = 1 }, broken: 1},
		"late configuration":     {change: func(r *report) { r.InForceMs = map[uint64]int64{2: 3001} }, broken: 1},
		"nothing answered":       {change: func(r *report) { r.Results = nil }, broken: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := report{TasksDone: 1, TasksDeclared: 1}
			r.MaxRuns, r.Results = 1, map[result]int{resultAnswered: 1}
			tt.change(&r)
			r.checkGuarantees()
			require.Len(t, r.Broken, tt.broken)
		})
	}
}

// Guards against counting first attempts or service instances as evictions.
func TestCountEvictions(t *testing.T) {
	v := guavafake.Verdict{StartsByZone: map[guavascale.Zone][]guavafake.Start{
		"Rennes": {
			{Attempt: "pack/0#1", Class: guavascale.ClassBatch},
			{Attempt: "licence/0#1", Class: guavascale.ClassService},
			{Attempt: "licence/0#2", Class: guavascale.ClassService},
		},
		"Brest": {{Attempt: "pack/0#2", Class: guavascale.ClassBatch}, {Attempt: "pack/1#1", Class: guavascale.ClassBatch}},
	}}
	require.Equal(t, 1, countEvictions(v))
}
