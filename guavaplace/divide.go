package guavaplace

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// ShardCapacity is the capacity by which Divide weights a shard.
	ShardCapacity struct {
		Shard guavascale.Partition
		Zone  guavascale.Zone
		// MilliCores is the total capacity of the workers that can run
		// instances.
		MilliCores int64
	}

	// allocation is a zone or a shard with the number of instances assigned to
	// it.
	allocation struct {
		name      string
		weight    float64
		count     int
		remainder float64
		hash      uint64
		shards    []allocation
	}
)

// Divide distributes n instances of a service over shards. Each zone first gets
// one instance while instances remain, so that a service with two or more
// instances in two or more zones survives the loss of any one zone. The
// remaining instances are apportioned to zones, and within a zone to shards, in
// proportion to capacity by the largest-remainder method. Ties are broken by a
// hash of the service and the name of the zone or shard, so that small services
// do not all run in the same zone or shard. The result does not depend on the
// order of the shards, so that all owners compute the same result without
// coordination.
func Divide(service string, n int, shards []ShardCapacity) map[guavascale.Partition]int {
	result := make(map[guavascale.Partition]int, len(shards))
	zones := groupByZone(service, shards)
	if len(zones) == 0 || n <= 0 {
		return result
	}
	allocateZones(zones, n)
	for _, z := range zones {
		apportion(z.shards, z.count)
		for _, s := range z.shards {
			if s.count > 0 {
				result[guavascale.Partition(s.name)] = s.count
			}
		}
	}
	return result
}

// groupByZone returns the zones with capacity and their shards, both sorted by
// name.
func groupByZone(service string, shards []ShardCapacity) []allocation {
	byZone := make(map[guavascale.Zone]*allocation)
	for _, s := range shards {
		if s.MilliCores <= 0 {
			continue
		}
		z := byZone[s.Zone]
		if z == nil {
			z = &allocation{name: string(s.Zone), hash: tieBreakHash(service, string(s.Zone))}
			byZone[s.Zone] = z
		}
		// Capacities are integers below 2^53, so their floating-point sums are
		// exact and do not depend on the order of summation.
		z.weight += float64(s.MilliCores)
		z.shards = append(z.shards, allocation{
			name: string(s.Shard), weight: float64(s.MilliCores), hash: tieBreakHash(service, string(s.Shard)),
		})
	}
	zones := make([]allocation, 0, len(byZone))
	for _, z := range byZone {
		slices.SortFunc(z.shards, byName)
		zones = append(zones, *z)
	}
	slices.SortFunc(zones, byName)
	return zones
}

func byName(a, b allocation) int { return cmp.Compare(a.name, b.name) }

func tieBreakHash(service, name string) uint64 { return xxhash.Sum64String(service + "\x00" + name) }

// allocateZones assigns one of n instances to each zone and apportions the
// others so that the totals are close to proportional to capacity. With fewer
// instances than zones, the zones with the most capacity get one each.
func allocateZones(zones []allocation, n int) {
	if n <= len(zones) {
		for _, i := range rankDescending(zones, func(p *allocation) float64 { return p.weight })[:n] {
			zones[i].count = 1
		}
		return
	}
	total := 0.0
	for i := range zones {
		total += zones[i].weight
	}
	remaining := make([]allocation, len(zones))
	for i, z := range zones {
		remaining[i] = allocation{name: z.name, hash: z.hash, weight: max(float64(n)*z.weight/total-1, 0)}
	}
	apportion(remaining, n-len(zones))
	for i := range zones {
		zones[i].count = 1 + remaining[i].count
	}
}

// apportion distributes n instances over allocations in proportion to their
// weights by the largest-remainder method.
func apportion(allocations []allocation, n int) {
	total := 0.0
	for i := range allocations {
		total += allocations[i].weight
	}
	if total <= 0 || n <= 0 {
		return
	}
	unassigned := n
	for i := range allocations {
		p := &allocations[i]
		exact := float64(n) * p.weight / total
		p.count = int(exact)
		p.remainder = exact - float64(p.count)
		unassigned -= p.count
	}
	for _, i := range rankDescending(allocations, func(p *allocation) float64 { return p.remainder }) {
		if unassigned <= 0 {
			return
		}
		allocations[i].count++
		unassigned--
	}
}

// rankDescending returns the indexes of allocations sorted by descending value,
// with ties broken by hash and then by name.
func rankDescending(allocations []allocation, value func(*allocation) float64) []int {
	order := make([]int, len(allocations))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := &allocations[i], &allocations[j]
		return cmp.Or(cmp.Compare(value(b), value(a)), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return order
}
