package guavapeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against treating an unresponsive peer as exited, and against a peer that
// stays marked as exited after a new heartbeat.
func TestExitedPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(time.Second)
	peer := func(instance, address string) *Members {
		m := &Members{}
		m.SetSelf(start, guavascale.Summary{Daemon: "a", Instance: instance, PeerAddress: address})
		return m
	}
	tests := map[string]struct {
		// action runs after m and witness have exchanged updates with the
		// peer a-1.
		action func(m, a, witness *Members)
		want   []string
	}{
		"silent":                        {action: func(_, _, _ *Members) {}},
		"refused":                       {action: func(m, _, _ *Members) { m.ConnectionRefused("10.0.0.1:1") }, want: []string{"a-1"}},
		"other address refused":         {action: func(m, _, _ *Members) { m.ConnectionRefused("10.0.0.2:1") }},
		"restarted at the same address": {action: func(m, _, _ *Members) { ExchangeInProcess(later, m, peer("a-2", "10.0.0.1:1")) }, want: []string{"a-1"}},
		"restarted at another address":  {action: func(m, _, _ *Members) { ExchangeInProcess(later, m, peer("a-2", "10.0.0.2:1")) }},
		"new heartbeat after refusal": {action: func(m, a, _ *Members) {
			m.ConnectionRefused("10.0.0.1:1")
			a.SetSelf(later, a.Self())
			ExchangeInProcess(later, m, a)
		}},
		"stale heartbeat after refusal": {action: func(m, _, witness *Members) {
			m.ConnectionRefused("10.0.0.1:1")
			ExchangeInProcess(later, m, witness)
		}, want: []string{"a-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, witness, m := peer("a-1", "10.0.0.1:1"), peer("w-1", "10.0.0.9:1"), peer("m-1", "10.0.0.8:1")
			ExchangeInProcess(start, witness, a)
			ExchangeInProcess(start, m, a)
			tt.action(m, a, witness)
			require.Equal(t, tt.want, m.Exited())
		})
	}
}
