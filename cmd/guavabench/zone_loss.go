package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
	"guavascale.example/guavaplace"
)

// zoneLossResult is the effect of losing, for each service, the zone with most of
// its instances.
type zoneLossResult struct {
	// allLost is the fraction of services that lose all their instances. worst is
	// the mean fraction of its instances that a service loses.
	allLost, worst float64
}

// zoneTable compares ways of distributing service instances over zones.
func (c placementCmd) zoneTable(b *strings.Builder) {
	b.WriteString("\n## Services over zones\n\n1,000 services divided over shards of 256 to 2,048 cores: 3 zones of 1 to 3 shards, and 11 zones of 1 to 40. The loss of one zone, the worst for each service. The baseline is the largest remainder over all shards, without zones.\n\n")
	b.WriteString("| Zones | Instances | Division | Services with all instances in one zone | Instances lost with the worst zone |\n|---|---|---|---|---|\n")
	for _, zones := range []int{3, 11} {
		for _, n := range []int{2, 3, 6, 20} {
			for _, zoned := range []bool{false, true} {
				name, divide := "largest remainder", largestRemainder
				if zoned {
					name, divide = "Divide", guavaplace.Divide
				}
				rs := runSeeds(c.Seeds, func(seed uint64) zoneLossResult { return simulateZoneLoss(seed, zones, n, divide) })
				fmt.Fprintf(b, "| %d | %d | %s | %s | %s |\n", zones, n, name,
					aggregate(rs, func(r zoneLossResult) float64 { return r.allLost }),
					aggregate(rs, func(r zoneLossResult) float64 { return r.worst }))
			}
		}
	}
}

func simulateZoneLoss(seed uint64, zones, n int, divide func(string, int, []guavaplace.ShardCapacity) map[guavascale.Partition]int) zoneLossResult {
	rng := rand.New(rand.NewPCG(seed, 6))
	most := 3
	if zones > 3 {
		most = 40
	}
	var shards []guavaplace.ShardCapacity
	for z := range zones {
		for i := range 1 + rng.IntN(most) {
			shards = append(shards, guavaplace.ShardCapacity{
				Shard: guavascale.Partition(fmt.Sprintf("Shard-z%d-%d", z, i)), Zone: guavascale.Zone(fmt.Sprintf("z%d", z)),
				MilliCores: int64(256+rng.IntN(1793)) * 1000,
			})
		}
	}
	const services = 1000
	var r zoneLossResult
	for i := range services {
		counts := divide(fmt.Sprintf("s%d", i), n, shards)
		byZone, worst := make(map[guavascale.Zone]int), 0
		for _, s := range shards {
			byZone[s.Zone] += counts[s.Shard]
			worst = max(worst, byZone[s.Zone])
		}
		if worst == n {
			r.allLost += 1.0 / services
		}
		r.worst += float64(worst) / float64(n) / services
	}
	return r
}

// largestRemainder distributes instances over shards in proportion to capacity,
// by the largest remainder method. It ignores zones.
func largestRemainder(service string, n int, shards []guavaplace.ShardCapacity) map[guavascale.Partition]int {
	type share struct {
		shard     guavascale.Partition
		remainder float64
		hash      uint64
	}
	var total int64
	for _, s := range shards {
		total += s.MilliCores
	}
	result := make(map[guavascale.Partition]int)
	shares := make([]share, 0, len(shards))
	left := n
	for _, s := range shards {
		exact := float64(n) * float64(s.MilliCores) / float64(total)
		result[s.Shard] = int(exact)
		left -= int(exact)
		shares = append(shares, share{s.Shard, exact - float64(int(exact)), xxhash.Sum64String(service + "\x00" + string(s.Shard))})
	}
	slices.SortFunc(shares, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.hash, b.hash))
	})
	for i := range left {
		result[shares[i].shard]++
	}
	return result
}
