package main

import (
	"fmt"
	"strconv"

	"github.com/rs/zerolog"
)

var hedgeLimitFlag = environmentFlag{
	"hedge-limit", "BORAGEHINGE_HEDGE_LIMIT", "hedges per request that a service may get in the window of the retry budget, from 0 to 1; 0 turns hedges off, " +
		"above 0 requests that are slower than nearly all of their route are hedged too; not set: hedges by probes, within the retry budget",
}

// hedgeLimit is the operator's limit of hedges per request. It implements pflag.Value.
type hedgeLimit struct{ limit *float64 } // nil if none is set

// String implements pflag.Value.
func (h *hedgeLimit) String() string {
	if h.limit == nil {
		return ""
	}
	return strconv.FormatFloat(*h.limit, 'g', -1, 64)
}

// Set implements pflag.Value.
func (h *hedgeLimit) Set(text string) error {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0 && limit <= 1) { // false for NaN
		return fmt.Errorf("%q is not a number from 0 to 1", text)
	}
	h.limit = &limit
	return nil
}

// Type implements pflag.Value.
func (h *hedgeLimit) Type() string { return "share" }

func (h *hedgeLimit) log(log *zerolog.Logger) {
	if h.limit != nil {
		log.Info().Str("event", "hedges").Float64("limit", *h.limit).Msg("hedge limit of the operator")
	}
}
