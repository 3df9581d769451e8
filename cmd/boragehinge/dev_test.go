package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/operators"
)

// devSample is an inventory on addresses that no other test uses.
const devSample = `
schemaVersion: 1
sites:
  - name: east
    dataCentres: [{name: e-1}, {name: e-2}, {name: e-3}]
classes:
  - {name: urgent, priority: 0, deadlineMs: 500}
  - {name: ordinary, priority: 4, deadlineMs: 5000}
customers:
  - {name: benches, weight: 2}
services:
  - name: bench
    match: {pathPrefix: /bench}
    defaultClass: ordinary
    routes: [{name: lookups, pathPrefix: /bench/lookups, class: urgent, idempotent: true}]
    upstreams:
      - {name: b-1, address: "127.0.52.1:9102", dataCentre: e-1, version: "1"}
      - {name: b-2, address: "127.0.52.2:9102", dataCentre: e-2, version: "1"}
      - {name: b-3, address: "127.0.52.3:9102", dataCentre: e-3, version: "1"}
`

// lockedBuffer is a buffer that may be read while a command writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "inventory.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// startDev runs dev until the end of the test and returns its output, with the guide complete.
func startDev(t *testing.T) string {
	ctx, stop := context.WithCancel(t.Context())
	var out lockedBuffer
	ended := make(chan error, 1)
	go func() {
		ended <- runDev(ctx, &out, io.Discard, "sample.yaml", []byte(devSample), devOptions{logLevel: "error"})
	}()
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "Ctrl-C stops.") }, time.Minute, 10*time.Millisecond)
	guide := out.String()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-ended)
		assert.True(t, strings.HasSuffix(out.String(), "stopped\n"))
	})
	return guide
}

// Guards against a guide whose addresses don't work, an edit that isn't in force everywhere when apply says so, and a
// broken inventory that gets in or is refused with a part of its findings.
func TestDevAppliesAndRefuses(t *testing.T) {
	guide := startDev(t)
	platform := regexp.MustCompile(`http://\S+`).FindString(guide)
	ports := regexp.MustCompile(`status --operators (\S+)`).FindStringSubmatch(guide)
	require.Len(t, ports, 2, guide)
	assert.Len(t, strings.Split(ports[1], ","), 3)
	flags := []string{"--platform-url", platform, "--operators", ports[1], "-o", "json"}

	file := writeFile(t, strings.Replace(devSample, "weight: 2", "weight: 3", 1))
	out, err := run("", append([]string{"apply", file}, flags...)...)
	require.NoError(t, err, out)
	var applied applyResult
	require.NoError(t, json.Unmarshal([]byte(out), &applied))
	assert.Equal(t, "in force", applied.State)
	assert.Equal(t, 3, applied.Entries)
	assert.Equal(t, []string{"Customer benches: weight changes from 2 to 3."}, applied.Changes)
	for _, port := range strings.Split(ports[1], ",") {
		var s operators.Status
		out, err = run("", "status", "--here", "--operators", port, "-o", "json")
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal([]byte(out), &s))
		assert.Equal(t, applied.Version, s.Configuration.Version, port)
	}
	out, err = run("", "status", "--operators", ports[1])
	require.NoError(t, err)
	assert.Contains(t, out, "3 upstreams in the pools of the entries asked")

	out, err = run("", append([]string{"apply", "../../examples/broken.yaml"}, flags...)...)
	assert.ErrorIs(t, err, errReported)
	var refused applyResult
	require.NoError(t, json.Unmarshal([]byte(out), &refused))
	assert.GreaterOrEqual(t, len(refused.Findings), 22)

	out, err = run("", "explain", "/bench/lookups/1", "--operators", ports[1])
	require.NoError(t, err)
	assert.Contains(t, out, "pool bench/e-1/0")
	out, err = run("", "history", "--operators", ports[1])
	require.NoError(t, err)
	assert.Contains(t, out, "configuration 1 by dev")
}

// Guards against dev starting with a broken inventory.
func TestDevChecksTheInventory(t *testing.T) {
	out, err := run("", "dev", "../../examples/broken.yaml", "--port", "0", "--platform-port", "0")
	assert.ErrorIs(t, err, errReported)
	assert.Contains(t, out, "broken.yaml:30:10")
}
