package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
)

// shownConfiguration is the newest configuration of the log.
type shownConfiguration struct {
	Version   int64           `json:"version"`
	ChangeID  string          `json:"changeId"`
	Operator  string          `json:"operator"`
	Time      time.Time       `json:"time"`
	Inventory json.RawMessage `json:"inventory"`
}

// WriteText writes the inventory as YAML that apply takes again.
func (c shownConfiguration) WriteText(w io.Writer) error {
	text, err := yaml.JSONToYAML(c.Inventory)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# Configuration %d by %s, %s. Apply an edit of it with --base %d.\n%s", c.Version, c.Operator,
		c.Time.UTC().Format(time.DateTime), c.Version, text)
	return err
}

func newShowCommand() *cobra.Command {
	var o outputFlag
	var url string
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the newest inventory of the log",
		Long: `Show reads the platform's log and prints the inventory of the newest accepted change, to be edited and applied with the
base that its first line names. Comments and the order of fields of the original file are not kept.`,
		Example: `  boragehinge show > inventory.yaml
  boragehinge show --platform-url http://127.0.0.1:9300 -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			shown, err := newestConfiguration(ctx, url)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), shown)
		},
	}
	o.register(c)
	registerPlatform(c, &url)
	c.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "longest time to read the log")
	return c
}

func newestConfiguration(ctx context.Context, url string) (shownConfiguration, error) {
	log, err := logservice.NewClient(logservice.ClientSettings{URL: url})
	if err != nil {
		return shownConfiguration{}, fmt.Errorf("--platform-url: %w", err)
	}
	defer log.Close()
	fold, err := configlog.Load(ctx, log)
	if err != nil {
		return shownConfiguration{}, fmt.Errorf("the log cannot be read: %w", err)
	}
	v := fold.Current()
	if v.Inventory == nil {
		return shownConfiguration{}, errors.New("the log holds no configuration yet")
	}
	return shownConfiguration{Version: v.Offset, ChangeID: v.ChangeID, Operator: v.Operator, Time: v.Time, Inventory: v.Raw}, nil
}
