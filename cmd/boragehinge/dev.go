package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/examples"
	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/inventory"
)

// devStopLimit ends a planned stop that takes longer than callers keep addresses and calls run.
const devStopLimit = 25 * time.Second

type devOptions struct {
	entries  int
	ports    dev.Ports
	logLevel string
	seed     uint64
}

func newDevCommand() *cobra.Command {
	var o devOptions
	c := &cobra.Command{
		Use:   "dev [INVENTORY]",
		Short: "Run a whole installation in this process",
		Long: `Dev starts the platform stand-in, an emulated upstream for each upstream of the inventory, and one entry per data
centre, all on loopback addresses, and prints their addresses, commands to try and fault switches. Without an inventory
it takes the sample of Atelier Yeux Clairs. The first Ctrl-C stops in order, the second one at once.

The addresses of the upstreams must be loopback addresses. Those above 127.0.0.1 work on Linux without preparation.`,
		Example: `  boragehinge dev
  boragehinge dev examples/kitami-hokusei.yaml --entries 6
  boragehinge dev --log-level info 2>entries.log`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, data, err := devInventory(args)
			if err != nil {
				return err
			}
			return runDev(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), file, data, o)
		},
	}
	c.Flags().IntVar(&o.entries, "entries", 0, "number of entries, spread over the data centres; 0 means one per data centre")
	c.Flags().IntVar(&o.ports.Platform, "platform-port", 9300, "port of the platform stand-in; 0 takes a free one")
	c.Flags().IntVar(&o.ports.Callers, "port", 7001, "callers' port of the first entry, the others follow in tens; 0 takes free ones")
	c.Flags().StringVar(&o.logLevel, "log-level", "warn", "lowest level of the entries' log lines: debug, info, warn or error")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the emulated upstreams")
	return c
}

// devInventory returns the inventory of the argument, or the sample: the file if it is there, so that it can be edited,
// or else the embedded copy.
func devInventory(args []string) (file string, data []byte, err error) {
	if len(args) == 1 {
		data, err = readInventory(os.Stdin, args[0])
		return args[0], data, err
	}
	file = filepath.Join("examples", "yeux-clairs.yaml")
	if data, err := os.ReadFile(file); err == nil {
		return file, data, nil
	}
	return "", examples.YeuxClairs, nil
}

func runDev(ctx context.Context, out, log io.Writer, file string, data []byte, o devOptions) error {
	inv, findings := inventory.Check(file, data, time.Now())
	if len(findings) > 0 {
		if err := printFindings(out, "text", []string{file}, findings); err != nil {
			return err
		}
		return errReported
	}
	if o.entries < 0 || o.entries > 64 {
		return fmt.Errorf("--entries must be from 0 to 64, but is %d", o.entries)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	in, err := dev.Start(ctx, dev.Options{
		Inventory: inv, Entries: o.entries, Ports: o.ports, Log: log, LogLevel: o.logLevel, Seed: o.seed, Operator: "dev",
	})
	if err != nil {
		return err
	}
	if _, err := io.WriteString(out, guide(in, file, inventory.NewSnapshot(0, inv))); err != nil {
		return errors.Join(err, in.Kill())
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	_, _ = fmt.Fprintln(out, "stopping in order; Ctrl-C again stops at once")
	stopping, cancel := context.WithTimeout(context.Background(), devStopLimit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-stopping.Done():
		}
	}()
	if err := in.Stop(stopping); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "stopped")
	return err
}

// guide returns the addresses and the commands to try.
func guide(in *dev.Installation, file string, snapshot *inventory.Snapshot) string {
	var b strings.Builder
	service := snapshot.Services()[0]
	path := service.PathPrefix
	if len(service.Routes) > 0 {
		path = service.Routes[0].PathPrefix
	}
	up := service.Upstreams[0]
	self := programName()
	operators := strings.Join(in.OperatorAddresses(), ",")
	if file == "" {
		file = "INVENTORY"
	}
	fmt.Fprintf(&b, "platform stand-in  %s\n", in.PlatformURL)
	for _, e := range in.Entries {
		fmt.Fprintf(&b, "%-9s in %-9s callers %s  peers %s  operators %s\n", e.Host, e.DataCentre, e.Callers, e.PeerAddress, e.OperatorsAt)
	}
	for _, s := range snapshot.Services() {
		fmt.Fprintf(&b, "service %s: %d emulated upstreams, %s at %s and so on\n", s.Name, len(s.Upstreams), s.Upstreams[0].Name,
			s.Upstreams[0].Address)
	}
	fmt.Fprintf(&b, "\nTry, in another terminal:\n")
	fmt.Fprintf(&b, "  curl -i http://%s%s/1\n", in.Entries[0].Callers, path)
	fmt.Fprintf(&b, "  %s status --operators %s\n", self, operators)
	fmt.Fprintf(&b, "  %s apply %s --platform-url %s --operators %s\n", self, file, in.PlatformURL, operators)
	fmt.Fprintf(&b, "\nFaults, each until it is replaced by {}:\n")
	fmt.Fprintf(&b, "  curl -X PUT http://%s/-/faults -d '{\"slowFactor\":10}'      # upstream %s: slowFactor, shed, draining,\n", up.Address, up.Name)
	fmt.Fprintf(&b, "      # failRoutes {\"/bench\":0.5}, failFast, failInFlight, crashOn, crashDownMs, truncateOn, silenceOpen, becomeCold,\n")
	fmt.Fprintf(&b, "      # report (frozen, idle, none), noNotRunProof\n")
	fmt.Fprintf(&b, "  curl -X PUT %s/faults -d '{\"logOutage\":true}'      # platform: logOutage, hostsOutage, delayMs,\n", in.PlatformURL)
	fmt.Fprintf(&b, "      # loseAnswers, loseAppends, keepRecords, keepMs, hostsLagMs, ghostHosts, hiddenHosts, appendsPerSecond\n")
	fmt.Fprintf(&b, "\nCtrl-C stops.\n")
	return b.String()
}

// programName is what to type to start this program again. A program of "go run" is in a temporary directory.
func programName() string {
	exe, err := os.Executable()
	if err != nil || strings.Contains(exe, "go-build") {
		return "go run ./cmd/boragehinge"
	}
	return filepath.Base(exe)
}
