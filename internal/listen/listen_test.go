package listen

import (
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a listener that stays open since its group was closed before it was added
// or while it was served.
func TestGroupClosesListeners(t *testing.T) {
	for name, closeFirst := range map[string]bool{"before": true, "while served": false} {
		t.Run(name, func(t *testing.T) {
			var g Group
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			if closeFirst {
				g.Close()
			}
			require.NoError(t, g.Serve(ln, func(l net.Listener) error {
				require.False(t, closeFirst)
				g.Close()
				_, err := l.Accept()
				require.NoError(t, l.Close(), "a server closes its listener as well")
				return err
			}))
			_, err = net.Dial("tcp", ln.Addr().String())
			require.Error(t, err)
		})
	}
}

// Guards against the error of a server that is lost.
func TestGroupReturnsErrors(t *testing.T) {
	var g Group
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	failed := errors.New("failed")
	require.ErrorIs(t, g.Serve(ln, func(net.Listener) error { return failed }), failed)
}
