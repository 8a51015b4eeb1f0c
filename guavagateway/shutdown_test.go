package guavagateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that serves for good since it was shut down before it had begun
// to accept connections, as by a SIGTERM right after the start.
func TestShutdownBeforeServe(t *testing.T) {
	g := &Gateway{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, g.Shutdown(ctx))
	done := make(chan error, 1)
	go func() { done <- g.Serve(ln) }()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		_ = ln.Close()
		require.Fail(t, "the gateway still serves")
	}
	_, err = net.Dial("tcp", ln.Addr().String())
	require.Error(t, err)
}
