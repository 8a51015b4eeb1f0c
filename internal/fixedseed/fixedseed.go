// Package fixedseed gives property tests the same seed in each run, so that the
// tests have the same verdict each time. A package's tests import it for its
// effect; the flag -rapid.seed selects another seed.
package fixedseed

import (
	"flag"
	"strconv"

	// Importing rapid registers its flags before they are set here.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests.
const Seed = 1

func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(Seed)); err != nil {
		panic(err)
	}
}
