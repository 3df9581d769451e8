package inventory

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/model"
)

// names become parts of headers, metric labels and pool names, so their alphabet is narrow.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// MaxMoveDuration bounds how far ahead the date of a version rule may lie; a later one is most likely a wrong year.
const MaxMoveDuration = 366 * 24 * time.Hour

// validator collects the findings of one inventory. Empty names are left to Parse, which reports them as missing.
type validator struct {
	inv         *model.Inventory
	now         time.Time
	findings    []Finding
	dataCentres map[string]string // name to field path of the first definition
	services    map[string]*model.Service
	classes     map[string]string
	customers   map[string]string
}

// Validate reports the faults that need more than the schema: duplicate names, dangling references, impossible dates,
// weights and shares, overlapping service matches, and rules that leave a service without upstreams. The findings have
// a field path and no line; Check adds the lines. It is meant for a new document: a configuration in force stays valid
// when the time of a version rule passes, so it is not validated again when it is read back.
func Validate(inv *model.Inventory, now time.Time) []Finding {
	v := &validator{inv: inv, now: now, dataCentres: map[string]string{}, services: map[string]*model.Service{}, classes: map[string]string{}, customers: map[string]string{}}
	if inv.SchemaVersion != 0 && inv.SchemaVersion != SchemaVersion {
		v.add("schemaVersion", "version %d is not known; this program reads version %d", inv.SchemaVersion, SchemaVersion)
	}
	v.checkSites()
	v.checkClasses()
	v.checkCustomers()
	v.checkServices()
	v.checkOverlaps()
	if inv.Rules != nil {
		v.checkDataCentreRules(inv.Rules)
		v.checkVersionRules(inv.Rules)
		v.checkLimits(inv.Rules)
	}
	v.checkActiveDataCentres()
	return v.findings
}

func (v *validator) add(field, format string, args ...any) {
	v.findings = append(v.findings, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(field, name string) {
	if name != "" && !namePattern.MatchString(name) {
		v.add(field, "the name %q must be 1 to 64 letters, digits, dots, hyphens or underscores and start with a letter or digit", name)
	}
}

// unique records the name and reports it when an earlier item has it. what names the kind of item.
func (v *validator) unique(seen map[string]string, field, name, what string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		v.add(field, "the %s %q is already used by %s", what, name, first)
		return
	}
	seen[name] = field
}

func (v *validator) checkSites() {
	sites := map[string]string{}
	for i, s := range v.inv.Sites {
		at := fmt.Sprintf("sites[%d]", i)
		v.name(at+".name", s.Name)
		v.unique(sites, at+".name", s.Name, "site name")
		for j, dc := range s.DataCentres {
			field := fmt.Sprintf("%s.dataCentres[%d].name", at, j)
			v.name(field, dc.Name)
			v.unique(v.dataCentres, field, dc.Name, "data centre name")
		}
	}
	for i, s := range v.inv.Sites {
		for j, dc := range s.DataCentres {
			for other := range dc.DelaysMs {
				field := fmt.Sprintf("sites[%d].dataCentres[%d].delaysMs.%s", i, j, other)
				v.dataCentre(field, other)
				if other == dc.Name {
					v.add(field, "a data centre has no delay to itself")
				}
			}
		}
	}
}

func (v *validator) dataCentre(field, name string) {
	if _, ok := v.dataCentres[name]; !ok && name != "" {
		v.add(field, "there is no data centre %q in the sites", name)
	}
}

func (v *validator) class(field string, name *string) {
	if name == nil || *name == "" {
		return
	}
	if _, ok := v.classes[*name]; !ok {
		v.add(field, "there is no request class %q", *name)
	}
}

func (v *validator) checkClasses() {
	sum := 0.0
	for i, c := range v.inv.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		v.name(field+".name", c.Name)
		v.unique(v.classes, field+".name", c.Name, "class name")
		share := orDefault(c.MinSharePercent, DefaultMinSharePercent)
		if sum <= 100 && sum+share > 100 {
			v.add(field+".minSharePercent", "the minimum shares of the classes add up to %v %%, which is more than 100 %%", sum+share)
		}
		sum += share
	}
}

