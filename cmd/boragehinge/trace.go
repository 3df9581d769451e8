package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/history"
)

func newTraceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST-ID LOG...",
		Short: "Print what the logs of several entries say of one request",
		Long: `Trace reads logs of entries and prints the lines of one request in order, and what its entry and the leader believed when
they decided: configuration, leader, the upstreams that the request was placed on, moves, and lost dependencies. A log is named
after its file unless its lines name their entry. "-" reads the standard input. Clocks of entries may differ.`,
		Example: `  boragehinge trace a687595b99b7f880 /var/log/boragehinge/*.log
  zcat entries.log.gz | boragehinge trace a687595b99b7f880 -`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), cmd.ErrOrStderr(), args[1:])
			if err != nil {
				return err
			}
			h, ok := history.Of(lines, args[0])
			if !ok {
				return fmt.Errorf("no line names request %s; above the rate of full lines, routine requests are counted in groups", args[0])
			}
			return printHistory(cmd.OutOrStdout(), h)
		},
	}
}

// readLogs reads all files. Lines that can't be read are reported and left out.
func readLogs(stdin io.Reader, stderr io.Writer, files []string) ([]history.Line, error) {
	var all []history.Line
	var failures []error
	for _, file := range files {
		lines, findings, err := readLog(stdin, file)
		for _, f := range findings {
			fmt.Fprintln(stderr, "left out:", f) //nolint:errcheck // nobody is left to tell
		}
		if err != nil {
			failures = append(failures, err)
		}
		all = append(all, lines...)
	}
	return all, errors.Join(failures...)
}

func readLog(stdin io.Reader, file string) ([]history.Line, []error, error) {
	if file == "-" {
		return history.Read(stdin, "stdin")
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close() //nolint:errcheck // only read
	return history.Read(f, strings.TrimSuffix(filepath.Base(file), ".log"))
}

func printHistory(w io.Writer, h history.History) error {
	_, err := fmt.Fprintln(w, "believed:")
	for _, l := range h.Beliefs {
		err = errors.Join(err, printLine(w, l))
	}
	_, e := fmt.Fprintln(w, "request:")
	err = errors.Join(err, e)
	for _, l := range h.Request {
		err = errors.Join(err, printLine(w, l))
	}
	return err
}

func printLine(w io.Writer, l history.Line) error {
	_, err := fmt.Fprintf(w, "  %s  %-24s %s\n", l.Time.Format("15:04:05.000"), l.Entry, l.Text)
	return err
}
