package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	Slow          Kind = "slow"
	FailFast      Kind = "fail-fast"
	FailRoute     Kind = "fail-route"
	Shed          Kind = "shed"
	Crash         Kind = "crash"
	Cold          Kind = "cold"
	Drain         Kind = "drain"
	FalseReport   Kind = "false-report"
	Silence       Kind = "silence"
	Poison        Kind = "poison"
	Kill          Kind = "kill"
	PlannedStop   Kind = "stop"
	LogDown       Kind = "log-down"
	LogSlow       Kind = "log-slow"
	LogLoses      Kind = "log-loses"
	HostsLag      Kind = "hosts-lag"
	GhostHosts    Kind = "ghost-hosts"
	LinkCut       Kind = "link-cut"
	Race          Kind = "race"
	CentreLeaves  Kind = "centre-leaves"
	UpstreamLeave Kind = "upstream-leaves"
	GoodVersion   Kind = "good-version"
	BadVersion    Kind = "bad-version"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{Slow, FailFast, FailRoute, Shed, Crash, Cold, Drain, FalseReport, Silence, Poison, Kill, PlannedStop, LogDown,
		LogSlow, LogLoses, HostsLag, GhostHosts, LinkCut, Race, CentreLeaves, UpstreamLeave, GoodVersion, BadVersion}
}

// ParseKinds reads names of kinds. No names mean all kinds.
func ParseKinds(names []string) ([]Kind, error) {
	if len(names) == 0 {
		return Kinds(), nil
	}
	var out []Kind
	for _, name := range names {
		if !slices.Contains(Kinds(), Kind(name)) {
			var all []string
			for _, k := range Kinds() {
				all = append(all, string(k))
			}
			return nil, fmt.Errorf("fault %q is unknown; known are %s", name, strings.Join(all, ", "))
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// Fault is a planned fault. Pick chooses the target among those there are.
type Fault struct {
	Kind Kind
	At   time.Duration // since the begin of the run
	For  time.Duration
	Pick uint64
}

const (
	meanGap      = 1500 * time.Millisecond // between the begins of two faults
	shortest     = 500 * time.Millisecond
	longest      = 8 * time.Second
	centreAway   = 9 * time.Second  // longer than the 5 s after which no new work may arrive
	versionTakes = 75 * time.Second // five steps of at least 10 s
	quietEnd     = 2 * time.Second  // without new faults at the end
)

// exclusive returns the group of which one fault may be under way at a time: a second entry or data centre that goes
// away at the same time is beyond what the design page covers with a small installation.
func exclusive(k Kind) string {
	switch k {
	case Kill, PlannedStop, LinkCut:
		return "entries"
	case CentreLeaves:
		return "centres"
	case UpstreamLeave:
		return "upstreams" // a return would end the other leaving of the same upstream
	case GoodVersion, BadVersion:
		return "versions"
	case LogDown, LogSlow, LogLoses, HostsLag, GhostHosts:
		return "platform"
	}
	return ""
}

// Plan returns the faults of a seed in order of time. A quarter of them begin together with another one, and some hit
// the same target twice.
func Plan(seed uint64, duration time.Duration, kinds []Kind) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a repeatable schedule
	var out []Fault
	busy := map[string]time.Duration{}
	pick := rng.Uint64()
	var deck []Kind
	for at := time.Second; at < duration-quietEnd; {
		if len(deck) == 0 {
			deck = slices.Clone(kinds)
			rng.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		f := Fault{Kind: deck[0], At: at, For: length(rng, deck[0]), Pick: pick}
		deck = deck[1:]
		if rng.IntN(4) > 0 {
			pick = rng.Uint64()
		}
		if rng.IntN(4) > 0 {
			at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		}
		group := exclusive(f.Kind)
		if group != "" && busy[group] > f.At {
			at += shortest / 10 // so that kinds that are all busy don't repeat without end
			continue
		}
		busy[group] = f.At + f.For
		out = append(out, f)
	}
	return out
}

func length(rng *rand.Rand, k Kind) time.Duration {
	switch k {
	case CentreLeaves, UpstreamLeave:
		return centreAway
	case GoodVersion, BadVersion:
		return versionTakes
	}
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
