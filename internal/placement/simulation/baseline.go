package simulation

import (
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// strategy is one way to admit requests and to assign them to engines.
type strategy interface {
	// submit handles a request that arrives at its entry router. The strategy starts
	// the request at an engine, now or later, or rejects it.
	submit(q *request)
	// release handles the end of a request at its engine.
	release(q *request)
	// report handles an engine's load report.
	report(engine, inFlight int)
	// tick is called every refreshInterval and after each change of the view.
	tick()
	// cacheEvents handles cache events of an engine, see placement.EventTracker.Apply.
	cacheEvents(engine int, incarnation, from uint64, events []placement.CacheEvent) (resync bool)
	// splitView starts a period in which two routers have different views if begin is
	// set, and ends it otherwise.
	splitView(begin bool)
	// mostCriticalRouter returns the router whose failure has the largest effect.
	mostCriticalRouter() int
	// failRouter stops a router and returns the requests that were queued there.
	failRouter(dead int) []*request
	// failOver moves the tasks of a failed router to another one. It is called after
	// the callers of the failed router have moved to other routers.
	failOver(dead int)
	// addTraffic adds the traffic between routers to the results.
	addTraffic(res *Result)
}

// Variant is a strategy with its configuration. Its name is printed in the table, where
// "entry" is the router that receives a request and "home" is the owner router.
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

// noopStrategy implements all methods of strategy but submit, for strategies that do not
// need them. It is embedded in the strategies.
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

// eligible returns the indexes of the engines that accept requests.
func (b *noopStrategy) eligible() []int {
	var eligible []int
	for i, e := range b.run.engines {
		if e.eligible() {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// roundRobin selects the engines in turn. Each router has its own sequence.
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

// leastInFlight selects the engine with the fewest requests in flight. A router's
// estimate for an engine is the larger of the engine's last load report and the number of
// requests that this router has in flight there.
type leastInFlight struct {
	noopStrategy
	// reported holds the last load report by engine.
	reported map[int]int
	// local holds each router's requests in flight by engine.
	local [routerCount]map[int]int
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
