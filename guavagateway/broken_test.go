package guavagateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// TestBrokenAnswers guards against incomplete, late, foreign and repeated
// answers that reach a caller, against a second run of a POST, and against
// NotRun for a request that ran.
func TestBrokenAnswers(t *testing.T) {
	late := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(400 * time.Millisecond)
		return echo(c, r, body)
	}
	ok := func(string) string { return "" }
	tests := map[string]struct {
		before  func(net.Conn) bool
		run     behaviour
		status  int
		outcome guavascale.Outcome
		// mayBreak allows an unknown outcome in place of an answer.
		mayBreak bool
		// body is what a caller whose request was answered got.
		body func(sent string) string
	}{
		"truncated body": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
			return false
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"truncated chunks": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
			return false
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"truncated header": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Le")
			return false
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"no length": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
			return false
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"no HTTP": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "hello\r\n\r\n")
			return true
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"answer too large": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
			return true
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"late": {run: late, status: 504, outcome: guavascale.OutcomeUnknown},
		"swapped": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			return answer(c, "of-another", "foreign")
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"repeated": {run: func(c net.Conn, r *http.Request, body string) bool {
			echo(c, r, body)
			return echo(c, r, body)
		}, status: 200, mayBreak: true, body: strings.Clone},
		"repeated with ID once": {run: func(c net.Conn, r *http.Request, body string) bool {
			echo(c, r, body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return true
		}, status: 200, mayBreak: true, body: strings.Clone},
		"repeated later without ID": {run: func(c net.Conn, _ *http.Request, body string) bool {
			first := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			fmt.Fprint(c, first)
			time.Sleep(2 * time.Millisecond)
			fmt.Fprint(c, first)
			return true
		}, status: 200, body: strings.Clone},
		"chunked": {run: func(c net.Conn, _ *http.Request, body string) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			return true
		}, status: 200, body: strings.Clone},
		"no content": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
			return true
		}, status: 204, body: ok},
		"rejected by the endpoint": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nGuavascale-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			return true
		}, status: 503, outcome: guavascale.OutcomeNotRun},
		"reset after the request": {run: func(c net.Conn, _ *http.Request, _ string) bool {
			return reset(c)
		}, status: 502, outcome: guavascale.OutcomeUnknown},
		"reset during the request": {before: func(c net.Conn) bool {
			var b [20]byte
			_, _ = c.Read(b[:])
			return reset(c)
		}, status: 502, outcome: guavascale.OutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, 1, tt.before, tt.run), newEndpoint(t, 2, tt.before, tt.run)
			f := newGateway(t, &Gateway{}, nil, a, b)
			for i := range 12 {
				body := fmt.Sprintf("body-%d", i)
				status, outcome, got := f.do(t, "POST", "/svc/x", body, "Request-Timeout-Ms: 150")
				require.LessOrEqual(t, a.ran(body)+b.ran(body), 1, "a POST ran more than once")
				if tt.mayBreak && outcome == guavascale.OutcomeUnknown {
					continue
				}
				require.Equal(t, tt.outcome, outcome, got)
				require.Equal(t, tt.status, status, got)
				if tt.body != nil {
					require.Equal(t, tt.body(body), got)
				}
			}
		})
	}
}

// TestResetBefore guards against a wrong outcome when an endpoint ends
// connections before it reads: the outcome is NotRun only when nothing ran.
func TestResetBefore(t *testing.T) {
	e := newEndpoint(t, 1, reset, echo)
	f := newGateway(t, &Gateway{}, nil, e)
	for range 50 {
		_, outcome, _ := f.do(t, "POST", "/svc/x", "b")
		require.Contains(t, []guavascale.Outcome{guavascale.OutcomeNotRun, guavascale.OutcomeUnknown}, outcome)
	}
	require.Zero(t, e.total())
}

// TestRefused guards against a request that is lost although another endpoint
// could run it, and against an unknown outcome when nothing was sent.
func TestRefused(t *testing.T) {
	dead := newEndpoint(t, 1, nil, echo)
	dead.ln.Close()
	live := newEndpoint(t, 2, nil, echo)
	both := newGateway(t, &Gateway{}, nil, dead, live)
	status, _, body := both.do(t, "POST", "/svc/x", "b")
	require.Equal(t, 200, status)
	require.Equal(t, "b", body)
	require.Equal(t, 1, live.total())

	none := newGateway(t, &Gateway{}, nil, dead)
	for range 20 {
		status, outcome, _ := none.do(t, "POST", "/svc/x", "b")
		require.Equal(t, 503, status)
		require.Equal(t, guavascale.OutcomeNotRun, outcome)
	}
}

