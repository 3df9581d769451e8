package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/inventory"
)

// Exit statuses of apply beside 0 and 1.
const (
	exitLost      exitStatus = 2
	exitUndecided exitStatus = 3
)

// applyPoll is the time between two looks at the status while apply waits for the entries.
const applyPoll = 200 * time.Millisecond

// applyResult is what apply prints.
type applyResult struct {
	State       string              `json:"state"` // in force, unchanged, findings, lost, accepted, unknown
	Version     int64               `json:"version,omitempty"`
	Base        int64               `json:"base"`
	ChangeID    string              `json:"changeId,omitempty"`
	Changes     []string            `json:"changes,omitempty"` // what the change changes
	Findings    []inventory.Finding `json:"findings,omitempty"`
	Winner      *configlog.Winner   `json:"winner,omitempty"`
	Differs     []string            `json:"differs,omitempty"` // between the change and the configuration that won
	AcceptedMs  int64               `json:"acceptedMs,omitempty"`
	InForceMs   int64               `json:"inForceMs,omitempty"`
	Entries     int                 `json:"entries,omitempty"`
	WaitsFor    []string            `json:"waitsFor,omitempty"`
	Explanation string              `json:"explanation"`
}

// WriteText implements textWriter.
func (r applyResult) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(&b, "change:", c)
	}
	for _, d := range r.Differs {
		fmt.Fprintln(&b, "differs:", d)
	}
	fmt.Fprintln(&b, r.Explanation)
	_, err := io.WriteString(w, b.String())
	return err
}

type applier struct {
	operators operatorsFlag
	output    outputFlag
	platform  string
	operator  string
	changeID  string
	base      int64
	timeout   time.Duration
}

