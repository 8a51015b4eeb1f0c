package guavaadmission

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaobjective"
)

type (
	// Load knows the waiting work of a shard and how fast it drains. The zero value is ready
	// to use. A Load is not safe for concurrent use.
	Load struct {
		// Limited reports whether an account is held up by a limit of its own lately, so that
		// its work waits although the pool is idle. It may be nil.
		Limited func(account string) bool
		// OnlyAccounts is set if only the backlogs of accounts are bounded, not those of
		// pools and queues.
		OnlyAccounts bool

		flows      map[flowKey][]*flow
		capacities map[string]float64
		observedAt time.Time
		returns    returns
	}

	// flowKey names work that drains together.
	flowKey struct {
		level   level
		service string
		filler  bool
		name    string
	}

	level int

	// Rejection tells why a submission is rejected and when its caller returns.
	Rejection struct {
		Reason     Reason
		RetryAfter time.Duration
		// Wait is the time until it would start, Bound the longest that is of use.
		Wait, Bound time.Duration
	}

	// Backlog is the waiting work of a pool, of fillers or of all others, that has stood for a
	// time and takes another time to be started.
	Backlog struct {
		Service         string
		Filler          bool `json:",omitempty"`
		Priority        int  `json:",omitempty"`
		StoodMs, WaitMs int64
	}

	// Reason is why a submission is rejected, one of a few fixed texts.
	Reason string
)

const (
	pool level = iota
	kind
	queue
	account
)

const (
	// PoolFull is work that waits for the capacity of all workers; QueueFull and AccountFull
	// are that of one queue or account that drains more slowly.
	PoolFull    Reason = "PoolFull"
	QueueFull   Reason = "QueueFull"
	AccountFull Reason = "AccountFull"
)

const (
	// ObserveInterval is the time between two observations of the waiting work.
	ObserveInterval = 2 * slotTime
	// minEvidence is the least time for which a backlog has stood before anything is
	// rejected. The objective of the submission is the least as well.
	minEvidence = 2 * time.Second
	// busyShare is the part of a pool that is in use when it is not nearly idle.
	busyShare = 0.5
	// addedShare is the share by which a pool grows that then drains faster than was
	// observed.
	addedShare = 0.05
	// boundShare is the share of the time that a submission can wait at all and still meet
	// its objective. Durations deviate from their estimates, and with the whole time all of
	// what is accepted in an overload becomes late.
	boundShare = 0.5
	// minBound is what a rejected caller loses at the least before it returns.
	minBound = minRetryAfter
	// maxWait bounds the estimate of a wait.
	maxWait = 24 * time.Hour
	// forgetAfter is when a flow is forgotten that has had no work.
	forgetAfter = slots * slotTime
)

// Started records that work was started.
func (l *Load) Started(now time.Time, w Work) {
	for _, key := range keysOf(w) {
		for _, f := range l.of(key, w.Priority) {
			if f.priority >= w.Priority {
				f.start(now, w.Amount)
			}
		}
	}
}

// Due reports whether it is time to observe the waiting work.
func (l *Load) Due(now time.Time) bool { return now.Sub(l.observedAt) >= ObserveInterval }

// Observe records the work that waits and is served before other work, and the pools.
func (l *Load) Observe(now time.Time, waiting iter.Seq[Work], pools map[string]Pool) {
	l.observedAt = now
	amounts := make(map[*flow]float64)
	for w := range waiting {
		for _, key := range keysOf(w) {
			for _, f := range l.of(key, w.Priority) {
				if f.priority >= w.Priority {
					amounts[f] += w.Amount
				}
			}
		}
	}
	valid := l.validPools(pools)
	for key, flows := range l.flows {
		flows = slices.DeleteFunc(flows, func(f *flow) bool {
			f.observe(now, amounts[f], valid[key.service] || key.level == account && l.limited(key.name))
			return now.Sub(f.usedAt) > forgetAfter
		})
		if l.flows[key] = flows; len(flows) == 0 {
			delete(l.flows, key)
		}
	}
	l.returns.expire(now)
}

// validPools returns the pools that are busy and have not grown.
func (l *Load) validPools(pools map[string]Pool) map[string]bool {
	valid := make(map[string]bool, len(pools))
	capacities := make(map[string]float64, len(pools))
	for service, p := range pools {
		capacity, least := float64(p.Capacity.MilliCores), l.capacities[service]
		grown := capacity > least*(1+addedShare)
		if valid[service] = p.busy() && !grown; grown || capacity < least {
			least = capacity
		}
		capacities[service] = least
	}
	l.capacities = capacities
	return valid
}

func (l *Load) limited(account string) bool { return l.Limited != nil && l.Limited(account) }

