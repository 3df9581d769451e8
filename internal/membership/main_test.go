package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that a result can be repeated; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
