package operators

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/routing"
	"boragehinge.example/boragehinge/inventory"
)

// Query describes a call to explain.
type Query struct {
	Customer  string `json:"customer,omitempty"`
	Class     string `json:"class,omitempty"` // empty: the class of the route
	Host      string `json:"host,omitempty"`
	Path      string `json:"path"`
	Method    string `json:"method"`
	RequestID string `json:"requestId,omitempty"`
}

// Explanation is the answer of /v1/explain: what would happen to a call at this entry now.
type Explanation struct {
	Query         Query       `json:"query"`
	Host          string      `json:"host"` // entry that explains
	Configuration int64       `json:"configuration"`
	Matched       bool        `json:"matched"`
	Service       string      `json:"service,omitempty"`
	Route         string      `json:"route,omitempty"`
	Class         string      `json:"class,omitempty"`
	Priority      int         `json:"priority"`
	Idempotent    bool        `json:"idempotent"`
	DeadlineMs    int64       `json:"deadlineMs,omitempty"`
	Version       string      `json:"version,omitempty"` // empty: any version, or it depends on the request ID
	MovePercent   float64     `json:"movePercent,omitempty"`
	Pools         []Candidate `json:"pools"`
	Limits        []string    `json:"limits"`
	Sentences     []string    `json:"sentences"`

	versionsToAsk []string // when the request ID is not given
}

// Explain says what would happen to a call, from the configuration in force, the moves and the pools.
func Explain(q Query, snapshot *inventory.Snapshot, moves []rollout.Status, pools func(service, version string) []Candidate) Explanation {
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	e := Explanation{Query: q, Pools: []Candidate{}, Limits: []string{}}
	if snapshot == nil {
		e.say("no configuration is in force, so every call is refused as not run")
		return e
	}
	e.Configuration = snapshot.Version()
	service, route, ok := snapshot.Match(q.Host, q.Method, q.Path)
	if !ok {
		e.say("no service of configuration %d matches %s %s%s, so the call is refused as not run", e.Configuration, q.Method,
			q.Host, q.Path)
		return e
	}
	e.Matched, e.Service, e.Route, e.Idempotent = true, service.Name, route.Name, route.Idempotent(q.Method)
	e.say("service %s, route %s (configuration %d)", service.Name, route.Name, e.Configuration)
	if !e.explainClass(snapshot, route) {
		return e
	}
	e.explainIdempotent()
	e.explainVersion(service, moves)
	e.explainPools(pools)
	e.explainLimits(snapshot)
	return e
}

func (e *Explanation) say(format string, args ...any) {
	e.Sentences = append(e.Sentences, fmt.Sprintf(format, args...))
}

func (e *Explanation) explainClass(snapshot *inventory.Snapshot, route inventory.Route) bool {
	origin := "the route's class"
	e.Class = route.Class
	if e.Query.Class != "" {
		origin, e.Class = "as the caller asks", e.Query.Class
	}
	class, ok := snapshot.Class(e.Class)
	if !ok {
		e.say("class %s is not in the configuration, so the call is refused as invalid", e.Class)
		return false
	}
	e.Priority = snapshot.Priority(e.Class, e.Query.Customer)
	e.DeadlineMs = class.Deadline.Milliseconds()
	e.say("class %s (%s), deadline %s unless the caller gives one", e.Class, origin, class.Deadline)
	customer, named := snapshot.Customer(e.Query.Customer)
	switch {
	case e.Query.Customer == "":
		e.say("priority %d of a call without a customer, 0 is served first", e.Priority)
	case !named:
		e.say("priority %d; customer %s is not in the configuration and has weight 1", e.Priority, e.Query.Customer)
	default:
		e.say("priority %d; customer %s has weight %g and moves up %d", e.Priority, customer.Name, customer.Weight,
			customer.PriorityBoost)
	}
	return true
}

func (e *Explanation) explainIdempotent() {
	if e.Idempotent {
		e.say("idempotent: it may be retried on another upstream while the retry budget lasts")
		return
	}
	e.say("not idempotent: it is sent again only when it is proved not run")
}

