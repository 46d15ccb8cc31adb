package routing

import (
	"sort"
	"strings"
)

// Index finds the routes, teams and services of one table. It is immutable.
type Index struct {
	Table *Table
	// hosts holds the routes by the normal form of their host, longest prefix first.
	hosts map[string][]*Route
	// teams holds the teams by bearer key.
	teams map[string]*Team
	// services holds the services by name.
	services map[string]*Service
}

// NewIndex returns the index of a table in which Check found no fault.
func NewIndex(t *Table) *Index {
	x := &Index{
		Table:    t,
		hosts:    make(map[string][]*Route),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service, len(t.Services)),
	}
	for _, r := range t.Routes {
		host := NormalHost(r.Host)
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

// Match returns the route of host whose prefix is the longest prefix of path, or
// nil if no route matches. It compares the normal forms of hosts.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.hosts[NormalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need a bearer key unless their route is
// public.
func (x *Index) RequiresKey() bool { return x.Table.RequiresKey || len(x.Table.Teams) > 0 }

// Team returns the team that owns the bearer key, or nil if there is none.
func (x *Index) Team(key string) *Team { return x.teams[key] }

// Service returns the service with this name, or nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// SelectService selects a service for one request of the route by weight and
// returns its name. The caller passes a uniformly distributed random number as
// draw; equal draws give equal results. The name is empty if the weights add up to
// zero.
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
