package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func run(stdin string, args ...string) (string, error) {
	var out bytes.Buffer
	root := newRootCommand()
	root.SetArgs(args)
	root.SetIn(strings.NewReader(stdin))
	root.SetOut(&out)
	err := root.Execute()
	return out.String(), err
}

// Guards against a check that stops at the first file or finding, or ends with status 0 in spite of findings.
func TestCheckReportsAllFindingsOfAllFiles(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.yaml")
	out, err := run("services: 1\n", "check", "../../examples/broken.yaml", missing, "../../examples/yeux-clairs.yaml", "-")
	assert.ErrorIs(t, err, errReported)
	assert.Contains(t, out, "../../examples/broken.yaml:30:10: services[0].upstreams[1].name: ")
	assert.Contains(t, out, "../../examples/broken.yaml:47:37: rules.limits[0].perSecond: ")
	assert.Contains(t, out, missing+": the file cannot be read")
	assert.Contains(t, out, "-:1:11: services: must be a list, but is a number")
	assert.NotContains(t, out, "yeux-clairs.yaml:")
	assert.Contains(t, out, "4 files checked, ")
}

// Guards against a JSON form that programs cannot read, for findings and for none.
func TestCheckJSON(t *testing.T) {
	var got checkResult
	out, err := run("", "check", "-o", "json", "../../examples/yeux-clairs.yaml", "../../examples/kitami-hokusei.yaml")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	assert.True(t, got.Valid)
	assert.Contains(t, out, `"findings": []`)
	out, err = run("", "check", "-o", "json", "../../examples/broken.yaml")
	assert.ErrorIs(t, err, errReported)
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	assert.False(t, got.Valid)
	assert.GreaterOrEqual(t, len(got.Findings), 22)
	_, err = run("", "check", "-o", "xml", "../../examples/broken.yaml")
	assert.ErrorContains(t, err, "text or json")
}

// Guards against files of any size being read into memory.
func TestCheckBoundsTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "large.yaml")
	require.NoError(t, os.WriteFile(file, bytes.Repeat([]byte("# x\n"), 1<<20), 0o600))
	out, err := run("", "check", file)
	assert.ErrorIs(t, err, errReported)
	assert.Contains(t, out, "the limit is")
}

// Guards against commands without examples, and against a missing completion.
func TestHelpAndCompletion(t *testing.T) {
	for _, newCommand := range commands {
		c := newCommand()
		out, err := run("", c.Name(), "--help")
		require.NoError(t, err)
		assert.Contains(t, out, "Examples:\n  boragehinge "+c.Name(), c.Name())
	}
	out, err := run("", "completion", "bash")
	require.NoError(t, err)
	assert.Contains(t, out, "__start_boragehinge")
	assert.Equal(t, "unknown", strings.Fields(versionLine(&debug.BuildInfo{}, false))[1])
}
