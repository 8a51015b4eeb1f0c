package guavalease

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"guavascale.example/internal/bubbletest"
	"guavascale.example/internal/storetest"
)

// Guards against partitions that wait for the rank delay of their former
// owner after its shutdown, or that move to a daemon which is shutting down
// too.
func TestLeavingDaemonsAreNotRanked(t *testing.T) {
	tests := map[string]struct {
		leaving []string
		live    []string
	}{
		"one":         {leaving: []string{"b"}, live: []string{"a", "c"}},
		"two":         {leaving: []string{"b", "c"}, live: []string{"a"}},
		"itself":      {leaving: []string{"a"}, live: []string{"a", "b", "c"}},
		"none":        {live: []string{"a", "b", "c"}},
		"not a known": {leaving: []string{"x"}, live: []string{"a", "b", "c"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine(Config{Daemon: "a"}, rand.New(rand.NewPCG(1, 1)))
			m.SetMembers([]string{"a", "b", "c"})
			m.SetLeaving(tt.leaving)
			assert.Equal(t, tt.live, m.liveDaemons())
		})
	}
}

// Guards against partitions that are left without an owner when all daemons
// but one shut down at the same time and one of them does not finish.
func TestOneDaemonRemains(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		table := storetest.New()
		a, b, c := startDriver(t, table, "a"), startDriver(t, table, "b"), startDriver(t, table, "c")
		time.Sleep(90 * time.Second)
		for _, d := range []*Driver{a, b, c} {
			d.SetLeaving([]string{"b", "c"})
		}
		require.NoError(t, b.Close(context.Background()))
		time.Sleep(time.Minute)
		require.NoError(t, c.Close(context.Background()))
		time.Sleep(time.Minute)
		for _, p := range testPartitions {
			_, err := a.Check(p)
			assert.NoError(t, err, p)
			row, ok := a.Leases().Owner(p)
			assert.True(t, ok)
			assert.Equal(t, "a", row.Instance[:1])
		}
		assert.ElementsMatch(t, testPartitions, a.Leases().Known())
	})
}
