package guavaplace

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

type (
	// ShardCapacity is the weight of a shard in the division of instances.
	ShardCapacity struct {
		Shard guavascale.Partition
		Zone  guavascale.Zone
		// MilliCores is the capacity of the workers that can take instances.
		MilliCores int64
	}

	// part is a zone or a shard that takes a part of the instances.
	part struct {
		name      string
		weight    float64
		count     int
		remainder float64
		hash      uint64
		shards    []part
	}
)

// Divide splits n instances of a service over shards. Each zone gets one
// instance first, as far as they go, so that the loss of a zone never takes all
// instances of a service with two or more; the others go to zones, and within a
// zone to shards, in proportion to capacity by the largest remainder. Ties are
// broken by a hash of the service and the name, so that small services do not
// all start in the same place. The result depends on the inputs only, not on
// their order, so that all owners agree without talking to each other.
func Divide(service string, n int, shards []ShardCapacity) map[guavascale.Partition]int {
	result := make(map[guavascale.Partition]int, len(shards))
	zones := group(service, shards)
	if len(zones) == 0 || n <= 0 {
		return result
	}
	spread(zones, n)
	for _, z := range zones {
		share(z.shards, z.count)
		for _, s := range z.shards {
			if s.count > 0 {
				result[guavascale.Partition(s.name)] = s.count
			}
		}
	}
	return result
}

// group returns the zones with capacity and their shards, ordered by name.
func group(service string, shards []ShardCapacity) []part {
	byZone := make(map[guavascale.Zone]*part)
	for _, s := range shards {
		if s.MilliCores <= 0 {
			continue
		}
		z := byZone[s.Zone]
		if z == nil {
			z = &part{name: string(s.Zone), hash: hashOf(service, string(s.Zone))}
			byZone[s.Zone] = z
		}
		// Capacities are whole numbers below 2^53, so that their sums do not
		// depend on the order.
		z.weight += float64(s.MilliCores)
		z.shards = append(z.shards, part{
			name: string(s.Shard), weight: float64(s.MilliCores), hash: hashOf(service, string(s.Shard)),
		})
	}
	zones := make([]part, 0, len(byZone))
	for _, z := range byZone {
		slices.SortFunc(z.shards, byName)
		zones = append(zones, *z)
	}
	slices.SortFunc(zones, byName)
	return zones
}

func byName(a, b part) int { return cmp.Compare(a.name, b.name) }

func hashOf(service, name string) uint64 { return xxhash.Sum64String(service + "\x00" + name) }

// spread gives one of n instances to each zone and divides the others so that
// the totals come close to the capacities. With fewer instances than zones the
// largest zones get one each.
func spread(zones []part, n int) {
	if n <= len(zones) {
		for _, i := range ranked(zones, func(p *part) float64 { return p.weight })[:n] {
			zones[i].count = 1
		}
		return
	}
	total := 0.0
	for i := range zones {
		total += zones[i].weight
	}
	rest := make([]part, len(zones))
	for i, z := range zones {
		rest[i] = part{name: z.name, hash: z.hash, weight: max(float64(n)*z.weight/total-1, 0)}
	}
	share(rest, n-len(zones))
	for i := range zones {
		zones[i].count = 1 + rest[i].count
	}
}

// share divides n over parts by the largest remainder.
func share(parts []part, n int) {
	total := 0.0
	for i := range parts {
		total += parts[i].weight
	}
	if total <= 0 || n <= 0 {
		return
	}
	left := n
	for i := range parts {
		p := &parts[i]
		exact := float64(n) * p.weight / total
		p.count = int(exact)
		p.remainder = exact - float64(p.count)
		left -= p.count
	}
	for _, i := range ranked(parts, func(p *part) float64 { return p.remainder }) {
		if left <= 0 {
			return
		}
		parts[i].count++
		left--
	}
}

// ranked returns the indexes of parts from the greatest value down.
func ranked(parts []part, value func(*part) float64) []int {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := &parts[i], &parts[j]
		return cmp.Or(cmp.Compare(value(b), value(a)), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return order
}
