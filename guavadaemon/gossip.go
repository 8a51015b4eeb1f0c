package guavadaemon

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"guavascale.example"
	"guavascale.example/guavaclaim"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavapeer"
)

type (
	// peerHandler handles the calls of peers.
	peerHandler struct{ d *Daemon }

	// remoteClaims forwards claim operations to the daemons that own the claim
	// partitions.
	remoteClaims struct {
		d *Daemon
		// ownerAddress returns the peer address of a partition's owner.
		ownerAddress func(guavascale.Partition) (string, error)
	}
)

const (
	// minGossipInterval limits the rate of gossip rounds caused by urgent changes.
	minGossipInterval = 200 * time.Millisecond
	// seedExchangeInterval is the time between exchanges with a seed peer. They
	// reconnect groups of daemons that have lost contact with each other.
	seedExchangeInterval = 10 * time.Second
	// A claim whose response was lost may still be in progress at its owner, so it
	// is released only after a delay.
	releaseAttempts      = 3
	releaseRetryInterval = time.Second
)

var _ guavaclaim.Remote = (*remoteClaims)(nil)

// gossip exchanges state with peers in periodic rounds. It starts a round early
// when a newer configuration was adopted or a daemon or endpoint is leaving.
func (d *Daemon) gossip(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ticker := time.NewTicker(guavaconfig.Seconds(d.Settings.Intervals.GossipSeconds))
	defer ticker.Stop()
	var nextSeedExchange time.Time
	for {
		now := d.clock.Now()
		if cfg, ok := d.watcher.Config(); ok {
			d.members.SetConfig(cfg.Version)
		}
		targets := d.members.Targets(now, rng)
		if len(d.Settings.SeedPeers) > 0 && (len(targets) == 0 || now.After(nextSeedExchange)) {
			seed := d.Settings.SeedPeers[rng.IntN(len(d.Settings.SeedPeers))]
			if seed != d.addresses.Peer && !slices.Contains(targets, seed) {
				targets = append(targets, seed)
			}
			nextSeedExchange = now.Add(seedExchangeInterval)
		}
		for _, addr := range targets {
			d.peerPool.Submit(func() { d.exchange(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.gossipNow:
			if !sleep(ctx, minGossipInterval-d.clock.Now().Sub(now)) {
				return
			}
		}
	}
}

// sleep waits for the duration and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// triggerGossip starts a gossip round without waiting for the next interval.
func (d *Daemon) triggerGossip() {
	select {
	case d.gossipNow <- struct{}{}:
	default:
	}
}

func (d *Daemon) exchange(ctx context.Context, addr string) {
	peer, err := d.peers.Exchange(ctx, addr, &d.members, d.clock)
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.members.ConnectionRefused(addr)
	}
	if err != nil {
		d.Log.Debug().Err(err).Str("Peer", addr).Msg("peer: gossip exchange failed")
	}
	d.handleExchange(ctx, peer)
}

// handleExchange acts on the result of an exchange. It fetches a newer
// configuration from the peer that has it. This does not extend the authority to
// start tasks, which only a read of the store does.
func (d *Daemon) handleExchange(ctx context.Context, peer guavapeer.PeerUpdate) {
	if peer.Urgent {
		d.triggerGossip()
	}
	if cfg, _ := d.watcher.Config(); cfg.Version >= peer.ConfigVersion || peer.Address == "" {
		return
	}
	next, err := d.peers.Config(ctx, peer.Address)
	if err != nil || next == nil {
		return
	}
	if d.watcher.Accept(*next) {
		d.Log.Info().Uint64("Version", next.Version).Str("From", peer.Address).Msg("config: adopted from a peer")
	}
}

func (h *peerHandler) Config() *guavascale.Config {
	cfg, ok := h.d.watcher.Config()
	if !ok {
		return nil
	}
	return &cfg
}

func (h *peerHandler) HandlePeerUpdate(m guavapeer.PeerUpdate) {
	h.d.peerPool.Submit(func() { h.d.handleExchange(context.Background(), m) })
}

func (h *peerHandler) Claims() guavapeer.ClaimOwner { return h.d.claims.Local }

// Work collects the tasks, jobs and workers of the owned shards on the control
// goroutine.
func (h *peerHandler) Work(ctx context.Context) (guavascale.Work, error) {
	done := make(chan guavascale.Work, 1)
	h.d.mailbox.post(func() {
		var w guavascale.Work
		for _, o := range h.d.control.shards {
			if o.shard == nil {
				continue
			}
			w.Tasks = append(w.Tasks, o.shard.Tasks()...)
			w.Jobs = append(w.Jobs, o.shard.Jobs()...)
			w.Workers = append(w.Workers, o.shard.Workers()...)
		}
		done <- w
	})
	select {
	case w := <-done:
		return w, nil
	case <-ctx.Done():
		return guavascale.Work{}, ctx.Err()
	}
}

func (d *Daemon) ownerAddress(p guavascale.Partition) (string, error) {
	row, ok := d.leases.Leases().Owner(p)
	if !ok || row.Address == "" {
		return "", &guavascale.LeaseError{Partition: p, Reason: "no daemon owns the partition"}
	}
	return row.Address, nil
}

func (r *remoteClaims) Claim(ctx context.Context, p guavascale.Partition, key string) (guavascale.ClaimToken, error) {
	addr, err := r.ownerAddress(p)
	if err != nil {
		return guavascale.ClaimToken{}, err
	}
	id := crand.Text()
	t, err := r.d.peers.Claim(ctx, addr, key, id)
	var unavailable *guavascale.UnavailableError
	if errors.As(err, &unavailable) && unavailable.MayHaveApplied {
		// The claim may have been granted. Its request is not sent to an
		// instance, so the key must be released.
		lost := guavascale.ClaimToken{Key: key, Partition: p, ID: id}
		_ = r.d.releasePool.Go(func() { r.releaseLostClaim(lost) })
	}
	return t, err
}

// releaseLostClaim releases a claim whose response was lost. If this fails, the
// key stays claimed, which is safe: a repeated request is refused, since it may
// have run.
func (r *remoteClaims) releaseLostClaim(t guavascale.ClaimToken) {
	for range releaseAttempts {
		time.Sleep(releaseRetryInterval)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := r.Release(ctx, t)
		cancel()
		if err == nil {
			return
		}
	}
	r.d.Log.Warn().Str("Partition", string(t.Partition)).Msg("claim: releasing a claim whose response was lost failed")
}

func (r *remoteClaims) Finish(ctx context.Context, t guavascale.ClaimToken, a guavascale.Answer) error {
	addr, err := r.ownerAddress(t.Partition)
	if err != nil {
		return err
	}
	return r.d.peers.Finish(ctx, addr, t, a)
}

func (r *remoteClaims) Release(ctx context.Context, t guavascale.ClaimToken) error {
	addr, err := r.ownerAddress(t.Partition)
	if err != nil {
		return err
	}
	return r.d.peers.Release(ctx, addr, t)
}
