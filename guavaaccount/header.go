package guavaaccount

import (
	"bytes"

	"guavascale.example"
)

const (
	// schemeToken is the authentication scheme. HTTP compares schemes without regard to
	// case.
	schemeToken = "Token"
	// Challenge tells callers the scheme in the response to an unauthorized call.
	Challenge = schemeToken
)

// Reasons of an UnauthorizedError.
const (
	ReasonNoKey      = "the call carries no API key"
	ReasonDuplicate  = "the call carries several Authorization headers"
	ReasonMalformed  = "the Authorization header isn't of the form \"Token KEY\""
	ReasonUnknownKey = "no account has the API key"
	ReasonRemovedKey = "no account has the API key any more"
)

// ParseHeader returns the digest of the key in the values of a call's Authorization
// headers. It fails with UnauthorizedError if there isn't exactly one key.
func ParseHeader(values [][]byte) (guavascale.KeyDigest, error) {
	var none guavascale.KeyDigest
	switch {
	case len(values) == 0:
		return none, &guavascale.UnauthorizedError{Reason: ReasonNoKey}
	case len(values) > 1:
		return none, &guavascale.UnauthorizedError{Reason: ReasonDuplicate}
	}
	scheme, key, found := bytes.Cut(values[0], []byte(" "))
	// EqualFold alone takes other letters than those of ASCII for equal.
	isToken := len(scheme) == len(schemeToken) && bytes.EqualFold(scheme, []byte(schemeToken))
	if !found || !isToken || len(key) == 0 || len(key) > MaxKeyBytes {
		return none, &guavascale.UnauthorizedError{Reason: ReasonMalformed}
	}
	return Digest(key), nil
}
