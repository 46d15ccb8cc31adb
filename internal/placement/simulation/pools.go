package simulation

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fairqueue"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

const (
	// model is the only model in the simulation. All engines serve it.
	model = "m"
	// hintDirectorySize is the size of an entry router's directory of recent
	// assignments.
	hintDirectorySize = 16384
)

// poolConfig returns the configuration of a pool with the given directory size and spread
// and otherwise the defaults of the routers.
func poolConfig(directory, spread int) pool.Config {
	return pool.Config{
		Spread:          spread,
		Factor:          placement.DefaultBoundFactor,
		SlowStart:       placement.DefaultSlowStart,
		Reserve:         pool.DefaultReserve,
		QueueLength:     fairqueue.DefaultQueueLength,
		DirectorySize:   directory,
		AbsentTargetTTL: 2 * time.Minute,
	}
}

// maxWaits is the maximum waiting time for admission by priority class.
var maxWaits = []time.Duration{5 * time.Second, 20 * time.Second, 50 * time.Second}

// slotID returns the id of the slot of a request's current attempt. Each attempt has a
// different slot.
func slotID(q *request) pool.ID {
	return pool.ID{Router: string(rune('a' + q.entry)), Incarnation: uint64(q.attempts), Number: q.id}
}

func poolRequest(q *request) pool.Request {
	return pool.Request{
		ID: slotID(q), Customer: q.customerName, Weight: q.weight, Class: q.class,
		Cost: q.cost, Chat: q.chat, Model: model, MaxWait: maxWaits[q.class],
	}
}

// targets returns the engines in the routers' view as targets of a pool. external returns
// the number of requests that other routers have in flight at an engine.
func (r *run) targets(external func(i int) int) []pool.Target {
	var targets []pool.Target
	for i, e := range r.engines {
		if !e.announced {
			continue
		}
		targets = append(targets, pool.Target{
			ID: e.id, Incarnation: e.incarnation, Models: []string{model},
			Capacity: engineCapacity, External: external(i), Closed: e.leaving,
		})
	}
	return targets
}

// applyResults starts the requests that a pool granted and marks those that it
// rejected.
func (r *run) applyResults(results []pool.Result) {
	for _, res := range results {
		q := &r.trace[res.ID.Number-1]
		switch res.Kind {
		case pool.Granted:
			r.start(q, r.index[res.Target])
		case pool.Refused:
			q.refused = true
		}
	}
}

// entryAdmission is variant (a): each entry router admits the requests that it receives,
// based on delayed load reports and its own requests in flight.
type entryAdmission struct {
	noopStrategy
	pools [routerCount]*pool.Pool
	// external holds each router's estimate of the requests that other routers have in
	// flight, by engine.
	external [routerCount]map[int]int
	// viewSplit is set while two routers have a different view of the engines.
	viewSplit bool
}

func newEntryAdmission(r *run, directory, spread int) *entryAdmission {
	s := &entryAdmission{noopStrategy: noopStrategy{run: r}}
	for i := range s.pools {
		s.pools[i] = pool.New(poolConfig(directory, spread))
		s.external[i] = make(map[int]int)
	}
	return s
}

func (s *entryAdmission) submit(q *request) {
	s.run.applyResults(s.pools[q.entry].Submit(virtualTime(s.run.now), poolRequest(q)))
}

func (s *entryAdmission) release(q *request) {
	s.run.applyResults(s.pools[q.entry].Release(virtualTime(s.run.now), slotID(q)))
}

func (s *entryAdmission) report(engine, inFlight int) {
	for i, p := range s.pools {
		s.external[i][engine] = max(0, inFlight-p.Granted(s.run.engines[engine].id))
	}
}

func (s *entryAdmission) tick() {
	for i, p := range s.pools {
		targets := s.run.targets(func(e int) int { return s.external[i][e] })
		if s.viewSplit && i < 2 {
			// The first two routers do not see the first two engines.
			targets = targets[2:]
		}
		p.SetTargets(virtualTime(s.run.now), targets)
		s.run.applyResults(p.Tick(virtualTime(s.run.now)))
	}
}

