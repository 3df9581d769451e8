package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  boragehinge version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), versionLine(debug.ReadBuildInfo()))
			return err
		},
	}
}

// versionLine returns the module version, the commit and the Go version as far as the build recorded them.
func versionLine(info *debug.BuildInfo, ok bool) string {
	version, revision, modified := "unknown", "unknown", ""
	if ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				modified = " modified"
			}
		}
	}
	return fmt.Sprintf("boragehinge %s commit %s%s %s", version, revision, modified, runtime.Version())
}
