package guavascheduler

import (
	"context"
	"errors"
	"maps"
	"time"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavaowner"
)

type (
	// handover is the preparation of a release: the heir loads the rows of the shard while
	// the owner goes on serving. It is accessed like term.chain.
	handover struct {
		heir guavahandover.Daemon
		// begun and deadline bound the preparation. Ready is set once the owner need not
		// wait any more.
		begun, deadline time.Time
		ready           bool
		// searching is set while no daemon has pinged an owner that has just begun.
		searching bool
		// changes holds what was committed since the heir was told to prepare.
		changes guavahandover.Changes
	}

	// prepareIn asks a daemon to load the rows of a shard.
	prepareIn struct {
		// Heir is the process that is asked; its address may be another one's by now.
		Heir  string
		Owner string
		Epoch uint64
		// Wait is how long the sender waits for the reply.
		Wait time.Duration
	}

	// changesIn tells an heir what was committed since it was told to prepare, including
	// the rows of the release. It is sent with the release, which the heir may see in the
	// table before its owner learns that it was applied.
	changesIn struct {
		Owner string
		Epoch uint64
		// Rows are as in guavahandover.Changes.
		Rows       []guavascale.Row
		Incomplete bool
	}

	// releaseIn tells a daemon that the shard is free and that it should claim it.
	releaseIn struct {
		// Head is the head that the release has written, and Version its version.
		Head    guavaowner.Head
		Version uint64
		// Heir is the process that is told. It is not the one in the head if that one is
		// leaving.
		Heir string
	}
)

const (
	// maxPrepareTime is how long an owner waits for its heir. It leaves half of the time
	// that a daemon has to leave (guavascaled queue: 2.5 s) for the commits of the
	// release in a slow store.
	maxPrepareTime = 1200 * time.Millisecond
	// notifyTimeout is the timeout of the message to the heir. An heir that misses it
	// reads the head.
	notifyTimeout = 300 * time.Millisecond
	// referralTime is how long a former owner refers its peers to its heir.
	referralTime = 1500 * time.Millisecond
)

// mayRelease reports whether the owner should release the shard now. Before, it lets an
// heir prepare, for a bounded time.
func (t *term) mayRelease(ctx context.Context, now time.Time) bool {
	if !t.scheduler.leaving.Load() && !t.shouldYield(now) {
		return false
	}
	if t.handover == nil {
		t.handover = &handover{begun: now, deadline: now.Add(maxPrepareTime)}
		t.prepareHeir(ctx, now)
	} else if t.handover.searching {
		t.prepareHeir(ctx, now)
	}
	if !t.handover.ready && now.Before(t.handover.deadline) {
		return false
	}
	t.retiring.Store(true)
	return true
}

// prepareHeir tells the best heir to prepare, and the next one if that one declines.
func (t *term) prepareHeir(ctx context.Context, now time.Time) {
	h, s := t.handover, t.scheduler
	heir, ok := s.successors.heir(now)
	// A release without an heir makes all daemons claim the shard at once.
	if h.searching = !ok && now.Sub(t.takeover.Began) < maxSuccessorAge; h.searching {
		return
	}
	if !ok || !heir.CanPrepare() {
		h.heir, h.ready = heir, true
		return
	}
	// The heir may read rows from now on, so all later changes have to be told.
	h.heir, h.changes = heir, guavahandover.Changes{}
	in := prepareIn{Heir: heir.Instance, Owner: s.Instance, Epoch: t.engine.Token, Wait: h.deadline.Sub(now)}
	go func() {
		out, err := s.peers.call(ctx, heir.Address, methodPrepare, in.Wait, in)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			// The connection may be one to an earlier process at that address.
			s.peers.pool.Drop(heir.Address)
			out, err = s.peers.call(ctx, heir.Address, methodPrepare, in.Wait, in)
		}
		t.post(func() { t.heirAnswered(ctx, heir, out, err) })
	}()
}

