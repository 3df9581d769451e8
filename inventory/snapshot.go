package inventory

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/model"
)

// Defaults of optional fields.
const (
	DefaultSlots           = 3
	DefaultConnections     = 240
	DefaultDeadline        = 30 * time.Second
	DefaultMinSharePercent = 5.0
	DefaultStartPercent    = 1.0
	DefaultSiteDelay       = 500 * time.Microsecond // between data centres of one site
	DefaultDistantDelay    = 20 * time.Millisecond  // between sites
	DefaultRouteName       = "default"
)

// Service is a service with its defaults resolved.
type Service struct {
	Name         string
	Hosts        []string // lower case; empty means any host
	PathPrefix   string   // without a slash at the end, but for "/"
	Routes       []Route  // in the order of the document; the default route is not among them
	DefaultRoute Route
	DefaultClass string
	Upstreams    []Upstream
	Versions     []string // sorted versions of the upstreams that are not leaving
}

// Route is a route with its defaults resolved.
type Route struct {
	Name       string
	PathPrefix string
	Methods    []string // empty means all
	Class      string
	idempotent *bool
}

// Idempotent reports whether a call of this route with the HTTP method may run more than once.
func (r Route) Idempotent(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// Upstream is an upstream with its defaults resolved. Leaving is set when the upstream's own state says so; whether its
// data centre is leaving is a matter of the pool.
type Upstream struct {
	Name, Address, Service, DataCentre, Version string
	Slots, Connections                          int
	Leaving                                     bool
}

// Class is a request class with its defaults resolved. Priority 0 is served first.
type Class struct {
	Name            string
	Priority        int
	Deadline        time.Duration
	MinSharePercent float64
	Hedge           bool
}

// Customer is a customer with its defaults resolved.
type Customer struct {
	Name          string
	Weight        float64
	PriorityBoost int
}

// DataCentre is a data centre with its site, region and state.
type DataCentre struct {
	Name, Site, Region string
	Leaving            bool
	Reason             string // of the rule that takes it out
}

// VersionRule is a rule that moves a service to a version.
type VersionRule struct {
	Service, Move, From, To string
	By                      time.Time
	StartPercent            float64
}

// Snapshot is one whole configuration, indexed and immutable. All methods are safe for concurrent use, run in memory
// and return shared values that the caller must not change.
type Snapshot struct {
	version     int64
	inv         *model.Inventory
	services    []*Service
	byName      map[string]*Service
	matches     matchIndex
	pools       []*Pool
	poolByID    map[PoolID]*Pool
	poolsOf     map[string][]*Pool
	upstreams   map[string]*Upstream
	poolOf      map[string]*Pool
	classes     []Class
	classByName map[string]Class
	middleClass string
	customers   map[string]Customer
	limits      []Limit
	dataCentres []DataCentre
	dcByName    map[string]DataCentre
	delays      map[[2]string]time.Duration
	moves       map[string]VersionRule
}

// NewSnapshot resolves and indexes a valid inventory. version is the log offset of its record. The snapshot keeps inv,
// which must not change any more.
func NewSnapshot(version int64, inv *model.Inventory) *Snapshot {
	s := &Snapshot{
		version: version, inv: inv, byName: map[string]*Service{}, poolByID: map[PoolID]*Pool{},
		poolsOf: map[string][]*Pool{}, upstreams: map[string]*Upstream{}, poolOf: map[string]*Pool{},
		classByName: map[string]Class{}, customers: map[string]Customer{}, dcByName: map[string]DataCentre{},
		delays: map[[2]string]time.Duration{}, moves: map[string]VersionRule{},
	}
	s.addClasses()
	s.addDataCentres()
	s.addServices()
	s.addPools()
	s.addCustomers()
	s.addRules()
	s.matches = newMatchIndex(s.services)
	return s
}

func (s *Snapshot) addClasses() {
	for _, c := range s.inv.Classes {
		class := Class{
			Name: c.Name, Priority: c.Priority, Hedge: orDefault(c.Hedge, false),
			Deadline:        time.Duration(orDefault(c.DeadlineMs, int(DefaultDeadline/time.Millisecond))) * time.Millisecond,
			MinSharePercent: orDefault(c.MinSharePercent, DefaultMinSharePercent),
		}
		s.classes = append(s.classes, class)
		s.classByName[c.Name] = class
	}
	slices.SortStableFunc(s.classes, func(a, b Class) int { return cmp.Compare(a.Priority, b.Priority) })
	if len(s.classes) > 0 {
		s.middleClass = s.classes[len(s.classes)/2].Name
	}
}

func (s *Snapshot) addDataCentres() {
	leaving := map[string]string{}
	if s.inv.Rules != nil {
		for _, r := range s.inv.Rules.DataCentres {
			if r.State == model.DataCentreRuleStateLeaving {
				leaving[r.DataCentre] = orDefault(r.Reason, "")
			}
		}
	}
	for _, site := range s.inv.Sites {
		for _, dc := range site.DataCentres {
			reason, out := leaving[dc.Name]
			d := DataCentre{Name: dc.Name, Site: site.Name, Region: orDefault(site.Region, site.Name), Leaving: out, Reason: reason}
			s.dataCentres = append(s.dataCentres, d)
			s.dcByName[dc.Name] = d
			for other, ms := range dc.DelaysMs {
				s.delays[[2]string{dc.Name, other}] = time.Duration(math.Round(ms * float64(time.Millisecond)))
			}
		}
	}
}

func (s *Snapshot) addServices() {
	for i := range s.inv.Services {
		m := &s.inv.Services[i]
		svc := &Service{Name: m.Name, PathPrefix: servicePrefix(m), DefaultClass: orDefault(m.DefaultClass, s.middleClass)}
		if m.Match != nil {
			for _, h := range m.Match.Hosts {
				svc.Hosts = append(svc.Hosts, strings.ToLower(h))
			}
		}
		svc.DefaultRoute = Route{Name: DefaultRouteName, PathPrefix: svc.PathPrefix, Class: svc.DefaultClass}
		for _, r := range m.Routes {
			svc.Routes = append(svc.Routes, Route{
				Name: r.Name, PathPrefix: cleanPrefix(r.PathPrefix), Methods: r.Methods,
				Class: orDefault(r.Class, svc.DefaultClass), idempotent: r.Idempotent,
			})
		}
		slots, connections := orDefault(m.Slots, DefaultSlots), orDefault(m.Connections, DefaultConnections)
		for _, u := range m.Upstreams {
			up := Upstream{
				Name: u.Name, Address: u.Address, Service: m.Name, DataCentre: u.DataCentre, Version: u.Version,
				Slots: orDefault(u.Slots, slots), Connections: orDefault(u.Connections, connections), Leaving: isLeaving(u),
			}
			svc.Upstreams = append(svc.Upstreams, up)
			if !up.Leaving && !slices.Contains(svc.Versions, up.Version) {
				svc.Versions = append(svc.Versions, up.Version)
			}
		}
		slices.Sort(svc.Versions)
		for j := range svc.Upstreams {
			s.upstreams[svc.Upstreams[j].Name] = &svc.Upstreams[j]
		}
		s.services = append(s.services, svc)
		s.byName[svc.Name] = svc
	}
}

func (s *Snapshot) addCustomers() {
	for _, c := range s.inv.Customers {
		s.customers[c.Name] = Customer{Name: c.Name, Weight: orDefault(c.Weight, 1), PriorityBoost: orDefault(c.PriorityBoost, 0)}
	}
}

func (s *Snapshot) addRules() {
	if s.inv.Rules == nil {
		return
	}
	for _, r := range s.inv.Rules.Versions {
		s.moves[r.Service] = VersionRule{
			Service: r.Service, Move: orDefault(r.Move, r.From+"->"+r.To), From: r.From, To: r.To,
			By: r.By, StartPercent: orDefault(r.StartPercent, DefaultStartPercent),
		}
	}
	for i, r := range s.inv.Rules.Limits {
		s.limits = append(s.limits, newLimit(i, r))
	}
}

// Version returns the log offset of the configuration.
func (s *Snapshot) Version() int64 { return s.version }

// Inventory returns the inventory that the snapshot was built from.
func (s *Snapshot) Inventory() *model.Inventory { return s.inv }

// Services returns all services in the order of the document.
func (s *Snapshot) Services() []*Service { return s.services }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) { v, ok := s.byName[name]; return v, ok }

