package guavascheduler

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"guavascale.example"
	"guavascale.example/guavaaccount"
	"guavascale.example/guavaevent"
	"guavascale.example/guavaorder"
	"guavascale.example/guavastate"
)

// meters holds the counters, gauges and latency histograms of a daemon. The zero
// value is ready to use. It is safe for concurrent use.
type meters struct {
	once       sync.Once
	counters   metrics.Registry
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

const (
	// maxDuration is the longest duration that histograms record; longer ones
	// are clamped to it.
	maxDuration = time.Minute
	// histogramDigits is the number of significant decimal digits of a recorded
	// duration.
	histogramDigits = 2
)

func (m *meters) init() {
	m.counters = metrics.NewRegistry()
	m.histograms = make(map[string]*hdrhistogram.Histogram)
}

func (m *meters) count(name string, n int64) {
	m.once.Do(m.init)
	metrics.GetOrRegisterCounter(name, m.counters).Inc(n)
}

func (m *meters) gauge(name string, v int64) {
	m.once.Do(m.init)
	metrics.GetOrRegisterGauge(name, m.counters).Update(v)
}

func (m *meters) recordDuration(name string, d time.Duration) {
	m.once.Do(m.init)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxDuration.Microseconds(), histogramDigits)
		m.histograms[name] = h
	}
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDuration.Microseconds()))
}

func (m *meters) event(ev *guavaevent.Event) {
	name := "queue." + string(ev.Kind)
	if ev.Outcome != "" && ev.Kind != guavaevent.Accepted {
		name += "." + ev.Outcome
	}
	m.count(name, 1)
	switch ev.Kind {
	case guavaevent.Accepted:
		m.recordDuration("submission.accept", ev.Age)
	case guavaevent.Start:
		m.recordDuration("submission.age-at-start", ev.Age)
	case guavaevent.Ended:
		m.recordDuration("submission.duration", ev.Age)
	}
}

func (m *meters) request(name method, d time.Duration, err error) {
	outcome := "Done"
	var (
		rejected *guavascale.RejectedError
		notFound *guavascale.NotFoundError
		invalid  *guavascale.ValidationError

		unauthorized *guavascale.UnauthorizedError
		forbidden    *guavascale.ForbiddenError
	)
	switch {
	case errors.As(err, &unauthorized):
		outcome = "Unauthorized"
	case errors.As(err, &forbidden):
		outcome = "Forbidden"
	case errors.As(err, &rejected):
		outcome = "Rejected"
	case errors.As(err, &invalid):
		outcome = "Invalid"
	case errors.As(err, &notFound):
		outcome = "NotFound"
	case err != nil:
		outcome = "Unknown"
	}
	m.count("request."+string(name)+"."+outcome, 1)
	m.recordDuration("request."+string(name), d)
}

// order records the outcome and duration of an order to a worker.
func (m *meters) order(o guavaorder.Order, out guavaorder.Outcome, d time.Duration) {
	var runErr *guavascale.RunError
	switch {
	case errors.As(out.Err, &runErr):
		m.count("order."+o.Kind.String()+".Refused."+string(runErr.Reason), 1)
	case out.Err != nil:
		m.count("order."+o.Kind.String()+".Unanswered", 1)
	default:
		m.count("order."+o.Kind.String()+".Done", 1)
	}
	if o.Kind != guavaorder.Hold {
		m.recordDuration("order."+o.Kind.String(), d)
	}
}

func (m *meters) stats(s guavastate.Stats) {
	m.gauge("shard.open", int64(s.Open))
	m.gauge("shard.waiting", int64(s.Waiting))
	m.gauge("shard.runs", int64(s.Runs))
	m.gauge("shard.workers-listed", int64(s.Listed))
	m.gauge("shard.workers-usable", int64(s.Usable))
	m.gauge("shard.reservations", int64(s.Reservations.Reserved))
	m.gauge("shard.reserved-millicores", s.Reservations.Room.MilliCores)
	m.gauge("shard.reservations-fulfilled", int64(s.Reservations.Fulfilled))
	m.gauge("shard.reservations-cancelled", int64(s.Reservations.Cancelled))
}

// authentication records the status of the check of API keys, which is nil without accounts.
func (m *meters) authentication(status *guavaaccount.Status) {
	if status == nil {
		return
	}
	m.gauge("authentication.config-age-ms", status.ReadAgeMs)
	for cause, n := range status.Refused {
		m.gauge("authentication.refused."+cause, n)
	}
}

// write writes all metrics as lines of a name and a value, sorted by name.
// Durations are in microseconds.
func (m *meters) write(w io.Writer) {
	m.once.Do(m.init)
	var lines []string
	m.counters.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		}
	})
	m.mu.Lock()
	for name, h := range m.histograms {
		lines = append(
			lines, fmt.Sprintf("%s.count %d", name, h.TotalCount()),
			fmt.Sprintf("%s.p50-us %d", name, h.ValueAtQuantile(50)),
			fmt.Sprintf("%s.p99-us %d", name, h.ValueAtQuantile(99)), fmt.Sprintf("%s.max-us %d", name, h.Max()),
		)
	}
	m.mu.Unlock()
	slices.Sort(lines)
	for _, l := range lines {
		// A write fails if the client has disconnected.
		_, _ = fmt.Fprintln(w, l)
	}
}

// WriteMetrics writes all metrics as lines of a name and a value, sorted by name.
// Durations are in microseconds.
func (s *Scheduler) WriteMetrics(w io.Writer) {
	s.meters.authentication(s.Accounts.Status(s.Clock.Now()))
	s.meters.write(w)
}