// of returns the flows of a key, of which there is one for the priority.
func (l *Load) of(key flowKey, priority int) []*flow {
	flows := l.flows[key]
	if !slices.ContainsFunc(flows, func(f *flow) bool { return f.priority == priority }) {
		if l.flows == nil {
			l.flows = make(map[flowKey][]*flow)
		}
		flows = append(flows, &flow{priority: priority})
		l.flows[key] = flows
	}
	return flows
}

func keysOf(w Work) []flowKey {
	keys := []flowKey{
		{pool, w.Service, w.Filler, ""},
		{kind, w.Service, w.Filler, w.Kind},
		{queue, w.Service, w.Filler, w.Queue},
		{account, w.Service, w.Filler, w.Account},
	}
	if w.Account == "" {
		keys = keys[:account]
	}
	return keys
}

// Check returns nil if a submission should be accepted. Random is between 0 and 1.
func (l *Load) Check(now time.Time, q *guavascale.Queue, s *guavascale.Submission, random float64) *Rejection {
	if s.Repeat > 0 || now.Before(s.StartAt) || slices.ContainsFunc(s.Steps, func(st guavascale.Step) bool { return st.Service }) {
		return nil
	}
	chains := guavaobjective.Chains(s.Steps)
	objective := guavaobjective.Objective(q, chains)
	c := check{now: now, bound: Bound(objective, slices.Max(chains)), evidence: max(objective, minEvidence)}
	for i := range s.Steps {
		l.checkStep(&c, WorkOf(q, s, &s.Steps[i], s.Steps[i].Count))
	}
	if c.flow == nil {
		delete(l.returns.rejected, s.ID)
		return nil
	}
	rate, _ := c.flow.rate(now)
	after := l.returns.after(now, c.flow, s.ID, c.wait-c.bound, time.Duration(c.amount/rate*float64(time.Second)))
	return &Rejection{Reason: c.reason, RetryAfter: wholeSeconds(after, random), Wait: c.wait, Bound: c.bound}
}

// Backlogs returns the backlogs that stand, for logs.
func (l *Load) Backlogs(now time.Time) []Backlog {
	var backlogs []Backlog
	for key, flows := range l.flows {
		for _, f := range flows {
			wait, known := f.wait(now, 0)
			if key.level != pool || !known {
				continue
			}
			backlogs = append(backlogs, Backlog{
				Service: key.service, Filler: key.filler, Priority: f.priority,
				StoodMs: now.Sub(f.since).Milliseconds(), WaitMs: wait.Milliseconds(),
			})
		}
	}
	slices.SortFunc(backlogs, func(a, b Backlog) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.WaitMs, a.WaitMs), cmp.Compare(a.Priority, b.Priority))
	})
	return backlogs
}

// check is the search for the flow in which a submission waits for the longest time.
type check struct {
	now             time.Time
	bound, evidence time.Duration

	flow   *flow
	wait   time.Duration
	amount float64
	reason Reason
}

// checkStep checks one step. Work waits for the workers of its pool in the order of urgency,
// but a kind that finds workers is not delayed by others that don't.
func (l *Load) checkStep(c *check, w Work) {
	keys := keysOf(w)
	if !l.OnlyAccounts {
		if k := l.find(keys[kind], w.Priority); k == nil || !k.flows(c.now) || c.exceeds(k) {
			c.add(l.find(keys[pool], w.Priority), w.Amount, PoolFull)
		}
		c.add(l.find(keys[queue], w.Priority), w.Amount, QueueFull)
	}
	if w.Account != "" {
		c.add(l.find(keys[account], w.Priority), w.Amount, AccountFull)
	}
}

func (c *check) exceeds(f *flow) bool {
	wait, known := f.wait(c.now, c.evidence)
	return known && wait > c.bound
}

func (c *check) add(f *flow, amount float64, reason Reason) {
	if f == nil || !c.exceeds(f) {
		return
	}
	if wait, _ := f.wait(c.now, c.evidence); c.flow == nil || wait > c.wait {
		c.flow, c.wait, c.amount, c.reason = f, wait, amount, reason
	}
}

// find returns the flow of a key with the given priority, or nil.
func (l *Load) find(key flowKey, priority int) *flow {
	for _, f := range l.flows[key] {
		if f.priority == priority {
			return f
		}
	}
	return nil
}

// Bound returns for how long a submission may have to wait to be accepted. One that waits for
// longer than its objective allows becomes late, and late work isn't started while other work
// can still be in time: as long as the backlog stands, it isn't completed in three times its
// objective either.
func Bound(objective, chain time.Duration) time.Duration {
	spare := max(objective-chain, 0)
	return max(time.Duration(boundShare*float64(spare)), min(minBound, spare))
}
