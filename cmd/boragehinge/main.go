package main

import (
	"errors"
	"fmt"
	"os"
)

// exitStatus ends a command that has said everything already.
type exitStatus int

// Error returns the status; it is not printed.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// errReported ends a command whose findings are printed already.
var errReported error = exitStatus(1)

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	var status exitStatus
	if errors.As(err, &status) {
		os.Exit(int(status))
	}
	fmt.Fprintln(os.Stderr, "boragehinge:", err)
	os.Exit(1)
}