func newApplyCommand() *cobra.Command {
	var a applier
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put an inventory in force and wait until all entries have it",
		Long: `Apply checks an inventory, appends it to the platform's log, and waits until it is accepted and in force on all live
entries. Of two changes that were made from the same version, the first in the log wins; the other one has no effect, and
apply says who won and what differs. Without --base, the change counts as made from the version that the log holds when
apply starts, so it replaces whatever that is.

Exit status: 0 in force everywhere; 1 findings, or the change is not in the log; 2 another change won; 3 the outcome is not known
yet: the change may be in the log, or it is accepted and some entries don't have it. Repeat the command with the
--change-id that it printed; a change with the same ID takes effect at most once.`,
		Example: `  boragehinge apply inventory.yaml
  boragehinge apply inventory.yaml --base 41 --operator ana --timeout 30s
  boragehinge apply inventory.yaml --platform-url http://127.0.0.1:9300 --operators 127.0.0.1:7003 -o json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if a.operator == "" {
				return errors.New("--operator is missing; the log keeps it with the change")
			}
			data, err := readInventory(cmd.InOrStdin(), args[0])
			if err != nil {
				return fmt.Errorf("the file cannot be read: %w", err)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), a.timeout)
			defer cancel()
			r, end := a.run(ctx, args[0], data)
			if r.Explanation == "" {
				return end
			}
			return errors.Join(a.output.print(cmd.OutOrStdout(), r), end)
		},
	}
	a.output.register(c)
	a.operators.register(c)
	registerPlatform(c, &a.platform)
	registerOperator(c, &a.operator)
	c.Flags().Int64Var(&a.base, "base", 0, "version that the change was made from; 0 means the newest in the log")
	c.Flags().StringVar(&a.changeID, "change-id", "", "ID of an earlier attempt whose outcome is not known")
	c.Flags().DurationVar(&a.timeout, "timeout", 60*time.Second, "longest time until the change is in force everywhere")
	return c
}

// run returns what to print, and the exit status or error. Nothing is printed for an error without an explanation.
func (a *applier) run(ctx context.Context, file string, data []byte) (applyResult, error) {
	began := time.Now()
	inv, findings := inventory.Check(file, data, began)
	if len(findings) > 0 {
		text := fmt.Sprintf("not applied: %d %s", len(findings), plural(len(findings), "finding"))
		return applyResult{State: "findings", Findings: findings, Base: a.base, Explanation: text}, errReported
	}
	encoded, err := inventory.EncodeJSON(inv)
	if err != nil {
		return applyResult{}, err
	}
	log, err := logservice.NewClient(logservice.ClientSettings{URL: a.platform})
	if err != nil {
		return applyResult{}, fmt.Errorf("--platform-url: %w", err)
	}
	defer log.Close()
	fold, err := configlog.Load(ctx, log)
	if err != nil {
		return applyResult{}, fmt.Errorf("not applied: the log cannot be read: %w", err)
	}
	current := fold.Current()
	r := applyResult{Base: a.base, ChangeID: a.changeID}
	if r.Base == 0 {
		r.Base = current.Offset
	}
	if current.Inventory != nil {
		r.Changes = inventory.Differences(current.Inventory, inv)
	}
	lifts := lifted(fold.View().Leaving, inv)
	r.Changes = append(r.Changes, lifts...)
	if bytes.Equal(current.Raw, encoded) && len(lifts) == 0 && r.ChangeID == "" {
		r.State, r.Version, r.ChangeID = "unchanged", current.Offset, current.ChangeID
		return a.await(ctx, r, began)
	}
	if r.ChangeID == "" {
		r.ChangeID = configlog.NewChangeID()
	}
	decision, err := configlog.Submit(ctx, log, fold, configlog.Submission{
		ChangeID: r.ChangeID, Base: r.Base, Operator: a.operator, Inventory: encoded,
	})
	if err != nil {
		return undecided(r, err)
	}
	if !decision.Accepted {
		r.Differs = decision.Differs
		if winner := fold.Current().Inventory; winner != nil {
			r.Differs = inventory.Differences(winner, inv)
		}
		return lost(r, decision)
	}
	r.State, r.Version, r.AcceptedMs = "accepted", decision.Version, time.Since(began).Milliseconds()
	return a.await(ctx, r, began)
}

// lifted says which urgent leavings the inventory ends: those of data centres whose state it names, or that it no longer
// has.
func lifted(leaving map[string]configlog.LeavingState, inv *model.Inventory) []string {
	named := map[string]string{}
	if inv.Rules != nil {
		for _, r := range inv.Rules.DataCentres {
			named[r.DataCentre] = string(r.State)
		}
	}
	snapshot := inventory.NewSnapshot(0, inv)
	var out []string
	for _, dc := range slices.Sorted(maps.Keys(leaving)) {
		state, ok := named[dc]
		if _, exists := snapshot.DataCentre(dc); !exists {
			state, ok = "not in the inventory", true
		}
		if ok {
			out = append(out, fmt.Sprintf("Data centre %s: the urgent leaving (%s) ends; its state is %s.", dc, leaving[dc].Reason, state))
		}
	}
	return out
}

func undecided(r applyResult, err error) (applyResult, error) {
	var not configlog.ErrNotSubmitted
	if errors.As(err, &not) {
		return applyResult{}, fmt.Errorf("not applied: %w", err)
	}
	r.State = "unknown"
	r.Explanation = fmt.Sprintf("not known yet whether the change is in the log: %v; repeat with --change-id %s --base %d", err,
		r.ChangeID, r.Base)
	return r, exitUndecided
}

func lost(r applyResult, d configlog.Decision) (applyResult, error) {
	r.State, r.Winner, r.Changes = "lost", d.Winner, nil
	switch {
	case d.Winner == nil:
		r.Explanation = fmt.Sprintf("not applied: version %d, which the change was made from, is not in the log", r.Base)
	case d.Winner.ChangeID == r.ChangeID:
		r.Explanation = fmt.Sprintf("not applied: the log holds change %s already", r.ChangeID)
	default:
		r.Explanation = fmt.Sprintf("not applied: %s was first with version %d (change %s), made after version %d too; make the "+
			"change again from version %d, which boragehinge show prints", nameOr(d.Winner.Operator), d.Winner.Offset, d.Winner.ChangeID, r.Base, d.Winner.Offset)
	}
	return r, exitLost
}

func nameOr(operator string) string {
	if operator == "" {
		return "an operator without a name"
	}
	return operator
}

// await waits until all live entries have the version in force.
func (a *applier) await(ctx context.Context, r applyResult, began time.Time) (applyResult, error) {
	client := a.operators.client()
	problem := "no entry was asked"
	for {
		s, err := client.Status(ctx)
		if err == nil {
			r.Entries = len(s.Members)
			r.WaitsFor = waitsFor(s, r.Version)
			if len(r.WaitsFor) == 0 {
				return inForce(r, began), nil
			}
			problem = "waits for " + strings.Join(r.WaitsFor, ", ")
		} else if ctx.Err() == nil {
			problem = err.Error()
		}
		if pause.Sleep(ctx, applyPoll) != nil {
			r.Explanation = fmt.Sprintf("configuration %d is accepted, but was not in force everywhere within %s: %s; it stays accepted, "+
				"see boragehinge status", r.Version, a.timeout, problem)
			return r, exitUndecided
		}
	}
}

func inForce(r applyResult, began time.Time) applyResult {
	took := time.Since(began)
	r.InForceMs = took.Milliseconds()
	what := "in force on all %d %s after %s"
	if r.State == "unchanged" {
		what = "in force on all %d %s (%s); the file changes nothing"
	} else {
		r.State = "in force"
	}
	r.Explanation = fmt.Sprintf("configuration %d is "+what, r.Version, r.Entries, entries(r.Entries), took.Round(time.Millisecond))
	return r
}

func entries(n int) string {
	if n == 1 {
		return "entry"
	}
	return "entries"
}

// waitsFor names the entries that don't have the version in force, the asked one included.
func waitsFor(s operators.Status, version int64) []string {
	if s.Configuration.Version < version {
		return []string{s.Self.Host}
	}
	return operators.Behind(operators.Configuration{Version: version, LowestVersion: s.Configuration.LowestVersion}, s.Members)
}
