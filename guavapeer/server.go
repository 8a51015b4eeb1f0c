// Package guavapeer implements the protocol between daemons: gossip of membership
// and summaries, and remote calls.
//
// Every daemon announces a summary of itself. The summary consists of a
// heartbeat, a card, and for each owned partition its load and its endpoints in
// chunks. Each part carries the version at which it last changed, so a peer that
// holds the summary up to a version lacks exactly the parts with higher versions.
// Members holds the parts of all daemons, decides what to send, and does no I/O.
//
// Once a second a daemon exchanges updates with a few peers (Fanout). It sends a
// digest of about 10 bytes for each live daemon: heartbeat and version. The peer
// responds with the newer heartbeats and parts that it holds and with a list of
// what it lacks, which the caller sends in a second call. Both sides accept the
// newer heartbeats in the other's digest. A part that announces a leaving endpoint
// or daemon, and a newer configuration, start a gossip round immediately on every
// daemon that they reach.
//
// A daemon is suspected after 3 s without a new heartbeat and is then probed by
// the next exchanges. It counts as dead after 5 s. Membership affects only
// routing. Ownership is decided in the store, so a false suspicion moves no
// partition.
//
// Messages are net/rpc calls whose argument and result are byte slices that hold
// a CBOR envelope. net/rpc supports neither deadlines nor cancellation, so Client
// sets a timeout on each call and closes a connection on which a call timed out.
// A late response is therefore never delivered to another call.
package guavapeer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
)

type (
	// Local is implemented by the daemon that serves the calls of peers. Its
	// methods are called concurrently.
	Local interface {
		// Config returns the newest configuration document that the daemon
		// has.
		Config() *guavascale.Config
		// HandlePeerUpdate is called after each exchange started by a peer,
		// and after a peer sent urgent parts. It must not block.
		HandlePeerUpdate(u PeerUpdate)
		// Work returns the jobs, tasks and workers of the owned shards.
		Work(ctx context.Context) (guavascale.Work, error)
		// Claims returns the owner of the daemon's claim partitions.
		Claims() ClaimOwner
	}

	// ClaimOwner manages the claims of idempotency keys in the partitions that a
	// daemon owns.
	ClaimOwner interface {
		ClaimAs(ctx context.Context, key, id string) (guavascale.ClaimToken, error)
		Finish(ctx context.Context, t guavascale.ClaimToken, a guavascale.Answer) error
		Release(ctx context.Context, t guavascale.ClaimToken) error
	}

	// Server serves the calls of peers. Members, Local and Clock must be set
	// before Serve is called.
	Server struct {
		Members *Members
		Local   Local
		Clock   guavascale.Clock

		mu     sync.Mutex
		conns  map[net.Conn]struct{}
		closed bool
	}

	// PeerUpdate describes what an exchange with a peer announced.
	PeerUpdate struct {
		// Address is the peer's address and ConfigVersion the version of its
		// configuration. Both are zero when the peer only sent requested
		// parts.
		Address       string
		ConfigVersion uint64
		// Urgent is set when the peer announced that an endpoint or a daemon
		// is leaving.
		Urgent bool
	}

	// service is the receiver registered with net/rpc. Its exported method is
	// part of the wire protocol.
	service struct{ s *Server }
)

const (
	serviceName = "Guavascale"
	// handlerTimeout limits the time for handling one call on the server.
	handlerTimeout = 5 * time.Second
	// maxPeerConnections limits the accepted connections. Each peer uses one.
	maxPeerConnections = 1024
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	r := rpc.NewServer()
	if err := r.RegisterName(serviceName, service{s}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.track(c) {
			_ = c.Close()
			continue
		}
		go func() {
			defer s.untrack(c)
			r.ServeCodec(newServerCodec(c))
		}()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxPeerConnections {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes all connections and rejects new ones. The caller closes the
// listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// Call decodes a request, dispatches it and encodes the response.
func (v service) Call(in []byte, out *[]byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	var env envelope
	if err := cbor.Unmarshal(in, &env); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	body, err := v.s.dispatch(ctx, &env)
	reply := envelope{}
	if err != nil {
		reply.Error = encodeError(err)
	} else if reply.Body, err = cbor.Marshal(body); err != nil {
		return fmt.Errorf("encode answer to %s: %w", env.Method, err)
	}
	*out, err = cbor.Marshal(reply)
	return err
}

func (s *Server) dispatch(ctx context.Context, env *envelope) (any, error) {
	switch env.Method {
	case methodExchange:
		return s.handleExchange(env.Body)
	case methodNews:
		return s.handleNews(env.Body)
	case methodConfig:
		return configOut{Config: s.Local.Config()}, nil
	case methodClaim, methodFinish, methodRelease:
		return s.handleClaim(ctx, env)
	case methodWork:
		work, err := s.Local.Work(ctx)
		return workOut{work}, err
	default:
		return nil, fmt.Errorf("unknown message %q", env.Method)
	}
}

func (s *Server) handleExchange(body []byte) (any, error) {
	var in ask
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode exchange: %w", err)
	}
	out := s.Members.handleAsk(s.Clock.Now(), &in)
	s.Local.HandlePeerUpdate(PeerUpdate{Address: in.Address, ConfigVersion: in.Config})
	return out, nil
}

func (s *Server) handleNews(body []byte) (any, error) {
	var in news
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode news: %w", err)
	}
	if s.Members.merge(s.Clock.Now(), in.Deltas) {
		s.Local.HandlePeerUpdate(PeerUpdate{Urgent: true})
	}
	return struct{}{}, nil
}

func (s *Server) handleClaim(ctx context.Context, env *envelope) (any, error) {
	var in claimIn
	if err := cbor.Unmarshal(env.Body, &in); err != nil {
		return nil, fmt.Errorf("decode claim: %w", err)
	}
	claims := s.Local.Claims()
	switch env.Method {
	case methodClaim:
		t, err := claims.ClaimAs(ctx, in.Key, in.Token.ID)
		return claimOut{t}, err
	case methodFinish:
		return claimOut{}, claims.Finish(ctx, in.Token, in.Answer)
	default:
		return claimOut{}, claims.Release(ctx, in.Token)
	}
}
