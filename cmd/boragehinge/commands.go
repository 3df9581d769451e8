package main

import "github.com/spf13/cobra"

// commands lists the constructors of all commands. A new command is a file of its own and a line here.
var commands = []func() *cobra.Command{
	newApplyCommand,
	newCheckCommand,
	newEntryCommand,
	newDevCommand,
	newExplainCommand,
	newExplainRequestCommand,
	newHistoryCommand,
	newLeaveCommand,
	newLoadCommand,
	newShowCommand,
	newSimulateCommand,
	newSoakCommand,
	newStatusCommand,
	newTraceCommand,
	newVersionCommand,
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "boragehinge",
		Short: "Layer-7 load balancer for services whose load shifts within milliseconds",
		Example: `  boragehinge check inventory.yaml
  boragehinge completion bash > /etc/bash_completion.d/boragehinge`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, newCommand := range commands {
		root.AddCommand(newCommand())
	}
	return root
}
