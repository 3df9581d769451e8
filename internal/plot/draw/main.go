// Command draw makes the pictures of docs/img from the files in docs/measurements/data.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"boragehinge.example/boragehinge/internal/plot"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	data := flag.String("data", "docs/measurements/data", "directory of the measurements")
	out := flag.String("out", "docs/img", "directory of the pictures")
	format := flag.String("format", "svg", "svg or png")
	seeds := flag.Int("simulate", 0, "seeds of a new simulation; 0 draws from the file of the last one")
	flag.Parse()
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return err
	}
	latency := filepath.Join(*data, "simulate.csv")
	if *seeds > 0 {
		if err := simulate(latency, *seeds); err != nil {
			return err
		}
	}
	if err := drawLatency(latency, filepath.Join(*out, "latency-by-load."+*format)); err != nil {
		return err
	}
	if err := drawCluster(filepath.Join(*data, "cluster.txt"), *out, *format); err != nil {
		return err
	}
	return drawCapacity(*data, *out, *format)
}

// simulatedTime of each case.
const simulatedTime = 10 * time.Second

func simulate(file string, seeds int) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := plot.Simulate(f, seeds, simulatedTime); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func drawLatency(file, picture string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	charts, err := plot.LatencyCharts(f)
	if err != nil {
		return err
	}
	return plot.Draw(picture, charts...)
}

func drawCluster(file, out, format string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	cost, delay, err := plot.ClusterCharts(f)
	if err != nil {
		return err
	}
	if err := plot.Draw(filepath.Join(out, "cluster-cost."+format), cost...); err != nil {
		return err
	}
	return plot.Draw(filepath.Join(out, "cluster-delay."+format), delay...)
}

func drawCapacity(data, out, format string) error {
	files, err := filepath.Glob(filepath.Join(data, "*.json"))
	if err != nil {
		return err
	}
	var reports []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		reports = append(reports, f)
	}
	return plot.DrawCapacity(out, format, reports...)
}
