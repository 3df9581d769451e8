package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// environmentFlag is a flag that takes its value from an environment variable where it isn't set.
type environmentFlag struct{ name, variable, usage string }

// environmentFlags are the flags of this kind.
var environmentFlags = []environmentFlag{hedgeLimitFlag, requestBytesFlag, resetWhenFullFlag, probeByDataCentreFlag}

// add adds the flag to the command.
func (f environmentFlag) add(c *cobra.Command, v pflag.Value) {
	c.Flags().Var(v, f.name, f.usage+" (environment: "+f.variable+")")
	if v.Type() == "bool" {
		c.Flags().Lookup(f.name).NoOptDefVal = "true" // the flag alone means true
	}
}

// useEnvironment sets the flag from the variable, unless the flag is set or the variable is empty.
func (f environmentFlag) useEnvironment(c *cobra.Command) error {
	text := os.Getenv(f.variable)
	if c.Flags().Changed(f.name) || text == "" {
		return nil
	}
	if err := c.Flags().Lookup(f.name).Value.Set(text); err != nil {
		return fmt.Errorf("%s: %w", f.variable, err)
	}
	return nil
}
