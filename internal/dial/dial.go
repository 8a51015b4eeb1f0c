// Package dial provides a dial function for HTTP clients that need to determine
// whether a failed request may have been sent.
package dial

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Error reports that a call failed before its connection was established.
type Error struct {
	Cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// TCP returns a dial function with a timeout. It fails with Error.
func TCP(timeout time.Duration) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, &Error{Cause: err}
		}
		return conn, nil
	}
}

// MayHaveSent reports whether a call that failed with err may have sent bytes.
func MayHaveSent(err error) bool {
	var de *Error
	return !errors.As(err, &de) && !errors.Is(err, fasthttp.ErrNoFreeConns)
}

// NoRetry disables fasthttp's retries of failed calls, which could make a call
// take effect twice.
func NoRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
