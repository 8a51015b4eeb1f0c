package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"guavascale.example"
	"guavascale.example/guavafake"
	"guavascale.example/guavastore"
)

// Guards against a program that does not serve the fleet given by its options,
// or does not stop when its context is canceled.
func TestRun(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r, w := io.Pipe()
	done := make(chan error, 1)
	o := options{Listen: "127.0.0.1:0", EndpointHost: "127.0.0.1", Workers: 20, Zones: []string{"A", "B"}, Cores: 1.5}
	go func() { done <- run(ctx, o, w, zerolog.Nop()) }()
	line, err := bufio.NewReader(r).ReadBytes('\n')
	require.NoError(t, err)
	var s started
	require.NoError(t, json.Unmarshal(line, &s))

	hosts := &guavastore.HostList{Address: s.Address}
	list, err := hosts.Workers(ctx)
	require.NoError(t, err)
	require.Len(t, list, 20)
	require.Equal(t, guavascale.WorkerID("B-9"), list[19].ID)
	require.Equal(t, 1, list[19].Rack)
	require.Equal(t, int64(1500), list[19].Capacity.MilliCores)

	control := guavafake.Control{Address: s.Address}
	require.NoError(t, control.Act("A-0", guavafake.ActionKill))
	var nf *guavascale.NotFoundError
	require.ErrorAs(t, control.Act("none", guavafake.ActionKill), &nf)
	require.NoError(t, control.SetHostListFaults(guavafake.HostListFaults{}))
	list, err = hosts.Workers(ctx)
	require.NoError(t, err)
	require.Len(t, list, 19)
	require.NoError(t, control.SetTableFaults(guavafake.StoreFaults{Down: true}))
	_, err = (&guavastore.Table{Address: s.Address}).Get(ctx, "A")
	require.Error(t, err)
	state, err := control.State()
	require.NoError(t, err)
	require.Equal(t, int64(1), state.Table.Unavailable)
	require.Empty(t, state.Verdict.Violations)
	stop()
	require.NoError(t, <-done)
}
