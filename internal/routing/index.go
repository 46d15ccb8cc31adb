package routing

import (
	"net"
	"sort"
	"strings"
)

// Index finds routes and teams of one table. It never changes.
type Index struct {
	Table *Table
	// hosts holds each host's routes, the longest prefix first.
	hosts    map[string][]*Route
	teams    map[string]*Team
	services map[string]*Service
}

// NewIndex builds the index of a table that Check found no fault with.
func NewIndex(t *Table) *Index {
	x := &Index{
		Table:    t,
		hosts:    make(map[string][]*Route),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service, len(t.Services)),
	}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, team := range t.Teams {
		for _, key := range team.Keys {
			x.teams[key] = team
		}
	}
	for _, s := range t.Services {
		x.services[s.Name] = s
	}
	return x
}

// Match returns the route with the longest prefix of path among those of host,
// or nil. A port in host doesn't matter.
func (x *Index) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey tells whether requests of routes that are not public need a key.
func (x *Index) RequiresKey() bool { return len(x.Table.Teams) > 0 }

// Team returns the team that holds key, or nil.
func (x *Index) Team(key string) *Team { return x.teams[key] }

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// SelectService returns the service for one request of the route, by the weights.
// Equal draws give equal services.
func (r *Route) SelectService(draw uint64) string {
	total := uint64(0)
	for _, s := range r.Services {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	left := draw % total
	for _, s := range r.Services {
		if left < uint64(s.Weight) {
			return s.Service
		}
		left -= uint64(s.Weight)
	}
	return ""
}
