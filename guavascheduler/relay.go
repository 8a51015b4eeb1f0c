package guavascheduler

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"guavascale.example/guavaorder"
	"guavascale.example/guavarelay"
)

// relaySession is a stream on which this daemon makes calls for an owner.
type relaySession struct {
	relay  *guavarelay.Relay
	owner  string
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	// inviteInterval is the time between choices of the daemons that should be relays.
	inviteInterval = time.Second
	// firstInviteInterval applies in the first firstInviteTime of a term, while the daemons
	// find the owner: until they are relays, it makes all calls itself.
	firstInviteInterval = 100 * time.Millisecond
	firstInviteTime     = 5 * time.Second
)

func (t *term) newHub() guavarelay.Hub {
	return guavarelay.Hub{
		Token: t.engine.Token, Clock: t.scheduler.Clock, Log: t.scheduler.Log, Post: t.post,
		Answer: func(o guavaorder.Order, out guavaorder.Outcome, at time.Time) {
			t.scheduler.meters.order(o, out, at.Sub(o.Sent))
			t.answer(o, out, at)
		},
	}
}

// relayUntil returns the time by which a relay must have sent an order. The host of a
// relay may be in touch with the platform while the owner's is not, so a relay starts
// runs only while no other daemon can own the shard and the list of workers is recent, and on
// a worker that doesn't guard its capacity only while that can't have shrunk.
func (t *term) relayUntil(o *guavaorder.Order) time.Time {
	until := o.Sent.Add(maxOrderAge)
	committed := time.Unix(0, t.lastCommit.Load())
	if o.Kind != guavaorder.Start {
		return earlier(until, committed.Add(t.scheduler.Limits.OwnerLease))
	}
	until = earlier(until, committed.Add(readLease))
	if maxAge := t.scheduler.MaxListAge; maxAge > 0 {
		until = earlier(until, time.Unix(0, t.listAsOf.Load()).Add(maxAge))
	}
	if maxAge := t.scheduler.MaxCapacityAge; maxAge > 0 && !t.scheduler.catalog.Load().Guards(o.Worker.Service) {
		until = earlier(until, time.Unix(0, t.listAsOf.Load()).Add(maxAge))
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// inviteRelays chooses the daemons that should be relays. They learn of it when they
// ping the owner.
func (t *term) inviteRelays(now time.Time) {
	interval := inviteInterval
	if now.Sub(t.startedAt) < firstInviteTime {
		interval = firstInviteInterval
	}
	if now.Sub(t.invitedAt) < interval {
		return
	}
	t.invitedAt = now
	workers := t.hub.WorkersByZone()
	total := 0
	for _, n := range workers {
		total += n
	}
	if guavarelay.CanCallDirectly(t.scheduler.Strength, total) {
		t.invited.Store(nil)
		return
	}
	candidates := slices.DeleteFunc(t.scheduler.successors.relayCandidates(now), func(c guavarelay.Candidate) bool { return !t.hub.MayJoin(c.Instance) })
	chosen := guavarelay.Choose(workers, candidates, t.hub.Connected())
	t.invited.Store(&chosen)
}

// invites reports whether the owner wants a daemon as a relay.
func (t *term) invites(instance string) bool {
	invited := t.invited.Load()
	return invited != nil && (*invited)[instance]
}

// serveRelay passes a relay that has connected to the term of this daemon.
func (s *Scheduler) serveRelay(conn net.Conn, r *bufio.Reader) {
	stream, err := guavarelay.ReadHello(conn, r)
	if err != nil {
		s.Log.Warn().Err(err).Msg("scheduler: rejected a relay")
	}
	t := s.term.Load()
	if err != nil || t == nil || !t.post(func() { t.hub.Join(conn, stream) }) {
		_ = conn.Close()
	}
}

// updateRelay makes this daemon a relay of the owner at an address if it is invited,
// and ends its work for any other owner.
func (s *Scheduler) updateRelay(ctx context.Context, owner string, invited bool) {
	if old := s.relay.Load(); old != nil {
		select {
		case <-old.done:
		default:
			if old.owner == owner {
				return
			}
			old.cancel()
		}
		s.relay.Store(nil)
	}
	if !invited || s.leaving.Load() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	session := &relaySession{owner: owner, cancel: cancel, done: make(chan struct{}), relay: &guavarelay.Relay{
		Instance: s.Instance, Zone: s.Zone, Strength: s.Strength, Runner: s.Runner, Clock: s.Clock, Log: s.Log,
	}}
	s.relay.Store(session)
	go func() {
		defer close(session.done)
		defer cancel()
		err := session.relay.Run(ctx, owner)
		if err != nil && !errors.Is(err, context.Canceled) {
			s.Log.Info().Str("Owner", owner).Err(err).Msg("scheduler: no longer a relay of the owner")
		}
	}()
}
