package guavadaemon

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavapeer"
)

// slowOwner grants claims and answers too late.
type slowOwner struct {
	mu       sync.Mutex
	granted  string
	released chan string
}

func (o *slowOwner) Config() *guavascale.Config { return nil }

func (o *slowOwner) HandlePeerUpdate(guavapeer.PeerUpdate) {}

func (o *slowOwner) Work(context.Context) (guavascale.Work, error) { return guavascale.Work{}, nil }

func (o *slowOwner) Claims() guavapeer.ClaimOwner { return o }

func (o *slowOwner) ClaimAs(_ context.Context, _, id string) (guavascale.ClaimToken, error) {
	o.mu.Lock()
	o.granted = id
	o.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	return guavascale.ClaimToken{ID: id}, nil
}

func (o *slowOwner) Finish(context.Context, guavascale.ClaimToken, guavascale.Answer) error {
	return nil
}

func (o *slowOwner) Release(_ context.Context, t guavascale.ClaimToken) error {
	o.released <- t.ID
	return nil
}

// Guards against a key that stays taken although its request was refused as not
// run, because the answer of the claim was lost.
func TestLostClaimIsGivenBack(t *testing.T) {
	owner := &slowOwner{released: make(chan string, releaseAttempts)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &guavapeer.Server{Members: &guavapeer.Members{}, Local: owner, Clock: guavascale.WallClock{}}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	defer func() { _ = ln.Close() }()

	b, _ := newTestBackend(t)
	b.d.peers.Timeout = 50 * time.Millisecond
	r := &remoteClaims{d: b.d, find: func(guavascale.Partition) (string, error) { return ln.Addr().String(), nil }}
	_, err = r.Claim(context.Background(), "Claim-0", "ballot-7")
	var down *guavascale.UnavailableError
	require.ErrorAs(t, err, &down)
	id := <-owner.released
	owner.mu.Lock()
	defer owner.mu.Unlock()
	require.Equal(t, owner.granted, id)
}
