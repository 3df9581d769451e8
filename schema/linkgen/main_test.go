package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against messages that differ from their schema.
func TestCommittedMessagesAreThoseOfTheSchema(t *testing.T) {
	schema, err := os.ReadFile("../links.schema.json")
	require.NoError(t, err)
	code, err := generate(schema)
	require.NoError(t, err)
	committed, err := os.ReadFile("../../internal/coordinator/messages_gen.go")
	require.NoError(t, err)
	assert.Equal(t, string(committed), string(code), "run schema/generate.sh")
}

// Guards against two fields with one key, which would overwrite each other, and against a field that is left out.
func TestFindingsAreReportedTogether(t *testing.T) {
	_, err := generate([]byte(`{"x-package":"p","$defs":{"M":{"description":"M is a message.","properties":{
		"A":{"x-key":1,"type":"string"},"B":{"x-key":1,"type":"boolean"},"C":{"x-key":3,"type":"integer"}}}}}`))
	require.Error(t, err)
	assert.ErrorContains(t, err, "M.B: key 1 ")
	assert.ErrorContains(t, err, "M.C: no Go type")
}
