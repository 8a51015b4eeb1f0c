package guavascheduler

import (
	"context"
	"errors"
	"time"

	"guavascale.example"
	"guavascale.example/guavaclock"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaqueue"
)

// commitResult is the outcome of one attempt of a commit.
type commitResult struct {
	start   time.Time
	version uint64
	err     error
}

const (
	// commitRetryDelay is the delay before a refused commit is attempted again.
	commitRetryDelay = 50 * time.Millisecond
	// minRepeatAfter is the time without a response after which a commit is
	// attempted again. A healthy store takes 10 ms. After a successful commit the
	// time becomes repeatFactor times the commit's duration; it doubles with each
	// attempt, up to maxRepeatAfter.
	minRepeatAfter = 250 * time.Millisecond
	maxRepeatAfter = 1200 * time.Millisecond
	repeatFactor   = 4
	// attemptTimeout is the timeout of an attempt. It covers a store that is a
	// hundred times slower than a healthy one. It is not higher, so that an
	// attempt that starts during an outage occupies no connection for long.
	attemptTimeout = 1200 * time.Millisecond
	// maxOpenAttempts bounds the attempts of a commit in progress. A part of the
	// store that is slow refuses calls once a second of them is waiting.
	maxOpenAttempts = 2
	// probeInterval is the time between two reads of the head while a commit has no answer,
	// and probeTimeout that of one read: ten times what a healthy store takes. In an
	// outage of 4.2 s, both open attempts were lost with it, and the owner learned that the
	// store answers 0.8 s after it did.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
)

var errNoResponse = errors.New("the store has not responded to a commit yet")

// attemptCommit makes a commit. It returns an UnavailableError or a RefusedError only if
// the commit was definitely not applied. Ctx is the term's: after a commit that was given
// up the term makes no other, since nobody knows which of them the store applies.
func (t *term) attemptCommit(ctx context.Context, b *guavaqueue.Batch, leave bool) error {
	var writes []guavascale.Write
	if b != nil {
		writes = b.Writes
	}
	t.chain.Strongest = max(t.scheduler.successors.strongest(t.scheduler.Clock.Now()), t.scheduler.Strength)
	t.chain.Daemons = len(t.scheduler.successors.recent(t.scheduler.Clock.Now())) + 1
	t.chain.EarlierLeasesMs = remainingMs(t.leasesEnd, t.scheduler.Clock.Now())
	t.chain.CommittedMs = t.scheduler.Clock.Now().UnixMilli()
	t.promiseLeaseBound()
	heir := guavahandover.Daemon{}
	t.chain.Reason, t.chain.Rows = "", ""
	if leave {
		heir = t.heir()
		t.chain.Reason, t.chain.Rows = string(t.releaseReason()), t.index.DigestAfter(writes)
		t.tellChanges(ctx, &heir, writes)
	}
	for {
		c, err := t.chain.Next(newID(), writes, leave, heir.Instance)
		if err != nil {
			return err
		}
		applied, err := t.settle(ctx, c)
		if err == nil && applied && leave {
			t.notifyHeir(ctx, heir)
		}
		if applied || err != nil {
			return err
		}
	}
}

