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
		// tables holds a nil table for a partition that is not recovered.
		tables map[guavascale.Partition]*table
		// opening holds the partitions whose log is being recovered.
		opening map[guavascale.Partition]bool
		// keys counts the keys of all tables.
		keys int
		// unsent holds, by partition and key, the IDs of claims that may be in
		// the log although their requests certainly did not run. They are given
		// back after the log was recovered.
		unsent map[guavascale.Partition]map[string]string
		// answers holds the recorded answers, oldest first.
		answers     *list.List
		answerBytes int
	}
)

const (
	// reopenDelay is the least time between two recoveries of a log after a
	// fault.
	reopenDelay = time.Second
	// maxUnsent bounds the claims of a partition that wait to be given back.
	// Beyond it keys stay taken, which is safe.
	maxUnsent = 1000
)

var (
	errNotOwner = errors.New("this daemon does not own the partition of the key")
	errOpening  = errors.New("the partition of the key is being recovered")
	errPending  = errors.New("another change of the key is under way")
)

// NewPartitions returns Partitions that own nothing.
func NewPartitions(opt Options) *Partitions {
	return &Partitions{
		opt:     opt.withDefaults(),
		tables:  map[guavascale.Partition]*table{},
		opening: map[guavascale.Partition]bool{},
		unsent:  map[guavascale.Partition]map[string]string{},
		answers: list.New(),
	}
}

// Gain recovers a partition after EventGained. It blocks. After an error the
// recovery is repeated when a claim asks for the partition.
func (p *Partitions) Gain(ctx context.Context, name guavascale.Partition) error {
	p.mu.Lock()
	p.drop(p.tables[name])
	p.tables[name] = nil
	if p.opening[name] {
		p.mu.Unlock()
		return unavailable("Recover", errOpening)
	}
	p.opening[name] = true
	p.mu.Unlock()
	t, err := p.recover(ctx, name)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opening, name)
	if _, owned := p.tables[name]; !owned || err != nil {
		return err
	}
	p.tables[name] = t
	p.keys += len(t.keys)
	p.releaseUnsent(t)
	return nil
}

// Lose drops a partition after EventLost.
func (p *Partitions) Lose(name guavascale.Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(p.tables[name])
	delete(p.tables, name)
	delete(p.unsent, name)
}

// Owns reports whether the partition was gained and not lost.
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

func (p *Partitions) recover(ctx context.Context, name guavascale.Partition) (*table, error) {
	log := guavalog.New(guavalog.Options{
		Partition: name,
		Table:     p.opt.Table,
		Objects:   p.opt.Objects,
		Right:     p.opt.Right,
		Linger:    p.opt.Linger,
		Limiter:   p.opt.Limiter,
	})
	rec, err := log.Recover(ctx)
	if err != nil {
		return nil, err
	}
	t := newTable(name, log)
	return t, t.load(rec, p.opt.Clock.Now())
}

// drop forgets a table and its answers. p.mu is held.
func (p *Partitions) drop(t *table) {
	if t == nil {
		return
	}
	for _, c := range t.keys {
		p.forgetAnswer(c.answer)
	}
	p.keys -= len(t.keys)
	t.keys = map[string]*claim{}
	t.order.Init()
}

// open returns the table of a partition for which this daemon may act now. A
// log that broke, or that was recovered under an earlier ownership, is recovered
// again in the background. p.mu is held.
func (p *Partitions) open(name guavascale.Partition) (*table, error) {
	right, err := p.opt.Right(name)
	if err != nil {
		return nil, err
	}
	t, owned := p.tables[name]
	switch {
	case !owned:
		return nil, errNotOwner
	case t != nil && t.log.Err() == nil && t.log.Epoch() == right.Epoch:
		return t, nil
	case !p.opening[name]:
		p.drop(t)
		p.tables[name] = nil
		p.opening[name] = true
		go p.reopen(name)
	}
	return nil, errOpening
}

func (p *Partitions) reopen(name guavascale.Partition) {
	time.Sleep(reopenDelay)
	p.mu.Lock()
	delete(p.opening, name)
	_, owned := p.tables[name]
	p.mu.Unlock()
	if owned {
		// A failure shows at the next claim, which starts this again.
		_ = p.Gain(context.Background(), name)
	}
}

// add adds a claim in state pending, or tells why it cannot be granted.
// p.mu is held.
func (p *Partitions) add(t *table, key, id string) (*claim, error) {
	now := p.opt.Clock.Now()
	p.expire(t, now)
	if c := t.keys[key]; c != nil {
		return nil, p.taken(c)
	}
	if p.keys >= p.opt.MaxKeys {
		for _, other := range p.tables {
			p.expire(other, now)
		}
	}
	if p.keys >= p.opt.MaxKeys {
		return nil, unavailable("Claim", &FullError{MaxKeys: p.opt.MaxKeys})
	}
	c := &claim{key: key, id: id, at: now, state: statePending}
	t.add(c)
	p.keys++
	return c, nil
}

func (p *Partitions) taken(c *claim) error {
	e := &guavascale.AlreadyRunError{Key: c.key}
	p.expireAnswers()
	if c.answer != nil {
		a := c.answer.answer
		e.Answer = &a
	}
	return e
}

// remove forgets a claim. p.mu is held.
func (p *Partitions) remove(t *table, c *claim) {
	if t.keys[c.key] != c {
		return
	}
	t.remove(c)
	p.keys--
	p.forgetAnswer(c.answer)
}

// expire forgets the keys whose time is over. p.mu is held.
func (p *Partitions) expire(t *table, now time.Time) {
	if t == nil {
		return
	}
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		c := e.Value.(*claim)
		if now.Sub(c.at) < p.opt.KeepKeys || c.state != stateClaimed {
			return
		}
		p.remove(t, c)
	}
}

// record keeps an answer within the bounds. p.mu is held.
func (p *Partitions) record(c *claim, a guavascale.Answer) {
	if len(a.Body) > MaxAnswerBytes || c.answer != nil {
		return
	}
	r := &recorded{claim: c, answer: a, at: p.opt.Clock.Now()}
	r.order = p.answers.PushBack(r)
	c.answer = r
	p.answerBytes += len(a.Body)
	p.expireAnswers()
}

// expireAnswers drops answers that are too old or beyond the bound on bytes.
// p.mu is held.
func (p *Partitions) expireAnswers() {
	now := p.opt.Clock.Now()
	for e := p.answers.Front(); e != nil; e = p.answers.Front() {
		r := e.Value.(*recorded)
		if now.Sub(r.at) < p.opt.KeepAnswers && p.answerBytes <= p.opt.MaxAnswerBytes {
			return
		}
		p.forgetAnswer(r)
	}
}

func (p *Partitions) forgetAnswer(r *recorded) {
	if r == nil || r.claim.answer != r {
		return
	}
	r.claim.answer = nil
	p.answers.Remove(r.order)
	p.answerBytes -= len(r.answer.Body)
}

func unavailable(op string, cause error) error {
	return &guavascale.UnavailableError{System: "claims", Op: op, Cause: cause}
}
