package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/load"
	"boragehinge.example/boragehinge/inventory"
)

const (
	entriesVar     = "BORAGEHINGE_ENTRIES"
	defaultEntries = "127.0.0.1:7001"
)

// loadResult is what load prints.
type loadResult struct {
	Direct  *load.Report `json:"direct,omitempty"`
	Through *load.Report `json:"through,omitempty"`
}

// WriteText implements textWriter.
func (r loadResult) WriteText(w io.Writer) error {
	for _, report := range []*load.Report{r.Direct, r.Through} {
		if report == nil {
			continue
		}
		if err := report.WriteText(w); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	if r.Direct != nil && r.Through != nil {
		return load.Compare(w, r.Direct, r.Through)
	}
	return nil
}

type loadOptions struct {
	load.Options
	output    outputFlag
	inventory string
	kinds     []string
	only      bool
}

func newLoadCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use:   "load",
		Short: "Send calls at a rate and report how they ended",
		Long: `Load sends calls to a service through entries at a rate that doesn't depend on the answers, and reports latency, outcomes
and refusals per kind of call. A latency counts from the time at which the call was due. When the upstreams are emulators, it
reports lost and doubled calls from their records. With --direct it sends the same calls to the upstreams first, in turn,
and prints what the entries add.

Kinds of calls come from the routes of the service in the inventory, with equal shares, or from --call, which may be repeated:
name, class, method, path, share, idempotent, body (bytes), download (bytes, from an emulator), deadline. {n} in a path is
replaced by the number of the call.

Exit status: 0, or 1 when a call was lost, doubled, run in spite of "not run", or got a wrong response.`,
		Example: `  boragehinge load --rate 200 --duration 10s
  boragehinge load --rate 200 --direct -o json
  boragehinge load --call name=lookups,path=/bench/lookups/{n},share=9 \
      --call name=orders,method=POST,path=/bench/orders/{n},idempotent=false,body=200
  boragehinge load --service archive-desk --call download=5000000,idempotent=true --rate 10`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if err := o.resolve(); err != nil {
				return err
			}
			return o.run(ctx, cmd.OutOrStdout())
		},
	}
	o.output.register(c)
	f := c.Flags()
	f.StringSliceVar(&o.Entries, "entries", fromEnvironment(entriesVar, defaultEntries), "callers' ports of entries; also "+entriesVar)
	f.StringVar(&o.inventory, "inventory", "", "inventory with the service and its upstreams; the sample by default")
	f.StringVar(&o.Service, "service", "", "service; the first of the inventory by default")
	f.StringArrayVar(&o.kinds, "call", nil, "kind of call as name=value pairs; may be repeated")
	f.StringSliceVar(&o.Customers, "customers", nil, "customers to draw from; those of the inventory by default")
	f.Float64Var(&o.Rate, "rate", 100, "calls per second")
	f.DurationVar(&o.WarmUp, "warm-up", 2*time.Second, "time before the figures begin")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "time of the figures")
	f.IntVar(&o.Calls, "calls", 0, "largest number of calls after the warm-up; 0 is unlimited")
	f.IntVar(&o.MaxOpen, "max-open", 20000, "calls open at a time; further ones are counted as not sent")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, kinds and customers")
	f.BoolVar(&o.Direct, "direct", false, "send the same calls to the upstreams first, and compare")
	f.BoolVar(&o.only, "direct-only", false, "send the calls to the upstreams only")
	f.BoolVar(&o.Records, "records", true, "read the execution records of the upstreams")
	return c
}

// resolve takes from the inventory what the flags leave open.
func (o *loadOptions) resolve() error {
	var args []string
	if o.inventory != "" {
		args = []string{o.inventory}
	}
	file, data, err := devInventory(args)
	if err != nil {
		return err
	}
	inv, findings := inventory.Check(file, data, time.Now())
	if len(findings) > 0 {
		return &inventory.FindingsError{Findings: findings}
	}
	snapshot := inventory.NewSnapshot(0, inv)
	if o.Service == "" {
		o.Service = snapshot.Services()[0].Name
	}
	service, ok := snapshot.Service(o.Service)
	if !ok {
		return fmt.Errorf("the inventory has no service %s", o.Service)
	}
	for _, u := range service.Upstreams {
		o.Upstreams = append(o.Upstreams, u.Address)
	}
	if len(o.Customers) == 0 {
		for _, c := range snapshot.Customers() {
			o.Customers = append(o.Customers, c.Name)
		}
	}
	o.Kinds = load.KindsOf(service)
	if len(o.kinds) > 0 {
		o.Kinds = nil
	}
	for _, text := range o.kinds {
		k, err := load.ParseKind(text)
		if err != nil {
			return fmt.Errorf("--call: %w", err)
		}
		o.Kinds = append(o.Kinds, k)
	}
	return nil
}

func (o *loadOptions) run(ctx context.Context, out io.Writer) error {
	var r loadResult
	var err error
	direct := o.Direct || o.only
	if direct {
		if r.Direct, err = o.once(ctx, true); err != nil {
			return err
		}
	}
	if !o.only {
		if r.Through, err = o.once(ctx, false); err != nil {
			return err
		}
	}
	if err := o.output.print(out, r); err != nil {
		return err
	}
	if broken(r.Through) {
		return errReported
	}
	return nil
}

func (o *loadOptions) once(ctx context.Context, direct bool) (*load.Report, error) {
	options := o.Options
	options.Direct = direct
	return load.Run(ctx, options)
}

// broken reports whether a guarantee was broken.
func broken(r *load.Report) bool {
	if r == nil {
		return false
	}
	for _, k := range r.Kinds {
		if k.Wrong > 0 {
			return true
		}
	}
	return r.Records != nil && r.Records.Lost+r.Records.Doubled+r.Records.FalseNot > 0
}

// splitNumbers reads numbers separated by commas.
func splitNumbers[T any](text string, parse func(string) (T, error)) ([]T, error) {
	var out []T
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		v, err := parse(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}
