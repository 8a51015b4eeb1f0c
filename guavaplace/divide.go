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

	share struct {
		shard     guavascale.Partition
		count     int
		remainder float64
		hash      uint64
	}
)

// Divide splits n instances of a service over shards, in proportion to their
// capacity by the largest remainder. Ties are broken by a hash of the service
// and the shard, so that small services do not all start in the same shard. The
// result depends on the inputs only, not on their order, so that all owners
// agree without talking to each other.
func Divide(service string, n int, shards []ShardCapacity) map[guavascale.Partition]int {
	var total int64
	for _, s := range shards {
		total += s.MilliCores
	}
	result := make(map[guavascale.Partition]int, len(shards))
	if total == 0 || n <= 0 {
		return result
	}
	shares := make([]share, 0, len(shards))
	left := n
	for _, s := range shards {
		exact := float64(n) * float64(s.MilliCores) / float64(total)
		whole := int(exact)
		left -= whole
		shares = append(shares, share{
			shard: s.Shard, count: whole, remainder: exact - float64(whole),
			hash: xxhash.Sum64String(service + "\x00" + string(s.Shard)),
		})
	}
	slices.SortFunc(shares, func(a, b share) int {
		if c := cmp.Compare(b.remainder, a.remainder); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.shard, b.shard))
	})
	for i := range shares {
		if left > 0 && shares[i].remainder > 0 {
			shares[i].count++
			left--
		}
		if shares[i].count > 0 {
			result[shares[i].shard] = shares[i].count
		}
	}
	return result
}
