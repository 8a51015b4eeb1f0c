package guavaoperator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

// sendRaw sends text over a new connection and returns the status and the error
// body of the response.
func sendRaw(t *testing.T, address, text string) (int, ErrorBody) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	// The server may respond and close the connection before it has read
	// everything, so a write error is ignored.
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var body ErrorBody
	require.NoError(t, json.Unmarshal(data, &body), string(data))
	assert.NotContains(t, string(data), token)
	return resp.StatusCode, body
}

// Guards against calls that succeed without a valid credential, on every path.
func TestCredentialIsRequired(t *testing.T) {
	tests := map[string]struct{ header, credential string }{
		"none":           {"", token},
		"empty":          {"Bearer ", token},
		"wrong":          {"Bearer correct-horse-batterz", token},
		"prefix":         {"Bearer correct-horse", token},
		"longer":         {"Bearer " + token + "x", token},
		"other scheme":   {"Basic " + token, token},
		"not configured": {"Bearer " + token, ""},
		"name as token":  {"Bearer loic", token},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			s := newServer(b)
			s.Credentials[1].Token = guavaconfig.Secret(tt.credential)
			address := startServer(t, s)
			for _, r := range append(routes, route{method: "GET", path: "/Nowhere"}) {
				if r.public {
					continue
				}
				path := strings.ReplaceAll(r.path, "*", "a")
				status, body := sendRaw(t, address, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: %s\r\nContent-Length: 0\r\n\r\n", r.method, path, tt.header))
				assert.Equal(t, http.StatusUnauthorized, status, path)
				assert.Equal(t, KindCredential, body.Kind, path)
			}
			assert.Zero(t, b.calls)
		})
	}
}

// Guards against requests that occupy resources without limit, and against
// rejections whose reason is not machine-readable.
func TestInputIsLimited(t *testing.T) {
	auth := "Host: a\r\nAuthorization: Bearer " + token + "\r\n"
	tests := map[string]struct {
		text   string
		status int
		field  string
	}{
		"not HTTP":       {"hello\r\n\r\n", 400, ""},
		"large header":   {"GET /Config HTTP/1.1\r\n" + auth + "X: " + strings.Repeat("x", 4096) + "\r\n\r\n", 431, ""},
		"large body":     {"POST /Config/Changes HTTP/1.1\r\n" + auth + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 413, ""},
		"large chunks":   {"POST /Config/Changes HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413, ""},
		"slow header":    {"GET /Config HTTP/1.1\r\nHost", 408, ""},
		"slow body":      {"POST /Config/Changes HTTP/1.1\r\n" + auth + "Content-Length: 200\r\n\r\n{", 408, ""},
		"malformed body": {"POST /Config/Changes HTTP/1.1\r\n" + auth + "Content-Length: 1\r\n\r\n{", 400, "(document)"},
		"unknown field":  {"POST /Jobs HTTP/1.1\r\n" + auth + "Content-Length: 18\r\n\r\n{\"Job\": {\"Foo\":1}}", 400, "Job.Foo"},
		"unknown query":  {"GET /Tasks?Foo=1 HTTP/1.1\r\n" + auth + "\r\n", 400, "Foo"},
		"large page":     {"GET /Tasks?Limit=10001 HTTP/1.1\r\n" + auth + "\r\n", 400, "Limit"},
		"unknown path":   {"GET /Nowhere HTTP/1.1\r\n" + auth + "\r\n", 404, ""},
		"wrong method":   {"DELETE /Config HTTP/1.1\r\n" + auth + "\r\n", 405, ""},
	}
	b := newBackend()
	s := newServer(b)
	s.Limits = guavaconfig.Limits{BodyBytes: 1024, HeaderBytes: 2048, ReadSeconds: 1}
	address := startServer(t, s)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, body := sendRaw(t, address, tt.text)
			assert.Equal(t, tt.status, status)
			assert.Equal(t, tt.field, body.Field)
			assert.NotEmpty(t, body.Error)
		})
	}
	assert.Equal(t, guavaconfig.Initial(), b.doc)
}

// Guards against connections in excess of the limit, and against a connection
// count that does not decrease when connections are closed.
func TestConnectionsAreLimited(t *testing.T) {
	s := newServer(newBackend())
	s.Limits = guavaconfig.Limits{Connections: 2}
	address := startServer(t, s)
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		held = append(held, conn)
	}
	status, body := sendRaw(t, address, "")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, KindRequest, body.Kind)
	for _, conn := range held {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool {
		c := &Client{Addresses: []string{address}, Token: token}
		_, err := c.Config(t.Context())
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against tokens in logs, dumps and metrics, and against state-changing
// calls that are logged without the operator's name.
func TestTokensAreNotExposed(t *testing.T) {
	var log bytes.Buffer
	s := newServer(newBackend())
	s.Log = zerolog.New(&log)
	s.Metrics = metrics.NewRegistry()
	c := &Client{Addresses: []string{startServer(t, s)}, Token: token}
	_, err := c.Submit(t.Context(), guavaconfig.Change{ID: "a", Based: 1, Kind: guavaconfig.TakeZoneOut, Name: "Brest"})
	require.NoError(t, err)
	dump, err := c.State(t.Context())
	require.NoError(t, err)
	figures, err := c.Metrics(t.Context())
	require.NoError(t, err)
	assert.Contains(t, string(figures), "operator.requests")
	assert.Contains(t, log.String(), "loic")
	for _, text := range []string{log.String(), string(dump), string(figures), fmt.Sprintf("%+v", s.Credentials)} {
		assert.NotContains(t, text, token)
	}
}

// Guards against health checks that require a credential, and against a metrics
// listener that serves other paths of the API.
func TestPublicPaths(t *testing.T) {
	b := newBackend()
	s := newServer(b)
	operator := startServer(t, s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.ServeMetrics(ln) }()
	get := func(address, path string) int {
		resp, err := http.Get("http://" + address + path)
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	public := ln.Addr().String()
	for _, address := range []string{operator, public} {
		assert.Equal(t, 200, get(address, "/-/live"))
		assert.Equal(t, 200, get(address, "/-/ready"))
	}
	assert.Equal(t, 200, get(public, "/Metrics"))
	assert.Equal(t, 404, get(public, "/Config"))
	b.setError(&guavascale.UnavailableError{System: "table"})
	assert.Equal(t, 503, get(operator, "/-/ready"))
	assert.Equal(t, 200, get(operator, "/-/live"))
}
