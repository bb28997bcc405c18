// Package fixedseed lets every property test draw the same cases on every run. A test package imports it for this
// effect alone; the flag -rapid.seed, with 0 for a new seed on each run, overrides it for a search.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag.
)

// seedFlag and seed are the flag of the property tests and the value that takes the place of a random one.
const (
	seedFlag = "rapid.seed"
	seed     = "20261202"
)

func init() {
	if err := flag.Set(seedFlag, seed); err != nil {
		panic(err)
	}
}
