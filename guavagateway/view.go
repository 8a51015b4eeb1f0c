package guavagateway

import (
	"errors"
	"time"
)

// errViewExpired is the reason for which a request is not sent.
var errViewExpired = errors.New("the daemon's view of the endpoints is out of date")

// expired reports whether the snapshot may no longer be acted on. It is called
// immediately before each request is sent, since a process that was paused
// resumes in the middle of its requests.
func (g *Gateway) expired() bool {
	until := g.validUntil.Load()
	return until != 0 && g.Clock.Now().UnixNano() >= until
}

// Extend sets until when the snapshot may be acted on. A snapshot that would not
// change otherwise is not set again.
func (g *Gateway) Extend(until time.Time) {
	if until.IsZero() {
		g.validUntil.Store(0)
		return
	}
	g.validUntil.Store(until.UnixNano())
}
