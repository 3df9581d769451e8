package inventory

import (
	"math"
	"strconv"

	"boragehinge.example/boragehinge/internal/model"
)

// Limit is a limit rule with its defaults resolved.
type Limit struct {
	Customer  string // "*" for each customer separately
	Class     string // empty for all classes together
	Service   string // empty for each service separately
	PerSecond float64
	Burst     int
	Soft      bool
	rule      string
}

// BucketLimit is a limit that applies to a call, with the key of the token bucket that counts it.
type BucketLimit struct {
	Limit
	Key string
}

func newLimit(i int, r model.LimitRule) Limit {
	return Limit{
		Customer: r.Customer, Class: orDefault(r.Class, ""), Service: orDefault(r.Service, ""),
		PerSecond: r.PerSecond, Burst: orDefault(r.Burst, max(1, int(math.Ceil(r.PerSecond)))),
		Soft: orDefault(r.Soft, false), rule: strconv.Itoa(i),
	}
}

// Limits returns all limit rules in the order of the document.
func (s *Snapshot) Limits() []Limit { return s.limits }

// LimitsFor returns the limits that apply to a call. A call must pass the buckets of all of them. A limit for a named
// customer and one for "*" both apply.
func (s *Snapshot) LimitsFor(customer, class, service string) []BucketLimit {
	var out []BucketLimit
	for _, l := range s.limits {
		if l.Customer != "*" && l.Customer != customer || l.Class != "" && l.Class != class || l.Service != "" && l.Service != service {
			continue
		}
		out = append(out, BucketLimit{Limit: l, Key: l.rule + "/" + customer + "/" + service})
	}
	return out
}
