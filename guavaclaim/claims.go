package guavaclaim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"

	"guavascale.example"
	"guavascale.example/guavalog"
)

// Claim claims a key. If the context ends first, the request is not sent, so
// the claim is released as soon as its record is committed. Claim fails with
// AlreadyRunError, ValidationError or UnavailableError; the latter wraps a
// FullError if the limit on keys is reached.
func (p *Partitions) Claim(ctx context.Context, key string) (guavascale.ClaimToken, error) {
	return p.ClaimAs(ctx, key, rand.Text())
}

// ClaimAs is like Claim but uses a random token ID chosen by the caller. A
// caller on another daemon can release the claim by that ID if it did not
// receive the response.
func (p *Partitions) ClaimAs(ctx context.Context, key, id string) (guavascale.ClaimToken, error) {
	if key == "" || len(key) > MaxKeyBytes {
		return guavascale.ClaimToken{}, &guavascale.ValidationError{
			Field: "Idempotency-Key", Value: key[:min(len(key), 32)], Allowed: "1 to 256 bytes",
		}
	}
	name := PartitionOf(key)
	done := make(chan error, 1)
	p.mu.Lock()
	t, err := p.activeTable(name)
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
	p.appendRecord(t, record{Kind: recordClaim, Key: key, ID: c.id}, true, func(r guavalog.Result) {
		p.handleClaimResult(t, c, r)
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

// handleClaimResult updates a claim after its record was committed or failed.
// If the record may be in the log, the key stays claimed until the log is
// recovered.
func (p *Partitions) handleClaimResult(t *keyTable, c *claim, r guavalog.Result) {
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
		p.addPendingRelease(t, c)
	}
}

// addPendingRelease schedules the release of a claim for after the next
// recovery of the log. p.mu must be held.
func (p *Partitions) addPendingRelease(t *keyTable, c *claim) {
	keys := p.pendingReleases[t.name]
	if keys == nil {
		keys = map[string]string{}
		p.pendingReleases[t.name] = keys
	}
	if len(keys) < maxPendingReleases {
		keys[c.key] = c.id
	}
}

// releasePending releases the claims of a recovered table whose requests
// certainly did not run. p.mu must be held.
func (p *Partitions) releasePending(t *keyTable) {
	keys := p.pendingReleases[t.name]
	delete(p.pendingReleases, t.name)
	for key, id := range keys {
		if c := t.keys[key]; c != nil && c.id == id {
			p.release(t, c, func(error) {})
		}
	}
}

func (p *Partitions) abandon(t *keyTable, c *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.abandoned = true
	if c.state == stateClaimed {
		p.release(t, c, func(error) {})
	}
}

// Finish records the response to the request that holds the claim. It does not
// wait for the log, because the key stays claimed even without the record.
func (p *Partitions) Finish(_ context.Context, token guavascale.ClaimToken, a guavascale.Answer) error {
	t, err := p.finish(token, a)
	if err != nil {
		return err
	}
	p.appendRecord(t, record{Kind: recordFinish, Key: token.Key, ID: token.ID}, false, nil)
	return nil
}

func (p *Partitions) finish(token guavascale.ClaimToken, a guavascale.Answer) (*keyTable, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.activeTable(token.Partition)
	if err != nil {
		return nil, unavailable("Finish", err)
	}
	c := t.keys[token.Key]
	if c == nil || c.id != token.ID || c.state != stateClaimed {
		return nil, &guavascale.NotFoundError{Kind: "claim", Name: token.Key}
	}
	a.Body = slices.Clone(a.Body)
	p.recordAnswer(c, a)
	return t, nil
}

// Release releases the claim and waits until the release is logged. It
// succeeds if the claim no longer exists.
func (p *Partitions) Release(ctx context.Context, token guavascale.ClaimToken) error {
	done := make(chan error, 1)
	p.mu.Lock()
	t, err := p.activeTable(token.Partition)
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

// release logs the release of a claim; the key can be claimed again once that
// is committed. p.mu must be held.
func (p *Partitions) release(t *keyTable, c *claim, done func(error)) {
	c.state = stateReleasing
	// A log that refuses the record runs the callback synchronously, and the
	// callback locks p.mu.
	go p.appendRecord(t, record{Kind: recordRelease, Key: c.key, ID: c.id}, true, func(r guavalog.Result) {
		p.mu.Lock()
		switch {
		case r.Err == nil:
			p.remove(t, c)
		case !r.MayHaveApplied:
			c.state = stateClaimed
			p.addPendingRelease(t, c)
		default:
			p.addPendingRelease(t, c)
		}
		p.mu.Unlock()
		done(r.Err)
	})
}

func (p *Partitions) appendRecord(t *keyTable, r record, urgent bool, done func(guavalog.Result)) {
	t.log.Append(guavalog.Entry{
		Records: []json.RawMessage{encodeRecord(r)},
		Urgent:  urgent,
		Done: func(r guavalog.Result) {
			if done != nil {
				done(r)
			}
			p.snapshotIfDue(t, r)
		},
	})
}

// snapshotIfDue starts a snapshot once enough records were logged since the
// last one.
func (p *Partitions) snapshotIfDue(t *keyTable, r guavalog.Result) {
	if r.Err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.lastSequence = max(t.lastSequence, r.Sequence)
	t.recordsSinceSnapshot++
	if t.recordsSinceSnapshot < p.opt.SnapshotRecords || t.snapshotting || p.tables[t.name] != t {
		return
	}
	p.expireKeys(t, p.opt.Clock.Now())
	sequence, value, err := t.encodeSnapshot(p.opt.Clock.Now())
	if err != nil || sequence == 0 {
		return
	}
	t.recordsSinceSnapshot = 0
	t.snapshotting = true
	go p.writeSnapshot(t, sequence, value)
}

// writeSnapshot replaces the records of the log by a snapshot. After a
// failure, the next attempt follows after the same number of records again.
func (p *Partitions) writeSnapshot(t *keyTable, sequence uint64, value []byte) {
	_ = t.log.Snapshot(context.Background(), sequence, value)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.snapshotting = false
}
