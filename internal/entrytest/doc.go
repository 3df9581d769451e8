// Package entrytest has what the tests of the entry in one process and in processes of its own share: their configuration, and requests
// with the answers that callers read.
package entrytest
