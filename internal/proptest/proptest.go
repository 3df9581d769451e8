// Package proptest runs the tests of packages with property tests.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of a package with rapid tests. It fixes their seed, so that each run gives the same verdict;
// -rapid.seed chooses another.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
