package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/clusterbench"
	"boragehinge.example/boragehinge/internal/dispatch/simulate"
)

func newSimulateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "simulate",
		Short: "Run the experiments behind the design",
		Long:  `Simulate runs the experiments that the pages below docs/measurements report, with the same options and seeds.`,
		Example: `  boragehinge simulate dispatch --loads 0.85 --faults none,slow
  boragehinge simulate members --nodes 16,64`,
	}
	c.AddCommand(newSimulateDispatchCommand(), newSimulateMembersCommand())
	return c
}

func newSimulateDispatchCommand() *cobra.Command {
	var slots, loads, bursts, variable string
	var o simulate.Options
	c := &cobra.Command{
		Use:   "dispatch",
		Short: "Compare ways to spread calls over upstreams with few slots",
		Long: `Dispatch compares round robin, least outstanding and two choices per entry with the owner of a pool and an ideal queue,
in virtual time: the same arrivals, service times and faults for each. Options that are not given mean the full experiment,
which takes minutes.`,
		Example: `  boragehinge simulate dispatch --slots 3 --loads 0.7,0.85 --faults none --bursts false --variable true
  boragehinge simulate dispatch --loads 0.95 --policies two-choices,owner,ideal --seed 7`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if o.Slots, err = splitNumbers(slots, strconv.Atoi); err != nil {
				return fmt.Errorf("--slots: %w", err)
			}
			parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
			if o.Loads, err = splitNumbers(loads, parse); err != nil {
				return fmt.Errorf("--loads: %w", err)
			}
			if o.Bursts, err = splitNumbers(bursts, strconv.ParseBool); err != nil {
				return fmt.Errorf("--bursts: %w", err)
			}
			if o.Variable, err = splitNumbers(variable, strconv.ParseBool); err != nil {
				return fmt.Errorf("--variable: %w", err)
			}
			if err := known("--faults", o.Faults, simulate.Faults); err != nil {
				return err
			}
			if err := known("--policies", o.Policies, simulate.Policies); err != nil {
				return err
			}
			return simulate.Run(cmd.OutOrStdout(), o)
		},
	}
	f := c.Flags()
	f.StringVar(&slots, "slots", "", "slots per upstream, such as 3,6")
	f.StringVar(&loads, "loads", "", "offered work relative to the capacity, such as 0.85,1.2")
	f.StringVar(&bursts, "bursts", "", "arrivals in bursts: false, true or both")
	f.StringVar(&variable, "variable", "", "exponential instead of uniform service times: false, true or both")
	f.StringSliceVar(&o.Faults, "faults", nil, strings.Join(simulate.Faults, ", "))
	f.StringSliceVar(&o.Policies, "policies", nil, strings.Join(simulate.Policies, ", "))
	f.Int64Var(&o.Seed, "seed", 1, "seed")
	f.DurationVar(&o.Duration, "duration", 6*time.Second, "simulated time")
	return c
}

// known returns an error for a value that is not among the allowed ones.
func known(flag string, values, allowed []string) error {
	for _, v := range values {
		if !slices.Contains(allowed, v) {
			return fmt.Errorf("%s: %q is none of %s", flag, v, strings.Join(allowed, ", "))
		}
	}
	return nil
}

func newSimulateMembersCommand() *cobra.Command {
	o := clusterbench.DefaultOptions()
	c := &cobra.Command{
		Use:   "members",
		Short: "Measure the cost and the delays of membership",
		Long: `Members runs nodes over in-memory links in real time, and measures traffic, CPU time, and the times until a death is
known and a configuration version has spread.`,
		Example: `  boragehinge simulate members --nodes 16,64 --window 5s`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return clusterbench.Run(cmd.OutOrStdout(), o)
		},
	}
	f := c.Flags()
	f.IntSliceVar(&o.Nodes, "nodes", o.Nodes, "numbers of nodes, one run each")
	f.DurationVar(&o.Window, "window", o.Window, "time over which traffic and CPU time are measured")
	f.Float64SliceVar(&o.LinksDown, "links-down", o.LinksDown, "shares of host pairs without a path")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the paths that are down")
	return c
}
