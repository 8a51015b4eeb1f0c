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

// lateOwner grants claims but responds after the caller's timeout.
type lateOwner struct {
	mu       sync.Mutex
	granted  string
	released chan string
}

func (o *lateOwner) Config() *guavascale.Config { return nil }

func (o *lateOwner) HandlePeerUpdate(guavapeer.PeerUpdate) {}

func (o *lateOwner) Work(context.Context) (guavascale.Work, error) { return guavascale.Work{}, nil }

func (o *lateOwner) Claims() guavapeer.ClaimOwner { return o }

func (o *lateOwner) ClaimAs(_ context.Context, _, id string) (guavascale.ClaimToken, error) {
	o.mu.Lock()
	o.granted = id
	o.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	return guavascale.ClaimToken{ID: id}, nil
}

func (o *lateOwner) Finish(context.Context, guavascale.ClaimToken, guavascale.Answer) error {
	return nil
}

func (o *lateOwner) Release(_ context.Context, t guavascale.ClaimToken) error {
	o.released <- t.ID
	return nil
}

// Guards against a key that stays claimed although its request was refused as
// not run: the owner granted the claim, but its response was lost.
func TestLostClaimIsReleased(t *testing.T) {
	owner := &lateOwner{released: make(chan string, releaseAttempts)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &guavapeer.Server{Members: &guavapeer.Members{}, Local: owner, Clock: guavascale.WallClock{}}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	defer func() { _ = ln.Close() }()

	b, _ := newTestBackend(t)
	b.d.peers.Timeout = 50 * time.Millisecond
	r := &remoteClaims{d: b.d, ownerAddress: func(guavascale.Partition) (string, error) { return ln.Addr().String(), nil }}
	_, err = r.Claim(context.Background(), "Claim-0", "ballot-7")
	var down *guavascale.UnavailableError
	require.ErrorAs(t, err, &down)
	id := <-owner.released
	owner.mu.Lock()
	defer owner.mu.Unlock()
	require.Equal(t, owner.granted, id)
}
