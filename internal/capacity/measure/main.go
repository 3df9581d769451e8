// Command measure writes the figures of docs/CAPACITY.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"boragehinge.example/boragehinge/internal/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if len(os.Args) == 2 && os.Args[1] == "role" {
		return capacity.RunRole(os.Stdin, os.Stdout)
	}
	o := capacity.Options{Progress: os.Stderr}
	names := flag.String("experiments", "", "names separated by commas: "+strings.Join(capacity.Names(), ", ")+"; empty means all")
	file := flag.String("json", "", "file for the report as JSON")
	flag.IntVar(&o.Repeats, "repeats", 3, "runs at each size")
	flag.DurationVar(&o.Time, "time", 0, "time of one run with calls, 3s by default")
	flag.Parse()
	if *names != "" {
		o.Experiments = strings.Split(*names, ",")
	}
	if *file != "" {
		f, err := os.Create(*file)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		o.JSON = f
	}
	return capacity.Run(context.Background(), os.Stdout, o)
}