func (v *validator) checkCustomers() {
	for i, c := range v.inv.Customers {
		field := fmt.Sprintf("customers[%d]", i)
		v.name(field+".name", c.Name)
		v.unique(v.customers, field+".name", c.Name, "customer name")
		if c.Weight != nil && *c.Weight <= 0 {
			v.add(field+".weight", "the weight must be greater than 0; a customer without a share would never be served")
		}
	}
}

func (v *validator) checkServices() {
	names, upstreams, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i := range v.inv.Services {
		s := &v.inv.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		v.name(at+".name", s.Name)
		v.unique(names, at+".name", s.Name, "service name")
		if s.Name != "" && v.services[s.Name] == nil {
			v.services[s.Name] = s
		}
		v.class(at+".defaultClass", s.DefaultClass)
		v.checkMatch(at, s)
		v.checkRoutes(at, s)
		for j, u := range s.Upstreams {
			field := fmt.Sprintf("%s.upstreams[%d]", at, j)
			v.name(field+".name", u.Name)
			v.name(field+".version", u.Version)
			v.unique(upstreams, field+".name", u.Name, "upstream name")
			v.dataCentre(field+".dataCentre", u.DataCentre)
			v.address(addresses, field+".address", u.Address)
		}
	}
}

func (v *validator) address(seen map[string]string, field, address string) {
	if address == "" {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		v.add(field, "must be an IP address and a port such as 10.1.2.3:8080, but is %q", address)
		return
	}
	canonical := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
	v.unique(seen, field, canonical, "address")
}

func (v *validator) prefix(field, prefix string) {
	if !strings.HasPrefix(prefix, "/") || path.Clean(prefix) != strings.TrimSuffix(prefix, "/") && prefix != "/" || strings.ContainsAny(prefix, "?#% ") {
		v.add(field, "must be a clean path that starts with a slash and has no query, escape or space, but is %q", prefix)
	}
}

func (v *validator) checkMatch(at string, s *model.Service) {
	if s.Match == nil {
		return
	}
	if s.Match.PathPrefix != nil {
		v.prefix(at+".match.pathPrefix", *s.Match.PathPrefix)
	}
	for i, host := range s.Match.Hosts {
		if host == "" || strings.ContainsAny(host, "/:* ") {
			v.add(fmt.Sprintf("%s.match.hosts[%d]", at, i), "must be an exact host name without port or wildcard, but is %q", host)
		}
	}
}

func (v *validator) checkRoutes(at string, s *model.Service) {
	names := map[string]string{}
	own := servicePrefix(s)
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s.routes[%d]", at, i)
		v.name(field+".name", r.Name)
		v.unique(names, field+".name", r.Name, "route name")
		v.class(field+".class", r.Class)
		if r.PathPrefix != "" {
			v.prefix(field+".pathPrefix", r.PathPrefix)
			if !underPrefix(cleanPrefix(r.PathPrefix), own) {
				v.add(field+".pathPrefix", "lies outside the service's prefix %q, so no request reaches this route", own)
			}
		}
		for j, m := range r.Methods {
			if m == "" || strings.ToUpper(m) != m || strings.ContainsAny(m, " ,\t") {
				v.add(fmt.Sprintf("%s.methods[%d]", field, j), "must be an HTTP method in capital letters, but is %q", m)
			}
		}
	}
}

// checkOverlaps reports services that claim the same requests: the same host, or none, and the same prefix.
func (v *validator) checkOverlaps() {
	type claim struct{ host, prefix string }
	owners := map[claim]string{}
	for i := range v.inv.Services {
		s := &v.inv.Services[i]
		if s.Name == "" {
			continue
		}
		hosts := []string{""}
		if s.Match != nil && len(s.Match.Hosts) > 0 {
			hosts = s.Match.Hosts
		}
		for _, host := range hosts {
			c := claim{strings.ToLower(host), servicePrefix(s)}
			if owner, ok := owners[c]; ok && owner != s.Name {
				v.add(fmt.Sprintf("services[%d].match", i), "service %q matches the same requests as service %q (%s)", s.Name, owner, claimText(c.host, c.prefix))
				break
			}
			owners[c] = s.Name
		}
	}
}

