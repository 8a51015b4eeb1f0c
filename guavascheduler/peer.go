package guavascheduler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavascale.example"
	"guavascale.example/guavahandover"
	"guavascale.example/guavapeer"
	"guavascale.example/guavarelay"
)

type (
	// service is the net/rpc receiver for calls between daemons. The argument of
	// its exported method is a CBOR-encoded envelope and the result a CBOR-encoded
	// reply.
	service struct{ s *Scheduler }

	// peerConn is a connection whose first bytes have been buffered.
	peerConn struct {
		r *bufio.Reader
		net.Conn
	}

	// method is the name of a call between daemons.
	method string

	envelope struct {
		Method method
		Body   cbor.RawMessage
	}

	// verdict is the outcome of a call.
	verdict int

	submitIn struct {
		Submission guavascale.Submission
		// Wait is how long the sender waits for the reply.
		Wait time.Duration
	}

	// pingIn identifies the daemon that sends the ping.
	pingIn struct {
		Instance string
		Strength float64
		Zone     guavascale.Zone
		// CanRelay is set if the daemon can make calls to workers for the owner.
		CanRelay bool
		// Address is where peers reach the daemon, and Uptime the age of its process.
		// Older daemons send neither.
		Address string
		Uptime  time.Duration
	}

	idIn struct {
		// ID is that of a submission, or the name of a queue.
		ID   string
		Wait time.Duration
		// Queue is the queue that the sender's catalog declares under that name;
		// older daemons send none.
		Queue guavascale.Queue `cbor:",omitzero"`
	}

	// reply is the result of every call.
	reply struct {
		Verdict    verdict
		Reason     string
		RetryAfter time.Duration
		State      guavascale.SubmissionState
		Pending    int
		// Invalid is set in the reply to a submission that is rejected as not valid.
		Invalid *guavascale.ValidationError `cbor:",omitempty"`
		// Relay is set in the reply to a ping if the owner wants the daemon as a
		// relay.
		Relay bool
		// Next is the address of the daemon to which the sender has just released the
		// shard.
		Next string `cbor:",omitempty"`
	}

	peerClient struct {
		pool guavapeer.Pool
	}

	// notOwnerError reports that a daemon does not own the shard, or owns it but
	// can't commit. Reason is why, or "" if the daemon doesn't tell.
	// Next is the address of the daemon to which it has just released the shard, or "".
	notOwnerError struct {
		Address string
		Reason  string
		Next    string
	}
)

const (
	// verdictNotOwner means that the daemon does not own the shard and the
	// request had no effect.
	verdictNotOwner verdict = iota
	verdictDone
	verdictRejected
	verdictNotFound
	verdictUnknown
	// verdictSlow means that the owner is waiting for a slow store.
	verdictSlow
)

const (
	methodPing    method = "Ping"
	methodSubmit  method = "Submit"
	methodState   method = "State"
	methodCancel  method = "Cancel"
	methodPending method = "Pending"
	// methodLeave tells the owner that the sender is shutting down. The others are an
	// owner's messages to its heir.
	methodLeave   method = "Leave"
	methodPrepare method = "Prepare"
	methodChanges method = "Changes"
	methodRelease method = "Release"
)

const (
	serviceName = "Scheduler"
	pingTimeout = 500 * time.Millisecond
	// callMargin is added to the time that the handler waits to get the timeout
	// of a call.
	callMargin = 150 * time.Millisecond
	// maxPeerConnections limits the accepted connections. Each peer uses one.
	maxPeerConnections = 1024
)

// errOwnerSlow is returned by ping if the owner is waiting for a slow store.
var errOwnerSlow = errors.New("the owner is waiting for the store")

// codec encodes times with nanosecond precision.
var codec = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic("guavascheduler: invalid CBOR encoding options: " + err.Error())
	}
	return m
}()

func (e *notOwnerError) Error() string { return "daemon " + e.Address + " does not own the shard" }

// ServePeers serves calls of other daemons until the listener is closed.
func (s *Scheduler) ServePeers(l net.Listener) error {
	r := rpc.NewServer()
	if err := r.RegisterName(serviceName, service{s}); err != nil {
		return err
	}
	slots := make(chan struct{}, maxPeerConnections)
	var (
		mu    sync.Mutex
		conns = make(map[net.Conn]struct{})
	)
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range conns {
			_ = c.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		mu.Lock()
		conns[c] = struct{}{}
		mu.Unlock()
		go func() {
			s.servePeer(r, c)
			mu.Lock()
			delete(conns, c)
			mu.Unlock()
			<-slots
		}()
	}
}

// servePeer serves one connection: calls, or the stream of a relay. It returns when a
// relay has joined, whose connection the term closes.
func (s *Scheduler) servePeer(r *rpc.Server, c net.Conn) {
	br := bufio.NewReader(c)
	first, err := br.Peek(len(guavarelay.Preamble))
	if err != nil || string(first) != guavarelay.Preamble {
		r.ServeConn(peerConn{br, c})
		return
	}
	_, _ = br.Discard(len(guavarelay.Preamble))
	s.serveRelay(c, br)
}

