// Package props helps the packages' tests: it fixes the seed of property tests,
// so that a run never varies, and reads the arguments of scripts.
package props

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flag that Main sets
)

// seed is used unless the command line names another. Zero draws a new one.
const seed = 20261204

// Main runs the tests of a package with the fixed seed. Run more cases with
// "go test ./PACKAGE -rapid.seed=0 -rapid.checks=10000".
func Main(m *testing.M) int {
	for name, value := range map[string]string{"rapid.seed": strconv.Itoa(seed), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
