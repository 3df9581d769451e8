package main

import (
	"errors"
	"fmt"
	"os"
)

// errReported ends a command whose findings are printed already. The exit status is 1.
var errReported = errors.New("findings were reported")

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	if !errors.Is(err, errReported) {
		fmt.Fprintln(os.Stderr, "boragehinge:", err)
	}
	os.Exit(1)
}