func claimText(host, prefix string) string {
	if host == "" {
		return "any host, path prefix " + prefix
	}
	return "host " + host + ", path prefix " + prefix
}

func (v *validator) checkDataCentreRules(rules *model.Rules) {
	seen := map[string]string{}
	for i, r := range rules.DataCentres {
		field := fmt.Sprintf("rules.dataCentres[%d].dataCentre", i)
		v.dataCentre(field, r.DataCentre)
		v.unique(seen, field, r.DataCentre, "data centre")
	}
}

// checkActiveDataCentres reports services that no active upstream in an active data centre serves.
func (v *validator) checkActiveDataCentres() {
	leaving := map[string]int{}
	if v.inv.Rules != nil {
		for i, r := range v.inv.Rules.DataCentres {
			if r.State == model.DataCentreRuleStateLeaving {
				leaving[r.DataCentre] = i
			}
		}
	}
	for i, s := range v.inv.Services {
		active, lastRule := false, -1
		for _, u := range s.Upstreams {
			rule, dcLeaving := leaving[u.DataCentre]
			if isLeaving(u) {
				continue
			}
			if dcLeaving {
				lastRule = max(lastRule, rule)
				continue
			}
			active = true
		}
		if active || len(s.Upstreams) == 0 {
			continue
		}
		if lastRule >= 0 {
			v.add(fmt.Sprintf("rules.dataCentres[%d]", lastRule), "the leaving data centres leave no active upstream for service %q", s.Name)
		} else {
			v.add(fmt.Sprintf("services[%d].upstreams", i), "all upstreams of service %q are leaving", s.Name)
		}
	}
}

func (v *validator) checkVersionRules(rules *model.Rules) {
	seen := map[string]string{}
	for i, r := range rules.Versions {
		field := fmt.Sprintf("rules.versions[%d]", i)
		v.unique(seen, field+".service", r.Service, "service of a version rule")
		switch {
		case r.By.IsZero():
			v.add(field+".by", "is missing")
		case !r.By.After(v.now):
			v.add(field+".by", "the time %s has passed", r.By.Format(time.RFC3339))
		case r.By.Sub(v.now) > MaxMoveDuration:
			v.add(field+".by", "the time %s is more than a year ahead", r.By.Format(time.RFC3339))
		}
		if r.From != "" && r.From == r.To {
			v.add(field+".to", "is the same version as \"from\"")
		}
		if r.StartPercent != nil && *r.StartPercent <= 0 {
			v.add(field+".startPercent", "must be greater than 0")
		}
		if r.Service == "" {
			continue
		}
		s := v.services[r.Service]
		if s == nil {
			v.add(field+".service", "there is no service %q", r.Service)
			continue
		}
		v.hasVersion(field+".from", s, r.From)
		v.hasVersion(field+".to", s, r.To)
	}
}

func (v *validator) hasVersion(field string, s *model.Service, version string) {
	for _, u := range s.Upstreams {
		if u.Version == version && !isLeaving(u) {
			return
		}
	}
	if version != "" {
		v.add(field, "service %q has no active upstream of version %q", s.Name, version)
	}
}

func (v *validator) checkLimits(rules *model.Rules) {
	type scope struct{ customer, class, service string }
	seen := map[scope]int{}
	for i, r := range rules.Limits {
		field := fmt.Sprintf("rules.limits[%d]", i)
		if _, ok := v.customers[r.Customer]; !ok && r.Customer != "*" && r.Customer != "" {
			v.add(field+".customer", "there is no customer %q", r.Customer)
		}
		v.class(field+".class", r.Class)
		if service := orDefault(r.Service, ""); service != "" && v.services[service] == nil {
			v.add(field+".service", "there is no service %q", service)
		}
		key := scope{r.Customer, orDefault(r.Class, ""), orDefault(r.Service, "")}
		if first, ok := seen[key]; ok {
			v.add(field, "limits the same calls as rules.limits[%d]", first)
			continue
		}
		seen[key] = i
	}
}

func isLeaving(u model.Upstream) bool {
	return u.State != nil && *u.State == model.UpstreamStateLeaving
}

func orDefault[T any](p *T, value T) T {
	if p == nil {
		return value
	}
	return *p
}