// settle sends a commit until its outcome is known. It repeats an attempt without a
// response but still waits for the response, since the store may only be slow. All
// attempts have the same condition, so at most one is applied. It returns false without
// an error if the condition is out of date.
func (t *term) settle(ctx context.Context, c guavascale.Commit) (applied bool, err error) {
	firstStart := t.scheduler.Clock.Now()
	results := make(chan commitResult, maxOpenAttempts+1)
	// latest is when the latest attempt started. extra is set if the store answers again,
	// but not the attempts that are open, which may be lost.
	latest, extra := firstStart, false
	// open counts the attempts without a result. mayHaveApplied is set if one has
	// ended with an unknown outcome.
	open, mayHaveApplied := 0, false
	// overloaded is set while the store has refused a copy since there are too many calls.
	// Another one would be refused as well and delay the one that waits.
	overloaded := false
	t.repeatCommitAfter = min(max(t.repeatCommitAfter, minRepeatAfter), maxRepeatAfter)
	answered, stopProbes := t.probe(ctx, t.repeatCommitAfter)
	defer stopProbes()
	for {
		if open == 0 || (open < maxOpenAttempts || extra && open == maxOpenAttempts) && !overloaded {
			open++
			latest = t.scheduler.Clock.Now()
			go func() { results <- t.commitOnce(ctx, c) }()
		}
		var res commitResult
		var ok bool
		reads := answered
		if open > maxOpenAttempts || overloaded {
			// An answered read would start no attempt, only the wait again.
			reads = nil
		}
		res, ok, extra = awaitResult(ctx, results, reads, latest.Add(probeTimeout), t.repeatCommitAfter)
		switch {
		case ctx.Err() != nil:
			return false, ctx.Err()
		case extra:
			t.scheduler.meters.count("commit.Extra", 1)
			continue
		case !ok:
			t.recordFailure(errNoResponse)
			t.repeatCommitAfter = min(2*t.repeatCommitAfter, maxRepeatAfter)
			overloaded = false
			continue
		}
		open--
		if res.err == nil {
			t.finishAttempt(res)
			return true, nil
		}
		var conditionErr *guavascale.ConditionError
		if errors.As(res.err, &conditionErr) {
			applied, err := t.resolveCommit(ctx)
			if err == nil && applied {
				t.recordCommit(firstStart)
			}
			return applied, err
		}
		t.recordFailure(res.err)
		if isRefusal(res.err) {
			return t.settleRefusal(ctx, firstStart, res.err, mayHaveApplied || open > 0)
		}
		var unavailable *guavascale.UnavailableError
		mayHaveApplied = mayHaveApplied || !errors.As(res.err, &unavailable) || unavailable.MayHaveApplied
		if !mayHaveApplied && open == 0 {
			t.chain.Refused()
			return false, res.err
		}
		overloaded = isOverloaded(res.err)
		sleep(ctx, retryDelayAfter(res.err, commitRetryDelay))
	}
}

// promiseLeaseBound adds the bound of leases to the head once the leases of all earlier
// owners must have ended, which may be of a version without the bound.
func (t *term) promiseLeaseBound() {
	s := t.scheduler
	if t.chain.LeaseBoundMs == 0 && s.Clock.Now().Sub(t.startedAt) > s.Limits.OwnerLease+guavaclock.LongestLease(s.Limits.LeaseMax)+guavaclock.ExpiryMargin {
		t.chain.LeaseBoundMs = leaseBound.Milliseconds()
	}
}

// awaitResult waits for a result. It returns false if there is none after d. Extra is set
// if the store has answered a read instead that started after the given time.
func awaitResult(ctx context.Context, results <-chan commitResult, answered <-chan time.Time, since time.Time, d time.Duration) (res commitResult, ok, extra bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case res = <-results:
			return res, true, false
		case read := <-answered:
			if read.After(since) {
				return commitResult{}, false, true
			}
		case <-timer.C:
			return commitResult{}, false, false
		case <-ctx.Done():
			return commitResult{}, false, false
		}
	}
}

// probe reads the head again and again, beginning after a time, until stop is called. It sends
// the start time of each read that the store has answered.
func (t *term) probe(ctx context.Context, after time.Duration) (answered <-chan time.Time, stop func()) {
	ctx, stop = context.WithCancel(ctx)
	reads := make(chan time.Time, 1)
	go func() {
		sleep(ctx, after)
		for ctx.Err() == nil {
			start := t.scheduler.Clock.Now()
			if _, _, err := t.scheduler.readHead(ctx, probeTimeout); err == nil {
				select {
				case reads <- start:
				default:
				}
			}
			sleep(ctx, probeInterval)
		}
	}()
	return reads, stop
}

func (t *term) commitOnce(ctx context.Context, c guavascale.Commit) commitResult {
	res := commitResult{start: t.scheduler.Clock.Now()}
	res.version, res.err = t.scheduler.commit(ctx, c, attemptTimeout)
	return res
}

// finishAttempt records an attempt that was applied.
func (t *term) finishAttempt(res commitResult) {
	took := t.scheduler.Clock.Now().Sub(res.start)
	t.repeatCommitAfter = repeatFactor * took
	t.scheduler.meters.recordDuration("commit", took)
	t.chain.Applied(res.version)
	t.recordCommit(res.start)
	t.outage.recovered(t.scheduler.Log)
}

// recordFailure records an attempt that was refused or has no response.
func (t *term) recordFailure(err error) {
	t.failures.Add(1)
	t.scheduler.meters.count("commit.Failed", 1)
	t.outage.failed(t.scheduler.Log, t.scheduler.Clock.Now(), err)
}
