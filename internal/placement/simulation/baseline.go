package simulation

import (
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// strategy is one way to assign and admit requests.
type strategy interface {
	submit(q *request)
	release(q *request)
	// report receives an engine's load report.
	report(engine, inFlight int)
	// tick is called every refreshInterval.
	tick()
	cacheEvents(engine int, incarnation, from uint64, events []placement.CacheEvent) (resync bool)
	// splitView starts and ends a period in which two routers have a different view.
	splitView(begin bool)
	// mostCriticalRouter returns the router whose failure has the largest effect.
	mostCriticalRouter() int
	// failRouter stops a router and returns the requests that were queued there;
	// replaceRouter restores its function once its callers use other routers.
	failRouter(dead int) []*request
	failOver(dead int)
	addTraffic(res *Result)
}

// Variant is a strategy with its configuration.
type Variant struct {
	Name string
	make func(*run) strategy
}

// Deployed is the name of the variant that the routers use.
const Deployed = "(b) home, directory, spread 4"

// Variants lists the variants of the table, the baselines first.
var Variants = []Variant{
	{Name: "knows everything", make: func(r *run) strategy { return newOracle(r) }},
	{Name: "round robin", make: func(r *run) strategy { return &roundRobin{noopStrategy: noopStrategy{run: r}} }},
	{Name: "least in flight", make: func(r *run) strategy { return newLeastInFlight(r) }},
	{Name: "plain rendezvous", make: func(r *run) strategy { return &rendezvous{noopStrategy: noopStrategy{run: r}} }},
	{Name: "(a) entry, rendezvous", make: func(r *run) strategy { return newEntryAdmission(r, 0, 1) }},
	{Name: "(a) entry, directory", make: func(r *run) strategy { return newEntryAdmission(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(a) entry, directory, spread 2", make: func(r *run) strategy { return newEntryAdmission(r, placement.DefaultDirectorySize, 2) }},
	{Name: "(b) home, rendezvous", make: func(r *run) strategy { return newOwnerAdmission(r, 0, 1) }},
	{Name: "(b) home, directory", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 1) }},
	{Name: "(b) home, directory, spread 2", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 2) }},
	{Name: Deployed, make: func(r *run) strategy {
		return newOwnerAdmission(r, placement.DefaultDirectorySize, placement.DefaultSpread)
	}},
	{Name: "(b) home, directory, spread all", make: func(r *run) strategy { return newOwnerAdmission(r, placement.DefaultDirectorySize, 1000) }},
}

// noopStrategy implements the methods of strategy that strategies without state share.
type noopStrategy struct{ run *run }

func (b *noopStrategy) release(*request)   {}
func (b *noopStrategy) report(int, int)    {}
func (b *noopStrategy) tick()              {}
func (b *noopStrategy) splitView(bool)     {}
func (b *noopStrategy) addTraffic(*Result) {}
func (b *noopStrategy) cacheEvents(int, uint64, uint64, []placement.CacheEvent) bool {
	return false
}

func (b *noopStrategy) mostCriticalRouter() int   { return 0 }
func (b *noopStrategy) failRouter(int) []*request { return nil }
func (b *noopStrategy) failOver(int)              {}

// eligible returns the engines that accept requests.
func (b *noopStrategy) eligible() []int {
	var eligible []int
	for i, e := range b.run.engines {
		if e.eligible() {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// roundRobin selects the engines in turn, separately for each router.
type roundRobin struct {
	noopStrategy
	next [routerCount]int
}

func (s *roundRobin) submit(q *request) {
	eligible := s.eligible()
	s.next[q.entry]++
	s.run.start(q, eligible[s.next[q.entry]%len(eligible)])
}

// rendezvous selects the engine with the highest rendezvous score for the chat.
type rendezvous struct{ noopStrategy }

func (s *rendezvous) submit(q *request) {
	eligible := s.eligible()
	engines := make([]placement.Engine, len(eligible))
	for i, e := range eligible {
		id := s.run.engines[e].id
		engines[i] = placement.Engine{ID: id, Hash: placement.HashEngine(id), Capacity: 1}
	}
	chooser := placement.Chooser{Factor: 1}
	s.run.start(q, eligible[chooser.Choose(virtualTime(s.run.now), q.chat, engines).Index])
}

// leastInFlight selects the engine with the fewest requests in flight: the larger of
// its last report and the requests that the router itself has in flight there.
type leastInFlight struct {
	noopStrategy
	reported map[int]int
	local    [routerCount]map[int]int
}

func newLeastInFlight(r *run) *leastInFlight {
	s := &leastInFlight{noopStrategy: noopStrategy{run: r}, reported: make(map[int]int)}
	for i := range s.local {
		s.local[i] = make(map[int]int)
	}
	return s
}

func (s *leastInFlight) report(engine, inFlight int) { s.reported[engine] = inFlight }

func (s *leastInFlight) release(q *request) { s.local[q.entry][q.engine]-- }

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
