package guavapeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
)

type (
	// Client sends requests to peer daemons. The zero value is ready to use. It
	// is safe for concurrent use.
	Client struct {
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration

		pool Pool
	}

	// Pool keeps one net/rpc connection per remote address. The zero value is
	// ready to use. It is safe for concurrent use.
	Pool struct {
		// KeepOnTimeout keeps a connection open after a call on it timed out,
		// so that other calls in progress on it can complete. The caller must
		// then not read the result of a call that timed out, and must drop
		// connections that stop responding.
		KeepOnTimeout bool

		mu    sync.Mutex
		conns map[string]*rpc.Client
	}

	// NotSentError reports that a call had no effect, since there was no
	// connection to the peer.
	NotSentError struct {
		Address string
		Cause   error
	}
)

func (e *NotSentError) Error() string { return "connect to peer " + e.Address + ": " + e.Cause.Error() }

func (e *NotSentError) Unwrap() error { return e.Cause }

// DefaultTimeout is the default timeout of a call between daemons.
const DefaultTimeout = 2 * time.Second

// Exchange runs one gossip exchange with a peer. The first call sends a digest
// and returns the peer's newer parts; a second call, made only when needed, sends
// the parts that the peer requested.
func (c *Client) Exchange(ctx context.Context, addr string, m *Members, clock guavascale.Clock) (PeerUpdate, error) {
	var out answer
	err := c.call(ctx, addr, methodExchange, m.newAsk(clock.Now()), &out)
	if err != nil {
		return PeerUpdate{}, err
	}
	update := PeerUpdate{Address: addr, ConfigVersion: out.Config}
	wanted, urgent := m.handleAnswer(clock.Now(), &out)
	update.Urgent = urgent
	if len(wanted.Deltas) == 0 {
		return update, nil
	}
	return update, c.call(ctx, addr, methodNews, wanted, &struct{}{})
}

// Config returns the peer's configuration document.
func (c *Client) Config(ctx context.Context, addr string) (*guavascale.Config, error) {
	var out configOut
	err := c.call(ctx, addr, methodConfig, struct{}{}, &out)
	return out.Config, err
}

// Work returns the jobs, tasks and workers of the shards that the peer owns.
func (c *Client) Work(ctx context.Context, addr string) (guavascale.Work, error) {
	var out workOut
	err := c.call(ctx, addr, methodWork, struct{}{}, &out)
	return out.Work, err
}

// Claim claims an idempotency key at the peer that owns its partition. The
// caller chooses the token ID.
func (c *Client) Claim(ctx context.Context, addr, key, id string) (guavascale.ClaimToken, error) {
	var out claimOut
	err := c.call(ctx, addr, methodClaim, claimIn{Key: key, Token: guavascale.ClaimToken{ID: id}}, &out)
	return out.Token, err
}

// Finish records the response to a claimed request at the peer.
func (c *Client) Finish(ctx context.Context, addr string, t guavascale.ClaimToken, a guavascale.Answer) error {
	return c.call(ctx, addr, methodFinish, claimIn{Token: t, Answer: a}, &claimOut{})
}

// Release releases a claim at the peer.
func (c *Client) Release(ctx context.Context, addr string, t guavascale.ClaimToken) error {
	return c.call(ctx, addr, methodRelease, claimIn{Token: t}, &claimOut{})
}

// Close closes all connections.
func (c *Client) Close() { c.pool.Close() }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, addr)
	}
}

func (c *Client) call(ctx context.Context, addr string, m method, in, out any) error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := cbor.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", m, err)
	}
	data, err := cbor.Marshal(envelope{Method: m, Body: body})
	if err != nil {
		return fmt.Errorf("encode %s: %w", m, err)
	}
	var reply []byte
	if err := c.pool.Call(ctx, addr, serviceName+".Call", data, &reply); err != nil {
		var notSent *NotSentError
		return &guavascale.UnavailableError{System: "peer " + addr, Op: string(m), MayHaveApplied: !errors.As(err, &notSent), Cause: err}
	}
	var env envelope
	if err := cbor.Unmarshal(reply, &env); err != nil {
		return fmt.Errorf("decode answer to %s: %w", m, err)
	}
	if env.Error != nil {
		return env.Error.decode()
	}
	return cbor.Unmarshal(env.Body, out)
}

// Call makes one RPC. It fails with NotSentError if there was no connection. A
// connection error or, unless KeepOnTimeout is set, a
// timeout closes the connection for good, so that a late response is never
// delivered to a later call. An error returned by the remote method keeps the
// connection open.
func (p *Pool) Call(ctx context.Context, addr, serviceMethod string, in, out any) error {
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return &NotSentError{Address: addr, Cause: err}
	}
	call := conn.Go(serviceMethod, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			p.drop(addr, conn)
		}
		return call.Error
	case <-ctx.Done():
		if !p.KeepOnTimeout {
			p.drop(addr, conn)
		}
		return ctx.Err()
	}
}

// Drop closes the connection to an address; calls in progress on it fail.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	conn := p.conns[addr]
	p.mu.Unlock()
	if conn != nil {
		p.drop(addr, conn)
	}
}

func (p *Pool) connect(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	conn := p.conns[addr]
	p.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[addr]; other != nil {
		_ = raw.Close()
		return other, nil
	}
	if p.conns == nil {
		p.conns = make(map[string]*rpc.Client)
	}
	conn = rpc.NewClient(raw)
	p.conns[addr] = conn
	return conn, nil
}

func (p *Pool) drop(addr string, conn *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = conn.Close()
}
