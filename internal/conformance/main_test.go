package conformance

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of rapid, unless one is given, so that each run draws the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260302", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) { os.Exit(code) }))
}