// Read reads from the buffer in front of the connection.
func (c peerConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// Call handles a call from a peer.
func (v service) Call(in []byte, out *[]byte) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			v.s.Log.Error().Interface("Fault", fault).Bytes("Stack", debug.Stack()).Msg("scheduler: a peer's call panicked")
			err = fmt.Errorf("panic: %v", fault)
		}
	}()
	var env envelope
	if err := cbor.Unmarshal(in, &env); err != nil {
		return fmt.Errorf("decode a call: %w", err)
	}
	r, err := v.s.serve(env)
	if err != nil {
		return fmt.Errorf("serve %s: %w", env.Method, err)
	}
	*out, err = codec.Marshal(r)
	return err
}

// serve decodes a call and passes it to its handler.
func (s *Scheduler) serve(env envelope) (reply, error) {
	switch env.Method {
	case methodPing:
		var in pingIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		s.successors.record(s.Clock.Now(), in)
		return s.pingReply(in.Instance), nil
	case methodSubmit:
		var in submitIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		return s.submitLocal(in.Submission, in.Wait), nil
	case methodLeave:
		var in pingIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		s.successors.leave(s.Clock.Now(), in.Instance)
		return reply{Verdict: verdictDone}, nil
	case methodPrepare:
		var in prepareIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		return s.prepareLocal(in), nil
	case methodChanges:
		var in changesIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		return s.changesLocal(in), nil
	case methodRelease:
		var in releaseIn
		err := cbor.Unmarshal(env.Body, &in)
		if err != nil {
			return reply{}, err
		}
		return s.releaseLocal(in), nil
	}
	var in idIn
	if err := cbor.Unmarshal(env.Body, &in); err != nil {
		return reply{}, err
	}
	switch env.Method {
	case methodState:
		return s.stateLocal(in.ID, in.Wait), nil
	case methodCancel:
		return s.cancelLocal(in.ID, in.Wait), nil
	case methodPending:
		in.Queue.Name = in.ID
		return s.pendingLocal(in.Queue, in.Wait), nil
	default:
		return reply{}, fmt.Errorf("method %q does not exist", env.Method)
	}
}

// pingReply returns the response to a ping. An owner whose commits fail reports
// that it does not own the shard, so that another daemon can claim it. An owner
// whose commit merely takes long, or whose release is in flight, reports verdictSlow:
// another daemon's claim would come in the way of the heir's.
func (s *Scheduler) pingReply(instance string) reply {
	t := s.term.Load()
	if t == nil {
		reason, _ := s.endReason.Load().(guavahandover.Reason)
		return reply{Reason: string(reason), Next: s.refer()}
	}
	retiring := t.retiring.Load()
	fresh := t.commitAge(s.Clock.Now()) <= staleCommitAge
	switch {
	case fresh && !retiring:
		return reply{Verdict: verdictDone, Relay: t.invites(instance)}
	case !fresh && t.failures.Load() >= outageThreshold:
		return reply{Reason: string(guavahandover.CommitsFailed)}
	default:
		return reply{Verdict: verdictSlow}
	}
}

// ping returns whether the owner wants this daemon as a relay.
func (p *peerClient) ping(ctx context.Context, addr string, in pingIn) (invited bool, err error) {
	out, err := p.call(ctx, addr, methodPing, pingTimeout, in)
	if err != nil {
		// A ping without a response means that the connection or the peer is not
		// responding. Other calls may time out because their callers stop
		// waiting, so they don't drop the connection.
		p.pool.Drop(addr)
		return false, err
	}
	switch out.Verdict {
	case verdictDone:
		return out.Relay, nil
	case verdictSlow:
		return false, errOwnerSlow
	default:
		return false, &notOwnerError{Address: addr, Reason: out.Reason, Next: out.Next}
	}
}

// call makes a call in which the peer's handler waits for up to wait.
func (p *peerClient) call(ctx context.Context, addr string, m method, wait time.Duration, in any) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	body, err := codec.Marshal(in)
	if err != nil {
		return reply{}, fmt.Errorf("encode %s: %w", m, err)
	}
	data, err := codec.Marshal(envelope{Method: m, Body: body})
	if err != nil {
		return reply{}, fmt.Errorf("encode %s: %w", m, err)
	}
	// The connection's goroutine may still write to the result after the call
	// has timed out, so results can't be reused.
	result := new([]byte)
	if err := p.pool.Call(ctx, addr, serviceName+".Call", data, result); err != nil {
		return reply{}, err
	}
	var out reply
	if err := cbor.Unmarshal(*result, &out); err != nil {
		return reply{}, fmt.Errorf("decode the answer to %s: %w", m, err)
	}
	return out, nil
}

// isRefused reports whether the peer's host refused the connection, which shows
// that the peer's process has ended.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// referredTo returns the address of the new owner if the peer has told it.
func referredTo(err error) string {
	var e *notOwnerError
	if errors.As(err, &e) {
		return e.Next
	}
	return ""
}

// isNotOwner reports whether the peer replied that it does not own the shard or
// can't commit.
func isNotOwner(err error) bool {
	var e *notOwnerError
	return errors.As(err, &e)
}
