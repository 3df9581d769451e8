package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	CPU        time.Duration `json:"cpu"` // user and system
	Mallocs    uint64        `json:"mallocs"`
	AllocBytes uint64        `json:"allocBytes"`
	InUse      uint64        `json:"inUse"` // bytes of heap objects and stacks
	Resident   uint64        `json:"resident"`
	Goroutines int           `json:"goroutines"`
	// OpenConns is the number of open connections of upstreams, the mean and the highest of one upstream. It is set by
	// the upstreams' process only.
	OpenConns, MostConns float64
}

// usage reads the counters of this process. With collect, InUse is read after a collection.
func usage(collect bool) Usage {
	if collect {
		runtime.GC()
		runtime.GC() // the second one completes the sweep of pooled objects
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Usage{
		CPU: cpuTime(), Mallocs: m.Mallocs, AllocBytes: m.TotalAlloc, InUse: m.HeapAlloc + m.StackInuse,
		Resident: resident(), Goroutines: runtime.NumGoroutine(),
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident returns the resident bytes of this process, or 0 where the system doesn't tell.
func resident() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages uint64
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize()) //nolint:gosec // a page size is positive
}

// loadAverages returns the load averages of the machine, or nil where the system doesn't tell.
func loadAverages() []float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return nil
	}
	out := make([]float64, 3)
	if _, err := fmt.Sscan(string(data), &out[0], &out[1], &out[2]); err != nil {
		return nil
	}
	return out
}

// memoryMB returns the memory of the machine, or 0 where the system doesn't tell.
func memoryMB() int {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kB int
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	return 0
}
