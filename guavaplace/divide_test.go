package guavaplace

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavascale.example"
	_ "guavascale.example/internal/fixedseed"
)

// shardsOf returns one shard for each number of cores in each zone.
func shardsOf(zones map[guavascale.Zone][]int64) []ShardCapacity {
	var list []ShardCapacity
	for zone, cores := range zones {
		for i, c := range cores {
			list = append(list, ShardCapacity{guavascale.Partition(fmt.Sprintf("Shard-%s-%d", zone, i)), zone, c * 1000})
		}
	}
	return list
}

func zoneCounts(shards []ShardCapacity, counts map[guavascale.Partition]int) map[guavascale.Zone]int {
	zones := make(map[guavascale.Zone]int)
	for _, s := range shards {
		zones[s.Zone] += counts[s.Shard]
	}
	return zones
}

func TestDivide(t *testing.T) {
	for name, c := range map[string]struct {
		n     int
		zones map[guavascale.Zone][]int64
		// least is the minimum number of instances in each zone.
		least map[guavascale.Zone]int
	}{
		// A large zone must not get both instances of a service.
		"two in two zones":         {2, map[guavascale.Zone][]int64{"a": {900, 900}, "b": {10}}, map[guavascale.Zone]int{"a": 1, "b": 1}},
		"small zone gets one":      {3, map[guavascale.Zone][]int64{"a": {900}, "b": {10}, "c": {10}}, map[guavascale.Zone]int{"a": 1, "b": 1, "c": 1}},
		"proportional":             {12, map[guavascale.Zone][]int64{"a": {60}, "b": {30}, "c": {30}}, map[guavascale.Zone]int{"a": 6, "b": 3, "c": 3}},
		"one zone":                 {5, map[guavascale.Zone][]int64{"a": {10, 10}}, map[guavascale.Zone]int{"a": 5}},
		"zone without capacity":    {2, map[guavascale.Zone][]int64{"a": {10}, "b": {0}}, map[guavascale.Zone]int{"a": 2}},
		"no capacity":              {2, map[guavascale.Zone][]int64{"a": {0}}, nil},
		"nothing wanted":           {0, map[guavascale.Zone][]int64{"a": {10}}, nil},
		"fewer instances than two": {1, map[guavascale.Zone][]int64{"a": {10}, "b": {20}}, map[guavascale.Zone]int{"b": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			shards := shardsOf(c.zones)
			got := zoneCounts(shards, Divide("seats", c.n, shards))
			for zone, least := range c.least {
				require.GreaterOrEqual(t, got[zone], least, zone)
			}
			sum := 0
			for _, n := range got {
				sum += n
			}
			if c.least != nil {
				require.Equal(t, c.n, sum)
			} else {
				require.Zero(t, sum)
			}
		})
	}
}

// Guards against results that depend on the order of the shards, on which
// owners would disagree, and against a service with several instances that all
// run in the same zone.
func TestDivideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shards []ShardCapacity
		zones := rapid.IntRange(1, 11).Draw(t, "zones")
		for z := range zones {
			for i := range rapid.IntRange(1, 4).Draw(t, "shards") {
				shards = append(shards, ShardCapacity{
					Shard: guavascale.Partition(fmt.Sprintf("Shard-%d-%d", z, i)), Zone: guavascale.Zone(fmt.Sprint(z)),
					MilliCores: rapid.Int64Range(1, 64_000_000).Draw(t, "capacity"),
				})
			}
		}
		n := rapid.IntRange(0, 500).Draw(t, "n")
		got := Divide("seats", n, shards)
		sum, used := 0, 0
		for _, count := range zoneCounts(shards, got) {
			sum += count
			used += min(count, 1)
		}
		require.Equal(t, n, sum)
		require.Equal(t, min(n, zones), used)
		require.Equal(t, got, Divide("seats", n, rapid.Permutation(shards).Draw(t, "order")))
	})
}
