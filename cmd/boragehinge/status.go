package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/operators"
)

func newStatusCommand() *cobra.Command {
	var o outputFlag
	var f operatorsFlag
	var watch, here bool
	var interval time.Duration
	c := &cobra.Command{
		Use:   "status",
		Short: "Print what is done, in progress and rolled back",
		Long: `Status asks an entry, and through it all other live entries, and prints plain statements: what is done, in progress,
rolled back or waiting, why, since when, by when, and what it waits for. With --watch it goes on printing the statements
that change, with --output json one status per line. --here asks only the one entry.`,
		Example: `  boragehinge status
  boragehinge status --operators 127.0.0.1:7003,127.0.0.1:7013
  boragehinge status --watch --interval 1s
  boragehinge status -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			w := &statusWatcher{client: f.client(), here: here, output: o, out: cmd.OutOrStdout()}
			if !watch {
				return w.once(ctx)
			}
			return w.watch(ctx, interval)
		},
	}
	o.register(c)
	f.register(c)
	c.Flags().BoolVar(&watch, "watch", false, "go on printing the statements that change, until Ctrl-C")
	c.Flags().BoolVar(&here, "here", false, "ask one entry only")
	c.Flags().DurationVar(&interval, "interval", time.Second, "time between two looks with --watch")
	return c
}

type statusWatcher struct {
	client *operators.Client
	here   bool
	output outputFlag
	out    io.Writer
	last   map[string]printed // by kind and subject
}

// repeatFigures is the time after which --watch prints a statement again in which only figures have changed.
const repeatFigures = 5 * time.Second

// printed is a statement that --watch printed last.
type printed struct {
	operators.Statement
	at time.Time
}

// due reports whether the statement has to be printed anew.
func (p printed) due(now time.Time, st operators.Statement) bool {
	if p.Change != st.Change || p.Phase != st.Phase {
		return true
	}
	return p.Text != st.Text && now.Sub(p.at) >= repeatFigures
}

func (w *statusWatcher) get(ctx context.Context) (operators.Status, int, error) {
	if w.here {
		s, err := w.client.Status(ctx)
		return s, 0, err
	}
	return w.client.StatusOfAll(ctx)
}

func (w *statusWatcher) once(ctx context.Context) error {
	s, silent, err := w.get(ctx)
	if err != nil {
		return err
	}
	if err := w.output.print(w.out, s); err != nil {
		return err
	}
	if silent > 0 && w.output == "text" {
		_, err = fmt.Fprintf(w.out, "%d of %d entries did not answer; their upstreams are missing above\n", silent, len(s.Members))
	}
	return err
}

func (w *statusWatcher) watch(ctx context.Context, interval time.Duration) error {
	if interval < 100*time.Millisecond {
		return fmt.Errorf("--interval must be at least 100ms, but is %s", interval)
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := w.show(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// show prints the statements that changed. An entry that doesn't answer is reported, and asked again the next time.
func (w *statusWatcher) show(ctx context.Context) error {
	s, _, err := w.get(ctx)
	switch {
	case ctx.Err() != nil:
		return nil //nolint:nilerr // the end of the command is no failure
	case err != nil:
		_, err = fmt.Fprintf(w.out, "%s  %s\n", time.Now().UTC().Format(time.TimeOnly), err)
		return err
	}
	if w.output == "json" {
		return json.NewEncoder(w.out).Encode(s)
	}
	now := map[string]printed{}
	for _, st := range s.Statements {
		key := string(st.Kind) + st.Subject
		old, ok := w.last[key]
		if ok && !old.due(s.Now, st) {
			now[key] = old
			continue
		}
		now[key] = printed{st, s.Now}
		if _, err := fmt.Fprintf(w.out, "%s  %-12s %s\n", s.Now.UTC().Format(time.TimeOnly), st.Phase, st.Text); err != nil {
			return err
		}
	}
	for key, old := range w.last {
		if _, ok := now[key]; !ok {
			if _, err := fmt.Fprintf(w.out, "%s  %-12s no longer: %s\n", s.Now.UTC().Format(time.TimeOnly), "ended", old.Text); err != nil {
				return err
			}
		}
	}
	w.last = now
	return nil
}
