package guavaoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"guavascale.example/guavaconfig"
	"guavascale.example/internal/listen"
)

const (
	// DefaultCallTimeout bounds the time that a Backend may take for one call.
	DefaultCallTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request stays open.
	idleTimeout  = 60 * time.Second
	bearerPrefix = "Bearer "
)

type (
	// Server serves the operator API. Backend is required; the other exported
	// fields are optional. They must not be modified after the first method
	// call.
	Server struct {
		Backend Backend
		// Credentials lists the operators' credentials. If there are none, all
		// calls that require one are rejected.
		Credentials []guavaconfig.Credential
		// Limits bounds the requests; zero fields are replaced by the defaults
		// of guavaconfig.Settings.
		Limits guavaconfig.Limits
		// Metrics is served at /Metrics. The server adds its own counters.
		Metrics metrics.Registry
		// Log records each call that changes state, with the name of the
		// credential. Its zero value discards everything.
		Log zerolog.Logger
		// CallTimeout bounds one call; it defaults to DefaultCallTimeout.
		CallTimeout time.Duration

		listeners listen.Group
		mu        sync.Mutex
		servers   []*fasthttp.Server
	}

	// call is a request that is being handled.
	call struct {
		*fasthttp.RequestCtx
		ctx context.Context
		// pathParam is the part of the path that matches "*" in the route.
		pathParam string
		// credential is the name of the operator's credential.
		credential string
	}
)

// Serve serves the operator API on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.serve(ln, s.handle) }

// ServeMetrics serves /Metrics, /-/live and /-/ready on a listener, without
// authentication, until Shutdown.
func (s *Server) ServeMetrics(ln net.Listener) error { return s.serve(ln, s.handleMetrics) }

func (s *Server) serve(ln net.Listener, handler fasthttp.RequestHandler) error {
	limits := guavaconfig.Settings{Limits: s.Limits}.Defaults().Limits
	server := &fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 replyReadError,
		Name:                         "guavascale",
		Concurrency:                  limits.Connections + 1,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadBufferSize:               limits.HeaderBytes,
		ReadTimeout:                  guavaconfig.Seconds(limits.ReadSeconds),
		WriteTimeout:                 DefaultCallTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		// fasthttp's log messages may quote headers, including credentials.
		SecureErrorLogMessage: true,
		Logger:                discardLogger{},
	}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	return s.listeners.Serve(ln, func(ln net.Listener) error {
		return server.Serve(&limitListener{Listener: ln, max: int64(limits.Connections)})
	})
}

// Shutdown stops accepting connections and waits until the calls in progress
// have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.listeners.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.ShutdownWithContext(ctx))
	}
	return errors.Join(errs...)
}

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	s.count("operator.requests")
	r, name, err := findRoute(string(rc.Method()), string(rc.Path()))
	if err == nil && r.public {
		s.handleRoute(rc, r, &call{RequestCtx: rc, pathParam: name})
		return
	}
	credential, ok := s.authenticate(rc)
	if !ok {
		s.count("operator.unauthenticated")
		rc.Response.Header.Set("WWW-Authenticate", "Bearer")
		replyError(rc, &CredentialError{}, false)
		return
	}
	if err != nil {
		replyError(rc, err, false)
		return
	}
	s.handleRoute(rc, r, &call{RequestCtx: rc, pathParam: name, credential: credential})
}

func (s *Server) handleMetrics(rc *fasthttp.RequestCtx) {
	r, name, err := findRoute(string(rc.Method()), string(rc.Path()))
	if err == nil && !r.public && !r.metrics {
		err = &StatusError{Status: fasthttp.StatusNotFound, Message: "this listener has metrics and health only"}
	}
	if err != nil {
		replyError(rc, err, false)
		return
	}
	s.handleRoute(rc, r, &call{RequestCtx: rc, pathParam: name})
}

// handleRoute runs a route's handler within the call timeout and sends the
// response.
func (s *Server) handleRoute(rc *fasthttp.RequestCtx, r route, c *call) {
	timeout := s.CallTimeout
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.ctx = ctx
	out, err := r.handle(s, c)
	s.recordCall(c, r, err)
	if err != nil {
		replyError(rc, err, r.mutating)
		return
	}
	data, err := json.Marshal(out)
	if err != nil {
		replyError(rc, err, r.mutating)
		return
	}
	reply(rc, fasthttp.StatusOK, data)
}

// recordCall counts a failed call and logs a call that changes state.
func (s *Server) recordCall(c *call, r route, err error) {
	if err != nil {
		s.count("operator.errors")
	}
	if !r.mutating {
		return
	}
	event := s.Log.Info()
	if err != nil {
		event = s.Log.Warn().Err(err)
	}
	event.Str("Operator", c.credential).Bytes("Path", c.Path()).Msg("operator: call that changes state")
}

// authenticate returns the name of the request's credential. It compares
// digests, which have equal length, with those of all credentials in constant
// time, so that the duration reveals nothing about the tokens.
func (s *Server) authenticate(rc *fasthttp.RequestCtx) (string, bool) {
	header := string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	got := sha256.Sum256([]byte(header[len(bearerPrefix):]))
	found := -1
	for i, c := range s.Credentials {
		want := sha256.Sum256([]byte(string(c.Token)))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 && c.Token != "" {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return s.Credentials[found].Name, true
}

func (s *Server) count(name string) {
	if s.Metrics != nil {
		metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
	}
}

func reply(rc *fasthttp.RequestCtx, status int, data []byte) {
	rc.Response.ResetBody()
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(data)
}

func replyError(rc *fasthttp.RequestCtx, err error, mutating bool) {
	status, body := ErrorResponse(err, mutating)
	data, err := json.Marshal(body)
	if err != nil {
		rc.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	reply(rc, status, data)
}
