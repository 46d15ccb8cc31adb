package measure

import (
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// strategy is one way to place and admit requests.
type strategy interface {
	submit(q *request)
	finished(q *request)
	// report takes an engine's load report.
	report(engine, inFlight int)
	// tick comes each refreshInterval.
	tick()
	cacheEvents(engine int, incarnation, from uint64, events []placement.CacheEvent) (resync bool)
	// disagree begins and ends a period in which two routers see others.
	disagree(begin bool)
	// routerToDie names the router whose death matters most.
	routerToDie() int
	// loseRouter ends a router and returns the requests that waited there;
	// replaceRouter makes up for it once its callers have moved.
	loseRouter(dead int) []*request
	replaceRouter(dead int)
	addTraffic(res *Result)
}

// Way names a strategy.
type Way struct {
	Name string
	make func(*run) strategy
}

// InUse names the way that the routers use.
const InUse = "(b) home, directory, spread 4"

// Ways are those of the table, the baselines first.
var Ways = []Way{
	{Name: "knows everything", make: func(r *run) strategy { return newOmniscient(r) }},
	{Name: "round robin", make: func(r *run) strategy { return &roundRobin{baseline: baseline{run: r}} }},
	{Name: "least in flight", make: func(r *run) strategy { return newLeast(r) }},
	{Name: "plain rendezvous", make: func(r *run) strategy { return &rendezvous{baseline: baseline{run: r}} }},
	{Name: "(a) entry, rendezvous", make: func(r *run) strategy { return newLocal(r, 0, 1) }},
	{Name: "(a) entry, directory", make: func(r *run) strategy { return newLocal(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(a) entry, directory, spread 2", make: func(r *run) strategy { return newLocal(r, placement.DefaultDirectorySize, 2) }},
	{Name: "(b) home, rendezvous", make: func(r *run) strategy { return newHome(r, 0, 1) }},
	{Name: "(b) home, directory", make: func(r *run) strategy { return newHome(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(b) home, directory, spread 2", make: func(r *run) strategy { return newHome(r, placement.DefaultDirectorySize, 2) }},
	{Name: InUse, make: func(r *run) strategy {
		return newHome(r, placement.DefaultDirectorySize, placement.DefaultSpread)
	}},
	{Name: "(b) home, directory, spread all", make: func(r *run) strategy { return newHome(r, placement.DefaultDirectorySize, 1000) }},
}

// baseline is what the strategies without state have in common.
type baseline struct{ run *run }

func (b *baseline) finished(*request)  {}
func (b *baseline) report(int, int)    {}
func (b *baseline) tick()              {}
func (b *baseline) disagree(bool)      {}
func (b *baseline) addTraffic(*Result) {}
func (b *baseline) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool {
	return false
}

func (b *baseline) routerToDie() int          { return 0 }
func (b *baseline) loseRouter(int) []*request { return nil }
func (b *baseline) replaceRouter(int)         {}

// eligible returns the engines that take work.
func (b *baseline) eligible() []int {
	var eligible []int
	for i, e := range b.run.engines {
		if e.eligible() {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// roundRobin takes the engines in turn, each router by itself.
type roundRobin struct {
	baseline
	next [routerCount]int
}

func (s *roundRobin) submit(q *request) {
	eligible := s.eligible()
	s.next[q.entry]++
	s.run.start(q, eligible[s.next[q.entry]%len(eligible)])
}

// rendezvous takes the engine with the chat's highest score.
type rendezvous struct{ baseline }

func (s *rendezvous) submit(q *request) {
	eligible := s.eligible()
	engines := make([]placement.Engine, len(eligible))
	for i, e := range eligible {
		id := s.run.engines[e].id
		engines[i] = placement.Engine{ID: id, Hash: placement.HashEngine(id), Capacity: 1}
	}
	chooser := placement.Chooser{Factor: 1}
	s.run.start(q, eligible[chooser.Choose(at(s.run.now), q.chat, engines).Index])
}

// least takes the engine with the fewest requests in flight by its last report
// and what the router itself has sent there.
type least struct {
	baseline
	reported map[int]int
	own      [routerCount]map[int]int
}

func newLeast(r *run) *least {
	s := &least{baseline: baseline{run: r}, reported: make(map[int]int)}
	for i := range s.own {
		s.own[i] = make(map[int]int)
	}
	return s
}

func (s *least) report(engine, inFlight int) { s.reported[engine] = inFlight }

func (s *least) finished(q *request) { s.own[q.entry][q.engine]-- }

func (s *least) submit(q *request) {
	eligible := s.eligible()
	start := s.run.rng.IntN(len(eligible))
	best, bestLoad := 0, 0
	for i := range eligible {
		e := eligible[(start+i)%len(eligible)]
		load := max(s.reported[e], s.own[q.entry][e])
		if i == 0 || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	s.own[q.entry][best]++
	s.run.start(q, best)
}

func (s *least) addTraffic(res *Result) {
	res.ControlBytes = reportTraffic(len(s.run.engines))
	res.BusiestBytes = res.ControlBytes
}
