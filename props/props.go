// Package props holds test helpers that the test packages share. It fixes the seed
// of property tests, so that each run generates the same cases, and parses the
// arguments of commands in datadriven test scripts.
package props

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flag that Main sets
)

// seed is the default seed; the flag -rapid.seed overrides it. With seed zero,
// rapid chooses a random seed.
const seed = 20261204

// Main runs the tests of a package with the fixed seed and returns the exit code.
// To run more cases, use
// "go test ./PACKAGE -rapid.seed=0 -rapid.checks=10000".
func Main(m *testing.M) int {
	for name, value := range map[string]string{"rapid.seed": strconv.Itoa(seed), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
