package guavagateway

import "errors"

// errViewExpired is the reason for which a request is not sent.
var errViewExpired = errors.New("the daemon's view of the endpoints is out of date")

// expired reports whether the snapshot may no longer be acted on. It is called
// immediately before each request is sent, since a process that was paused
// resumes in the middle of its requests.
func (g *Gateway) expired() bool {
	s := g.snapshot.Load()
	return s != nil && !s.ValidUntil.IsZero() && !g.Clock.Now().Before(s.ValidUntil)
}