// heirAnswered handles the answer of a daemon that was told to prepare.
func (t *term) heirAnswered(ctx context.Context, heir guavahandover.Daemon, out reply, err error) {
	now := t.scheduler.Clock.Now()
	declined := err == nil && out.Verdict == verdictNotOwner || err != nil && !errors.Is(err, context.DeadlineExceeded)
	t.scheduler.Log.Info().Str("Heir", heir.Instance).Bool("Ready", err == nil && out.Verdict == verdictDone).
		Dur("AfterMs", now.Sub(t.handover.begun)).Err(err).Msg("scheduler: the heir was told to prepare")
	if t.retiring.Load() {
		return
	}
	if declined && now.Before(t.handover.deadline) {
		t.scheduler.successors.leave(now, heir.Instance)
		t.prepareHeir(ctx, now)
		return
	}
	t.handover.ready = true
}

// heir returns the daemon that the release names.
func (t *term) heir() guavahandover.Daemon {
	now := t.scheduler.Clock.Now()
	if h := t.handover; h != nil && h.heir.Instance != "" && !t.scheduler.successors.isLeaving(now, h.heir.Instance) {
		return h.heir
	}
	heir, _ := t.scheduler.successors.heir(now)
	return heir
}

// recordWrites records the rows of a commit that was applied.
func (t *term) recordWrites(writes []guavascale.Write) {
	t.index.Apply(writes, t.chain.Version)
	if t.handover != nil {
		t.handover.changes.Record(writes, t.chain.Version)
	}
}

// changesFor returns the message about the changes with the writes of the release.
func (t *term) changesFor(heir *guavahandover.Daemon, writes []guavascale.Write) (changesIn, bool) {
	h := t.handover
	if h == nil || heir.Address == "" || h.heir.Instance != heir.Instance {
		return changesIn{}, false
	}
	c := guavahandover.Changes{Incomplete: h.changes.Incomplete, Rows: maps.Clone(h.changes.Rows)}
	c.Record(writes, 0)
	in := changesIn{Owner: t.scheduler.Instance, Epoch: t.chain.Epoch, Incomplete: c.Incomplete}
	for _, row := range c.Rows {
		in.Rows = append(in.Rows, row)
	}
	return in, true
}

// tellChanges tells the heir the changes with the writes of the release. An heir that
// doesn't learn of them reads all rows.
func (t *term) tellChanges(ctx context.Context, heir *guavahandover.Daemon, writes []guavascale.Write) {
	in, ok := t.changesFor(heir, writes)
	if !ok {
		return
	}
	address := heir.Address
	go func() {
		out, err := t.scheduler.peers.call(ctx, address, methodChanges, notifyTimeout, in)
		t.scheduler.Log.Info().Int("Rows", len(in.Rows)).Int("Released", len(writes)).Bool("Taken", out.Verdict == verdictDone).Err(err).
			Msg("scheduler: the heir was told the changes")
	}()
}

// notifyHeir tells the heir that the shard was released, or another daemon if the heir is
// leaving. Peers that ask this daemon are referred to it.
func (t *term) notifyHeir(ctx context.Context, heir guavahandover.Daemon) {
	s := t.scheduler
	in := releaseIn{Head: t.chain.Head, Version: t.chain.Version}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	for ok := true; ok && ctx.Err() == nil; heir, ok = s.successors.heir(s.Clock.Now()) {
		if heir.Address == "" {
			return
		}
		s.referral.Store(&referral{address: heir.Address, until: s.Clock.Now().Add(referralTime)})
		in.Heir = heir.Instance
		out, err := s.peers.call(ctx, heir.Address, methodRelease, notifyTimeout, in)
		if err == nil && out.Verdict == verdictDone {
			return
		}
		s.Log.Info().Str("Heir", heir.Instance).Err(err).Msg("scheduler: the heir was not told of the release")
		s.successors.leave(s.Clock.Now(), heir.Instance)
	}
}
