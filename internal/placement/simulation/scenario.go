package simulation

import (
	"fmt"
	"time"
)

// Scenario selects the load pattern and the faults of a run.
type Scenario struct {
	Name string
	// Surge: one customer sends ten times its share.
	Surge                               bool
	Join, Leave, Flap, Restart, Replace bool
	// SplitView: two routers see different routers and engines for 5 s.
	SplitView bool
	// LateReports: load reports arrive 3 s late, and one in three is lost.
	LateReports bool
	// RouterFails: the owner, or one entry router for variant (a), fails and loses its
	// directory.
	RouterFails bool
}

// Scenarios lists the scenarios of the table.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "surge", Surge: true},
	{Name: "join", Join: true},
	{Name: "leave", Leave: true},
	{Name: "flap", Flap: true},
	{Name: "cold restart", Restart: true},
	{Name: "10% replaced", Replace: true},
	{Name: "disagree 5 s", SplitView: true},
	{Name: "reports late", LateReports: true},
	{Name: "router dies", RouterFails: true},
	{
		Name: "all but the surge", Join: true, Leave: true, Flap: true, Restart: true, Replace: true,
		SplitView: true, LateReports: true, RouterFails: true,
	},
	{
		Name: "all at once", Surge: true, Join: true, Leave: true, Flap: true, Restart: true, Replace: true,
		SplitView: true, LateReports: true, RouterFails: true,
	},
}

const (
	reportInterval = 1 * time.Second
	reportLag      = 200 * time.Millisecond
	// refreshInterval is how often routers update their engines from their view.
	refreshInterval = 200 * time.Millisecond
	lateReportLag   = 3 * time.Second
	// viewLag is the time until routers learn that an engine joined or is leaving.
	viewLag = 1 * time.Second
	// unresponsiveLag is the time until routers learn that an engine is unresponsive.
	unresponsiveLag = 3 * time.Second
	flapDuration    = 20 * time.Second
	flapInterval    = 3 * time.Minute
	splitDuration   = 5 * time.Second
	splitInterval   = 5 * time.Minute
	eventInterval   = 2 * time.Second
	// eventLoss is the fraction of the batches of cache events that are lost.
	eventLoss = 0.01
)

// scheduleFaults schedules the faults of the scenario. Engines are identified by
// index.
func (r *run) scheduleFaults() {
	s := r.scenario
	if s.Join {
		r.schedule(40*time.Minute, func() { r.join("engine-new") })
	}
	if s.Leave {
		r.schedule(52*time.Minute, func() { r.leave(2) })
	}
	if s.Replace {
		// One of 12 engines is replaced in each half hour after the warm-up.
		for i, when := range []time.Duration{35 * time.Minute, 60 * time.Minute} {
			r.schedule(when, func() {
				r.leave(8 + i)
				r.join(fmt.Sprint("engine-replaced-", i))
			})
		}
	}
	if s.Restart {
		r.schedule(45*time.Minute, func() { r.restart(6) })
		r.schedule(58*time.Minute, func() { r.restart(7) })
	}
	if s.Flap {
		for when := 35 * time.Minute; when < traceLength; when += flapInterval {
			r.schedule(when, func() { r.flap(4) })
		}
	}
	if s.SplitView {
		for when := 32 * time.Minute; when < traceLength; when += splitInterval {
			r.schedule(when, func() { r.strategy.splitView(true) })
			r.schedule(when+splitDuration, func() { r.strategy.splitView(false) })
		}
	}
	if s.RouterFails {
		r.schedule(55*time.Minute, r.failRouter)
	}
}

func (r *run) join(id string) {
	e := newEngine(id)
	e.announced = false
	r.engines = append(r.engines, e)
	r.index[id] = len(r.engines) - 1
	r.changeView(viewLag, func() { e.announced = true })
}

func (r *run) leave(i int) {
	r.changeView(viewLag, func() { r.engines[i].leaving = true })
}

// flap makes an engine unresponsive for some time; its running requests continue.
func (r *run) flap(i int) {
	r.changeView(unresponsiveLag, func() { r.engines[i].announced = false })
	r.changeView(flapDuration, func() { r.engines[i].announced = true })
}

// changeView changes the routers' view of the engines after lag. Their next decision
// uses the new view.
func (r *run) changeView(lag time.Duration, change func()) {
	r.schedule(r.now+lag, func() {
		change()
		r.strategy.tick()
	})
}

// restart fails the requests at an engine; their routers submit them again.
func (r *run) restart(i int) {
	r.engines[i].restart()
	failed := r.cancel(func(q *request) bool { return q.engine == i })
	for _, q := range failed {
		r.strategy.release(q)
	}
	for _, q := range failed {
		r.submit(q)
	}
}
