package main

import (
	"fmt"
	"strconv"

	"github.com/rs/zerolog"
)

var requestBytesFlag = environmentFlag{
	"upstream-request-bytes", "BORAGEHINGE_UPSTREAM_REQUEST_BYTES",
	"bytes of request bodies that entries send to one upstream at a time; an upstream without running requests accepts a request of any size; 0: no limit",
}

// requestBytesLimit is the operator's limit on the bytes of the requests that run on an upstream, 0 for none. It implements pflag.Value.
type requestBytesLimit int64

// String implements pflag.Value.
func (l *requestBytesLimit) String() string { return strconv.FormatInt(int64(*l), 10) }

// Set implements pflag.Value.
func (l *requestBytesLimit) Set(text string) error {
	limit, err := strconv.ParseInt(text, 10, 64)
	if err != nil || limit < 0 {
		return fmt.Errorf("%q is not a number of bytes from 0", text)
	}
	*l = requestBytesLimit(limit)
	return nil
}

// Type implements pflag.Value.
func (l *requestBytesLimit) Type() string { return "bytes" }

func (l *requestBytesLimit) log(log *zerolog.Logger) {
	if *l > 0 {
		log.Info().Str("event", "request-bytes").Int64("limit", int64(*l)).Msg("limit on request bytes of the operator")
	}
}
