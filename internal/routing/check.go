package routing

import (
	"errors"
	"fmt"
	"strings"
)

// Check returns all faults of the table as one joined error, or nil if it has
// none.
func (t *Table) Check() error {
	var faults []error
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" {
			faults = append(faults, errors.New("a service has no name"))
		}
		if s.ColdStart < 0 || s.ColdPerSecond < 0 {
			faults = append(faults, fmt.Errorf("service %q has a negative time or rate of cold targets", s.Name))
		}
		services[s.Name] = true
	}
	routes := make(map[matchKey]string, len(t.Routes))
	for _, r := range t.Routes {
		faults = append(faults, r.check(services))
		key := matchKey{NormalHost(r.Host), r.Prefix}
		if other, taken := routes[key]; taken {
			faults = append(faults, fmt.Errorf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix))
		}
		routes[key] = r.Name
	}
	faults = append(faults, t.checkTeams())
	return errors.Join(faults...)
}

// matchKey is the pair of host, in its normal form, and path prefix that selects a route. Check
// reports routes with equal pairs.
type matchKey struct {
	host   string
	prefix string
}

// check returns all faults of the route as one joined error, or nil if it has
// none. The keys of services are the names of the known services.
func (r *Route) check(services map[string]bool) error {
	var faults []error
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("the path prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Stream {
		fault("the kind of request is unknown")
	}
	if r.Timeout <= 0 {
		fault("the timeout is not above 0")
	}
	total := 0
	for _, s := range r.Services {
		if !services[s.Service] {
			fault("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			fault("service %q has a negative weight", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		fault("the weights add up to %d", total)
	}
	return errors.Join(faults...)
}

// checkTeams returns all faults of the teams as one joined error, or nil if there
// are none: teams without a name, and keys that belong to more than one team.
func (t *Table) checkTeams() error {
	var faults []error
	owners := make(map[string]*Team)
	for _, team := range t.Teams {
		if team.Name == "" {
			faults = append(faults, errors.New("a team has no name"))
		}
		for _, key := range team.Keys {
			if other, taken := owners[key]; taken && other != team {
				faults = append(faults, fmt.Errorf("teams %q and %q share a key", other.Name, team.Name))
			}
			owners[key] = team
		}
	}
	return errors.Join(faults...)
}
