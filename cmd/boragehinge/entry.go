package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/entry"
	"boragehinge.example/boragehinge/internal/settings"
)

func newEntryCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run the daemon of an entry host",
		Long: `Entry runs the daemon of an entry host. Each flag is also an environment variable with the prefix BORAGEHINGE_.
SIGTERM or SIGINT starts the planned stop, which interrupts no request and exits with status 0. A second signal ends the
planned stop at once; the exit status is 1 when requests were cut.`,
		Example: `  boragehinge entry --host entry-1 --data-centre te-1 --platform-url http://127.0.0.1:9300`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadProcess(cmd.Flags())
			if err != nil {
				return err
			}
			return runEntry(s)
		},
	}
	settings.Register(c.Flags())
	return c
}

func runEntry(s *settings.Settings) error {
	if s.MaxProcs > 0 {
		runtime.GOMAXPROCS(s.MaxProcs)
	}
	e, err := entry.New(*s)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, s) // String leaves secrets out
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	cutCtx, cut := context.WithCancel(context.Background())
	defer cut()
	go func() {
		<-signals
		stop()
		<-signals
		cut()
	}()
	return e.Run(ctx, cutCtx)
}
