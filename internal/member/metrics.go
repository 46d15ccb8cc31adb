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
	now := c.counts
	m.suspicions.Inc(now.suspicions - m.last.suspicions)
	m.deaths.Inc(now.deaths - m.last.deaths)
	m.refutations.Inc(now.refutations - m.last.refutations)
	m.syncs.Inc(now.syncs - m.last.syncs)
	m.refused.Inc(now.refused - m.last.refused)
	m.last = now
	m.routers.Update(float64(len(c.routers) + 1))
	m.targets.Update(float64(len(c.targets)))
}