func (s *entryAdmission) cacheEvents(engine int, incarnation, from uint64, events []placement.CacheEvent) bool {
	// Each engine sends its cache events to one router.
	p := s.pools[engine%routerCount]
	return p.ApplyCacheEvents(virtualTime(s.run.now), s.run.engines[engine].id, incarnation, from, events)
}

func (s *entryAdmission) splitView(begin bool) {
	s.viewSplit = begin
	s.tick()
}

func (s *entryAdmission) failRouter(dead int) []*request {
	s.pools[dead] = pool.New(poolConfig(0, 1))
	return s.run.queuedRequests(func(q *request) bool { return q.entry == dead })
}

func (s *entryAdmission) addTraffic(res *Result) {
	res.ControlBytes = reportTraffic(len(s.run.engines))
	res.BusiestBytes = res.ControlBytes
}

// ownerAdmission is variant (b): one router, the owner, admits the requests for all
// engines. Another router becomes the owner if the owner fails or if two routers disagree
// on who the owner is.
type ownerAdmission struct {
	noopStrategy
	cfg pool.Config
	// pool is the owner's pool of engines.
	pool  *pool.Pool
	owner int
	// hints are the entry routers' directories of recent assignments.
	hints [routerCount]*placement.Directory
	// excess tracks the excess in the load reports by engine.
	excess map[int]*pool.Excess
	// reports counts the load reports and numbers them.
	reports uint64
	// remoteRequests counts the requests after the warm-up that arrived at other
	// routers than the owner, localRequests those that arrived at the owner.
	remoteRequests int
	localRequests  int
	// requests counts the requests after the warm-up by entry router.
	requests [routerCount]int
	// controlBytes is the traffic of cache events and changes of the owner.
	controlBytes float64
}

func newOwnerAdmission(r *run, directory, spread int) *ownerAdmission {
	return newOwnerAdmissionWithConfig(r, poolConfig(directory, spread))
}

func newOwnerAdmissionWithConfig(r *run, cfg pool.Config) *ownerAdmission {
	s := &ownerAdmission{noopStrategy: noopStrategy{run: r}, cfg: cfg, pool: pool.New(cfg), excess: make(map[int]*pool.Excess)}
	for i := range s.hints {
		s.hints[i] = placement.NewDirectory(min(cfg.DirectorySize, hintDirectorySize))
	}
	return s
}

func (s *ownerAdmission) submit(q *request) {
	if s.run.now >= warmUp {
		s.requests[q.entry]++
		if q.entry == s.owner {
			s.localRequests++
		} else {
			s.remoteRequests++
		}
	}
	r := poolRequest(q)
	r.Hint = s.hints[q.entry].Holders(q.chat)[0]
	results := s.pool.Submit(virtualTime(s.run.now), r)
	for _, res := range results {
		if res.Kind == pool.Granted {
			s.hints[q.entry].Record(q.chat, placement.Holder{Engine: res.Target, Incarnation: res.Incarnation, Used: virtualTime(s.run.now)})
		}
	}
	s.run.applyResults(results)
}

func (s *ownerAdmission) release(q *request) {
	s.run.applyResults(s.pool.Release(virtualTime(s.run.now), slotID(q)))
}

func (s *ownerAdmission) report(engine, inFlight int) {
	e, ok := s.excess[engine]
	if !ok {
		e = &pool.Excess{}
		s.excess[engine] = e
	}
	s.reports++
	target := s.run.engines[engine]
	e.Add(pool.Report{Incarnation: target.incarnation, Sequence: s.reports, InFlight: inFlight}, s.pool.Granted(target.id))
}

func (s *ownerAdmission) sustainedExcess(engine int) int {
	if e, ok := s.excess[engine]; ok {
		return e.Sustained()
	}
	return 0
}

