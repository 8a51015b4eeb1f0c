package guavadaemon

import (
	"context"
	"time"

	"guavascale.example"
	"guavascale.example/guavaclaim"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavalease"
)

const (
	// claimGroupCommitDelay is the group commit delay of claim partitions. It adds
	// to the latency of each request with a key, so it is shorter than that of
	// shards.
	claimGroupCommitDelay      = 20 * time.Millisecond
	claimRecoveryRetryInterval = time.Second
)

func (d *Daemon) newClaims() *guavaclaim.Router {
	iv := &d.Settings.Intervals
	return &guavaclaim.Router{
		Local: guavaclaim.NewPartitions(guavaclaim.Options{
			Table: d.Platform.Table, Objects: d.Platform.Objects, CheckLease: d.leases.Check, Clock: d.clock,
			Linger: claimGroupCommitDelay, Limiter: d.writeLimiter, KeepKeys: guavaconfig.Seconds(iv.KeySeconds),
			KeepAnswers: guavaconfig.Seconds(iv.AnswerSeconds),
		}),
		Remote: &remoteClaims{d: d, ownerAddress: d.ownerAddress},
	}
}

// handleClaimLeaseEvent starts loading a gained claim partition on the store
// pool, or unloads a lost one.
func (d *Daemon) handleClaimLeaseEvent(ctx context.Context, e guavalease.Event) {
	if e.Kind != guavalease.EventGained {
		d.claims.Local.Unload(e.Partition)
		return
	}
	d.storePool.Submit(func() { d.loadClaimPartition(ctx, e.Partition, e.Epoch) })
}

func (d *Daemon) loadClaimPartition(ctx context.Context, p guavascale.Partition, epoch uint64) {
	if lease, err := d.leases.Check(p); err != nil || lease.Epoch != epoch {
		return
	}
	err := d.claims.Local.Load(ctx, p)
	if err == nil {
		return
	}
	d.Log.Warn().Err(err).Str("Partition", string(p)).Msg("claim: reading the log failed; retrying")
	time.AfterFunc(claimRecoveryRetryInterval, func() {
		if ctx.Err() == nil {
			d.storePool.Submit(func() { d.loadClaimPartition(ctx, p, epoch) })
		}
	})
}
