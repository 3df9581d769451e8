package main

import (
	"errors"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/operators"
)

func newExplainCommand() *cobra.Command {
	var o outputFlag
	var f operatorsFlag
	var q operators.Query
	c := &cobra.Command{
		Use:   "explain PATH",
		Short: "Say what would happen to a call now",
		Long: `Explain asks an entry what would happen to a call that arrives there now: service, route, class, priority, version with
its share, the pools that it would try with their owners and expected waits, and the limits that apply. The call is not
made.`,
		Example: `  boragehinge explain /bench/lookups/17 --customer workbenches
  boragehinge explain /bench/orders --method POST --request-id order-4711
  boragehinge explain /archive/photos/3 --class bulk -o json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			q.Path = args[0]
			e, err := f.client().Explain(cmd.Context(), q)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), e)
		},
	}
	o.register(c)
	f.register(c)
	c.Flags().StringVar(&q.Customer, "customer", "", "customer of the call")
	c.Flags().StringVar(&q.Class, "class", "", "class that the caller asks for; else that of the route")
	c.Flags().StringVar(&q.Host, "host", "", "host that the caller names")
	c.Flags().StringVar(&q.Method, "method", "GET", "HTTP method")
	c.Flags().StringVar(&q.RequestID, "request-id", "", "request ID, which decides the version during a move")
	return c
}

func newHistoryCommand() *cobra.Command {
	var o outputFlag
	var f operatorsFlag
	var q operators.HistoryQuery
	var since, kind string
	c := &cobra.Command{
		Use:   "history",
		Short: "Print past statements",
		Long: `History prints the statements that an entry recorded when something changed, the oldest first. Each entry keeps the
last 4,096 since its start. Entries record on their own, so ask another one when an entry has been replaced.`,
		Example: `  boragehinge history --since 12h
  boragehinge history --kind "version move" --limit 20
  boragehinge history --subject te-2 -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if since != "" {
				at, err := operators.ParseSince(since, time.Now())
				if err != nil {
					return err
				}
				q.Since = at
			}
			q.Kind = operators.Kind(kind)
			h, err := f.client().History(cmd.Context(), q)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), h)
		},
	}
	o.register(c)
	f.register(c)
	c.Flags().StringVar(&since, "since", "", "a duration such as 12h, or a time such as 2026-03-02T08:00:00Z")
	c.Flags().StringVar(&kind, "kind", "", "configuration, data centre, version move, upstream, log, member or entry")
	c.Flags().StringVar(&q.Subject, "subject", "", "part of the subject or of the text")
	c.Flags().IntVar(&q.Limit, "limit", 0, "number of events, the last ones; 0 means all")
	return c
}

func newLeaveCommand() *cobra.Command {
	var o outputFlag
	var f operatorsFlag
	var l operators.Leaving
	c := &cobra.Command{
		Use:   "leave DATACENTRE",
		Short: "Take a data centre out of service at once",
		Long: `Leave tells an entry that a data centre leaves at once. The entry passes that on to all others, also while the log is
out. The data centre gets no new calls; running calls finish. A later configuration that names the state of the data
centre lifts it.`,
		Example: `  boragehinge leave te-2 --reason "smoke in row 4"
  boragehinge leave te-2 --reason "smoke in row 4" --operator ana -o json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if strings.TrimSpace(l.Reason) == "" {
				return errors.New("--reason is missing; it is shown to everyone who reads the status")
			}
			l.DataCentre = args[0]
			r, err := f.client().Leave(cmd.Context(), l)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), r)
		},
	}
	o.register(c)
	f.register(c)
	registerOperator(c, &l.Operator)
	c.Flags().StringVar(&l.Reason, "reason", "", "why, in a few words; required")
	return c
}
