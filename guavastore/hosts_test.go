package guavastore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavastore"
)

// Guards against a client whose list diverges from that of the platform: workers
// that leave, return or change, and a platform that starts a new history.
func TestHostListFollowsChanges(t *testing.T) {
	p := &guavafake.Platform{}
	address, err := p.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = p.Close(context.Background()) }()
	for i := range 5 {
		p.Fleet.Add(guavascale.Worker{ID: guavascale.WorkerID(fmt.Sprintf("w%d", i)), Zone: "Rennes"})
	}
	hosts := &guavastore.HostList{Address: address}
	check := func(want int) {
		t.Helper()
		expected, err := p.Fleet.Workers(t.Context())
		require.NoError(t, err)
		list, err := hosts.Workers(t.Context())
		require.NoError(t, err)
		assert.ElementsMatch(t, expected, list)
		assert.Len(t, list, want)
	}
	check(5)
	check(5)
	require.NoError(t, p.Fleet.SetLeaving("w1", true))
	require.NoError(t, p.Fleet.Kill("w2"))
	check(4)
	require.NoError(t, p.Fleet.Restart("w2"))
	p.Fleet.Add(guavascale.Worker{ID: "w9", Zone: "Brest"})
	check(6)
	require.NoError(t, p.Fleet.Kill("w9"))
	check(5)
	require.NoError(t, p.Fleet.Kill("w3"))
	require.NoError(t, p.Fleet.Restart("w3"))
	check(5)

	other := &guavafake.Platform{}
	next, err := other.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = other.Close(context.Background()) }()
	other.Fleet.Add(guavascale.Worker{ID: "w3", Zone: "Brest"})
	hosts.Address = next
	list, err := hosts.Workers(t.Context())
	require.NoError(t, err)
	assert.Equal(t, []guavascale.Worker{{ID: "w3", Zone: "Brest"}}, list)
}
