package guavascheduler

import (
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavascale.example/guavaevent"
)

// decisionLog limits the rate of log lines per budget, which is that of a kind of decision
// or of the starts on trial. The first line
// after the limit was exceeded contains the number of suppressed lines. It is
// safe for concurrent use.
type decisionLog struct {
	mu      sync.Mutex
	budgets map[string]*lineBudget
}

type lineBudget struct {
	second     int64
	lines      int
	suppressed int
}

// linesPerSecond limits the lines of one budget. An installation starts 200 runs
// per second, and writing a line takes about 10 µs including the system call.
const linesPerSecond = 100

// allow reports whether a line of a budget may be written, and how many lines were
// suppressed since the previous one.
func (d *decisionLog) allow(now time.Time, budget string) (suppressed int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budgets == nil {
		d.budgets = make(map[string]*lineBudget)
	}
	b := d.budgets[budget]
	if b == nil {
		b = &lineBudget{}
		d.budgets[budget] = b
	}
	if s := now.Unix(); s != b.second {
		b.second, b.lines = s, 0
	}
	if b.lines >= linesPerSecond {
		b.suppressed++
		return 0, false
	}
	b.lines++
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// line returns a log line of a kind, or nil if the limit of its budget is exceeded.
func (d *decisionLog) line(log *zerolog.Logger, now time.Time, budget, kind string) *zerolog.Event {
	suppressed, ok := d.allow(now, budget)
	if !ok {
		return nil
	}
	line := log.Info().Str("Kind", kind)
	if suppressed > 0 {
		line.Int("LeftOut", suppressed)
	}
	return line
}

// logEvents logs and counts the decisions that the engine has made since the
// last call.
func (t *term) logEvents(now time.Time) {
	events, suppressed := t.engine.Events()
	if suppressed > 0 {
		t.scheduler.Log.Warn().Int("LeftOut", suppressed).Msg("scheduler: decisions were not logged")
	}
	for i := range events {
		t.scheduler.meters.event(&events[i])
		if events[i].Kind == guavaevent.Start {
			t.recordStart(now, &events[i])
		}
		t.logEvent(now, &events[i])
	}
}

func (t *term) logEvent(now time.Time, ev *guavaevent.Event) {
	budget := string(ev.Kind)
	if ev.Trial {
		// The starts of a busy second must not suppress those that explain a crash.
		budget = "Trial"
	}
	line := t.scheduler.decisions.line(&t.scheduler.Log, now, budget, string(ev.Kind))
	if line == nil {
		return
	}
	if ev.Trial {
		line.Bool("Trial", true)
	}
	if ev.Submission != "" {
		line.Str("Submission", ev.Submission)
	}
	if ev.Account != "" {
		line.Str("Account", ev.Account)
	}
	if r := ev.Run; r.Task.Submission != "" {
		line.Str("Task", fmt.Sprintf("%d.%d.%d", r.Task.Occurrence, r.Task.Step, r.Task.Index))
		if r.Attempt > 0 {
			line.Int64("Attempt", r.Attempt)
		}
	}
	if ev.Worker != "" {
		line.Str("Worker", string(ev.Worker))
	}
	if ev.Born != 0 {
		line.Int64("Born", ev.Born)
	}
	if ev.Outcome != "" {
		line.Str("Outcome", ev.Outcome)
	}
	if ev.Reason != "" {
		line.Str("Reason", ev.Reason)
	}
	if ev.Value != 0 {
		line.Float64("Value", ev.Value)
	}
	line.Uint64("Epoch", t.engine.Token).Int64("AgeMs", ev.Age.Milliseconds()).Msg("scheduler: decision")
}

// logRequest logs a caller's request that was forwarded to the owner.
func (s *Scheduler) logRequest(m method, id string, start time.Time, attempts int, r reply, err error) {
	now := time.Now()
	s.meters.request(m, now.Sub(start), err)
	if err == nil && (m == methodState || m == methodPending) {
		// Callers poll, so only failures are logged.
		return
	}
	kind := "Request" + string(m)
	line := s.decisions.line(&s.Log, now, kind, kind)
	if line == nil {
		return
	}
	if err != nil {
		line.AnErr("Error", err)
	}
	line.Str("Submission", id).Int("Attempts", attempts).Str("Owner", s.owner()).Str("Reason", r.Reason).
		Int64("AgeMs", now.Sub(start).Milliseconds()).Msg("scheduler: request")
}

// owner returns the last known address of the owner, or "".
func (s *Scheduler) owner() string {
	if s.term.Load() != nil {
		return s.Address
	}
	if addr := s.ownerAddr.Load(); addr != nil {
		return *addr
	}
	return ""
}
