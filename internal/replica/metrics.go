package replica

import "github.com/uber-go/tally/v4"

type metrics struct {
	proposals tally.Counter
	commits   tally.Counter
	syncs     tally.Counter
	sync      tally.Timer
	snapshot  tally.Timer
	dropped   tally.Counter
	term      tally.Gauge
	applied   tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("replica")
	return metrics{
		proposals: s.Counter("proposals"),
		commits:   s.Counter("commits"),
		syncs:     s.Counter("syncs"),
		sync:      s.Timer("sync"),
		snapshot:  s.Timer("snapshot"),
		dropped:   s.Counter("messages_dropped"),
		term:      s.Gauge("term"),
		applied:   s.Gauge("applied_index"),
	}
}
