package measure

import (
	"fmt"
	"time"
)

// Situation is what goes wrong in a run.
type Situation struct {
	Name string
	// Surge: one customer sends ten times its share.
	Surge                               bool
	Join, Leave, Flap, Restart, Replace bool
	// Disagree: two routers see other routers and engines for 5 s.
	Disagree bool
	// Late: load reports come 3 s late, one in three is lost.
	Late bool
	// RouterDies: the home, or for entry-local placement one entry, dies
	// with its directory.
	RouterDies bool
}

// Situations are those of the table.
var Situations = []Situation{
	{Name: "calm"},
	{Name: "surge", Surge: true},
	{Name: "join", Join: true},
	{Name: "leave", Leave: true},
	{Name: "flap", Flap: true},
	{Name: "cold restart", Restart: true},
	{Name: "10% replaced", Replace: true},
	{Name: "disagree 5 s", Disagree: true},
	{Name: "reports late", Late: true},
	{Name: "router dies", RouterDies: true},
	{
		Name: "all but the surge", Join: true, Leave: true, Flap: true, Restart: true, Replace: true,
		Disagree: true, Late: true, RouterDies: true,
	},
	{
		Name: "all at once", Surge: true, Join: true, Leave: true, Flap: true, Restart: true, Replace: true,
		Disagree: true, Late: true, RouterDies: true,
	},
}

const (
	reportInterval = 1 * time.Second
	reportLag      = 200 * time.Millisecond
	// refreshInterval is how often routers take the engines of their view.
	refreshInterval = 200 * time.Millisecond
	lateLag         = 3 * time.Second
	// viewLag is the time until routers know that an engine came or leaves.
	viewLag = 1 * time.Second
	// silentLag is the time until they know that one is silent.
	silentLag     = 3 * time.Second
	flapDown      = 20 * time.Second
	flapEvery     = 3 * time.Minute
	disagreeFor   = 5 * time.Second
	disagreeEvery = 5 * time.Minute
	eventInterval = 2 * time.Second
	// eventLoss is the share of batches of cache events that are lost.
	eventLoss = 0.01
)

// plan schedules the faults of the situation. Engines are named by index.
func (r *run) plan() {
	s := r.situation
	if s.Join {
		r.after(40*time.Minute, func() { r.join("engine-new") })
	}
	if s.Leave {
		r.after(52*time.Minute, func() { r.leave(2) })
	}
	if s.Replace {
		// One of 12 leaves and another one comes, each half hour.
		for i, when := range []time.Duration{35 * time.Minute, 60 * time.Minute} {
			r.after(when, func() {
				r.leave(8 + i)
				r.join(fmt.Sprint("engine-replaced-", i))
			})
		}
	}
	if s.Restart {
		r.after(45*time.Minute, func() { r.restart(6) })
		r.after(58*time.Minute, func() { r.restart(7) })
	}
	if s.Flap {
		for when := 35 * time.Minute; when < traceLength; when += flapEvery {
			r.after(when, func() { r.flap(4) })
		}
	}
	if s.Disagree {
		for when := 32 * time.Minute; when < traceLength; when += disagreeEvery {
			r.after(when, func() { r.strategy.disagree(true) })
			r.after(when+disagreeFor, func() { r.strategy.disagree(false) })
		}
	}
	if s.RouterDies {
		r.after(55*time.Minute, r.routerDies)
	}
}

func (r *run) join(id string) {
	e := newEngine(id)
	e.announced = false
	r.engines = append(r.engines, e)
	r.index[id] = len(r.engines) - 1
	r.viewChange(viewLag, func() { e.announced = true })
}

func (r *run) leave(i int) {
	r.viewChange(viewLag, func() { r.engines[i].leaving = true })
}

// flap makes an engine silent for a while; what it runs goes on.
func (r *run) flap(i int) {
	r.viewChange(silentLag, func() { r.engines[i].announced = false })
	r.viewChange(flapDown, func() { r.engines[i].announced = true })
}

// viewChange changes what routers know of engines. Their next decision uses it.
func (r *run) viewChange(lag time.Duration, change func()) {
	r.after(r.now+lag, func() {
		change()
		r.strategy.tick()
	})
}

// restart fails what an engine runs; callers' requests are placed again.
func (r *run) restart(i int) {
	r.engines[i].restart()
	failed := r.cancel(func(q *request) bool { return q.engine == i })
	for _, q := range failed {
		r.strategy.finished(q)
	}
	for _, q := range failed {
		r.submit(q)
	}
}
