package guavaaccount

import "context"

// accessKey is the key of a context's Access.
type accessKey struct{}

// NewContext returns a context for the handling of a call with an Access.
func NewContext(ctx context.Context, a Access) context.Context {
	if a == (Access{}) {
		return ctx
	}
	return context.WithValue(ctx, accessKey{}, a)
}

// FromContext returns the Access of the call, or the zero value.
func FromContext(ctx context.Context) Access {
	a, _ := ctx.Value(accessKey{}).(Access)
	return a
}
