package guavalease

import (
	"github.com/cespare/xxhash/v2"

	"guavascale.example"
)

// PreferredOwner returns the member that ranks first for p in rendezvous
// hashing, or "" if there are no members.
func PreferredOwner(p guavascale.Partition, members []string) string {
	first := ""
	for _, m := range members {
		if first == "" || ranksBefore(p, m, first) {
			first = m
		}
	}
	return first
}

// Rank returns the number of members that rank before daemon for p.
func Rank(p guavascale.Partition, daemon string, members []string) int {
	n := 0
	for _, m := range members {
		if m != daemon && ranksBefore(p, m, daemon) {
			n++
		}
	}
	return n
}

func ranksBefore(p guavascale.Partition, a, b string) bool {
	wa, wb := weight(p, a), weight(p, b)
	return wa > wb || wa == wb && a < b
}

func weight(p guavascale.Partition, daemon string) uint64 {
	return xxhash.Sum64String(string(p) + "\x00" + daemon)
}
