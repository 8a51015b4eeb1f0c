package guavaclaim

import (
	"context"
	"errors"

	"guavascale.example"
)

type (
	// Remote sends calls to the owners of partitions on other daemons.
	// Implementations are safe for concurrent use and return the owner's
	// errors with their types. A call whose response was lost fails with
	// UnavailableError.
	Remote interface {
		// Claim claims a key at the owner of p.
		Claim(ctx context.Context, p guavascale.Partition, key string) (guavascale.ClaimToken, error)
		// Finish records the response at the owner of t.Partition.
		Finish(ctx context.Context, t guavascale.ClaimToken, a guavascale.Answer) error
		// Release releases a claim at the owner of t.Partition.
		Release(ctx context.Context, t guavascale.ClaimToken) error
	}

	// Router implements Claims for the whole key space. Partitions that this
	// daemon owns are served by Local, all others by Remote.
	Router struct {
		Local  *Partitions
		Remote Remote
	}
)

var (
	_ guavascale.Claims = (*Router)(nil)
	_ guavascale.Claims = (*Partitions)(nil)

	errNoRemote = errors.New("another daemon owns the partition and no connection is set up")
)

// Claim claims a key at the owner of its partition.
func (r *Router) Claim(ctx context.Context, key string) (guavascale.ClaimToken, error) {
	p := PartitionOf(key)
	switch {
	case r.Local != nil && r.Local.Owns(p):
		return r.Local.Claim(ctx, key)
	case r.Remote == nil:
		return guavascale.ClaimToken{}, unavailable("Claim", errNoRemote)
	default:
		return r.Remote.Claim(ctx, p, key)
	}
}

// Finish records the response to a request at the owner of its key.
func (r *Router) Finish(ctx context.Context, t guavascale.ClaimToken, a guavascale.Answer) error {
	switch {
	case r.Local != nil && r.Local.Owns(t.Partition):
		return r.Local.Finish(ctx, t, a)
	case r.Remote == nil:
		return unavailable("Finish", errNoRemote)
	default:
		return r.Remote.Finish(ctx, t, a)
	}
}

// Release releases a claim at the owner of its key.
func (r *Router) Release(ctx context.Context, t guavascale.ClaimToken) error {
	switch {
	case r.Local != nil && r.Local.Owns(t.Partition):
		return r.Local.Release(ctx, t)
	case r.Remote == nil:
		return unavailable("Release", errNoRemote)
	default:
		return r.Remote.Release(ctx, t)
	}
}