// TestClosedIdleConnection guards against an unknown outcome when an endpoint
// closes a connection after its answer, as servers do with idle connections.
func TestClosedIdleConnection(t *testing.T) {
	e := newEndpoint(t, 1, nil, func(c net.Conn, r *http.Request, body string) bool {
		echo(c, r, body)
		return false
	})
	f := newGateway(t, &Gateway{}, nil, e)
	for i := range 20 {
		status, _, _ := f.do(t, "POST", "/svc/x", fmt.Sprint(i))
		require.Equal(t, 200, status)
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, 20, e.total())
}

// TestRetry guards against an idempotent request that fails although another
// endpoint answers, and against NotRun after an attempt that may have run.
func TestRetry(t *testing.T) {
	broken := func(c net.Conn, _ *http.Request, _ string) bool { return reset(c) }
	a, b := newEndpoint(t, 1, nil, broken), newEndpoint(t, 2, nil, echo)
	// A new gateway has three retries, and each request may need one.
	for range 8 {
		f := newGateway(t, &Gateway{}, map[string]guavascale.Service{"svc": {Name: "svc", Idempotent: true}}, a, b)
		for _, method := range []string{"POST", "POST", "PUT"} {
			status, _, _ := f.do(t, method, "/svc/x", "b")
			require.Equal(t, 200, status)
		}
	}

	dead := newEndpoint(t, 3, nil, echo)
	dead.ln.Close()
	// A new gateway has three retries at most while nothing is answered.
	for range 12 {
		g := newGateway(t, &Gateway{}, nil, a, dead)
		for range 4 {
			ran := a.total()
			_, outcome, _ := g.do(t, "GET", "/svc/x", "")
			if a.total() > ran {
				require.Equal(t, guavascale.OutcomeUnknown, outcome)
			}
		}
	}
}

// TestLateAnswer guards against a connection that is used again after a call
// on it timed out: the late answer would meet the next request.
func TestLateAnswer(t *testing.T) {
	e := newEndpoint(t, 1, nil, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(body, "late") {
			time.Sleep(200 * time.Millisecond)
		}
		return echo(c, r, body)
	})
	f := newGateway(t, &Gateway{}, nil, e)
	for i := range 4 {
		status, _, _ := f.do(t, "POST", "/svc/x", fmt.Sprint("first", i))
		require.Equal(t, 200, status)
		_, outcome, _ := f.do(t, "POST", "/svc/x", fmt.Sprint("late", i), "Request-Timeout-Ms: 50")
		require.Equal(t, guavascale.OutcomeUnknown, outcome)
		status, _, got := f.do(t, "POST", "/svc/x", fmt.Sprint("next", i))
		require.Equal(t, 200, status)
		require.Equal(t, fmt.Sprint("next", i), got)
	}
}

// TestHedge guards against a hedged POST, against two answers to one caller,
// and against a connection that is reused after its request was cut off.
func TestHedge(t *testing.T) {
	slow := func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(100 * time.Millisecond)
		return echo(c, r, "slow")
	}
	quick := func(c net.Conn, r *http.Request, _ string) bool { return echo(c, r, "quick") }
	a, b := newEndpoint(t, 1, nil, slow), newEndpoint(t, 2, nil, quick)
	f := newGateway(t, &Gateway{HedgeAfter: 5 * time.Millisecond}, nil, a, b)
	for i := range 20 {
		body := fmt.Sprint("post-", i)
		status, _, _ := f.do(t, "POST", "/svc/x", body)
		require.Equal(t, 200, status)
		require.Equal(t, 1, a.ran(body)+b.ran(body))
		status, _, got := f.do(t, "PUT", "/svc/x", fmt.Sprint("put-", i))
		require.Equal(t, 200, status)
		require.Contains(t, []string{"slow", "quick"}, got)
	}
	require.Eventually(t, func() bool { return f.State().Routes.InUse() == 0 }, 5*time.Second, time.Millisecond)
}
