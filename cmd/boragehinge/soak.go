package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/soak"
)

func newSoakCommand() *cobra.Command {
	var o soak.Options
	var output outputFlag
	var faults []string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a whole installation under random faults and judge the guarantees",
		Long: `Soak runs the platform stand-in, emulated upstreams, entries and callers in this process, injects faults at times that the
seed decides, and compares the answers of the callers with the execution records of the upstreams.

Exit status: 0, or 1 when a guarantee was broken.`,
		Example: `  boragehinge soak --duration 2m --seed 1
  boragehinge soak --faults crash,cold,kill --seed 7 -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runSoak(ctx, cmd, o, output, faults)
		},
	}
	output.register(c)
	f := c.Flags()
	f.DurationVar(&o.Duration, "duration", 2*time.Minute, "time during which calls are sent")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the schedule of faults and of the calls")
	f.IntVar(&o.Entries, "entries", 6, "number of entries, spread over three data centres")
	f.Float64Var(&o.Rate, "rate", 150, "calls per second")
	f.StringSliceVar(&faults, "faults", nil, "kinds of faults; all by default")
	return c
}

func runSoak(ctx context.Context, cmd *cobra.Command, o soak.Options, output outputFlag, faults []string) error {
	var err error
	if o.Kinds, err = soak.ParseKinds(faults); err != nil {
		return err
	}
	r, err := soak.Run(ctx, o)
	if r == nil {
		return err
	}
	if printed := output.print(cmd.OutOrStdout(), r); printed != nil || err != nil {
		if err == nil {
			err = printed
		}
		return err
	}
	if r.Failed() {
		return errReported
	}
	return nil
}
