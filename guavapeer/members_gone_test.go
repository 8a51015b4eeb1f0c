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
	start := time.Unix(1000, 0)
	later := start.Add(time.Second)
	peer := func(instance, address string) *Members {
		m := &Members{}
		m.SetSelf(start, guavascale.Summary{Daemon: "a", Instance: instance, PeerAddress: address})
		return m
	}
	tests := map[string]struct {
		// then follows after m and witness heard of the peer a-1.
		then func(m, a, witness *Members)
		want []string
	}{
		"silent":                {then: func(_, _, _ *Members) {}},
		"refused":               {then: func(m, _, _ *Members) { m.Refused("10.0.0.1:1") }, want: []string{"a-1"}},
		"other address refused": {then: func(m, _, _ *Members) { m.Refused("10.0.0.2:1") }},
		"restarted there":       {then: func(m, _, _ *Members) { Meet(later, m, peer("a-2", "10.0.0.1:1")) }, want: []string{"a-1"}},
		"restarted elsewhere":   {then: func(m, _, _ *Members) { Meet(later, m, peer("a-2", "10.0.0.2:1")) }},
		"heard of after refusal": {then: func(m, a, _ *Members) {
			m.Refused("10.0.0.1:1")
			a.SetSelf(later, a.Self())
			Meet(later, m, a)
		}},
		"stale news after refusal": {then: func(m, _, witness *Members) {
			m.Refused("10.0.0.1:1")
			Meet(later, m, witness)
		}, want: []string{"a-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, witness, m := peer("a-1", "10.0.0.1:1"), peer("w-1", "10.0.0.9:1"), peer("m-1", "10.0.0.8:1")
			Meet(start, witness, a)
			Meet(start, m, a)
			tt.then(m, a, witness)
			require.Equal(t, tt.want, m.Gone())
		})
	}
}
