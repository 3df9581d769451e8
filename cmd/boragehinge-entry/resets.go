package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

const allServices = "all"

var resetWhenFullFlag = environmentFlag{
	"reset-when-full", "BORAGEHINGE_RESET_WHEN_FULL",
	"services, separated by commas, whose upstreams reset connections when they are full instead of answering 503, or " +
		allServices + ": the leader tells these resets from crashes",
}

// resetWhenFull names the services whose upstreams reset connections when they are full. It implements pflag.Value.
type resetWhenFull struct{ services []string }

// String implements pflag.Value.
func (r *resetWhenFull) String() string { return strings.Join(r.services, ",") }

// Set implements pflag.Value.
func (r *resetWhenFull) Set(text string) error {
	var services []string
	for name := range strings.SplitSeq(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			return fmt.Errorf("%q has an empty name of a service", text)
		}
		services = append(services, name)
	}
	r.services = services
	return nil
}

// Type implements pflag.Value.
func (r *resetWhenFull) Type() string { return "services" }

// includes reports whether a service is named.
func (r *resetWhenFull) includes(service string) bool {
	return slices.Contains(r.services, service) || slices.Contains(r.services, allServices)
}

func (r *resetWhenFull) log(log *zerolog.Logger) {
	if len(r.services) > 0 {
		log.Info().Str("event", "losses").Strs("services", r.services).Msg("upstreams that reset connections when they are full")
	}
}
