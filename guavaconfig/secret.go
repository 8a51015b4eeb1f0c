package guavaconfig

import "strings"

const redacted = "(redacted)"

type (
	// Secret is a string that must not appear in logs, dumps and errors.
	// Formatting and marshalling yield a placeholder; only a conversion to
	// string reveals the value.
	Secret string

	// Credential authenticates an operator.
	Credential struct {
		// Name appears in logs.
		Name string
		// Token is the operator's bearer token, 16 characters or more.
		Token Secret
	}
)

// String returns a placeholder.
func (Secret) String() string { return redacted }

// GoString returns a placeholder.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// mayHoldSecret reports whether the value at a path may contain a secret. The
// empty path is the whole document.
func mayHoldSecret(path string) bool { return path == "" || strings.Contains(path, "Credential") }
