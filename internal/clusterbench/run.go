package clusterbench

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// Budget of control work on a node.
const (
	budgetBytesPerSecond = 16 << 10
	budgetCorePercent    = 2.4
	budgetMemoryMB       = 32
)

// Options of a measurement.
type Options struct {
	// Nodes are the numbers of nodes to measure, one run each.
	Nodes []int
	// Window is the time over which traffic and CPU time are measured.
	Window time.Duration
	// LinksDown are the shares of host pairs without a path when a configuration version spreads.
	LinksDown []float64
	// Seed chooses the pairs without a path.
	Seed uint64
}

// DefaultOptions returns the options of the documented figures.
func DefaultOptions() Options {
	return Options{Nodes: []int{16, 64, 256, 600}, Window: 10 * time.Second, LinksDown: []float64{0, 0.1, 0.5}, Seed: 1}
}

const collectorPercent = 400

// settleLimit is the longest wait for an event; a measurement that doesn't end by then is reported as such.
const settleLimit = 90 * time.Second

// Run measures each size and writes one line per result to w.
//
// All nodes share one process, whose collector scans the stacks of all links at once; the collection target is raised so
// that this doesn't count as cost of a node.
func Run(w io.Writer, o Options) error {
	defer debug.SetGCPercent(debug.SetGCPercent(collectorPercent))
	for _, n := range o.Nodes {
		if err := runSize(w, o, n); err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	return nil
}

func runSize(w io.Writer, o Options, n int) error {
	before := memoryInUse()
	c := newCluster(n, o.Seed)
	defer c.stop()
	joined, ok := c.await(func() bool { return c.allKnow(n) })
	if err := report(w, n, "all members known after start", joined, ok); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // lists of the start and transitions are over
	if err := writeCost(w, c, o.Window, before); err != nil {
		return err
	}
	for i, share := range o.LinksDown {
		if err := c.measureVersion(w, i+1, share); err != nil {
			return err
		}
	}
	return c.measureDeath(w)
}

func report(w io.Writer, n int, what string, d time.Duration, ok bool) error {
	if !ok {
		_, err := fmt.Fprintf(w, "nodes=%d %s: not within %v\n", n, what, settleLimit)
		return err
	}
	_, err := fmt.Fprintf(w, "nodes=%d %s: %.2f s\n", n, what, d.Seconds())
	return err
}

func writeCost(w io.Writer, c *benchCluster, window time.Duration, memoryBefore uint64) error {
	framesBefore, bytesBefore, maxBefore := c.traffic()
	pauses := c.pauses.Load()
	cpu := cpuTime()
	start := time.Now()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	cpu = cpuTime() - cpu
	frames, bytes, maxBytes := c.traffic()
	nodes := float64(len(c.nodes))
	highest := 0.0
	for i := range maxBytes {
		highest = max(highest, float64(maxBytes[i]-maxBefore[i])/seconds)
	}
	memory := float64(memoryInUse()-memoryBefore) / nodes / (1 << 20)
	_, err := fmt.Fprintf(w, "nodes=%d sent bytes/s=%.0f highest=%.0f (budget %d) messages/s=%.1f "+
		"cpu=%.3f%% of a core (budget %.1f) memory=%.2f MB (budget %d) links=%.1f confirmed=%d pauses=%d\n",
		len(c.nodes), float64(bytes-bytesBefore)/seconds/nodes, highest, budgetBytesPerSecond,
		float64(frames-framesBefore)/seconds/nodes, 100*cpu.Seconds()/seconds/nodes, budgetCorePercent,
		memory, budgetMemoryMB, c.linksPerNode(), c.confirmed(), c.pauses.Load()-pauses)
	return err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
