package inventory

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"boragehinge.example/boragehinge/internal/model"
)

// cleanPrefix removes the slash at the end, but for "/".
func cleanPrefix(prefix string) string {
	if len(prefix) > 1 {
		return strings.TrimSuffix(prefix, "/")
	}
	return prefix
}

func servicePrefix(s *model.Service) string {
	if s.Match == nil || s.Match.PathPrefix == nil {
		return "/" + s.Name
	}
	return cleanPrefix(*s.Match.PathPrefix)
}

// underPrefix reports whether path equals prefix or continues it at a segment border.
func underPrefix(path, prefix string) bool {
	if prefix == "/" {
		return strings.HasPrefix(path, "/")
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// matchIndex holds the services by host, the longest prefix first.
type matchIndex struct {
	byHost  map[string][]*Service
	anyHost []*Service
}

func newMatchIndex(services []*Service) matchIndex {
	ix := matchIndex{byHost: map[string][]*Service{}}
	for _, s := range services {
		if len(s.Hosts) == 0 {
			ix.anyHost = append(ix.anyHost, s)
		}
		for _, h := range s.Hosts {
			ix.byHost[h] = append(ix.byHost[h], s)
		}
	}
	longest := func(a, b *Service) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) }
	slices.SortStableFunc(ix.anyHost, longest)
	for _, list := range ix.byHost {
		slices.SortStableFunc(list, longest)
	}
	return ix
}

func (ix matchIndex) find(host, path string) *Service {
	for _, list := range [][]*Service{ix.byHost[host], ix.anyHost} {
		for _, s := range list {
			if underPrefix(path, s.PathPrefix) {
				return s
			}
		}
	}
	return nil
}

// Match returns the service and the route of a request. host may carry a port; path is the cleaned URL path without
// the query. The last result is false when no service matches.
func (s *Snapshot) Match(host, method, path string) (*Service, Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	svc := s.matches.find(strings.ToLower(host), path)
	if svc == nil {
		return nil, Route{}, false
	}
	return svc, svc.Route(method, path), true
}

// Route returns the first route that fits, or the default route.
func (s *Service) Route(method, path string) Route {
	for _, r := range s.Routes {
		if underPrefix(path, r.PathPrefix) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r
		}
	}
	return s.DefaultRoute
}
