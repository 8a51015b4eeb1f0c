package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against two daemons of a cluster that get the same address, of which the second
// never starts.
func TestDaemonsHaveDifferentAddresses(t *testing.T) {
	c := &cluster{spec: clusterSpec{Dir: t.TempDir(), Daemons: 100, Zones: []guavascale.Zone{"a"}}}
	require.NoError(t, c.writeSettings())
	seen := make(map[string]bool)
	for _, s := range c.settings {
		for _, address := range []string{s.Gateway.Listen, s.Operator.Listen, s.Peer.Listen} {
			assert.False(t, seen[address], address)
			seen[address] = true
		}
	}
}
