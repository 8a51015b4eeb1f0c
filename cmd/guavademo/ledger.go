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
	// kind is the sort of a request.
	kind string

	// result is how one sending of a request ended for its caller.
	result string

	// request is one request of a caller. A keyed one may be sent more than
	// once.
	request struct {
		Tag     string
		Kind    kind
		Body    []byte
		Results []result
	}

	// ledger records all requests. The zero value is empty.
	ledger struct {
		mu       sync.Mutex
		requests []request
		latency  *hdrhistogram.Histogram
		cut      int
		began    time.Time
		reasons  map[string]reasonCount
		notes    []string
	}

	// reasonCount is how often daemons gave a reason, and the first and the
	// last time, in seconds of the load.
	reasonCount struct {
		Count        int
		FirstSeconds float64
		LastSeconds  float64
	}

	// requestCounts is what the ledger and the runs at the stand-in prove.
	requestCounts struct {
		Requests int
		Sent     int
		Results  map[result]int
		// MaxRuns is the highest number of runs of a non-idempotent request.
		MaxRuns int
		// NotRunButRan counts the requests whose every answer was NotRun or
		// AlreadyRun and that ran all the same.
		NotRunButRan int
		// AnsweredWithoutRun counts the answered requests without a run.
		AnsweredWithoutRun int
		// KeysTakenInVain counts the keyed requests that never ran and whose
		// repeat was answered AlreadyRun. That is safe, and the caller has to
		// use a new key.
		KeysTakenInVain int
		Wrong           int
	}
)

const (
	kindGet   kind = "GET"
	kindPut   kind = "PUT"
	kindPost  kind = "POST"
	kindKeyed kind = "POST with key"
	// kindRepeat repeats an earlier keyed request, which may have run, with its
	// tag, body and key.
	kindRepeat kind = "POST with an earlier key"
)

const (
	// resultAnswered is the request's own whole answer, resultReplayed the
	// recorded one of the same request.
	resultAnswered   result = "Answered"
	resultReplayed   result = "Replayed"
	resultNotRun     result = "NotRun"
	resultUnknown    result = "OutcomeUnknown"
	resultAlreadyRun result = "AlreadyRun"
	// resultRefused is a connection that was not established, resultLost one
	// that broke or timed out.
	resultRefused result = "Refused"
	resultLost    result = "Lost"
	// resultWrong is any other answer.
	resultWrong result = "Wrong"
)

const (
	// Latencies are recorded in microseconds up to a minute.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	maxNotes         = 20
)

var (
	kinds  = []kind{kindGet, kindPut, kindPost, kindKeyed}
	digits = regexp.MustCompile(`[0-9]+`)
)

// certain reports whether the result proves whether the sending ran.
func (r result) certain() bool {
	switch r {
	case resultUnknown, resultLost, resultWrong:
		return false
	default:
		return true
	}
}

// mayHaveRun reports whether a result leaves it possible that the request ran.
func (r request) mayHaveRun() bool {
	return slices.ContainsFunc(r.Results, func(s result) bool {
		return s == resultAnswered || s == resultReplayed || !s.certain()
	})
}

func (l *ledger) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *ledger) answered(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		l.latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	// A latency beyond the range is cut to its end.
	_ = l.latency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

// reason counts the reason of a daemon's own answer. Reasons that differ in
// names and numbers only are counted together.
func (l *ledger) reason(res result, body []byte, now time.Time) {
	var answer struct{ Reason string }
	if json.Unmarshal(body, &answer) != nil {
		answer.Reason = "(none)"
	}
	key := string(res) + ": " + digits.ReplaceAllString(answer.Reason, "N")
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

func (l *ledger) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut++
}

// note keeps the first descriptions of unexpected answers.
func (l *ledger) note(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, text)
	}
}

// percentile returns a latency in milliseconds.
func (l *ledger) percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		return 0
	}
	return float64(l.latency.ValueAtPercentile(p)) / 1000
}

// count compares the requests with their runs at the stand-in.
func (l *ledger) count(runs map[string]int) requestCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := requestCounts{Requests: len(l.requests), Results: map[result]int{}}
	for _, r := range l.requests {
		c.add(r, runs[r.Tag])
	}
	return c
}

func (c *requestCounts) add(r request, runs int) {
	answered, certain := false, true
	for _, s := range r.Results {
		c.Sent++
		c.Results[s]++
		certain = certain && s.certain()
		answered = answered || s == resultAnswered || s == resultReplayed
		if s == resultWrong {
			c.Wrong++
		}
	}
	if r.Kind != kindGet && r.Kind != kindPut {
		c.MaxRuns = max(c.MaxRuns, runs)
	}
	if r.Kind == kindRepeat {
		// The runs may be those of the earlier request.
		return
	}
	if certain && !answered && runs > 0 {
		c.NotRunButRan++
	}
	if slices.Contains(r.Results, resultAlreadyRun) && runs == 0 {
		c.KeysTakenInVain++
	}
	if answered && runs == 0 {
		c.AnsweredWithoutRun++
	}
}
