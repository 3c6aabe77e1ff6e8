// Package testseed fixes the seed of rapid's property tests, so that every test run has
// the same result. Test files import it for its side effect. A seed given with
// -rapid.seed on the command line takes precedence.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

// Seed is the default value of the flag -rapid.seed.
const Seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic("testseed: rapid no longer has the flag rapid.seed: " + err.Error())
	}
}
