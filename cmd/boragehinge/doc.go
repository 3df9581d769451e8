// Command boragehinge is the command line of the load balancer.
//
// Each command is a file of its own with a constructor that returns a *cobra.Command; commands.go lists them.
package main
