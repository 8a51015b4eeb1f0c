package guavaoperator

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that serves for good since it is shut down just before it begins
// to accept connections.
func TestShutdownWhileServeBegins(t *testing.T) {
	for i := range 1000 {
		s := &Server{}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		done := make(chan error, 1)
		var begun sync.WaitGroup
		begun.Add(1)
		go func() {
			begun.Done()
			done <- s.Serve(ln)
		}()
		begun.Wait()
		for i%2 == 0 && s.begun() == 0 {
			runtime.Gosched()
		}
		require.NoError(t, s.Shutdown(context.Background()))
		select {
		case err := <-done:
			require.NoError(t, err)
		case <-time.After(5 * time.Second):
			_ = ln.Close()
			require.Fail(t, "the server still serves", "round %d", i)
		}
	}
}

// begun returns the number of servers that have begun to serve.
func (s *Server) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers)
}
