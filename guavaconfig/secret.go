package guavaconfig

import "strings"

const redacted = "(redacted)"

type (
	// Secret is a text that must not appear in logs, dumps and errors. All
	// formatting and marshalling replaces it; a conversion to string reveals it.
	Secret string

	// Credential is what an operator proves to be.
	Credential struct {
		// Name appears in logs.
		Name string
		// Token is what the operator sends as bearer token, 16 characters or
		// more.
		Token Secret
	}
)

// String returns a placeholder.
func (Secret) String() string { return redacted }

// GoString returns a placeholder.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// secretPath reports whether the value at a path may contain a secret.
func secretPath(path string) bool { return path == "" || strings.Contains(path, "Credential") }
