package discovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/inventory"
)

// MaxAddresses is the largest number of addresses in an answer.
const MaxAddresses = 8

// Member is an entry as this entry sees it.
type Member struct {
	Incarnation string
	Address     string // for callers
	DataCentre  string
	Window      int64 // current window of the member's own registry
	WindowKnown bool  // without it the address is given without a prefix
	Leaving     bool
	Dead        bool
	Unready     bool // has no usable configuration
	Overloaded  bool
}

// Input is what an answer depends on.
type Input struct {
	Service  string
	Near     string // data centre of the caller, which is that of the asked entry unless the caller names one
	Snapshot *inventory.Snapshot
	Members  []Member // live members, this entry included
	// Owner returns the incarnation that owns a pool.
	Owner func(inventory.PoolID) (incarnation string, ok bool)
	Keep  time.Duration
}

// Address is one address of an answer.
type Address struct {
	Address         string `json:"address"`
	DataCentre      string `json:"dataCentre"`
	RequestIDPrefix string `json:"requestIdPrefix,omitempty"`
}

// Answer is the body of the response to an address request.
type Answer struct {
	Addresses   []Address `json:"addresses"`
	KeepSeconds int       `json:"keepSeconds"`
}

// choice is a member with its place in the order.
type choice struct {
	member Member
	rank   int // 0 owner, 1 fallback, 2 overloaded
	delay  time.Duration
	key    float64
}

// Addresses answers the question. It returns false when the service is unknown.
func Addresses(in Input, rng *rand.Rand) (Answer, bool) {
	if _, ok := in.Snapshot.Service(in.Service); !ok {
		return Answer{}, false
	}
	slots := ownedSlots(in)
	var choices []choice
	for _, m := range in.Members {
		if m.Leaving || m.Dead || m.Unready || m.Address == "" {
			continue
		}
		owned, owner := slots[m.Incarnation]
		if !owner && m.DataCentre != in.Near {
			continue
		}
		choices = append(choices, newChoice(in, m, owned, rng))
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.delay, b.delay), cmp.Compare(a.key, b.key))
	})
	if i := slices.IndexFunc(choices, func(c choice) bool { return c.rank == 2 }); i > 0 {
		choices = choices[:i]
	}
	a := Answer{Addresses: []Address{}, KeepSeconds: int(in.Keep / time.Second)}
	for _, c := range choices[:min(len(choices), MaxAddresses)] {
		address := Address{Address: c.member.Address, DataCentre: c.member.DataCentre}
		if c.member.WindowKnown {
			address.RequestIDPrefix = idempotency.Prefix(c.member.Incarnation, c.member.Window)
		}
		a.Addresses = append(a.Addresses, address)
	}
	return a, true
}

// newChoice draws the key of a weighted random order: the member with the least key comes first with a probability
// proportional to its weight.
func newChoice(in Input, m Member, slots int, rng *rand.Rand) choice {
	c := choice{member: m, delay: in.Snapshot.Delay(in.Near, m.DataCentre)}
	c.key = -math.Log(1-rng.Float64()) / float64(max(1, slots))
	switch {
	case m.Overloaded:
		c.rank = 2
	case slots == 0:
		c.rank = 1
	}
	return c
}

// ownedSlots returns the slots of the service's open pools by the incarnation that owns them.
func ownedSlots(in Input) map[string]int {
	out := map[string]int{}
	for _, p := range in.Snapshot.PoolsOf(in.Service) {
		owner, ok := in.Owner(p.ID)
		if !ok || !p.Usable("") {
			continue
		}
		for _, u := range p.Upstreams {
			if !u.Leaving {
				out[owner] += u.Slots
			}
		}
	}
	return out
}
