package gateway

import (
	"slices"
	"strings"
	"time"
)

// MaxBufferedBody is the largest request body in bytes that an entry receives in full before it asks for an upstream. A larger one is passed
// on as it arrives, so it can be sent to one upstream only.
const MaxBufferedBody = 256 << 10

// Kind says whether a request may run more than once.
type Kind uint8

// Kinds of requests.
const (
	Unsafe   Kind = iota // may run at most once each time a caller sends it
	Safe                 // may run more than once
	Download             // like Safe, with large responses
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k != Unsafe }

// Part is a service of a route with its weight in the traffic split.
type Part struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Route matches requests by host and path prefix, and splits them between one or more services.
type Route struct {
	Name        string        `cbor:"1,keyasint"`
	Host        string        `cbor:"2,keyasint"`
	Prefix      string        `cbor:"3,keyasint"`
	Kind        Kind          `cbor:"4,keyasint"`
	Timeout     time.Duration `cbor:"5,keyasint"` // maximum time until a request is answered
	Objective   time.Duration `cbor:"6,keyasint"` // latency objective
	Priority    int           `cbor:"7,keyasint"` // 0 is the highest
	Parts       []Part        `cbor:"8,keyasint"`
	MaxAttempts int           `cbor:"9,keyasint"` // maximum number of upstreams that may run one request
	// Public says that requests need no API key although the configuration has accounts.
	Public bool `cbor:"10,keyasint,omitempty"`
}

// Service holds the settings shared by all upstreams of a service.
type Service struct {
	Name          string        `cbor:"1,keyasint"`
	HealthPath    string        `cbor:"2,keyasint"`
	MaxConns      int           `cbor:"3,keyasint"` // per upstream, over all callers
	ColdStart     time.Duration `cbor:"4,keyasint"`
	ColdPerSecond float64       `cbor:"5,keyasint"` // requests per second that a cold upstream can handle
}

// Limits apply to the size of requests, the time to receive headers and idle connections.
type Limits struct {
	HeaderBytes   int64         `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Config is a version of the configuration written by the operators.
type Config struct {
	Version  uint64             `cbor:"1,keyasint"`
	Routes   []Route            `cbor:"2,keyasint"`
	Services map[string]Service `cbor:"3,keyasint"`
	Limits   Limits             `cbor:"4,keyasint"`
	// Accounts are the client accounts. Without any, requests need no API key.
	Accounts []Account `cbor:"5,keyasint,omitempty"`
	// Keys are the digests of the accounts' API keys, sorted and without duplicates; see SetAccounts.
	Keys []AccountKey `cbor:"6,keyasint,omitempty"`

	byHost map[string][]*Route // sorted by descending prefix length
}

// Index builds the lookup table for Match. It must be called once, before the configuration is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of host with the longest matching path prefix, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
