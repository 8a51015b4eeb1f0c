package guavaaccount

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"guavascale.example"
)

type (
	// Gate decides by the newest configuration that a daemon has read. SetCatalog and
	// Confirm must be called from one goroutine, the other methods from any.
	//
	// A nil Gate, and one without a catalog, know no accounts.
	Gate struct {
		// MaxAge is the age of the newest confirmed read of the configuration up to which
		// calls with keys are answered; 0 means no limit. See Bound.
		MaxAge time.Duration

		view     atomic.Pointer[view]
		refusals refusals
	}

	// view is what a Gate knows. It is immutable.
	view struct {
		version uint64
		// index is nil if the operators declare no accounts.
		index    *Index
		accounts int
		// queues holds the names of the queues and whether they are public.
		queues map[string]bool
		// readAt is when the request of the newest confirmed read was sent.
		readAt time.Time
	}

	// Access is what the daemon that received a call tells the owner about the check. The
	// zero value stands for a call that was not checked.
	Access struct {
		// Version is that of the configuration by which the call was checked.
		Version uint64 `cbor:",omitempty"`
		// Queue is the name of the queue of the call, and Public is set if it is public.
		Queue  string `cbor:",omitempty"`
		Public bool   `cbor:",omitempty"`
		// Account is the name of the account, and Key the digest of its key; empty for a
		// public queue.
		Account string               `cbor:",omitempty"`
		Key     guavascale.KeyDigest `cbor:",omitzero"`
	}

	// BehindError reports that a call was checked by a newer configuration than this daemon has
	// read. The call had no effect and may be repeated at once.
	BehindError struct {
		Version uint64
		Checked uint64
	}
)