func (e *Explanation) explainVersion(service *inventory.Service, moves []rollout.Status) {
	for _, m := range moves {
		if m.Service != service.Name {
			continue
		}
		e.MovePercent = m.Percent
		switch m.State {
		case rollout.Done:
			e.Version, e.MovePercent = m.To, 100
			e.say("version %s: move %s is done", m.To, m.Move)
		case rollout.InProgress:
			e.chosenByID(m)
		default:
			e.Version, e.MovePercent = m.From, 0
			e.say("version %s: move %s is %s", m.From, m.Move, m.State)
		}
		return
	}
	e.say("any version of %s: no move is in the configuration", strings.Join(service.Versions, ", "))
}

func (e *Explanation) chosenByID(m rollout.Status) {
	if e.Query.RequestID == "" {
		e.say("version %s for %g %% of the calls and %s for the others, by a hash of the request ID (move %s)", m.To, m.Percent,
			m.From, m.Move)
		e.versionsToAsk = []string{m.From, m.To}
		return
	}
	e.Version = routing.Move{Name: m.Move, From: m.From, To: m.To, Share: m.Percent / 100}.Version(e.Query.RequestID)
	e.say("version %s: the hash of the request ID decides, at %g %% on version %s (move %s)", e.Version, m.Percent, m.To, m.Move)
}

func (e *Explanation) explainPools(pools func(service, version string) []Candidate) {
	versions := e.versionsToAsk
	if len(versions) == 0 {
		versions = []string{e.Version}
	}
	for _, v := range versions {
		list := pools(e.Service, v)
		if len(versions) > 1 {
			e.say("pools for version %s:", v)
		}
		tried := 0
		for _, c := range list {
			if c.Excluded == "" {
				tried++
			}
			e.Sentences = append(e.Sentences, candidateText(c, e.Class, tried))
		}
		if tried == 0 {
			e.say("no pool takes the call now, so it is refused as not run")
		}
		e.Pools = append(e.Pools, list...)
	}
}

func candidateText(c Candidate, class string, place int) string {
	owner := "no entry owns it"
	switch {
	case c.OwnerHere:
		owner = "owned by this entry"
	case c.Owner != "":
		owner = "owned by entry " + c.Owner
	}
	if c.Excluded != "" {
		return fmt.Sprintf("pool %s is not tried: %s (%s)", c.Pool, c.Excluded, owner)
	}
	text := fmt.Sprintf("pool %s is choice %d: %s, %s", c.Pool, place, owner, waitText(c, class))
	if c.Slots > 0 || c.OwnerHere {
		text += fmt.Sprintf(", %d of %s in use", c.InFlight, count(c.Slots, "slot"))
	}
	if c.Delay > 0 {
		text += fmt.Sprintf(", %s away", c.Delay)
	}
	return text + fmt.Sprintf(", %.0f %% of the calls of this entry", c.WeightPercent)
}

func waitText(c Candidate, class string) string {
	for _, w := range c.Waits {
		if w.Class == class {
			return fmt.Sprintf("expected wait %s with %d queued", w.Wait.Round(10*time.Microsecond), w.Queued)
		}
	}
	return "expected wait not known"
}

func (e *Explanation) explainLimits(snapshot *inventory.Snapshot) {
	for _, l := range snapshot.LimitsFor(e.Query.Customer, e.Class, e.Service) {
		e.Limits = append(e.Limits, limitText(l))
	}
	if len(e.Limits) == 0 {
		e.say("no limit applies")
		return
	}
	for _, l := range e.Limits {
		e.say("%s", l)
	}
}

func limitText(l inventory.BucketLimit) string {
	var scope []string
	if l.Customer != "" {
		scope = append(scope, "customer "+l.Customer)
	}
	if l.Class != "" {
		scope = append(scope, "class "+l.Class)
	}
	if l.Service != "" {
		scope = append(scope, "service "+l.Service)
	}
	effect := "calls above it are refused with status 429"
	if l.Soft {
		effect = "calls above it are counted and served"
	}
	return fmt.Sprintf("limit of %g calls/s with bursts of %d for %s: %s", l.PerSecond, l.Burst, strings.Join(scope, ", "), effect)
}
