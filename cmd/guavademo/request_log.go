package main

import (
	"encoding/json"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// kind is the method of a request and how it uses an idempotency key.
	kind string

	// result is the outcome of one attempt to send a request, as its caller
	// observes it.
	result string

	// request is a request of a caller with the result of each attempt to send
	// it. Only a request with a key is sent more than once.
	request struct {
		Tag     string
		Kind    kind
		Body    []byte
		Results []result
	}

	// requestLog records all requests with latencies, the reasons for failures
	// and notes. The zero value is empty.
	requestLog struct {
		mu       sync.Mutex
		requests []request
		latency  *hdrhistogram.Histogram
		cutOff   int
		began    time.Time
		reasons  map[string]reasonCount
		notes    []string
	}

	// reasonCount is how often daemons gave a reason, with the first and last
	// time in seconds since the start of the load.
	reasonCount struct {
		Count        int
		FirstSeconds float64
		LastSeconds  float64
	}

	// requestCounts is the result of comparing the recorded requests with the
	// runs that the platform counted.
	requestCounts struct {
		Requests int
		Sent     int
		Results  map[result]int
		// MaxRuns is the highest number of runs of a non-idempotent request.
		MaxRuns int
		// NotRunButRan counts the requests that ran although each of their
		// results was NotRun, AlreadyRun or Refused.
		NotRunButRan int
		// AnsweredWithoutRun counts the answered requests without a run.
		AnsweredWithoutRun int
		// KeysTakenInVain counts the keyed requests that never ran although
		// their key was recorded as used, so that a repeat was answered
		// AlreadyRun. That is safe, but the caller has to use a new key.
		KeysTakenInVain int
		Wrong           int
	}
)

const (
	kindGet   kind = "GET"
	kindPut   kind = "PUT"
	kindPost  kind = "POST"
	kindKeyed kind = "POST with key"
	// kindRepeat sends an earlier keyed request, which may have run, again with
	// the same tag, body and key.
	kindRepeat kind = "POST with an earlier key"
)

const (
	// resultAnswered is the complete response to this request, resultReplayed the
	// recorded response to an earlier attempt.
	resultAnswered   result = "Answered"
	resultReplayed   result = "Replayed"
	resultNotRun     result = "NotRun"
	resultUnknown    result = "OutcomeUnknown"
	resultAlreadyRun result = "AlreadyRun"
	// resultRefused means that no connection was established, resultLost that
	// the connection broke or the request timed out.
	resultRefused result = "Refused"
	resultLost    result = "Lost"
	// resultWrong is any other response.
	resultWrong result = "Wrong"
)

const (
	// Latencies are recorded in microseconds, up to one minute.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	maxNotes         = 20
)

var (
	kinds         = []kind{kindGet, kindPut, kindPost, kindKeyed}
	digitsPattern = regexp.MustCompile(`[0-9]+`)
)

// conclusive reports whether the result determines for certain whether the
// attempt ran.
func (r result) conclusive() bool {
	switch r {
	case resultUnknown, resultLost, resultWrong:
		return false
	default:
		return true
	}
}

// mayHaveRun reports whether the request ran or may have run, by its results.
func (r request) mayHaveRun() bool {
	return slices.ContainsFunc(r.Results, func(s result) bool {
		return s == resultAnswered || s == resultReplayed || !s.conclusive()
	})
}

// add records a request after its last attempt.
func (l *requestLog) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// addLatency records the latency of an answered request.
func (l *requestLog) addLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		l.latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	// Higher latencies are recorded as the maximum of the histogram.
	_ = l.latency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

// addReason counts the reason in a response that a daemon itself gave. Reasons
// that differ only in digits are counted together.
func (l *requestLog) addReason(res result, body []byte, now time.Time) {
	var answer struct{ Reason string }
	if json.Unmarshal(body, &answer) != nil {
		answer.Reason = "(none)"
	}
	key := string(res) + ": " + digitsPattern.ReplaceAllString(answer.Reason, "N")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons == nil {
		l.reasons = map[string]reasonCount{}
	}
	at := now.Sub(l.began).Seconds()
	c, ok := l.reasons[key]
	if !ok {
		c.FirstSeconds = at
	}
	c.Count++
	c.LastSeconds = at
	l.reasons[key] = c
}

// addCutOff counts a request that was cut off by a graceful stop.
func (l *requestLog) addCutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff++
}

// addNote records the description of an unexpected outcome, up to maxNotes.
func (l *requestLog) addNote(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, text)
	}
}

// percentile returns a percentile of the latency in milliseconds.
func (l *requestLog) percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		return 0
	}
	return float64(l.latency.ValueAtPercentile(p)) / 1000
}

// count compares the requests with the runs of each tag that the platform
// counted.
func (l *requestLog) count(runs map[string]int) requestCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := requestCounts{Requests: len(l.requests), Results: map[result]int{}}
	for _, r := range l.requests {
		c.add(r, runs[r.Tag])
	}
	return c
}

// add counts a request that the platform ran the given number of times.
func (c *requestCounts) add(r request, runs int) {
	answered, conclusive := false, true
	for _, s := range r.Results {
		c.Sent++
		c.Results[s]++
		conclusive = conclusive && s.conclusive()
		answered = answered || s == resultAnswered || s == resultReplayed
		if s == resultWrong {
			c.Wrong++
		}
	}
	if r.Kind != kindGet && r.Kind != kindPut {
		c.MaxRuns = max(c.MaxRuns, runs)
	}
	if r.Kind == kindRepeat {
		// The runs may be those of the earlier request with the same tag.
		return
	}
	if conclusive && !answered && runs > 0 {
		c.NotRunButRan++
	}
	if slices.Contains(r.Results, resultAlreadyRun) && runs == 0 {
		c.KeysTakenInVain++
	}
	if answered && runs == 0 {
		c.AnsweredWithoutRun++
	}
}
