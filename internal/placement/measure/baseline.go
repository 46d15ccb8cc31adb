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
	// splitView begins and ends a period in which two routers see others.
	splitView(begin bool)
	// mostCriticalRouter names the router whose death matters most.
	mostCriticalRouter() int
	// failRouter ends a router and returns the requests that waited there;
	// replaceRouter makes up for it once its callers have moved.
	failRouter(dead int) []*request
	replaceRouter(dead int)
	addTraffic(res *Result)
}

// Variant names a strategy.
type Variant struct {
	Name string
	make func(*run) strategy
}

// Deployed names the way that the routers use.
const Deployed = "(b) home, directory, spread 4"

// Variants are those of the table, the baselines first.
var Variants = []Variant{
	{Name: "knows everything", make: func(r *run) strategy { return newOracle(r) }},
	{Name: "round robin", make: func(r *run) strategy { return &roundRobin{baseline: baseline{run: r}} }},
	{Name: "least in flight", make: func(r *run) strategy { return newLeastInFlight(r) }},
	{Name: "plain rendezvous", make: func(r *run) strategy { return &rendezvous{baseline: baseline{run: r}} }},
	{Name: "(a) entry, rendezvous", make: func(r *run) strategy { return newEntryLocal(r, 0, 1) }},
	{Name: "(a) entry, directory", make: func(r *run) strategy { return newEntryLocal(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(a) entry, directory, spread 2", make: func(r *run) strategy { return newEntryLocal(r, placement.DefaultDirectorySize, 2) }},
	{Name: "(b) home, rendezvous", make: func(r *run) strategy { return newOwnerAdmission(r, 0, 1) }},
	{Name: "(b) home, directory", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(b) home, directory, spread 2", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 2) }},
	{Name: Deployed, make: func(r *run) strategy {
		return newOwnerAdmission(r, placement.DefaultDirectorySize, placement.DefaultSpread)
	}},
	{Name: "(b) home, directory, spread all", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 1000) }},
}

// baseline is what the strategies without state have in common.
type baseline struct{ run *run }

func (b *baseline) finished(*request)  {}
func (b *baseline) report(int, int)    {}
func (b *baseline) tick()              {}
func (b *baseline) splitView(bool)     {}
func (b *baseline) addTraffic(*Result) {}
func (b *baseline) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool {
	return false
}

func (b *baseline) mostCriticalRouter() int   { return 0 }
func (b *baseline) failRouter(int) []*request { return nil }
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

// leastInFlight takes the engine with the fewest requests in flight by its last report
// and what the router itself has sent there.
type leastInFlight struct {
	baseline
	reported map[int]int
	local    [routerCount]map[int]int
}

func newLeastInFlight(r *run) *leastInFlight {
	s := &leastInFlight{baseline: baseline{run: r}, reported: make(map[int]int)}
	for i := range s.local {
		s.local[i] = make(map[int]int)
	}
	return s
}

func (s *leastInFlight) report(engine, inFlight int) { s.reported[engine] = inFlight }

func (s *leastInFlight) finished(q *request) { s.local[q.entry][q.engine]-- }

func (s *leastInFlight) submit(q *request) {
	eligible := s.eligible()
	start := s.run.rng.IntN(len(eligible))
	best, bestLoad := 0, 0
	for i := range eligible {
		e := eligible[(start+i)%len(eligible)]
		load := max(s.reported[e], s.local[q.entry][e])
		if i == 0 || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	s.local[q.entry][best]++
	s.run.start(q, best)
}

func (s *leastInFlight) addTraffic(res *Result) {
	res.ControlBytes = reportTraffic(len(s.run.engines))
	res.BusiestBytes = res.ControlBytes
}
