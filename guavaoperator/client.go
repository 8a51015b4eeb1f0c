package guavaoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaconfig"
)

const (
	// DefaultTimeout bounds one call of a client over all addresses. It is
	// longer than the server's, so that the server's answer arrives.
	DefaultTimeout = 15 * time.Second
	dialTimeout    = 3 * time.Second
	maxAnswer      = 256 << 20
)

var (
	errNoDocument = errors.New("the daemon has not read a configuration document yet")
	errNoAddress  = errors.New("no daemon address was given")
)

type (
	// Client calls the operators' interface of the first daemon that answers.
	// Its methods fail with the error types that a Backend uses, and with
	// CredentialError and StatusError. It is safe for concurrent use.
	Client struct {
		// Addresses are hosts and ports of daemons' operator listeners. The
		// next one is tried when the connection to one fails, so that the call
		// certainly did not reach it.
		Addresses []string
		Token     guavaconfig.Secret
		// Timeout defaults to DefaultTimeout.
		Timeout time.Duration

		once sync.Once
		http fasthttp.Client
	}

	// dialError marks a connection that was not established.
	dialError struct{ error }
)

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

// Config returns the configuration document.
func (c *Client) Config(ctx context.Context) (guavascale.Config, error) {
	return fetch[guavascale.Config](ctx, c, "/Config")
}

// Submit applies a change.
func (c *Client) Submit(ctx context.Context, change guavaconfig.Change) (ChangeResult, error) {
	return post[ChangeResult](ctx, c, "/Config/Changes", change)
}

// Preset returns a preset with its defaults filled in.
func (c *Client) Preset(ctx context.Context, name string) (guavascale.Preset, error) {
	return fetch[guavascale.Preset](ctx, c, "/Presets/"+url.PathEscape(name))
}

// Service returns a declared service.
func (c *Client) Service(ctx context.Context, name string) (guavascale.Service, error) {
	return fetch[guavascale.Service](ctx, c, "/Services/"+url.PathEscape(name))
}

// Zones lists the availability zones.
func (c *Client) Zones(ctx context.Context) (ZoneList, error) {
	return fetch[ZoneList](ctx, c, "/Zones")
}

// DeclareJob declares a job.
func (c *Client) DeclareJob(ctx context.Context, r JobRequest) (JobStatus, error) {
	return post[JobStatus](ctx, c, "/Jobs", r)
}

// CancelJob cancels a job; id identifies the call.
func (c *Client) CancelJob(ctx context.Context, id, job string) (JobStatus, error) {
	return post[JobStatus](ctx, c, "/Jobs/"+url.PathEscape(job)+"/Cancel", CancelRequest{ID: id})
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, job string) (JobStatus, error) {
	return fetch[JobStatus](ctx, c, "/Jobs/"+url.PathEscape(job))
}

// Jobs lists jobs.
func (c *Client) Jobs(ctx context.Context, f JobFilter) (JobPage, error) {
	return fetch[JobPage](ctx, c, "/Jobs"+f.query("Team", f.Team, "State", string(f.State)))
}

// Tasks lists tasks.
func (c *Client) Tasks(ctx context.Context, f TaskFilter) (TaskPage, error) {
	return fetch[TaskPage](ctx, c, "/Tasks"+f.query(
		"Job", f.Job, "Service", f.Service, "Worker", string(f.Worker), "State", string(f.State)))
}

// Hosts lists workers.
func (c *Client) Hosts(ctx context.Context) (HostPage, error) {
	return fetch[HostPage](ctx, c, "/Hosts")
}

// State returns the state dump of the daemon that answers.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	return fetch[json.RawMessage](ctx, c, "/State")
}

// Metrics returns the metrics of the daemon that answers.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return fetch[json.RawMessage](ctx, c, "/Metrics")
}

// query encodes the page and pairs of names and values; empty ones are left out.
func (p Page) query(pairs ...string) string {
	q := url.Values{}
	if p.Limit != 0 {
		pairs = append(pairs, "Limit", strconv.Itoa(p.Limit))
	}
	pairs = append(pairs, "After", p.After)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Set(pairs[i], pairs[i+1])
		}
	}
	if len(q) == 0 {
		return ""
	}
	return "?" + q.Encode()
}

func fetch[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.do(ctx, fasthttp.MethodGet, path, nil, &out)
	return out, err
}

func post[T any](ctx context.Context, c *Client, path string, in any) (T, error) {
	var out T
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	err = c.do(ctx, fasthttp.MethodPost, path, body, &out)
	return out, err
}

// do calls the addresses in turn until one accepts the connection. A read is
// also sent to the next one when the answer does not arrive.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	c.once.Do(c.init)
	end := c.deadline(ctx)
	last := errNoAddress
	for _, address := range c.Addresses {
		err := c.doOne(end, address, method, path, body, out)
		var lost *guavascale.UnavailableError
		if !errors.As(err, &lost) || lost.System != address {
			return err
		}
		if lost.MayHaveApplied || ctx.Err() != nil || !time.Now().Before(end) {
			return err
		}
		last = err
	}
	return &guavascale.UnavailableError{System: "every daemon address", Op: method + " " + path, Cause: last}
}

func (c *Client) doOne(end time.Time, address, method, path string, body []byte, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, scheme+string(c.Token))
	req.SetBody(body)
	err := c.http.DoDeadline(req, resp, end)
	if err == nil && resp.StatusCode() == fasthttp.StatusOK {
		err = decodeAnswer(resp.Body(), out)
	}
	if err != nil {
		var dial dialError
		sent := !errors.As(err, &dial)
		return &guavascale.UnavailableError{
			System: address, Op: method + " " + path, Cause: err,
			MayHaveApplied: sent && method != fasthttp.MethodGet,
		}
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return nil
	}
	var failure ErrorBody
	if err := json.Unmarshal(resp.Body(), &failure); err != nil || failure.Error == "" {
		failure = ErrorBody{Error: "the answer is not one of guavascale's operator interface"}
	}
	return restore(resp.StatusCode(), failure)
}

func decodeAnswer(data []byte, out any) error {
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = bytes.Clone(data)
		return nil
	}
	return json.Unmarshal(data, out)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}

func (c *Client) init() {
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxAnswer,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// An idle connection is dropped here before the server drops it, since
		// a call on a closed connection has an unknown outcome.
		MaxIdleConnDuration: idleTimeout / 4,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
	}
}
