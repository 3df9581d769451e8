package simulate

import (
	"os"
	"testing"
)

// TestPrint writes the tables of a small experiment when BORAGEHINGE_SIMULATE is set; it is the command of
// docs/measurements/dispatch.md.
func TestPrint(t *testing.T) {
	if os.Getenv("BORAGEHINGE_SIMULATE") == "" {
		t.Skip("set BORAGEHINGE_SIMULATE=1 to print the experiment")
	}
	if err := Run(os.Stdout, Options{}); err != nil {
		t.Fatal(err)
	}
}
