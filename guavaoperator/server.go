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
)

const (
	// DefaultCallTimeout bounds the time that a Backend has for one call.
	DefaultCallTimeout = 10 * time.Second
	// idleTimeout closes connections without a request.
	idleTimeout = 60 * time.Second
	scheme      = "Bearer "
)

type (
	// Server serves the operators' interface. Backend is required, the other
	// fields may be zero. The fields must not change after the first call.
	Server struct {
		Backend Backend
		// Credentials admit operators; without any, all calls are refused.
		Credentials []guavaconfig.Credential
		// Limits bounds the input; zero fields stand for the defaults of the
		// settings.
		Limits guavaconfig.Limits
		// Metrics is shown at /Metrics, and holds the server's own.
		Metrics metrics.Registry
		// Log receives each call that changes something, with the name of the
		// credential. Its zero value drops all.
		Log zerolog.Logger
		// CallTimeout defaults to DefaultCallTimeout.
		CallTimeout time.Duration

		mu      sync.Mutex
		servers []*fasthttp.Server
		closed  bool
	}

	// call is one request on its way through a handler.
	call struct {
		*fasthttp.RequestCtx
		ctx context.Context
		// name is the part of the path that the route leaves open.
		name string
		// who is the name of the credential.
		who string
	}
)

// Serve answers operators on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.serve(ln, s.handle) }

// ServeMetrics answers /Metrics, /-/live and /-/ready on a listener of its
// own, without credential, until Shutdown.
func (s *Server) ServeMetrics(ln net.Listener) error { return s.serve(ln, s.handleMetrics) }

func (s *Server) serve(ln net.Listener, handler fasthttp.RequestHandler) error {
	limits := guavaconfig.Settings{Limits: s.Limits}.Defaults().Limits
	server := &fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 refuse,
		Name:                         "guavascale",
		Concurrency:                  limits.Connections + 1,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadBufferSize:               limits.HeaderBytes,
		ReadTimeout:                  guavaconfig.Seconds(limits.ReadSeconds),
		WriteTimeout:                 DefaultCallTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		// fasthttp's messages may quote headers, and with them credentials.
		SecureErrorLogMessage: true,
		Logger:                noLog{},
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ln.Close()
	}
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	return server.Serve(&limitListener{Listener: ln, max: int64(limits.Connections)})
}

// Shutdown stops accepting and waits until calls in progress have ended, or
// ctx has.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
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
	r, name, err := match(string(rc.Method()), string(rc.Path()))
	if err == nil && r.open {
		s.answer(rc, r, &call{RequestCtx: rc, name: name})
		return
	}
	who, ok := s.authenticate(rc)
	if !ok {
		s.count("operator.unauthenticated")
		rc.Response.Header.Set("WWW-Authenticate", "Bearer")
		fail(rc, &CredentialError{}, false)
		return
	}
	if err != nil {
		fail(rc, err, false)
		return
	}
	s.answer(rc, r, &call{RequestCtx: rc, name: name, who: who})
}

func (s *Server) handleMetrics(rc *fasthttp.RequestCtx) {
	r, name, err := match(string(rc.Method()), string(rc.Path()))
	if err == nil && !r.open && !r.metrics {
		err = &StatusError{Status: fasthttp.StatusNotFound, Message: "this listener has metrics and health only"}
	}
	if err != nil {
		fail(rc, err, false)
		return
	}
	s.answer(rc, r, &call{RequestCtx: rc, name: name})
}

func (s *Server) answer(rc *fasthttp.RequestCtx, r route, c *call) {
	timeout := s.CallTimeout
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.ctx = ctx
	out, err := r.handle(s, c)
	s.record(c, r, err)
	if err != nil {
		fail(rc, err, r.mutating)
		return
	}
	data, err := json.Marshal(out)
	if err != nil {
		fail(rc, err, r.mutating)
		return
	}
	reply(rc, fasthttp.StatusOK, data)
}

func (s *Server) record(c *call, r route, err error) {
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
	event.Str("Operator", c.who).Bytes("Path", c.Path()).Msg("operator: call that changes state")
}

// authenticate returns the name of the credential. It compares digests of
// equal length with all credentials, so that the time tells nothing of them.
func (s *Server) authenticate(rc *fasthttp.RequestCtx) (string, bool) {
	header := string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return "", false
	}
	got := sha256.Sum256([]byte(header[len(scheme):]))
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

func fail(rc *fasthttp.RequestCtx, err error, mutating bool) {
	status, body := Describe(err, mutating)
	data, err := json.Marshal(body)
	if err != nil {
		rc.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	reply(rc, status, data)
}