func (s *ownerAdmission) tick() {
	targets := s.run.targets(func(int) int { return 0 })
	for i := range targets {
		targets[i].Excess = s.sustainedExcess(s.run.index[targets[i].ID])
	}
	s.pool.SetTargets(virtualTime(s.run.now), targets)
	s.run.applyResults(s.pool.Tick(virtualTime(s.run.now)))
}

func (s *ownerAdmission) cacheEvents(engine int, incarnation, from uint64, events []placement.CacheEvent) bool {
	if s.cfg.DirectorySize == 0 {
		return false
	}
	if s.run.now >= warmUp {
		s.controlBytes += float64(cacheEventBytes*len(events) + callOverhead)
	}
	return s.pool.ApplyCacheEvents(virtualTime(s.run.now), s.run.engines[engine].id, incarnation, from, events)
}

// splitView models two routers that disagree on the owner: another router claims the
// ownership, and the previous owner claims it back at the end.
func (s *ownerAdmission) splitView(begin bool) {
	if begin {
		s.changeOwner((s.owner + 1) % routerCount)
	} else {
		s.changeOwner((s.owner + routerCount - 1) % routerCount)
	}
}

func (s *ownerAdmission) mostCriticalRouter() int { return s.owner }

// failRouter returns all queued requests, since they are queued at the owner. Their entry
// routers submit them again.
func (s *ownerAdmission) failRouter(int) []*request {
	return s.run.queuedRequests(func(*request) bool { return true })
}

func (s *ownerAdmission) failOver(dead int) { s.setOwner((dead + 1) % routerCount) }

// changeOwner makes another router the owner and submits the queued requests to it.
func (s *ownerAdmission) changeOwner(router int) {
	waiting := s.run.queuedRequests(func(*request) bool { return true })
	s.setOwner(router)
	for _, q := range waiting {
		s.submit(q)
	}
}

// setOwner makes another router the owner. The new owner starts with an empty directory
// and adopts the slots of all requests in flight, which the routers report to it.
func (s *ownerAdmission) setOwner(router int) {
	s.owner = router
	s.pool = pool.New(s.cfg)
	clear(s.excess)
	s.tick()
	for i := range s.run.trace {
		q := &s.run.trace[i]
		if s.run.inFlight[q.id] == q {
			s.pool.Adopt(virtualTime(s.run.now), pool.HeldSlot{ID: slotID(q), Target: s.run.engines[q.engine].id, Customer: q.customerName, Weight: q.weight, Model: model})
		}
	}
	s.controlBytes += routerCount * callOverhead * 2
}

func (s *ownerAdmission) addTraffic(res *Result) {
	seconds := (traceLength - warmUp).Seconds()
	total := float64(s.remoteRequests + s.localRequests)
	res.Hops = float64(s.remoteRequests) / total
	res.ControlBytes = reportTraffic(len(s.run.engines)) + s.controlBytes/seconds/routerCount
	// Each byte of a call counts twice: one router sends it and another receives it.
	calls := float64(s.remoteRequests) * admissionBytes / seconds
	res.RequestBytes = 2 * calls / routerCount
	res.BusiestBytes = reportTraffic(len(s.run.engines)) + s.controlBytes/seconds + calls
}

const (
	// admissionBytes is the traffic of one request that another router admits: call,
	// reply and release, as reported by BenchmarkAdmission in package scheduler.
	admissionBytes = 360
	// callOverhead is the traffic for the envelope, the token and the stream framing of
	// a call and its reply.
	callOverhead = 120
	// cacheEventBytes is the size of one cache event on the wire.
	cacheEventBytes = 13
	// reportBytes is the traffic of one engine's load report at each router, which
	// receives the report and forwards it once.
	reportBytes = 2 * 32
)

// reportTraffic returns the traffic of the load reports at each router in bytes per
// second. Each engine sends one report per second, see reportInterval.
func reportTraffic(engines int) float64 { return float64(engines * reportBytes) }
