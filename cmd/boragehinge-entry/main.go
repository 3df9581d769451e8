// Command boragehinge-entry runs one entry on the users' platform: it serves callers, and takes its part in placing their
// requests. Settings come from the platform's settings file and from flags.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/platform"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "boragehinge-entry:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:           "boragehinge-entry",
		Short:         "Run one entry on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, flag := range environmentFlags {
				if err := flag.useEnvironment(c); err != nil {
					return err
				}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if f.transferCost < 0 {
				return fmt.Errorf("--transfer-cost %s is negative", f.transferCost)
			}
			if err := f.clients.check(); err != nil {
				return err
			}
			return run(ctx, &f)
		},
	}
	c.Flags().StringVar(&f.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	c.Flags().StringVar(&f.peersBind, "peers-bind", "", "address to listen on for other entries, where they reach it through another one; empty: that of the settings")
	c.Flags().IntVar(&f.metricsPort, "metrics-port", 0, "port for metrics on the entry's address; 0 serves none")
	c.Flags().IntVar(&f.decisionLines, "decision-lines", 200, "lines per second that the decision log writes in full")
	c.Flags().StringVar(&f.logLevel, "log-level", "info", "debug, info, warn or error")
	c.Flags().DurationVar(&f.transferCost, "transfer-cost", 0, "latency to accept for keeping 1000 bytes of a request and its response within their data centre, as long as it is in time; 0 leaves sizes out of account")
	c.Flags().BoolVar(&f.fromFirstTry, "objective-from-first-try", false, "count the objective of a caller's retry from its first try, as far as its remaining deadline shows it, and start it after the requests in time when it is late and its caller isn't expected to send it again")
	c.Flags().BoolVar(&f.avoidFailing, "avoid-failing-upstreams", false, "send requests that may not be repeated to upstreams on which few recent requests failed")
	c.Flags().DurationVar(&f.probeInterval, "probe-interval", defaultProbeInterval, "time between two health probes of an upstream")
	hedgeLimitFlag.add(c, &f.hedgeLimit)
	requestBytesFlag.add(c, &f.requestBytes)
	resetWhenFullFlag.add(c, &f.resetWhenFull)
	probeByDataCentreFlag.add(c, &f.probeByDataCentre)
	f.clients.register(c)
	return c
}
