package guavaclaim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"

	"guavascale.example"
	"guavascale.example/guavalog"
)

// Claim claims a key. When the context ends first, the claim is given back as
// soon as its record is committed, since nothing was sent. It fails with
// AlreadyRunError, ValidationError or UnavailableError; a full table wraps
// FullError in the latter.
func (p *Partitions) Claim(ctx context.Context, key string) (guavascale.ClaimToken, error) {
	return p.ClaimAs(ctx, key, rand.Text())
}

// ClaimAs is Claim with a random token ID of the caller's. A caller on another
// daemon whose answer was lost releases the claim by that ID.
func (p *Partitions) ClaimAs(ctx context.Context, key, id string) (guavascale.ClaimToken, error) {
	if key == "" || len(key) > MaxKeyBytes {
		return guavascale.ClaimToken{}, &guavascale.ValidationError{
			Field: "Idempotency-Key", Value: key[:min(len(key), 32)], Allowed: "1 to 256 bytes",
		}
	}
	name := PartitionOf(key)
	done := make(chan error, 1)
	p.mu.Lock()
	t, err := p.open(name)
	if err != nil {
		p.mu.Unlock()
		return guavascale.ClaimToken{}, unavailable("Claim", err)
	}
	c, err := p.add(t, key, id)
	p.mu.Unlock()
	if err != nil {
		return guavascale.ClaimToken{}, err
	}
	token := guavascale.ClaimToken{Key: key, Partition: name, Epoch: t.log.Epoch(), ID: c.id}
	p.append(t, record{Kind: recordClaim, Key: key, ID: c.id}, true, func(r guavalog.Result) {
		p.claimed(t, c, r)
		done <- r.Err
	})
	select {
	case err = <-done:
		if err != nil {
			return guavascale.ClaimToken{}, unavailable("Claim", err)
		}
		return token, nil
	case <-ctx.Done():
		p.abandon(t, c)
		return guavascale.ClaimToken{}, unavailable("Claim", ctx.Err())
	}
}

// claimed settles a claim whose record was committed or failed. A record that
// may be in the log keeps its key taken until the log is recovered.
func (p *Partitions) claimed(t *table, c *claim, r guavalog.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Err == nil:
		c.state = stateClaimed
		if c.abandoned {
			p.release(t, c, func(error) {})
		}
	case !r.MayHaveApplied:
		p.remove(t, c)
	default:
		p.noteUnsent(t, c)
	}
}

// noteUnsent remembers a claim that has to be given back once the log has been
// recovered. p.mu is held.
func (p *Partitions) noteUnsent(t *table, c *claim) {
	keys := p.unsent[t.name]
	if keys == nil {
		keys = map[string]string{}
		p.unsent[t.name] = keys
	}
	if len(keys) < maxUnsent {
		keys[c.key] = c.id
	}
}

// releaseUnsent gives back the claims of a recovered table that were never
// used. p.mu is held.
func (p *Partitions) releaseUnsent(t *table) {
	keys := p.unsent[t.name]
	delete(p.unsent, t.name)
	for key, id := range keys {
		if c := t.keys[key]; c != nil && c.id == id {
			p.release(t, c, func(error) {})
		}
	}
}

func (p *Partitions) abandon(t *table, c *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.abandoned = true
	if c.state == stateClaimed {
		p.release(t, c, func(error) {})
	}
}

// Finish records the answer of the request that holds the claim. It does not
// wait for the log: without the record the key stays taken all the same.
func (p *Partitions) Finish(_ context.Context, token guavascale.ClaimToken, a guavascale.Answer) error {
	t, err := p.finish(token, a)
	if err != nil {
		return err
	}
	p.append(t, record{Kind: recordFinish, Key: token.Key, ID: token.ID}, false, nil)
	return nil
}

func (p *Partitions) finish(token guavascale.ClaimToken, a guavascale.Answer) (*table, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.open(token.Partition)
	if err != nil {
		return nil, unavailable("Finish", err)
	}
	c := t.keys[token.Key]
	if c == nil || c.id != token.ID || c.state != stateClaimed {
		return nil, &guavascale.NotFoundError{Kind: "claim", Name: token.Key}
	}
	a.Body = slices.Clone(a.Body)
	p.record(c, a)
	return t, nil
}

// Release gives the claim back and waits until that is logged. Releasing a
// claim that does not exist any more succeeds.
func (p *Partitions) Release(ctx context.Context, token guavascale.ClaimToken) error {
	done := make(chan error, 1)
	p.mu.Lock()
	t, err := p.open(token.Partition)
	if err != nil {
		p.mu.Unlock()
		return unavailable("Release", err)
	}
	c := t.keys[token.Key]
	switch {
	case c == nil || c.id != token.ID:
		p.mu.Unlock()
		return nil
	case c.state != stateClaimed:
		p.mu.Unlock()
		return unavailable("Release", errPending)
	}
	p.release(t, c, func(err error) { done <- err })
	p.mu.Unlock()
	select {
	case err := <-done:
		if err != nil {
			return unavailable("Release", err)
		}
		return nil
	case <-ctx.Done():
		return unavailable("Release", ctx.Err())
	}
}

// release logs the end of a claim; the key is free once that is committed.
// p.mu is held.
func (p *Partitions) release(t *table, c *claim, done func(error)) {
	c.state = stateReleasing
	// The log calls back at once when it refuses, and that needs p.mu.
	go p.append(t, record{Kind: recordRelease, Key: c.key, ID: c.id}, true, func(r guavalog.Result) {
		p.mu.Lock()
		switch {
		case r.Err == nil:
			p.remove(t, c)
		case !r.MayHaveApplied:
			c.state = stateClaimed
			p.noteUnsent(t, c)
		default:
			p.noteUnsent(t, c)
		}
		p.mu.Unlock()
		done(r.Err)
	})
}

func (p *Partitions) append(t *table, r record, urgent bool, done func(guavalog.Result)) {
	t.log.Append(guavalog.Entry{
		Records: []json.RawMessage{encodeRecord(r)},
		Urgent:  urgent,
		Done: func(r guavalog.Result) {
			if done != nil {
				done(r)
			}
			p.appended(t, r)
		},
	})
}

// appended starts a snapshot when enough records were logged since the last.
func (p *Partitions) appended(t *table, r guavalog.Result) {
	if r.Err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.last = max(t.last, r.Sequence)
	t.records++
	if t.records < p.opt.SnapshotRecords || t.snapshoting || p.tables[t.name] != t {
		return
	}
	p.expire(t, p.opt.Clock.Now())
	sequence, value, err := t.state(p.opt.Clock.Now())
	if err != nil || sequence == 0 {
		return
	}
	t.records = 0
	t.snapshoting = true
	go p.snapshot(t, sequence, value)
}

// snapshot replaces the log's records. After a failure the next one is started
// after as many records again.
func (p *Partitions) snapshot(t *table, sequence uint64, value []byte) {
	_ = t.log.Snapshot(context.Background(), sequence, value)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.snapshoting = false
}
