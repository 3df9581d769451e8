package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/platform"
)

// Guards against decisions of a flush that are lost together, counted as one line, because they exceed the buffer of the other
// log lines.
func TestAFlushOfManyDecisionsIsWrittenWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	writeSettings(t, path, "z1", "1s", 60)
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	var written bytes.Buffer
	f := &flags{settings: path, logLevel: "info", decisionLines: 200, probeInterval: time.Millisecond}
	e := newEntry(s, f, zerolog.Nop(), telemetry.NewOutput(&written), &written)
	now := time.Now()
	for i := range f.decisionLines {
		e.decisions.Record(now, telemetry.Decision{
			Kind: "attempt", RequestID: fmt.Sprint("r", i), Outcome: "lost", Reason: strings.Repeat("x", 700),
		})
	}
	require.NoError(t, e.flushLogs(now))
	assert.Equal(t, f.decisionLines, strings.Count(written.String(), "kind=attempt"))
	assert.NotContains(t, written.String(), "dropped")
}
