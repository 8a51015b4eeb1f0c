package guavastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/internal/dial"
)

type (
	// transport sends the requests of a client over reused connections.
	transport struct {
		once   sync.Once
		client *fasthttp.Client
	}

	// call describes one request.
	call struct {
		system  string
		op      string
		address string
		path    string
		timeout time.Duration
		// write is set for calls that change state on the platform.
		write bool
	}

	// errorResponse is the body of an error response. Exactly one field is set.
	errorResponse struct {
		NotFound    *guavascale.NotFoundError
		Condition   *guavascale.ConditionError
		Validation  *guavascale.ValidationError
		Order       *guavascale.OrderError
		Unavailable *unavailableResponse
		Other       string
	}

	unavailableResponse struct {
		System         string
		Op             string
		MayHaveApplied bool
		Cause          string
	}
)

const (
	// maxConnectionsPerAddress limits the number of file descriptors that a daemon
	// uses for one address.
	maxConnectionsPerAddress = 256
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxResponseBytes is large enough for the snapshot of a shard.
	maxResponseBytes = 64 << 20
)

func (t *transport) init() {
	t.client = &fasthttp.Client{
		MaxConnsPerHost:          maxConnectionsPerAddress,
		MaxIdleConnDuration:      idleTimeout,
		MaxResponseBodySize:      maxResponseBytes,
		NoDefaultUserAgentHeader: true,
		Dial:                     dial.TCP(DefaultTimeout),

		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.NoRetry,
	}
}

// do sends a request and decodes the response.
func (t *transport) do(ctx context.Context, c call, request, response any) error {
	t.once.Do(t.init)
	if err := ctx.Err(); err != nil {
		return c.unavailable(false, err)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode the request of %s: %w", c.op, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + c.path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)

	// In this version of fasthttp DoDeadline sets the deadline on the connection
	// and closes the connection when the deadline passes. The tests verify this.
	if err := t.client.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return c.unavailable(dial.MayHaveSent(err), err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return c.decodeError(resp)
	}
	if err := json.Unmarshal(resp.Body(), response); err != nil {
		return c.unavailable(true, fmt.Errorf("decode the answer: %w", err))
	}
	return nil
}

// deadline returns the earlier of the call's timeout and the context's deadline.
func (c call) deadline(ctx context.Context) time.Time {
	timeout := c.timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	deadline := time.Now().Add(timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}

func (c call) unavailable(mayHaveSent bool, cause error) error {
	return &guavascale.UnavailableError{System: c.system, Op: c.op, MayHaveApplied: c.write && mayHaveSent, Cause: cause}
}

// decodeError converts an error response of the platform to an error.
func (c call) decodeError(resp *fasthttp.Response) error {
	var e errorResponse
	if err := json.Unmarshal(resp.Body(), &e); err != nil {
		return c.unavailable(true, fmt.Errorf("status %d: %w", resp.StatusCode(), err))
	}
	switch {
	case e.NotFound != nil:
		return e.NotFound
	case e.Condition != nil:
		return e.Condition
	case e.Validation != nil:
		return e.Validation
	case e.Order != nil:
		return e.Order
	case e.Unavailable != nil:
		u := e.Unavailable
		return &guavascale.UnavailableError{
			System:         u.System,
			Op:             u.Op,
			MayHaveApplied: u.MayHaveApplied,
			Cause:          errors.New(u.Cause),
		}
	default:
		return c.unavailable(true, fmt.Errorf("status %d: %s", resp.StatusCode(), e.Other))
	}
}
