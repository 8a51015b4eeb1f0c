package guavaclaim

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"guavascale.example"
	"guavascale.example/guavalog"
)

type (
	// Partitions implements Claims for the keys of the partitions that this
	// daemon owns. It is safe for concurrent use.
	Partitions struct {
		opt Options

		mu sync.Mutex
		// tables holds the table of each owned partition, nil if it is not
		// recovered.
		tables map[guavascale.Partition]*keyTable
		// recovering holds the partitions whose log is being recovered.
		recovering map[guavascale.Partition]bool
		// keys is the number of keys in all tables.
		keys int
		// pendingReleases holds, by partition and key, the IDs of claims that
		// may be in the log although their requests certainly did not run.
		// They are released after the recovery of the log.
		pendingReleases map[guavascale.Partition]map[string]string
		// answers holds the recorded responses, oldest first.
		answers     *list.List
		answerBytes int
	}
)

const (
	// recoverDelay is the delay before the log is recovered again after a
	// fault.
	recoverDelay = time.Second
	// maxPendingReleases limits the pending releases per partition. Beyond it
	// keys stay claimed, which is safe.
	maxPendingReleases = 1000
)

var (
	errNotOwner   = errors.New("this daemon does not own the partition of the key")
	errRecovering = errors.New("the partition of the key is being recovered")
	errPending    = errors.New("another change of the key is under way")
)

// NewPartitions returns a Partitions without any partition.
func NewPartitions(opt Options) *Partitions {
	return &Partitions{
		opt:             opt.withDefaults(),
		tables:          map[guavascale.Partition]*keyTable{},
		recovering:      map[guavascale.Partition]bool{},
		pendingReleases: map[guavascale.Partition]map[string]string{},
		answers:         list.New(),
	}
}

// Load recovers a partition after EventGained. It blocks. After an error the
// recovery is retried when a claim needs the partition.
func (p *Partitions) Load(ctx context.Context, name guavascale.Partition) error {
	p.mu.Lock()
	p.unloadTable(p.tables[name])
	p.tables[name] = nil
	if p.recovering[name] {
		p.mu.Unlock()
		return unavailable("Recover", errRecovering)
	}
	p.recovering[name] = true
	p.mu.Unlock()
	t, err := p.recoverTable(ctx, name)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.recovering, name)
	if _, owned := p.tables[name]; !owned || err != nil {
		return err
	}
	p.tables[name] = t
	p.keys += len(t.keys)
	p.releasePending(t)
	return nil
}

// Unload drops a partition after EventLost.
func (p *Partitions) Unload(name guavascale.Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unloadTable(p.tables[name])
	delete(p.tables, name)
	delete(p.pendingReleases, name)
}

// Owns reports whether the partition was gained and not lost since.
func (p *Partitions) Owns(name guavascale.Partition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.tables[name]
	return ok
}

// Keys returns the number of keys in memory.
func (p *Partitions) Keys() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keys
}

func (p *Partitions) recoverTable(ctx context.Context, name guavascale.Partition) (*keyTable, error) {
	log := guavalog.New(guavalog.Options{
		Partition:  name,
		Table:      p.opt.Table,
		Objects:    p.opt.Objects,
		CheckLease: p.opt.CheckLease,
		Linger:     p.opt.Linger,
		Limiter:    p.opt.Limiter,
	})
	rec, err := log.Recover(ctx)
	if err != nil {
		return nil, err
	}
	t := newTable(name, log)
	return t, t.load(rec, p.opt.Clock.Now())
}

// unloadTable clears a table and drops its recorded responses. p.mu must be held.
func (p *Partitions) unloadTable(t *keyTable) {
	if t == nil {
		return
	}
	for _, c := range t.keys {
		p.dropAnswer(c.answer)
	}
	p.keys -= len(t.keys)
	t.keys = map[string]*claim{}
	t.order.Init()
}

