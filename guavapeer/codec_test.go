package guavapeer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a client that exhausts a daemon's memory with a single message,
// and against malformed input that affects other connections.
func TestBadMessagesCloseTheirConnection(t *testing.T) {
	tests := map[string][]byte{
		// A gob length of 512 MiB, which gob itself would accept.
		"oversized": {0xfc, 0x20, 0x00, 0x00, 0x00},
		"malformed": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, &testLocal{})
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
			_, err = conn.Write(begin)
			require.NoError(t, err)
			sent := 0
			block := make([]byte, 1<<20)
			for err == nil && sent < 4*maxMessageBytes {
				var n int
				n, err = conn.Write(block)
				sent += n
			}
			_, readErr := conn.Read(block)
			require.True(t, err != nil || readErr == io.EOF, "the connection is still open after %d bytes", sent)
			var c Client
			_, err = c.Config(t.Context(), addr)
			require.NoError(t, err, "other connections keep working")
		})
	}
}
