package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config describes a Server. Zero fields take the defaults named beside them.
type Config struct {
	Name       string  // reported in the header X-Upstream
	Seed       uint64  // of the random source
	Slots      int     // requests run at a time, 3
	QueueLimit int     // requests waiting for a slot, 2 x Slots; more are shed
	Routes     []Route // first match wins; other paths take DefaultTime
	Cold       Cold
	StartCold  bool
	Observe    func(Event) // receives each event; called from the goroutines of requests, must not block; may be nil
}

// DefaultTime is the service time of paths without a route.
var DefaultTime = Distribution{Kind: Fixed, Typical: time.Millisecond}

// Route is the service time of the paths under a prefix.
type Route struct {
	Prefix string
	Time   Distribution
}

// Kind is the shape of a Distribution.
type Kind int

// Shapes of service-time distributions.
const (
	Fixed       Kind = iota // always Typical
	Exponential             // mean Typical
	LogNormal               // median Typical, shape Sigma
)

// Distribution is a distribution of service times.
type Distribution struct {
	Kind    Kind
	Typical time.Duration
	Sigma   float64
}

func (d Distribution) draw(rng *rand.Rand) time.Duration {
	switch d.Kind {
	case Exponential:
		return time.Duration(rng.ExpFloat64() * float64(d.Typical))
	case LogNormal:
		return time.Duration(math.Exp(rng.NormFloat64()*d.Sigma) * float64(d.Typical))
	}
	return d.Typical
}

// Cold describes a cold server. Zero fields take the defaults named beside them.
type Cold struct {
	Allowance   int           // concurrent requests that a cold server handles at first, 1
	Step        int           // successes per allowed request until the allowance doubles, 4
	Slowdown    float64       // factor on service times above the allowance, 5
	CollapseAt  int           // requests above the allowance that make the server collapse, 2
	CollapseFor time.Duration // time during which a collapsed server fails everything, 1 s
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 3
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = 2 * c.Slots
	}
	c.Cold = c.Cold.withDefaults()
	return c
}

func (c Cold) withDefaults() Cold {
	if c.Allowance <= 0 {
		c.Allowance = 1
	}
	if c.Step <= 0 {
		c.Step = 4
	}
	if c.Slowdown <= 0 {
		c.Slowdown = 5
	}
	if c.CollapseAt <= 0 {
		c.CollapseAt = 2
	}
	if c.CollapseFor <= 0 {
		c.CollapseFor = time.Second
	}
	return c
}