// activeTable returns the table of a partition for which this daemon holds a
// valid lease. A log that failed, or that was recovered in an earlier epoch,
// is recovered again in the background. p.mu must be held.
func (p *Partitions) activeTable(name guavascale.Partition) (*keyTable, error) {
	lease, err := p.opt.CheckLease(name)
	if err != nil {
		return nil, err
	}
	t, owned := p.tables[name]
	switch {
	case !owned:
		return nil, errNotOwner
	case t != nil && t.log.Err() == nil && t.log.Epoch() == lease.Epoch:
		return t, nil
	case !p.recovering[name]:
		p.unloadTable(t)
		p.tables[name] = nil
		p.recovering[name] = true
		go p.recoverLater(name)
	}
	return nil, errRecovering
}

func (p *Partitions) recoverLater(name guavascale.Partition) {
	time.Sleep(recoverDelay)
	p.mu.Lock()
	delete(p.recovering, name)
	_, owned := p.tables[name]
	p.mu.Unlock()
	if owned {
		// After a failure, the next claim triggers another recovery.
		_ = p.Load(context.Background(), name)
	}
}

// add adds a pending claim, or returns why it cannot be granted. p.mu must be
// held.
func (p *Partitions) add(t *keyTable, key, id string) (*claim, error) {
	now := p.opt.Clock.Now()
	p.expireKeys(t, now)
	if c := t.keys[key]; c != nil {
		return nil, p.alreadyRun(c)
	}
	if p.keys >= p.opt.MaxKeys {
		for _, other := range p.tables {
			p.expireKeys(other, now)
		}
	}
	if p.keys >= p.opt.MaxKeys {
		return nil, unavailable("Claim", &FullError{MaxKeys: p.opt.MaxKeys})
	}
	c := &claim{key: key, id: id, claimedAt: now, state: statePending}
	t.add(c)
	p.keys++
	return c, nil
}

func (p *Partitions) alreadyRun(c *claim) error {
	e := &guavascale.AlreadyRunError{Key: c.key}
	p.expireAnswers()
	if c.answer != nil {
		a := c.answer.answer
		e.Answer = &a
	}
	return e
}

// remove removes a claim and its recorded response. p.mu must be held.
func (p *Partitions) remove(t *keyTable, c *claim) {
	if t.keys[c.key] != c {
		return
	}
	t.remove(c)
	p.keys--
	p.dropAnswer(c.answer)
}

// expireKeys removes the claims older than KeepKeys, except those whose outcome is
// not known yet. p.mu must be held.
func (p *Partitions) expireKeys(t *keyTable, now time.Time) {
	if t == nil {
		return
	}
	var next *list.Element
	for e := t.order.Front(); e != nil; e = next {
		c := e.Value.(*claim)
		if now.Sub(c.claimedAt) < p.opt.KeepKeys {
			return
		}
		next = e.Next()
		if c.state == stateClaimed {
			p.remove(t, c)
		}
	}
}

// recordAnswer stores a response unless it is too large or the claim already
// has one. p.mu must be held.
func (p *Partitions) recordAnswer(c *claim, a guavascale.Answer) {
	if len(a.Body) > MaxAnswerBytes || c.answer != nil {
		return
	}
	r := &recordedAnswer{claim: c, answer: a, recordedAt: p.opt.Clock.Now()}
	r.element = p.answers.PushBack(r)
	c.answer = r
	p.answerBytes += len(a.Body)
	p.expireAnswers()
}

// expireAnswers drops responses that are too old, and the oldest ones while
// their total size exceeds the limit. p.mu must be held.
func (p *Partitions) expireAnswers() {
	now := p.opt.Clock.Now()
	for e := p.answers.Front(); e != nil; e = p.answers.Front() {
		r := e.Value.(*recordedAnswer)
		if now.Sub(r.recordedAt) < p.opt.KeepAnswers && p.answerBytes <= p.opt.MaxAnswerBytes {
			return
		}
		p.dropAnswer(r)
	}
}

func (p *Partitions) dropAnswer(r *recordedAnswer) {
	if r == nil || r.claim.answer != r {
		return
	}
	r.claim.answer = nil
	p.answers.Remove(r.element)
	p.answerBytes -= len(r.answer.Body)
}

func unavailable(op string, cause error) error {
	return &guavascale.UnavailableError{System: "claims", Op: op, Cause: cause}
}
