package guavagateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// TestResponsesMatchRequests guards against swapped responses among concurrent
// callers, and against more concurrent requests at a worker than it has slots.
func TestResponsesMatchRequests(t *testing.T) {
	var concurrent, maxConcurrent atomic.Int64
	run := func(c net.Conn, r *http.Request, body string) bool {
		n := concurrent.Add(1)
		for m := maxConcurrent.Load(); n > m && !maxConcurrent.CompareAndSwap(m, n); m = maxConcurrent.Load() {
		}
		time.Sleep(time.Millisecond)
		concurrent.Add(-1)
		return echo(c, r, body)
	}
	e := newTestEndpoint(t, 1, nil, run)
	f := startGateway(t, &Gateway{}, nil, e)
	var wg sync.WaitGroup
	var wrong, answered atomic.Int64
	for i := range 16 {
		wg.Go(func() {
			for j := range 50 {
				body := fmt.Sprintf("%d-%d", i, j)
				status, _, got := f.do(t, "POST", "/svc/x", body)
				if status != 200 {
					continue
				}
				answered.Add(1)
				if got != body {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, wrong.Load())
	require.Positive(t, answered.Load())
	require.LessOrEqual(t, maxConcurrent.Load(), int64(e.Slots))
}

// TestShutdown guards against a graceful shutdown that interrupts requests in
// progress or reports readiness.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	e := newTestEndpoint(t, 1, nil, func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return echo(c, r, body)
	})
	f := startGateway(t, &Gateway{}, nil, e)
	require.True(t, f.Ready())
	var wg sync.WaitGroup
	got := make([]string, 5)
	for i := range got {
		wg.Go(func() { _, _, got[i] = f.do(t, "POST", "/svc/x", fmt.Sprint(i)) })
	}
	require.Eventually(t, func() bool { return e.totalRuns() == len(got) }, 5*time.Second, time.Millisecond)
	f.Drain()
	status, _, _ := f.do(t, "GET", ReadyPath, "")
	require.Equal(t, 503, status)
	status, _, _ = f.do(t, "GET", LivePath, "")
	require.Equal(t, 200, status)
	http.DefaultClient.CloseIdleConnections()
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
	close(release)
	wg.Wait()
	require.NoError(t, <-done)
	for i := range got {
		require.Equal(t, fmt.Sprint(i), got[i])
	}
}

// TestLeavingEndpoint guards against new requests to an endpoint that is leaving, no
// longer listed, or in a zone that is out.
func TestLeavingEndpoint(t *testing.T) {
	tests := map[string]func(s *Snapshot){
		"endpoint leaving": func(s *Snapshot) { s.Endpoints[0].Leaving = true },
		"zone out":         func(s *Snapshot) { s.ZonesOut = map[guavascale.Zone]bool{"a": true} },
		"not listed":       func(s *Snapshot) { s.Endpoints = s.Endpoints[1:] },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newTestEndpoint(t, 1, nil, echo), newTestEndpoint(t, 2, nil, echo)
			b.Zone = "b"
			f := startGateway(t, &Gateway{}, nil, a, b)
			for range 10 {
				f.do(t, "POST", "/svc/x", "before")
			}
			require.Positive(t, a.totalRuns())
			s := *f.snapshot.Load()
			s.Endpoints = []guavascale.Endpoint{a.Endpoint, b.Endpoint}
			change(&s)
			f.SetSnapshot(&s)
			runs := a.totalRuns()
			for range 20 {
				status, _, _ := f.do(t, "POST", "/svc/x", "after")
				require.Equal(t, 200, status)
			}
			require.Equal(t, runs, a.totalRuns())
		})
	}
}

// TestIsolated checks that an isolated daemon, whose snapshot may be stale, is not
// ready but still serves requests.
func TestIsolated(t *testing.T) {
	a := newTestEndpoint(t, 1, nil, echo)
	f := startGateway(t, &Gateway{}, nil, a)
	require.True(t, f.Ready())
	s := *f.snapshot.Load()
	s.Isolated = true
	f.SetSnapshot(&s)
	require.False(t, f.Ready())
	status, _, _ := f.do(t, "POST", "/svc/x", "still served")
	require.Equal(t, 200, status)
}

