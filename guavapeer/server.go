// Package guavapeer carries messages between daemons and keeps the list of
// daemons.
//
// The model: every daemon announces a summary of itself. The summary consists of
// a heartbeat, a card, and for each owned partition its load and its endpoints
// in chunks. Each part carries the version at which it last changed, so a peer
// that holds the summary up to a version lacks exactly the parts with a higher
// one. Members holds the parts of all daemons, decides what to send, and does no
// I/O.
//
// Once a second a daemon exchanges news with a few peers (Fanout). It sends a
// digest of 10 bytes for each live daemon: heartbeat and version. The peer
// answers with the heartbeats and parts that it knows better and with a list of
// what it lacks, which the caller sends in a second call. Heartbeats count from
// the digests of both sides. News that something is leaving start a round at
// once on every daemon that they reach, as a newer configuration does.
//
// A daemon is suspected after 3 s without a new heartbeat and then probed by the
// next exchanges; it counts as dead after 5 s. This list decides on routing
// only. Ownership is decided in the store, so a wrong suspicion moves nothing.
//
// Messages travel as net/rpc calls that take and return one byte slice, which
// holds a CBOR envelope. net/rpc itself knows neither deadlines nor
// cancellation: each call has a timeout here, and a connection on which a call
// timed out is closed, so that a late answer can reach nobody.
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
	// Local is the part of a daemon that answers peers. Its methods are called
	// concurrently.
	Local interface {
		// Config returns the newest document that the daemon knows.
		Config() *guavascale.Config
		// Heard is called after a message of a peer. It must not block.
		Heard(m Met)
		// Work returns the content of the owned shards.
		Work(ctx context.Context) (guavascale.Work, error)
		// Claims serves the claim partitions that the daemon owns.
		Claims() ClaimOwner
	}

	// ClaimOwner grants the keys of the partitions that a daemon owns.
	ClaimOwner interface {
		ClaimAs(ctx context.Context, key, id string) (guavascale.ClaimToken, error)
		Finish(ctx context.Context, t guavascale.ClaimToken, a guavascale.Answer) error
		Release(ctx context.Context, t guavascale.ClaimToken) error
	}

	// Server answers the calls of peers. Members, Local and Clock must be set
	// before Serve.
	Server struct {
		Members *Members
		Local   Local
		Clock   guavascale.Clock

		mu     sync.Mutex
		conns  map[net.Conn]struct{}
		closed bool
	}

	// Met tells of an exchange with a peer.
	Met struct {
		// Address is the peer's address and ConfigVersion its configuration;
		// both are zero when the peer only sent news.
		Address       string
		ConfigVersion uint64
		// Urgent is set when the peer told that an endpoint or a daemon is
		// leaving.
		Urgent bool
	}

	// service is what net/rpc sees; its exported method is the wire protocol.
	service struct{ s *Server }
)

const (
	serviceName = "Guavascale"
	// handlerTimeout bounds the work for one call on the server.
	handlerTimeout = 5 * time.Second
	// maxPeerConnections bounds the accepted connections. Each peer uses one.
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

// Close closes all connections. The listener belongs to the caller.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// Call handles one message.
func (v service) Call(in []byte, out *[]byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	var env envelope
	if err := cbor.Unmarshal(in, &env); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	body, err := v.s.handle(ctx, &env)
	reply := envelope{}
	if err != nil {
		reply.Error = encodeError(err)
	} else if reply.Body, err = cbor.Marshal(body); err != nil {
		return fmt.Errorf("encode answer to %s: %w", env.Method, err)
	}
	*out, err = cbor.Marshal(reply)
	return err
}

func (s *Server) handle(ctx context.Context, env *envelope) (any, error) {
	switch env.Method {
	case methodExchange:
		return s.exchange(env.Body)
	case methodNews:
		return s.news(env.Body)
	case methodConfig:
		return configOut{Config: s.Local.Config()}, nil
	case methodClaim, methodFinish, methodRelease:
		return s.claim(ctx, env)
	case methodWork:
		work, err := s.Local.Work(ctx)
		return workOut{work}, err
	default:
		return nil, fmt.Errorf("unknown message %q", env.Method)
	}
}

func (s *Server) exchange(body []byte) (any, error) {
	var in ask
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode exchange: %w", err)
	}
	out := s.Members.answer(s.Clock.Now(), &in)
	s.Local.Heard(Met{Address: in.Address, ConfigVersion: in.Config})
	return out, nil
}

func (s *Server) news(body []byte) (any, error) {
	var in news
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("decode news: %w", err)
	}
	if s.Members.merge(s.Clock.Now(), in.Deltas) {
		s.Local.Heard(Met{Urgent: true})
	}
	return struct{}{}, nil
}

func (s *Server) claim(ctx context.Context, env *envelope) (any, error) {
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
