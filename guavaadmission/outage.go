package guavaadmission

import "time"

// Commits measures how long an owner has been trying to commit. The zero value is ready to
// use.
type Commits struct {
	usual   time.Duration
	pending bool
	// since is when the first commit began that no applied one has followed. waited is the
	// time since then in which the owner was running, and seen when it ran last.
	since, seen time.Time
	waited      time.Duration
}

const (
	// lateFactor times the usual duration of a commit is late. Under load, 99 of 100
	// submissions on a healthy store were accepted within twice the usual time.
	lateFactor = 8
	// minLate and maxLate bound the time after which a commit is late. A healthy store takes
	// 10 ms, and one that is slow answers within a second.
	minLate = 500 * time.Millisecond
	maxLate = 1200 * time.Millisecond
	// maxStep bounds the time that counts between two observations. An owner that gets no
	// processor time, or whose host was suspended, learns of its commits as late as of
	// everything else, which is no sign of an outage.
	maxStep = 100 * time.Millisecond
	// usualWeight is the weight of the latest commit in the usual duration.
	usualWeight = 0.1
	// answerTime is the time that an answer takes to reach the caller through two daemons
	// with little processor time.
	answerTime = 90 * time.Millisecond
	// returnTime is what a caller needs beyond the Retry-After to be served when it returns.
	returnTime = 200 * time.Millisecond
)

// Observe records whether a commit is in progress. It must be called at least every maxStep.
func (c *Commits) Observe(now time.Time, committing bool) {
	switch {
	case c.pending:
		c.waited += min(now.Sub(c.seen), maxStep)
	case committing:
		c.pending, c.since, c.waited = true, now, 0
	}
	c.seen = now
}

// Applied records that a commit was applied, or that the store has refused its content for
// good: the store answers.
func (c *Commits) Applied(now time.Time) {
	if !c.pending {
		return
	}
	took := min(c.waited+min(now.Sub(c.seen), maxStep), maxLate)
	if c.usual == 0 {
		c.usual = took
	}
	c.usual += time.Duration(usualWeight * float64(took-c.usual))
	c.pending = false
}

// Late reports whether the commits take far longer than usual. What is not part of the
// commit in progress has not run then and will not for some time.
func (c *Commits) Late() bool {
	return c.pending && c.waited > min(max(lateFactor*c.usual, minLate), maxLate)
}

// Outage returns for how long no commit has been applied although the owner tries, or 0.
func (c *Commits) Outage(now time.Time) time.Duration {
	if !c.pending {
		return 0
	}
	return now.Sub(c.since)
}

// RetryAfter returns the Retry-After of a call that had no effect, not beyond what is left of
// its caller's time: callers count that time over all their tries, so that one that is told to
// return later than that never does. It is at least a second, the least that the header can
// tell.
func RetryAfter(left, retryAfter time.Duration) time.Duration {
	return max(min(retryAfter, (left-returnTime).Truncate(time.Second)), time.Second)
}

// AnswerBy returns when a call has to be answered so that the answer reaches a caller that
// waits until a deadline.
func AnswerBy(start, deadline time.Time) time.Time {
	return deadline.Add(-min(answerTime, deadline.Sub(start)/4))
}