const (
	// readMargin is the part of the bound on revocation that is left for clocks that
	// differ in rate. The check follows the sending of the call, so that no time of
	// transit counts.
	readMargin = 250 * time.Millisecond
	// unknownKeyMaxAge is the age of the newest confirmed read up to which an unknown key is
	// reported as such. A key may be used 3 s after the operator has learned that its version is
	// stored, so an older read may lack it.
	unknownKeyMaxAge = 2500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay sent to callers. It grows
	// with the outage, so that the outage ends before callers have used up their
	// attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

func (e *BehindError) Error() string {
	return fmt.Sprintf("the call was checked by configuration version %d, but version %d is in force here", e.Checked, e.Version)
}

// Reasons of a RejectedError.
const (
	reasonOldRead        = "the configuration was read too long ago"
	reasonNotChecked     = "the call was not checked by the daemon that received it"
	reasonNotPublic      = "the queue is no longer public"
	reasonAccountChanged = "the account of the API key has changed"
)

// Bound returns the age of a read up to which calls with keys may be answered if revoked keys
// must not be accepted after revokeMax. 0 means no limit.
func Bound(revokeMax time.Duration) time.Duration {
	if revokeMax <= 0 {
		return 0
	}
	return max(revokeMax-readMargin, 1)
}

// SetCatalog replaces the catalog in force. It counts as read when Confirm is called.
func (g *Gate) SetCatalog(c *guavascale.Catalog) {
	next := &view{version: c.Version}
	if old := g.view.Load(); old != nil {
		next.readAt = old.readAt
	}
	if c.Accounts != nil {
		next.index, next.accounts = NewIndex(c.Accounts), len(c.Accounts)
		next.queues = make(map[string]bool, len(c.Queues))
		for i := range c.Queues {
			next.queues[c.Queues[i].Name] = c.Queues[i].Public
		}
	}
	g.view.Store(next)
}

// Confirm records that the catalog in force is the newest one as of a time.
func (g *Gate) Confirm(sentAt time.Time) {
	old := g.view.Load()
	if old == nil || !sentAt.After(old.readAt) {
		return
	}
	next := *old
	next.readAt = sentAt
	g.view.Store(&next)
}

// Stale reports whether calls with keys are refused since the newest confirmed read of
// the configuration is too old.
func (g *Gate) Stale(now time.Time) bool {
	v := g.load()
	return v != nil && g.overdue(v, now) >= 0
}

// load returns what the gate knows if the operators declare accounts, otherwise nil.
func (g *Gate) load() *view {
	if g == nil {
		return nil
	}
	if v := g.view.Load(); v != nil && v.index != nil {
		return v
	}
	return nil
}

// overdue returns how long ago the newest confirmed read has become too old; it is
// negative if it is recent enough.
func (g *Gate) overdue(v *view, now time.Time) time.Duration {
	if g.MaxAge <= 0 {
		return -1
	}
	return now.Sub(v.readAt) - g.MaxAge
}

// Admit checks a call to a queue with the given values of the Authorization header. It
// fails with UnauthorizedError, or with RejectedError if the configuration was read too
// long ago. Values is called only if the header matters.
func (g *Gate) Admit(now time.Time, q *guavascale.Queue, values func() [][]byte) (Access, error) {
	v := g.load()
	if v == nil {
		return Access{}, nil
	}
	a, err := g.admit(v, now, q, values)
	if err != nil {
		g.refusals.count(err)
	}
	return a, err
}

func (g *Gate) admit(v *view, now time.Time, q *guavascale.Queue, values func() [][]byte) (Access, error) {
	a := Access{Version: v.version, Queue: q.Name, Public: q.Public}
	if q.Public {
		return a, nil
	}
	var err error
	if a.Key, err = ParseHeader(values()); err != nil {
		return Access{}, err
	}
	if a.Account, err = g.find(v, now, &a.Key); err != nil {
		return Access{}, err
	}
	return a, nil
}

// find returns the account of a key.
func (g *Gate) find(v *view, now time.Time, d *guavascale.KeyDigest) (string, error) {
	if late := g.overdue(v, now); late >= 0 {
		return "", tooOld(late)
	}
	name, ok := v.index.Account(d)
	if ok {
		return name, nil
	}
	if age := now.Sub(v.readAt); age >= unknownKeyMaxAge {
		return "", tooOld(age - unknownKeyMaxAge)
	}
	return "", &guavascale.UnauthorizedError{Reason: ReasonUnknownKey}
}

func tooOld(late time.Duration) error {
	return &guavascale.RejectedError{Reason: reasonOldRead, RetryAfter: min(max(late, minRetryAfter), maxRetryAfter)}
}

// Recheck repeats at the owner the check of a call to a queue or about a submission of
// that queue. It fails with UnauthorizedError or RejectedError, or with BehindError if the
// owner has not yet read the configuration by which the call was checked.
func (g *Gate) Recheck(now time.Time, a *Access, queue string) error {
	v := g.load()
	if v == nil {
		if version := g.version(); a.Version > version {
			return &BehindError{Version: version, Checked: a.Version}
		}
		return nil
	}
	err := g.recheck(v, now, a, queue)
	if err != nil {
		g.refusals.count(err)
	}
	return err
}

func (g *Gate) recheck(v *view, now time.Time, a *Access, queue string) error {
	switch {
	case *a == (Access{}) && !v.queues[queue]:
		return &guavascale.RejectedError{Reason: reasonNotChecked, RetryAfter: minRetryAfter}
	case *a == (Access{}):
		return nil
	case a.Public:
		// A queue that is not declared here may have a new name, under which it is not public.
		if !v.queues[a.Queue] && v.version >= a.Version {
			return &guavascale.RejectedError{Reason: reasonNotPublic, RetryAfter: minRetryAfter}
		}
		return nil
	}
	if late := g.overdue(v, now); late >= 0 {
		return tooOld(late)
	}
	name, err := g.find(v, now, &a.Key)
	var unauthorized *guavascale.UnauthorizedError
	switch {
	case err == nil && name == a.Account:
		return nil
	case v.version < a.Version:
		return &BehindError{Version: v.version, Checked: a.Version}
	case err == nil:
		// The daemon that received the call knows the key under an earlier name.
		return &guavascale.RejectedError{Reason: reasonAccountChanged, RetryAfter: minRetryAfter}
	case errors.As(err, &unauthorized):
		return &guavascale.UnauthorizedError{Reason: ReasonRemovedKey}
	}
	return err
}

func (g *Gate) version() uint64 {
	if g == nil {
		return 0
	}
	if v := g.view.Load(); v != nil {
		return v.version
	}
	return 0
}

// MayUse checks that a call concerns a submission that is its account's, or that was
// submitted to its public queue. It fails with ForbiddenError. Submissions without an
// account may be used by all calls that were admitted.
func (a *Access) MayUse(account, queue string) error {
	if account == "" || account == a.Account || *a == (Access{}) || a.Public && a.Queue == queue {
		return nil
	}
	return &guavascale.ForbiddenError{Account: a.Account}
}