// Upstream returns an upstream by name.
func (s *Snapshot) Upstream(name string) (*Upstream, bool) { v, ok := s.upstreams[name]; return v, ok }

// Classes returns the request classes, the first to be served first.
func (s *Snapshot) Classes() []Class { return s.classes }

// Class returns a request class by name.
func (s *Snapshot) Class(name string) (Class, bool) { v, ok := s.classByName[name]; return v, ok }

// Customers returns the named customers, sorted by name.
func (s *Snapshot) Customers() []Customer {
	out := make([]Customer, 0, len(s.customers))
	for _, c := range s.customers {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Customer returns a customer by name. A customer that the inventory does not name has weight 1 and no boost; the
// second result is false then.
func (s *Snapshot) Customer(name string) (Customer, bool) {
	if c, ok := s.customers[name]; ok {
		return c, true
	}
	return Customer{Name: name, Weight: 1}, false
}

// Priority returns the priority of a customer's call in a class, 0 first. An unknown class counts as the middle one.
func (s *Snapshot) Priority(class, customer string) int {
	c, ok := s.classByName[class]
	if !ok {
		c = s.classByName[s.middleClass]
	}
	who, _ := s.Customer(customer)
	return max(0, c.Priority-who.PriorityBoost)
}

// DataCentres returns all data centres in the order of the document.
func (s *Snapshot) DataCentres() []DataCentre { return s.dataCentres }

// DataCentre returns a data centre by name.
func (s *Snapshot) DataCentre(name string) (DataCentre, bool) {
	v, ok := s.dcByName[name]
	return v, ok
}

// Delay returns the one-way network delay between two data centres. A delay that is given in one direction only holds
// for both.
func (s *Snapshot) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := s.delays[[2]string{from, to}]; ok {
		return d
	}
	if d, ok := s.delays[[2]string{to, from}]; ok {
		return d
	}
	a, okA := s.dcByName[from]
	b, okB := s.dcByName[to]
	if okA && okB && a.Site == b.Site {
		return DefaultSiteDelay
	}
	return DefaultDistantDelay
}

// VersionRule returns the rule that moves the service, if there is one.
func (s *Snapshot) VersionRule(service string) (VersionRule, bool) {
	r, ok := s.moves[service]
	return r, ok
}

// String returns the version and the size of the configuration for log lines.
func (s *Snapshot) String() string {
	return fmt.Sprintf("version %d, %d services, %d upstreams", s.version, len(s.services), len(s.upstreams))
}
