package guavalease

import (
	"sync/atomic"
	"time"

	"guavascale.example"
)

type (
	// Right is the right to act for one partition.
	Right struct {
		Epoch uint64
		// Owner is the condition that each commit of the owner carries.
		Owner guavascale.Condition
		// Until is the end of the right unless the session is renewed.
		Until time.Time
	}

	// Rights answers whether this daemon may act for a partition. It is safe
	// for concurrent use; the zero value grants nothing.
	Rights struct {
		snapshot atomic.Pointer[snapshot]
	}

	// snapshot is immutable once published.
	snapshot struct {
		until  time.Time
		held   map[guavascale.Partition]Right
		owners map[guavascale.Partition]OwnerRow
	}
)

// May returns the right to act for p at the given time, or a LeaseError. It is
// to be called immediately before each action, with the clock read for it.
func (r *Rights) May(now time.Time, p guavascale.Partition) (Right, error) {
	s := r.snapshot.Load()
	if s == nil {
		return Right{}, &guavascale.LeaseError{Partition: p, Reason: "no session"}
	}
	right, ok := s.held[p]
	if !ok {
		return Right{}, &guavascale.LeaseError{Partition: p, Reason: "not the owner"}
	}
	if !now.Before(s.until) {
		return Right{}, &guavascale.LeaseError{Partition: p, Reason: "the session lease lapsed"}
	}
	right.Until = s.until
	return right, nil
}

// Owner returns the owner of p as the last scan saw it; it may be out of date
// and proves no right.
func (r *Rights) Owner(p guavascale.Partition) (OwnerRow, bool) {
	s := r.snapshot.Load()
	if s == nil {
		return OwnerRow{}, false
	}
	row, ok := s.owners[p]
	return row, ok
}

// Known returns the partitions that have an owner row, released or not, as the
// last scan saw it, in no order.
func (r *Rights) Known() []guavascale.Partition {
	s := r.snapshot.Load()
	if s == nil {
		return nil
	}
	known := make([]guavascale.Partition, 0, len(s.owners))
	for p := range s.owners {
		known = append(known, p)
	}
	return known
}

// Held returns the partitions that this daemon owns, in no order, whether or
// not the session's right has lapsed.
func (r *Rights) Held() []guavascale.Partition {
	s := r.snapshot.Load()
	if s == nil {
		return nil
	}
	held := make([]guavascale.Partition, 0, len(s.held))
	for p := range s.held {
		held = append(held, p)
	}
	return held
}
