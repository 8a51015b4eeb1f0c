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
	// DefaultTimeout bounds one client call, over all addresses. It exceeds
	// DefaultCallTimeout so that the response to a call that timed out on the
	// server still arrives.
	DefaultTimeout   = 15 * time.Second
	dialTimeout      = 3 * time.Second
	maxResponseBytes = 256 << 20
)

var (
	errNoDocument = errors.New("the daemon has not read a configuration document yet")
	errNoAddress  = errors.New("no daemon address was given")
)

type (
	// Client calls the operator API of the first daemon that it can connect to.
	// Its methods fail with the error types that a Backend uses, and with
	// CredentialError and StatusError. It is safe for concurrent use.
	Client struct {
		// Addresses lists the hosts and ports of the daemons' operator
		// listeners, which are tried in order. A call that changes state is
		// sent to the next address only if no connection was established, so
		// that the previous daemon cannot have received it.
		Addresses []string
		Token     guavaconfig.Secret
		// Timeout bounds one call over all addresses; it defaults to
		// DefaultTimeout.
		Timeout time.Duration

		once sync.Once
		http fasthttp.Client
	}

	// dialError marks a failure to connect, after which the request was
	// certainly not sent.
	dialError struct{ error }
)

// Unwrap returns the cause of the failure.
func (e dialError) Unwrap() error { return e.error }

// Config returns the configuration document.
func (c *Client) Config(ctx context.Context) (guavascale.Config, error) {
	return fetch[guavascale.Config](ctx, c, "/Config")
}

// Submit applies a change to the configuration document.
func (c *Client) Submit(ctx context.Context, change guavaconfig.Change) (ChangeResult, error) {
	return post[ChangeResult](ctx, c, "/Config/Changes", change)
}

// Preset returns a preset with defaults filled in.
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

// CancelJob cancels a job. The call is identified by id, for repeats.
func (c *Client) CancelJob(ctx context.Context, id, job string) (JobStatus, error) {
	return post[JobStatus](ctx, c, "/Jobs/"+url.PathEscape(job)+"/Cancel", CancelRequest{ID: id})
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, job string) (JobStatus, error) {
	return fetch[JobStatus](ctx, c, "/Jobs/"+url.PathEscape(job))
}

// Jobs returns a page of the jobs that the filter selects.
func (c *Client) Jobs(ctx context.Context, f JobFilter) (JobPage, error) {
	return fetch[JobPage](ctx, c, "/Jobs"+f.query("Team", f.Team, "State", string(f.State)))
}

// Tasks returns a page of the tasks that the filter selects.
func (c *Client) Tasks(ctx context.Context, f TaskFilter) (TaskPage, error) {
	return fetch[TaskPage](ctx, c, "/Tasks"+f.query(
		"Job", f.Job, "Service", f.Service, "Worker", string(f.Worker), "State", string(f.State)))
}

// Hosts lists workers.
func (c *Client) Hosts(ctx context.Context) (HostPage, error) {
	return fetch[HostPage](ctx, c, "/Hosts")
}

// State returns a dump of the state of the daemon that serves the call.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	return fetch[json.RawMessage](ctx, c, "/State")
}

// Metrics returns the metrics of the daemon that serves the call.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return fetch[json.RawMessage](ctx, c, "/Metrics")
}

// query returns a URL query with the page and the given pairs of names and
// values, without those whose value is empty.
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

// do sends a call to the addresses in order until it can connect to one. It
// sends a read to the next address also if there was no response.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	c.once.Do(c.init)
	end := c.deadline(ctx)
	last := errNoAddress
	for _, address := range c.Addresses {
		err := c.callAddress(end, address, method, path, body, out)
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

func (c *Client) callAddress(end time.Time, address, method, path string, body []byte, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+string(c.Token))
	req.SetBody(body)
	err := c.http.DoDeadline(req, resp, end)
	if err == nil && resp.StatusCode() == fasthttp.StatusOK {
		err = decodeResponse(resp.Body(), out)
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
	return errorFromResponse(resp.StatusCode(), failure)
}

func decodeResponse(data []byte, out any) error {
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = bytes.Clone(data)
		return nil
	}
	return json.Unmarshal(data, out)
}

// deadline returns the end of the timeout or the deadline of ctx, whichever is
// earlier.
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
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// The client closes idle connections well before the server does,
		// because a call on a connection that the server has closed has an
		// unknown outcome.
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
