package entry

import (
	"net/http"
	"path"

	"boragehinge.example/boragehinge/internal/proxy"
)

// directory resolves calls against the configuration in force.
type directory struct{ e *Entry }

// Resolve implements proxy.Directory.
func (d directory) Resolve(r *http.Request) (proxy.Target, bool) {
	conf := d.e.conf.Load()
	if conf == nil {
		return proxy.Target{}, false
	}
	service, route, ok := conf.snap.Match(r.Host, r.Method, path.Clean("/"+r.URL.Path))
	if !ok {
		return proxy.Target{}, false
	}
	class := route.Class
	if class == "" {
		class = service.DefaultClass
	}
	idempotent := route.Idempotent(r.Method)
	return proxy.Target{Service: service.Name, Route: route.Name, Class: class, Idempotent: &idempotent}, true
}

// Class implements proxy.Directory.
func (d directory) Class(name string) (proxy.Class, bool) {
	conf := d.e.conf.Load()
	if conf == nil {
		return proxy.Class{}, false
	}
	c, ok := conf.snap.Class(name)
	return proxy.Class{Name: c.Name, Priority: c.Priority, Deadline: c.Deadline, Hedge: c.Hedge}, ok
}

// KnownCustomer implements proxy.Directory. Every customer is accepted; those not in the inventory have weight 1.
func (d directory) KnownCustomer(string) bool { return true }
