package member

import "github.com/uber-go/tally/v4"

type metrics struct {
	last counts

	suspicions  tally.Counter
	deaths      tally.Counter
	refutations tally.Counter
	syncs       tally.Counter
	refused     tally.Counter
	malformed   tally.Counter
	routers     tally.Gauge
	targets     tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	sub := scope.SubScope("member")
	return &metrics{
		suspicions:  sub.Counter("suspicions"),
		deaths:      sub.Counter("deaths"),
		refutations: sub.Counter("refutations"),
		syncs:       sub.Counter("syncs"),
		refused:     sub.Counter("budget_refusals"),
		malformed:   sub.Counter("malformed_datagrams"),
		routers:     sub.Gauge("known_routers"),
		targets:     sub.Gauge("known_targets"),
	}
}

// update reports the core's counts since the last call.
func (m *metrics) update(c *core) {
	current := c.counts
	m.suspicions.Inc(current.suspicions - m.last.suspicions)
	m.deaths.Inc(current.deaths - m.last.deaths)
	m.refutations.Inc(current.refutations - m.last.refutations)
	m.syncs.Inc(current.syncs - m.last.syncs)
	m.refused.Inc(current.refused - m.last.refused)
	m.last = current
	m.routers.Update(float64(len(c.routers) + 1))
	m.targets.Update(float64(len(c.targets)))
}
