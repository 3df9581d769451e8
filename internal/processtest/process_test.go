//go:build linux

package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/operators"
)

// daemonVariable names another build of the daemon, for example one with a mechanism switched off.
const daemonVariable = "PROCESSTEST_DAEMON"

// daemon is the path of the binary under test. It is built from cmd/boragehinge rather than run from this test binary,
// because the handling of flags, signals and exit statuses in package main can't be imported.
var daemon string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if daemon = os.Getenv(daemonVariable); daemon != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a scratch directory
	daemon = filepath.Join(dir, "boragehinge")
	build := exec.Command("go", "build", "-o", daemon, "boragehinge.example/boragehinge/cmd/boragehinge")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "the daemon can't be built: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// host is a machine for an entry. It has a loopback address of its own, so that no other process takes its ports
// between two entries on it.
type host struct{ name, dc, callers, peers, operators string }

var hostCount atomic.Int32

func newHost(t *testing.T, name, dc string) host {
	n := int(hostCount.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, n%250+1)
	h := host{name: name, dc: dc}
	for _, port := range []*string{&h.callers, &h.peers, &h.operators} {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		defer ln.Close() //nolint:errcheck // the entry listens there later
		*port = ln.Addr().String()
	}
	return h
}

func (h host) listed() logservice.Host {
	return logservice.Host{Name: h.name, DataCentre: h.dc, Address: h.peers, State: logservice.HostLive}
}

// process is an entry that runs, or ran, on a host.
type process struct {
	host
	w      *world
	cmd    *exec.Cmd
	log    string // path of its standard error output
	ended  chan struct{}
	status int // exit status once ended; -1 after a signal
}

// run starts a daemon on a host. Extra arguments are flags.
func (w *world) run(h host, flags ...string) *process {
	w.t.Helper()
	p := &process{host: h, w: w, ended: make(chan struct{})}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	p.log = filepath.Join(w.dir, fmt.Sprintf("%s-%d.log", h.name, len(w.processes)))
	w.mu.Unlock()
	out, err := os.Create(p.log)
	require.NoError(w.t, err)
	defer out.Close() //nolint:errcheck // the process has its own handle
	p.cmd = exec.Command(daemon, append([]string{
		"entry", "--host", h.name, "--data-centre", h.dc, "--callers-listen", h.callers, "--peers-listen", h.peers,
		"--operators-listen", h.operators, "--platform-url", w.platformURL,
	}, flags...)...)
	p.cmd.Env = append(cleanEnvironment(), "BORAGEHINGE_ADDRESS_KEEP_SECONDS=1", "BORAGEHINGE_STOP_TIMEOUT_SECONDS=60",
		"BORAGEHINGE_MAX_PROCS=2")
	p.cmd.Env = append(p.cmd.Env, w.authority.environment(w.t, h.name)...)
	p.cmd.Stderr = out
	// A test binary that ends early, for example at its time limit, leaves no daemon behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(w.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		p.status = p.cmd.ProcessState.ExitCode()
		close(p.ended)
	}()
	return p
}

func cleanEnvironment() (out []string) {
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "BORAGEHINGE_") {
			out = append(out, v)
		}
	}
	return out
}

func (p *process) signal(s syscall.Signal) {
	p.w.t.Helper()
	require.NoError(p.w.t, p.cmd.Process.Signal(s), "signal %s to %s", s, p.name)
}

// kill ends a process with SIGKILL and waits for its end.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// exit waits for the end of a process and returns its exit status.
func (p *process) exit() int {
	p.w.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		p.w.t.Errorf("%s doesn't end", p.name)
		p.kill()
	}
	return p.status
}

// logged returns what the process has written to its standard error output.
func (p *process) logged() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// state asks the operators' port.
func (p *process) state() (out operators.Status, ok bool) {
	body, status, err := p.w.get(p.operators, "/v1/status?format=json")
	if err != nil || status != http.StatusOK {
		return out, false
	}
	return out, json.Unmarshal(body, &out) == nil
}

// command runs another command of the binary and returns its exit status and output.
func (w *world) command(args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := exec.CommandContext(ctx, daemon, args...)
	c.Env = cleanEnvironment()
	out, err := c.CombinedOutput()
	if c.ProcessState == nil {
		return -1, err.Error()
	}
	return c.ProcessState.ExitCode(), string(out)
}
