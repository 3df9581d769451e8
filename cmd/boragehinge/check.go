package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/inventory"
)

// checkResult is what check prints with -o json.
type checkResult struct {
	Valid    bool                `json:"valid"`
	Findings []inventory.Finding `json:"findings"`
}

func newCheckCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check inventories and print all findings",
		Long: `Check reads inventories and prints all findings of all files, each with file, line, column, field and a sentence.
The exit status is 0 when there is no finding, and 1 otherwise. "-" reads the standard input.`,
		Example: `  boragehinge check inventory.yaml
  boragehinge check -o json examples/*.yaml
  git show HEAD:inventory.yaml | boragehinge check -`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if output != "text" && output != "json" {
				return fmt.Errorf("-o must be text or json, but is %q", output)
			}
			findings := checkFiles(cmd.InOrStdin(), files, time.Now())
			if err := printFindings(cmd.OutOrStdout(), output, files, findings); err != nil {
				return err
			}
			if len(findings) > 0 {
				return errReported
			}
			return nil
		},
	}
	c.Flags().StringVarP(&output, "output", "o", "text", "output format: text or json")
	return c
}

// checkFiles returns the findings of all files. A file that cannot be read is a finding as well.
func checkFiles(stdin io.Reader, files []string, now time.Time) []inventory.Finding {
	findings := []inventory.Finding{}
	for _, file := range files {
		data, err := readInventory(stdin, file)
		if err != nil {
			findings = append(findings, inventory.Finding{File: file, Message: "the file cannot be read: " + err.Error()})
			continue
		}
		_, found := inventory.Check(file, data, now)
		findings = append(findings, found...)
	}
	return findings
}

func readInventory(stdin io.Reader, file string) ([]byte, error) {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close() //nolint:errcheck // the file is only read
		in = f
	}
	return io.ReadAll(io.LimitReader(in, inventory.MaxDocumentBytes+1))
}

func printFindings(out io.Writer, format string, files []string, findings []inventory.Finding) error {
	if format == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(checkResult{Valid: len(findings) == 0, Findings: findings})
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%d %s checked, %d %s\n", len(files), plural(len(files), "file"), len(findings), plural(len(findings), "finding"))
	return err
}

func plural(n int, word string) string {
	if n == 1 {
		return word
	}
	return word + "s"
}
