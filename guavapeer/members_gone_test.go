package guavapeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavascale.example"
)

// Guards against a peer that is taken for gone while it is merely silent, and
// one that stays gone after news of it.
func TestGone(t *testing.T) {
	now := time.Now()
	peer := func(instance, address string, sequence uint64) []guavascale.Summary {
		return []guavascale.Summary{{Daemon: "a", Instance: instance, PeerAddress: address, Sequence: sequence}}
	}
	tests := map[string]struct {
		then func(m *Members)
		want []string
	}{
		"silent":                   {then: func(*Members) {}},
		"refused":                  {then: func(m *Members) { m.Refused("10.0.0.1:1") }, want: []string{"a-1"}},
		"other address refused":    {then: func(m *Members) { m.Refused("10.0.0.2:1") }},
		"restarted there":          {then: func(m *Members) { m.Merge(now, peer("a-2", "10.0.0.1:1", 1)) }, want: []string{"a-1"}},
		"restarted elsewhere":      {then: func(m *Members) { m.Merge(now, peer("a-2", "10.0.0.2:1", 1)) }},
		"heard of after refusal":   {then: func(m *Members) { m.Refused("10.0.0.1:1"); m.Merge(now, peer("a-1", "10.0.0.1:1", 2)) }},
		"stale news after refusal": {then: func(m *Members) { m.Refused("10.0.0.1:1"); m.Merge(now, peer("a-1", "10.0.0.1:1", 1)) }, want: []string{"a-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m Members
			m.Merge(now, peer("a-1", "10.0.0.1:1", 1))
			tt.then(&m)
			require.Equal(t, tt.want, m.Gone())
		})
	}
}
