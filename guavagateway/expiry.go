package guavagateway

import (
	"errors"
	"time"
)

// errSnapshotExpired is returned for requests that are not sent because the snapshot
// has expired.
var errSnapshotExpired = errors.New("the daemon's view of the endpoints is out of date")

// expired reports whether the snapshot has expired. It is called immediately before
// each attempt is sent, because a paused process resumes in the middle of handling
// requests.
func (g *Gateway) expired() bool {
	until := g.validUntil.Load()
	return until != 0 && g.Clock.Now().UnixNano() >= until
}

// SetValidUntil sets when the current snapshot expires, so that an otherwise
// unchanged snapshot need not be set again. The zero time means that it never
// expires.
func (g *Gateway) SetValidUntil(until time.Time) {
	if until.IsZero() {
		g.validUntil.Store(0)
		return
	}
	g.validUntil.Store(until.UnixNano())
}
