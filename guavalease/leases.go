package guavalease

import (
	"sync/atomic"
	"time"

	"guavascale.example"
)

type (
	// Lease permits this daemon to act for one partition.
	Lease struct {
		Epoch uint64
		// Owner is the fencing condition on the owner row, which every commit
		// of the owner carries.
		Owner guavascale.Condition
		// Expires is the time at which the lease ends unless the session is
		// renewed.
		Expires time.Time
	}

	// Leases holds the leases of this daemon and the owners of all
	// partitions. It is safe for concurrent use; the zero value holds no
	// lease.
	Leases struct {
		snapshot atomic.Pointer[snapshot]
	}

	// snapshot is immutable once published.
	snapshot struct {
		expires time.Time
		held    map[guavascale.Partition]Lease
		owners  map[guavascale.Partition]OwnerRow
	}
)

// Check returns the lease for p at the given time, or a LeaseError. Call it
// immediately before each action, with a current clock reading.
func (l *Leases) Check(now time.Time, p guavascale.Partition) (Lease, error) {
	s := l.snapshot.Load()
	if s == nil {
		return Lease{}, &guavascale.LeaseError{Partition: p, Reason: "no session"}
	}
	lease, ok := s.held[p]
	if !ok {
		return Lease{}, &guavascale.LeaseError{Partition: p, Reason: "not the owner"}
	}
	if !now.Before(s.expires) {
		return Lease{}, &guavascale.LeaseError{Partition: p, Reason: "the session lease lapsed"}
	}
	lease.Expires = s.expires
	return lease, nil
}

// Owner returns the owner of p as of the last scan. It may be out of date and
// does not imply a valid lease.
func (l *Leases) Owner(p guavascale.Partition) (OwnerRow, bool) {
	s := l.snapshot.Load()
	if s == nil {
		return OwnerRow{}, false
	}
	row, ok := s.owners[p]
	return row, ok
}

// Known returns the partitions that have an owner row, released or not, as of
// the last scan, in no particular order.
func (l *Leases) Known() []guavascale.Partition {
	s := l.snapshot.Load()
	if s == nil {
		return nil
	}
	known := make([]guavascale.Partition, 0, len(s.owners))
	for p := range s.owners {
		known = append(known, p)
	}
	return known
}

// Held returns the partitions that this daemon owns, in no particular order,
// even if its session lease has expired.
func (l *Leases) Held() []guavascale.Partition {
	s := l.snapshot.Load()
	if s == nil {
		return nil
	}
	held := make([]guavascale.Partition, 0, len(s.held))
	for p := range s.held {
		held = append(held, p)
	}
	return held
}
