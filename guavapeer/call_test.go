package guavapeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

type (
	// testLocal implements Local and ClaimOwner. A claim of the key "slow" blocks
	// until release is closed; every call to ClaimOwner returns err.
	testLocal struct {
		release chan struct{}
		err     error
		mu      sync.Mutex
		updates []PeerUpdate
	}
)

func (l *testLocal) Config() *guavascale.Config { return &guavascale.Config{Version: 9} }

func (l *testLocal) HandlePeerUpdate(u PeerUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updates = append(l.updates, u)
}

func (l *testLocal) Work(context.Context) (guavascale.Work, error) {
	return guavascale.Work{}, errors.New("no shard is open")
}

func (l *testLocal) Claims() ClaimOwner { return l }

func (l *testLocal) ClaimAs(_ context.Context, key, _ string) (guavascale.ClaimToken, error) {
	if key == "slow" {
		<-l.release
	}
	return guavascale.ClaimToken{Key: key}, l.err
}

func (l *testLocal) Finish(context.Context, guavascale.ClaimToken, guavascale.Answer) error {
	return l.err
}

func (l *testLocal) Release(context.Context, guavascale.ClaimToken) error { return l.err }

func serve(t *testing.T, l *testLocal) (string, *Members) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &Members{}
	m.SetSelf(time.Now(), guavascale.Summary{Daemon: "b", Instance: "b-1", PeerAddress: ln.Addr().String(), ConfigVersion: 9})
	s := &Server{Members: m, Local: l, Clock: guavascale.WallClock{}}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close(); s.Close() })
	return ln.Addr().String(), m
}

// Guards against delivering the response to a timed-out call to a later call
// (P5), and against calls that block forever.
func TestLateResponseIsDiscarded(t *testing.T) {
	l := &testLocal{release: make(chan struct{})}
	addr, _ := serve(t, l)
	c := &Client{Timeout: 100 * time.Millisecond}
	defer c.Close()
	_, err := c.Claim(t.Context(), addr, "slow", "1")
	var down *guavascale.UnavailableError
	require.ErrorAs(t, err, &down)
	require.True(t, down.MayHaveApplied, "the peer may have claimed the key")
	assert.Empty(t, c.pool.conns, "the connection of a timed-out call is closed")
	close(l.release)
	c.Timeout = 10 * time.Second
	for _, key := range []string{"a", "b", "c", "d"} {
		token, err := c.Claim(t.Context(), addr, key, "1")
		require.NoError(t, err)
		require.Equal(t, key, token.Key)
	}
}

// Guards against errors that lose their type or fields in transit, which would
// make an already claimed key look like an unreachable peer.
func TestErrorsKeepTheirType(t *testing.T) {
	for name, want := range map[string]error{
		"already run":            &guavascale.AlreadyRunError{Key: "k", Answer: &guavascale.Answer{Status: 201, Body: []byte("done")}},
		"already run, no answer": &guavascale.AlreadyRunError{Key: "k"},
		"lease":                  &guavascale.LeaseError{Partition: "Claim-3", Reason: "the lease ended"},
		"unavailable": &guavascale.UnavailableError{
			System: "table", Op: "Commit", MayHaveApplied: true, Cause: errors.New("down"),
		},
		"certainly not applied": &guavascale.UnavailableError{System: "table", Op: "Get", Cause: errors.New("down")},
		"other":                 errors.New("some text"),
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, &testLocal{err: want})
			c := &Client{}
			defer c.Close()
			_, err := c.Claim(t.Context(), addr, "k", "1")
			require.IsType(t, want, err)
			var down, wantDown *guavascale.UnavailableError
			if errors.As(err, &down) && errors.As(want, &wantDown) {
				assert.Equal(t, []any{wantDown.System, wantDown.Op, wantDown.MayHaveApplied}, []any{down.System, down.Op, down.MayHaveApplied})
				return
			}
			assert.Equal(t, want, err)
		})
	}
}

// Guards against an exchange over the network after which one side still lacks
// the other's summary.
func TestExchange(t *testing.T) {
	l := &testLocal{}
	addr, remote := serve(t, l)
	local := &Members{}
	local.SetSelf(time.Now(), guavascale.Summary{
		Daemon: "a", Instance: "a-1", PeerAddress: "a:1", ConfigVersion: 3,
		Partitions: []guavascale.PartitionSummary{testPartition(0, 0, 3)},
	})
	c := &Client{}
	defer c.Close()
	update, err := c.Exchange(t.Context(), addr, local, guavascale.WallClock{})
	require.NoError(t, err)
	assert.Equal(t, PeerUpdate{Address: addr, ConfigVersion: 9}, update)
	assert.Equal(t, local.Live(time.Now())[1].Daemon, "b")
	got := remote.Live(time.Now())
	require.Len(t, got, 2)
	assert.Equal(t, local.Self().Partitions, got[0].Partitions)
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Equal(t, []PeerUpdate{{Address: "a:1", ConfigVersion: 3}}, l.updates)
}

// Guards against messages that make a daemon panic or change its own summary.
func FuzzMessages(f *testing.F) {
	m := newSimulation(1, 2, 1, 3)
	in := m.daemons[0].members.newAsk(m.now)
	out := m.daemons[1].members.handleAsk(m.now, &ask{})
	for _, e := range []struct {
		m    method
		body any
	}{{methodExchange, in}, {methodNews, news{out.Deltas}}, {methodClaim, claimIn{Key: "k"}}, {methodWork, nil}} {
		body, err := cbor.Marshal(e.body)
		require.NoError(f, err)
		data, err := cbor.Marshal(envelope{Method: e.m, Body: body})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members := &Members{}
		now := time.Unix(1, 0)
		members.SetSelf(now, guavascale.Summary{Daemon: "b", Instance: "b-1"})
		l := &testLocal{release: make(chan struct{})}
		close(l.release)
		s := &Server{Members: members, Local: l, Clock: guavascale.WallClock{}}
		var reply []byte
		_ = service{s}.Call(data, &reply)
		var a answer
		if cbor.Unmarshal(data, &a) == nil {
			members.handleAnswer(now, &a)
		}
		members.Live(now)
		require.Equal(t, "b", members.Self().Daemon, "no message changes the local summary")
	})
}
