package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Options of Run. Zero fields take the defaults named beside them.
type Options struct {
	// Experiments are the names of those to run; empty means all.
	Experiments []string
	// Repeats of each size, 3.
	Repeats int
	// Time of one run with calls, 3 s.
	Time time.Duration
	// Role is the command line that runs RunRole; the default is this program with the argument "role".
	Role []string
	// JSON, if set, receives the report.
	JSON io.Writer
	// Progress, if set, receives a line per experiment.
	Progress io.Writer
}

func (o Options) withDefaults() (Options, error) {
	if o.Repeats <= 0 {
		o.Repeats = 3
	}
	if o.Time <= 0 {
		o.Time = 3 * time.Second
	}
	if len(o.Role) == 0 {
		self, err := os.Executable()
		if err != nil {
			return o, fmt.Errorf("path of this program: %w", err)
		}
		o.Role = []string{self, "role"}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o, nil
}

// errExperiment is returned for an unknown name in Options.Experiments.
var errExperiment = errors.New("unknown experiment")

type experiment struct {
	name string
	run  func(ctx context.Context, o Options, r *Report) error
}

var experiments = []experiment{
	{"calls", measureCalls},
	{"daemon", measureDaemon},
	{"daemon-latency", measureDaemonLatency},
	{"rest", measureRest},
	{"bodies", measureBodies},
	{"latency", measureLatency},
	{"memory", measureMemory},
	{"records", measureRecords},
	{"pools", measurePools},
	{"configuration", measureConfiguration},
	{"log", measureLog},
	{"addresses", measureAddresses},
	{"connections", measureConnections},
	{"links", measureLinks},
	{"messages", measureMessages},
	{"summaries", measureSummaries},
	{"start", measureStart},
}

// Names returns the names of all experiments, in the order in which they run.
func Names() []string {
	var out []string
	for _, e := range experiments {
		out = append(out, e.name)
	}
	return out
}

// Run measures what o selects and writes the table to w.
func Run(ctx context.Context, w io.Writer, o Options) error {
	o, err := o.withDefaults()
	if err != nil {
		return err
	}
	for _, name := range o.Experiments {
		if !slices.Contains(Names(), name) {
			return fmt.Errorf("%w: %s (there are %s)", errExperiment, name, strings.Join(Names(), ", "))
		}
	}
	r := &Report{Machine: Machine{CPUs: runtime.NumCPU(), MemoryMB: memoryMB(), GoVersion: runtime.Version(), LoadBefore: loadAverages()}}
	for _, e := range experiments {
		if len(o.Experiments) > 0 && !slices.Contains(o.Experiments, e.name) {
			continue
		}
		if _, err := fmt.Fprintf(o.Progress, "%s %s\n", time.Now().Format(time.TimeOnly), e.name); err != nil {
			return fmt.Errorf("write the progress: %w", err)
		}
		if err := e.run(ctx, o, r); err != nil {
			return fmt.Errorf("%s: %w", e.name, err)
		}
	}
	r.Machine.LoadAfter = loadAverages()
	r.finish()
	if o.JSON != nil {
		if err := r.WriteJSON(o.JSON); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return r.WriteTable(w)
}
