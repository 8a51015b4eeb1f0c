package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"guavascale.example"
	"guavascale.example/guavafake"
)

// report is the result of a run. Broken describes the guarantees that were
// violated. Latencies, durations and KeysTakenInVain are informational, except
// for InForceMs, which is checked.
type report struct {
	Seconds float64
	requestCounts
	// Reasons counts the reasons that daemons gave in NotRun and OutcomeUnknown
	// responses.
	Reasons      map[string]reasonCount
	LatencyP50Ms float64
	LatencyP99Ms float64
	// CutByGracefulStop counts the requests in progress that got no response,
	// because their connection broke or they timed out, after SIGTERM was sent to
	// their daemon.
	CutByGracefulStop int
	// StartsInClosedZone and RequestsInClosedZone count the attempts that were
	// started and the requests that ran in the zone later than 3 s after it was
	// taken out of service and before it was brought back.
	StartsInClosedZone   int
	RequestsInClosedZone int
	// Evictions counts the attempts of batch tasks after the first one.
	Evictions     int
	TasksDone     int
	TasksDeclared int
	Violations    []guavafake.Violation
	// InForceMs maps the version of a change to the time until it was in force
	// at all daemons.
	InForceMs map[uint64]int64
	// Reverts counts the times when a daemon's configuration version decreased.
	Reverts int
	Notes   []string
	Broken  []string
	// ends counts the attempts that ended, by their final state.
	ends map[guavascale.AttemptState]int
}

// collect fills in the figures from the platform, the logged requests and the
// daemons.
func (r *report) collect(c *cluster, l *loadGenerator) error {
	state, err := c.control.State()
	if err != nil {
		return err
	}
	r.requestCounts = l.log.count(state.Runs)
	r.LatencyP50Ms, r.LatencyP99Ms = l.log.percentile(50), l.log.percentile(99)
	r.CutByGracefulStop = l.log.cutOff
	r.Reasons = l.log.reasons
	r.Notes = append(r.Notes, l.log.notes...)
	r.Violations = state.Verdict.Violations
	r.ends = state.Verdict.Ends
	r.Evictions = countEvictions(state.Verdict)
	for _, d := range c.allDaemons() {
		r.Reverts += d.revertCount()
	}
	return nil
}

// countEvictions counts the attempts of batch tasks after the first one.
func countEvictions(v guavafake.Verdict) int {
	attempts := map[guavascale.TaskID]int{}
	n := 0
	for _, starts := range v.StartsByZone {
		for _, s := range starts {
			if s.Class != guavascale.ClassBatch {
				continue
			}
			task, _, _ := strings.Cut(string(s.Attempt), "#")
			if attempts[guavascale.TaskID(task)]++; attempts[guavascale.TaskID(task)] > 1 {
				n++
			}
		}
	}
	return n
}

// checkGuarantees checks the figures of the report and fills in Broken.
func (r *report) checkGuarantees() {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
		}
	}
	check(len(r.Violations) == 0, "P1 to P3: %d violations at the workers", len(r.Violations))
	check(r.TasksDone == r.TasksDeclared, "P3: %d of %d tasks were done", r.TasksDone, r.TasksDeclared)
	check(r.StartsInClosedZone == 0, "P4: %d starts in the closed zone", r.StartsInClosedZone)
	check(r.Wrong == 0, "P5: %d wrong or incomplete answers", r.Wrong)
	check(r.AnsweredWithoutRun == 0, "P5: %d requests were answered without a run", r.AnsweredWithoutRun)
	check(r.NotRunButRan == 0, "P6: %d requests answered NotRun ran", r.NotRunButRan)
	check(r.MaxRuns <= 1, "P7: a non-idempotent request ran %d times", r.MaxRuns)
	check(r.RequestsInClosedZone == 0, "P8: %d requests to the closed zone", r.RequestsInClosedZone)
	check(r.CutByGracefulStop == 0, "P9: %d requests were cut by a graceful stop", r.CutByGracefulStop)
	check(r.Reverts == 0, "P10: the configuration was reverted %d times", r.Reverts)
	for _, v := range slices.Sorted(maps.Keys(r.InForceMs)) {
		check(r.InForceMs[v] <= maxInForceDelay.Milliseconds(), "P10: version %d was in force after %d ms", v, r.InForceMs[v])
	}
	check(r.Results[resultAnswered] > 0, "no request was answered")
}

// writeJSON writes the report as indented JSON.
func (r *report) writeJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// writeText writes the report as text with one line per figure.
func (r *report) writeText(w io.Writer) {
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "%-42s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("duration", "%.1f s", r.Seconds)
	line("requests / sendings", "%d / %d", r.Requests, r.Sent)
	for _, s := range slices.Sorted(maps.Keys(r.Results)) {
		line("  "+string(s), "%d", r.Results[s])
	}
	for _, s := range slices.Sorted(maps.Keys(r.Reasons)) {
		c := r.Reasons[s]
		line("  reason", "%d times from %.1f s to %.1f s of the load: %s", c.Count, c.FirstSeconds, c.LastSeconds, s)
	}
	line("latency p50 / p99 (information)", "%.1f ms / %.1f ms", r.LatencyP50Ms, r.LatencyP99Ms)
	line("most runs of a non-idempotent request", "%d", r.MaxRuns)
	line("requests answered NotRun that ran", "%d", r.NotRunButRan)
	line("keys taken in vain (information)", "%d", r.KeysTakenInVain)
	line("wrong or incomplete answers", "%d", r.Wrong+r.AnsweredWithoutRun)
	line("requests cut by the graceful stop", "%d", r.CutByGracefulStop)
	line("starts in the closed zone after 3 s", "%d", r.StartsInClosedZone)
	line("requests to the closed zone after 3 s", "%d", r.RequestsInClosedZone)
	line("evictions (batch attempts after the first)", "%d", r.Evictions)
	line("tasks done / declared", "%d / %d", r.TasksDone, r.TasksDeclared)
	line("violations at the workers", "%d", len(r.Violations))
	for _, v := range r.Violations {
		line("  "+string(v.Kind), "%s on %s: %s", v.Attempt, v.Worker, v.Detail)
	}
	line("configuration in force everywhere", "%v ms by version, %d reverts", r.InForceMs, r.Reverts)
	for _, n := range r.Notes {
		line("note", "%s", n)
	}
	for _, b := range r.Broken {
		line("BROKEN", "%s", b)
	}
	if len(r.Broken) == 0 {
		line("promises", "%s", "all kept")
	}
}

// secondsSince returns the time since t in seconds.
func secondsSince(t time.Time) float64 { return time.Since(t).Seconds() }
