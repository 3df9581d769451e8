package main

import (
	"cmp"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"boragehinge.example/boragehinge/internal/ingress"
	"boragehinge.example/boragehinge/platform"
)

const (
	megabyte = 1_000_000
	// unknownMemoryMB and unknownMaxFDs are assumed where the settings have no limits.memoryMb or limits.maxFds.
	unknownMemoryMB = 536
	unknownMaxFDs   = 8192
	// programBytes is what the process takes without callers: code, links, probes, records and logs.
	programBytes = 24 * megabyte
	// callerMemoryShare is the part of the remaining memory that callers' connections and requests may reserve. The rest is for garbage
	// that has not been collected, and for bytes that the kernel has received on connections whose turn to be read has not come.
	callerMemoryShare = 0.4
	// heapShare is the part of the memory above which the garbage collector runs more often.
	heapShare = 0.5
	// reservedFiles are descriptors that the platform keeps for files.
	reservedFiles = 200
	// callerDescriptorShare is the part of the other descriptors that callers' connections may use. The rest is for links between
	// entries, probes, connections to upstreams, the store, and the other listeners.
	callerDescriptorShare = 0.6
	// upstreamReceiveBuffer bounds what the kernel holds of a response whose caller doesn't read. It is the kernel's usual start size.
	upstreamReceiveBuffer = 64 << 10
	// addressDescriptorShare is the part of the descriptors that connections for address lookups may use.
	addressDescriptorShare = 0.08
	// operatorConnections bounds the connections to each of the listeners for readiness and metrics.
	operatorConnections = 32
	// sideTimeout is the time to read a request on the listeners for addresses, readiness and metrics, and for which a connection to them
	// may be idle. An answer may take twice as long.
	sideTimeout = 5 * time.Second
	// sideHeaderBytes limits the header of a request on any listener but that for callers.
	sideHeaderBytes = 16 << 10
)

// clientFlags override what follows from the host's memory and descriptors. 0 means no override.
type clientFlags struct {
	memoryMB    int64
	connections int
	bodyRate    int64
	stall       time.Duration
}

func (f *clientFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.Int64Var(&f.memoryMB, "caller-memory-mb", 0, "memory in MB for callers' connections and requests; 0: 0.4 x (limits.memoryMb - 24)")
	flags.IntVar(&f.connections, "caller-connections", 0, "open connections of callers; 0: 0.6 x (limits.maxFds - 200)")
	flags.Int64Var(&f.bodyRate, "caller-body-rate", 0, "slowest average rate of a request body in bytes per second; 0: 16384")
	flags.DurationVar(&f.stall, "caller-stall-timeout", 0, "a response that its caller has not read on for this time may be ended when the memory is used up; 0: 300ms")
}

func (f *clientFlags) check() error {
	if f.memoryMB < 0 || f.connections < 0 || f.bodyRate < 0 || f.stall < 0 {
		return fmt.Errorf("flags --caller-…: negative values (%d, %d, %d, %s)", f.memoryMB, f.connections, f.bodyRate, f.stall)
	}
	return nil
}

// clientLimits returns the limits of callers on the host that the settings describe.
func clientLimits(s *platform.Settings, f *clientFlags) ingress.ClientLimits {
	memory := cmp.Or(s.Limits.MemoryMB, unknownMemoryMB) * megabyte
	spare := max(memory-programBytes, memory/4)
	return ingress.ClientLimits{
		MemoryBytes:  cmp.Or(f.memoryMB*megabyte, int64(callerMemoryShare*float64(spare))),
		Connections:  cmp.Or(f.connections, max(1, int(callerDescriptorShare*float64(maxDescriptors(s)-reservedFiles)))),
		BodyRate:     f.bodyRate,
		StallTimeout: f.stall,
	}
}

// knownConnections returns the limit of callers' connections if the settings or a flag determine it, else 0.
func knownConnections(s *platform.Settings, f *clientFlags) int {
	if s.Limits.MaxFDs == 0 && f.connections == 0 {
		return 0
	}
	return clientLimits(s, f).Connections
}

// maxDescriptors returns how many descriptors the process may open.
func maxDescriptors(s *platform.Settings) int {
	named := cmp.Or(s.Limits.MaxFDs, unknownMaxFDs)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return named
	}
	return int(min(limit.Cur, uint64(named))) //nolint:gosec // bounded by an int
}

// limitHeap makes the garbage collector keep to the host's memory.
func limitHeap(s *platform.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Limits.MemoryMB*megabyte)))
	}
}

// addressConnections returns how many connections the listener for address lookups accepts.
func addressConnections(s *platform.Settings) int {
	return max(16, int(addressDescriptorShare*float64(maxDescriptors(s))))
}

// limitedListener accepts no more connections while as many as permits has room for are open.
type limitedListener struct {
	net.Listener
	permits chan struct{}
}

func newLimitedListener(l net.Listener, connections int) *limitedListener {
	return &limitedListener{l, make(chan struct{}, connections)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.permits <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.permits
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.permits })}, nil
}

// limitedConn gives its place in a limitedListener back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