// TestExpiredSnapshot guards against requests to endpoints that left while the
// process was paused.
func TestExpiredSnapshot(t *testing.T) {
	a := newTestEndpoint(t, 1, nil, echo)
	f := startGateway(t, &Gateway{}, nil, a)
	s := *f.snapshot.Load()
	s.ValidUntil = f.clock.Now().Add(time.Minute)
	f.SetSnapshot(&s)
	status, _, _ := f.do(t, "POST", "/svc/x", "in time")
	require.Equal(t, 200, status)
	runs := a.totalRuns()
	f.clock.offset.Add(int64(time.Minute))
	require.False(t, f.Ready())
	for _, method := range []string{"POST", "PUT"} {
		_, outcome, _ := f.do(t, method, "/svc/x", "late")
		require.Equal(t, guavascale.OutcomeNotRun, outcome)
	}
	require.Equal(t, runs, a.totalRuns())
	f.setEndpoints(nil, a)
	status, _, _ = f.do(t, "POST", "/svc/x", "new view")
	require.Equal(t, 200, status)
}

// TestPriorities guards against refusing urgent requests while requests of lower
// priority are served, and against running a request that was refused.
func TestPriorities(t *testing.T) {
	release := make(chan struct{})
	e := newTestEndpoint(t, 1, nil, func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return echo(c, r, body)
	})
	e.Slots = 1
	f := startGateway(t, &Gateway{}, nil, e)
	s := *f.snapshot.Load()
	s.Preset = guavascale.Preset{QueueMs: 20_000}
	f.SetSnapshot(&s)
	var wg sync.WaitGroup
	var mu sync.Mutex
	count := map[string]map[int]int{"Low": {}, "Urgent": {}}
	send := func(priority string, n int) {
		for range n {
			wg.Go(func() {
				status, outcome, _ := f.do(t, "POST", "/svc/x", priority, "Request-Priority: "+priority)
				mu.Lock()
				defer mu.Unlock()
				count[priority][status]++
				if status != 200 && (status != 429 || outcome != guavascale.OutcomeNotRun) {
					t.Errorf("status %d with outcome %q", status, outcome)
				}
			})
		}
	}
	send("Low", 12)
	refused := func(priority string) int {
		mu.Lock()
		defer mu.Unlock()
		return count[priority][429]
	}
	// One request is running and two are queued: 0.4 of a capacity of 4, rounded up.
	require.Eventually(t, func() bool { return refused("Low") == 9 }, 5*time.Second, time.Millisecond)
	send("Urgent", 4)
	require.Eventually(t, func() bool { return refused("Low") == 11 }, 5*time.Second, time.Millisecond)
	close(release)
	wg.Wait()
	require.Equal(t, map[string]map[int]int{"Low": {200: 1, 429: 11}, "Urgent": {200: 4}}, count)
	require.Equal(t, 1, e.runsOf("Low"))
	require.Equal(t, 4, e.runsOf("Urgent"))
}

// TestIdempotencyKeys guards against running a key twice, against sending a request
// whose key was not claimed, and against a claim that is kept although nothing ran.
func TestIdempotencyKeys(t *testing.T) {
	broken := func(c net.Conn, _ *http.Request, _ string) bool { return resetConn(c) }
	tests := map[string]struct {
		run       handlerFunc
		down      bool
		refuse    bool
		first     int
		second    int
		outcome   guavascale.Outcome
		runs      int
		stillHeld bool
	}{
		"answered then replayed": {run: echo, first: 200, second: 200, outcome: guavascale.OutcomeAlreadyRun, runs: 1, stillHeld: true},
		"outcome unknown":        {run: broken, first: 502, second: 409, outcome: guavascale.OutcomeAlreadyRun, runs: 1, stillHeld: true},
		"store down":             {run: echo, down: true, first: 503, second: 503, outcome: guavascale.OutcomeNotRun},
		"connection refused":     {run: echo, refuse: true, first: 503, second: 503, outcome: guavascale.OutcomeNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEndpoint(t, 1, nil, tt.run)
			if tt.refuse {
				e.ln.Close()
			}
			claims := &fakeClaims{down: tt.down}
			f := startGateway(t, &Gateway{Claims: claims}, nil, e)
			status, _, _ := f.do(t, "POST", "/svc/x", "b", "Idempotency-Key: k")
			require.Equal(t, tt.first, status)
			require.Eventually(t, func() bool {
				claims.mu.Lock()
				defer claims.mu.Unlock()
				return tt.first != 200 || claims.responses["k"] != nil
			}, 5*time.Second, time.Millisecond)
			status, outcome, body := f.do(t, "POST", "/svc/x", "b", "Idempotency-Key: k")
			require.Equal(t, tt.second, status)
			require.Equal(t, tt.outcome, outcome)
			if status == 200 {
				require.Equal(t, "b", body)
			}
			require.Equal(t, tt.runs, e.totalRuns())
			_, held := claims.responses["k"]
			require.Equal(t, tt.stillHeld, held)
			if tt.down {
				status, _, _ = f.do(t, "POST", "/svc/x", "unkeyed")
				require.Equal(t, 200, status)
			}
		})
	}
}

