// Command measure writes the figures of docs/measurements/membership.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"boragehinge.example/boragehinge/internal/clusterbench"
)

func main() {
	o := clusterbench.DefaultOptions()
	nodes := flag.String("nodes", "16,64,256,600", "numbers of nodes, separated by commas")
	flag.DurationVar(&o.Window, "window", o.Window, "time over which traffic and CPU time are measured")
	flag.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the paths that are down")
	flag.Parse()
	o.Nodes = nil
	for _, text := range strings.Split(*nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		o.Nodes = append(o.Nodes, n)
	}
	if err := clusterbench.Run(os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
