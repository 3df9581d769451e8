package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/coordinator"
)

var probeByDataCentreFlag = environmentFlag{
	"probe-by-data-centre", "BORAGEHINGE_PROBE_BY_DATA_CENTRE",
	"have entries in the data centre of an upstream probe it on behalf of the leader, which saves traffic between data centres",
}

// probeByDataCentre is set when the leader delegates probes to entries in the data centres of the upstreams. It implements pflag.Value.
type probeByDataCentre bool

// String implements pflag.Value.
func (p *probeByDataCentre) String() string { return strconv.FormatBool(bool(*p)) }

// Set implements pflag.Value.
func (p *probeByDataCentre) Set(text string) error {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", text)
	}
	*p = probeByDataCentre(value)
	return nil
}

// Type implements pflag.Value.
func (p *probeByDataCentre) Type() string { return "bool" }

// options returns how probes are delegated, or nil if they aren't. interval is that of the leader's probes.
func (p *probeByDataCentre) options(interval func() time.Duration) *coordinator.DelegationOptions {
	if !*p {
		return nil
	}
	return &coordinator.DelegationOptions{Interval: interval}
}

func (p *probeByDataCentre) log(log *zerolog.Logger) {
	if *p {
		log.Info().Str("event", "probers").Msg("probes are delegated by data centre")
	}
}