// TestInvalidRequests checks that malformed, oversized and slow requests do not reach
// an endpoint and get an error response with a reason.
func TestInvalidRequests(t *testing.T) {
	tests := map[string]struct {
		input  string
		status int
	}{
		"no HTTP":           {"hello world\r\n\r\n", 400},
		"unknown service":   {"GET /other/x HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		"no service":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		"dot segments":      {"GET /svc/../other HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"encoded dots":      {"GET /svc/%2e%2E/other HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"method":            {"TRACE /svc/x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"timeout":           {"GET /svc/x HTTP/1.1\r\nHost: h\r\nRequest-Timeout-Ms: soon\r\n\r\n", 400},
		"negative timeout":  {"GET /svc/x HTTP/1.1\r\nHost: h\r\nRequest-Timeout-Ms: -1\r\n\r\n", 400},
		"priority":          {"GET /svc/x HTTP/1.1\r\nHost: h\r\nRequest-Priority: Now\r\n\r\n", 400},
		"two lengths":       {"POST /svc/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and chunks": {"POST /svc/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"bad chunk":         {"POST /svc/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"large body":        {"POST /svc/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 413},
		"large header":      {"GET /svc/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431},
		"slow header":       {"GET /svc/x HTTP/1.1\r\nHos", 400},
		"slow body":         {"POST /svc/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab", 400},
	}
	e := newTestEndpoint(t, 1, nil, echo)
	f := startGateway(t, &Gateway{Limits: Limits{RequestBytes: 4000, HeaderBytes: 8000, ReadTimeout: 200 * time.Millisecond}}, nil, e)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, tt.input)
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			b := make([]byte, 4096)
			n, err := c.Read(b)
			require.NoError(t, err)
			got := string(b[:n])
			require.True(t, strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", tt.status)), got)
			require.Contains(t, got, "Guavascale-Outcome: NotRun")
			require.Contains(t, got, `{"Outcome":"NotRun","Reason":"`)
		})
	}
	require.Zero(t, e.totalRuns())
}

// TestForwarding guards against changes to the path, headers or body of a forwarded
// request, and checks the limit on callers' connections.
func TestForwarding(t *testing.T) {
	seen := make(chan *http.Request, 1)
	e := newTestEndpoint(t, 1, nil, func(c net.Conn, r *http.Request, body string) bool {
		seen <- r
		return echo(c, r, body)
	})
	f := startGateway(t, &Gateway{Limits: Limits{Connections: 2}}, nil, e)
	status, _, _ := f.do(t, "PUT", "/svc/a%2Fb//c?q=%20", "x", "X-Own: 1", "Te: trailers", "Request-Id: mine")
	require.Equal(t, 200, status)
	r := <-seen
	require.Equal(t, "HTTP/1.1", r.Proto)
	require.Equal(t, "/svc/a%2Fb//c?q=%20", r.RequestURI)
	require.Equal(t, "1", r.Header.Get("X-Own"))
	require.Empty(t, r.Header.Get("Te"))
	require.NotEqual(t, "mine", r.Header.Get(headerRequestID))
	status, _, body := f.do(t, "HEAD", "/svc/x", "")
	require.Equal(t, 200, status)
	require.Empty(t, body)
	<-seen
	http.DefaultClient.CloseIdleConnections()

	addr := strings.TrimPrefix(f.url, "http://")
	require.Eventually(t, func() bool { return f.server.GetOpenConnectionsCount() == 0 }, 5*time.Second, time.Millisecond)
	for range 2 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
	}
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(b), "too many connections")
}
