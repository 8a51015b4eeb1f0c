// Package fixedseed sets a fixed seed for the property tests of a package, so
// that their results are reproducible. Tests import it for its side effect. The
// flag -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"
	"strconv"

	// rapid registers its flags on import, before init sets one of them.
	_ "pgregory.net/rapid"
)

// Seed is the default seed of all property tests.
const Seed = 1

func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(Seed)); err != nil {
		panic(err)
	}
}
