package transport

import (
	"fmt"
	"strconv"
	"strings"
)

// Headers of responses from upstreams.
const (
	HeaderLoad   = "Boragehinge-Load"
	HeaderNotRun = "Boragehinge-Not-Run"
)

// LoadReport is an upstream's own view of its load, from the Boragehinge-Load header. It may be stale or wrong.
type LoadReport struct {
	InFlight int
	Queued   int
	Cold     bool
	Draining bool
	Seq      uint64
}

const maxLoadHeaderBytes = 256

// ParseLoad parses the value of a Boragehinge-Load header. Unknown fields are ignored so that upstreams may add fields;
// in-flight and seq are required, and a repeated field is an error.
func ParseLoad(value string) (LoadReport, error) {
	var rep LoadReport
	if len(value) > maxLoadHeaderBytes {
		return rep, fmt.Errorf("load report has %d bytes, at most %d are allowed", len(value), maxLoadHeaderBytes)
	}
	seen := 0
	for rest := value; rest != ""; {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		name, val, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			return LoadReport{}, fmt.Errorf("load report field %q has no value", field)
		}
		bit, err := rep.set(name, val)
		if err != nil {
			return LoadReport{}, fmt.Errorf("load report field %q: %w", name, err)
		}
		if seen&bit != 0 {
			return LoadReport{}, fmt.Errorf("load report field %q is repeated", name)
		}
		seen |= bit
	}
	if seen&(bitInFlight|bitSeq) != bitInFlight|bitSeq {
		return LoadReport{}, fmt.Errorf("load report %q lacks in-flight or seq", value)
	}
	return rep, nil
}

const (
	bitInFlight = 1 << iota
	bitQueued
	bitCold
	bitDraining
	bitSeq
)

func (r *LoadReport) set(name, val string) (bit int, err error) {
	switch name {
	case "in-flight":
		r.InFlight, err = parseCount(val)
		return bitInFlight, err
	case "queued":
		r.Queued, err = parseCount(val)
		return bitQueued, err
	case "cold":
		r.Cold, err = parseBool(val)
		return bitCold, err
	case "draining":
		r.Draining, err = parseBool(val)
		return bitDraining, err
	case "seq":
		r.Seq, err = strconv.ParseUint(val, 10, 64)
		return bitSeq, err
	}
	return 0, nil
}

func parseCount(val string) (int, error) {
	n, err := strconv.ParseUint(val, 10, 31)
	return int(n), err
}

func parseBool(val string) (bool, error) {
	switch val {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither true nor false", val)
}

// String formats the report as a header value.
func (r LoadReport) String() string {
	return fmt.Sprintf("in-flight=%d,queued=%d,cold=%t,draining=%t,seq=%d", r.InFlight, r.Queued, r.Cold, r.Draining, r.Seq)
}
