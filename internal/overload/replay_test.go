package overload_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/overload"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// The replay models routers with the balancer's selection by prompts, counts of the other
// routers that are 150 to 300 ms old, and engines that start the most urgent request first.
const (
	simRouters = 20
	simEngines = 12
	simSlots   = 24
	simMemory  = 70_000
	simTeams   = 24
	// The overload lasts from simBegin to simEnd.
	simBegin    = 10 * time.Second
	simEnd      = 30 * time.Second
	simDuration = 36 * time.Second
	// simUsual is the usual load and simCalm that of the replay without overload, as parts of
	// the slots.
	simUsual = 0.6
	simCalm  = 0.45
)

// simKind is a kind of requests, least and most tokens of prompts and answers.
type simKind struct {
	goal, deadline             time.Duration
	promptMin, promptMax       int
	outMin, outMax             int
	part                       float64
	sent, inTime, late, failed int
	// refused counts the first sends that were refused, known sums up when callers learned
	// that their requests failed.
	refused int
	known   time.Duration
}

func (k *simKind) served() float64 { return float64(k.inTime+k.late) / float64(max(1, k.sent)) }

func simKinds() []*simKind {
	return []*simKind{
		{goal: 300 * time.Millisecond, deadline: 2500 * time.Millisecond, promptMin: 130, promptMax: 1500, outMin: 20, outMax: 150, part: 0.25},
		{goal: 600 * time.Millisecond, deadline: 5 * time.Second, promptMin: 500, promptMax: 4000, outMin: 50, outMax: 300, part: 0.25},
		{goal: time.Second, deadline: 8 * time.Second, promptMin: 1000, promptMax: 11800, outMin: 100, outMax: 600, part: 0.25},
		{goal: 2 * time.Second, deadline: 12 * time.Second, promptMin: 500, promptMax: 8000, outMin: 100, outMax: 800, part: 0.25},
	}
}

// runTime is how long a request holds a slot, without the queue.
func runTime(prompt, out int) time.Duration {
	return time.Duration(prompt)*time.Millisecond/100 + time.Duration(out)*2700*time.Microsecond
}

type simEvent struct {
	at time.Time
	n  int
	fn func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].n, e[j].n)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simEngine struct {
	status  *pb.TargetStatus
	running int
	tokens  int
	queue   []*simRequest
}

type simRequest struct {
	kind        *simKind
	priority    int
	team        int
	key         string
	prompt, out int
	sentAt      time.Time
	retried     bool

	rank      int
	router    *simRouter
	engine    *simEngine
	done      func(balance.Outcome)
	endSurge  func()
	attemptAt time.Time
	firstAt   time.Time
	running   bool
	ended     bool
}

type simRouter struct {
	sim       *sim
	balancer  *balance.Balancer
	surges    *balance.SurgeDetector
	admission *overload.Admission
}

func (r *simRouter) Self() *pb.RouterStatus         { return &pb.RouterStatus{Id: "self"} }
func (r *simRouter) Routers() []*pb.RouterStatus    { return nil }
func (r *simRouter) Target(string) *pb.TargetStatus { return nil }
func (r *simRouter) Targets() []*pb.TargetStatus    { return r.sim.statuses }

type sim struct {
	rng      *rand.Rand
	events   simEvents
	n        int
	begin    time.Time
	kinds    []*simKind
	teams    []*simKind
	engines  []*simEngine
	statuses []*pb.TargetStatus
	routers  []*simRouter
	load
	draws *rand.Rand
	// lastKind holds the least urgent kind's requests of the hot team and of all others.
	lastKind [2]simKind
	// beyond counts the requests sent to an engine without memory for them, refusedCalm those
	// refused outside of the overload.
	beyond, refusedCalm int
	// reasons counts the decisions by priority and reason.
	reasons map[string]int
}

func (s *sim) after(d time.Duration, fn func()) {
	s.n++
	heap.Push(&s.events, simEvent{time.Now().Add(d), s.n, fn})
}

// load selects a replay: with the decisions of this package or without, with the overload or
// only calm load, and with or without the counts of the other routers.
type load struct {
	seed                         uint64
	admission, burst, countsLost bool
}

// replay sends the load.
func replay(l load) *sim {
	s := &sim{
		load: l, rng: rand.New(rand.NewPCG(l.seed, 1)), draws: rand.New(rand.NewPCG(l.seed, 2)),
		begin: time.Now(), kinds: simKinds(), reasons: make(map[string]int),
	}
	for range simTeams {
		s.teams = append(s.teams, &simKind{})
	}
	for i := range simEngines {
		st := &pb.TargetStatus{Id: fmt.Sprint("e", i), Service: "llm", Incarnation: 1, Capacity: simSlots}
		s.statuses = append(s.statuses, st)
		s.engines = append(s.engines, &simEngine{status: st})
	}
	for range simRouters {
		r := &simRouter{sim: s, surges: balance.NewSurgeDetector()}
		if r.balancer = balance.New(r, nil); l.admission {
			r.admission = overload.New()
		}
		s.routers = append(s.routers, r)
	}
	for i := range s.kinds {
		s.arrivals(i)
	}
	if !l.countsLost {
		s.publish()
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		time.Sleep(time.Until(e.at))
		e.fn()
	}
	return s
}

func (s *sim) inOverload() bool {
	at := time.Since(s.begin)
	return s.burst && at >= simBegin && at < simEnd
}

// arrivals sends requests of a kind as a Poisson process.
func (s *sim) arrivals(i int) {
	k := s.kinds[i]
	mean := runTime((k.promptMin+k.promptMax)/2, (k.outMin+k.outMax)/2).Seconds()
	base := simUsual
	if !s.burst {
		base = simCalm
	}
	usual := base * simSlots * simEngines * k.part / mean
	hot := 1.0
	if s.inOverload() {
		hot = 7.5
		if i == len(s.kinds)-1 {
			usual *= 2.5
		}
	}
	rate := usual * (simTeams - 1 + hot) / simTeams
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if time.Since(s.begin) > simDuration {
			return
		}
		team := 0
		if s.rng.Float64() > hot/(simTeams-1+hot) {
			team = 1 + s.rng.IntN(simTeams-1)
		}
		req := &simRequest{
			kind: k, priority: i, team: team, key: fmt.Sprint(s.rng.IntN(400)), sentAt: time.Now(),
			prompt: k.promptMin + s.rng.IntN(k.promptMax-k.promptMin),
			out:    k.outMin + s.rng.IntN(k.outMax-k.outMin),
		}
		if s.inOverload() || !s.burst {
			k.sent++
			s.teams[team].sent++
		} else {
			req.kind, req.team = &simKind{goal: k.goal, deadline: k.deadline}, -1-team
		}
		s.attempt(req)
		s.arrivals(i)
	})
}

// publish exchanges the in-flight counts seven times a second; they arrive 150 ms later.
func (s *sim) publish() {
	totals := make(map[uint32]int)
	for _, e := range s.engines {
		totals[balance.LoadKey(e.status)] = 0
	}
	for _, r := range s.routers {
		for key, n := range r.balancer.LocalCounts() {
			totals[key] += n
		}
	}
	s.after(150*time.Millisecond, func() {
		for _, r := range s.routers {
			r.balancer.ApplyTotals("c", totals)
		}
		if time.Since(s.begin) < simDuration {
			s.publish()
		}
	})
}

// attempt sends a request to a random router.
func (s *sim) attempt(q *simRequest) {
	r := s.routers[s.rng.IntN(simRouters)]
	q.router, q.attemptAt = r, time.Now()
	team := fmt.Sprint(max(q.team, -1-q.team))
	surges, end := r.surges.Begin(team)
	left := q.kind.deadline - time.Since(q.sentAt)
	request := overload.Request{Service: "llm", Priority: q.priority, Team: team, Goal: q.kind.goal, TimeLeft: left, Tokens: q.prompt + q.out, Memory: simMemory}
	pick := balance.Request{Service: "llm", Key: q.key, Slots: simSlots, Goal: q.kind.goal, TimeLeft: left}
	q.rank = 2 * q.priority
	if surges {
		q.rank++
	}
	if r.admission != nil {
		d, full := r.decide(request, pick)
		if s.inOverload() || !d.Admitted && time.Since(s.begin) < simBegin {
			s.reasons[fmt.Sprint(q.priority, " ", d.Reason)]++
		}
		if !d.Admitted {
			end()
			s.refuse(q, d.RetryAfter)
			return
		}
		if d.Reason == overload.Floor {
			q.rank = 0
		}
		pick.Full = full
	}
	c, err := r.balancer.Pick(pick)
	if err != nil {
		end()
		s.refuse(q, 300*time.Millisecond)
		return
	}
	q.done, q.endSurge = c.Done, end
	q.engine = s.engines[slices.Index(s.statuses, c.Target)]
	if r.admission != nil {
		r.admission.Start(balance.LoadKey(c.Target), request)
	}
	if s.inOverload() && q.engine.tokens+q.prompt+q.out > simMemory {
		s.beyond++
	}
	q.engine.queue = append(q.engine.queue, q)
	s.after(left, func() { s.end(q, false) })
	s.start(q.engine)
}

// decide applies the decisions of this package. It returns the targets without memory.
func (r *simRouter) decide(request overload.Request, pick balance.Request) (overload.Decision, []string) {
	now, draw := time.Now(), r.sim.draws.Float64()
	targets := r.balancer.ServiceTargets(pick)
	d := r.admission.Decide(now, request, targets, draw)
	return r.admission.Memory(now, request, targets, d, draw)
}

// refuse ends an attempt that was not sent. The caller returns once, at the time named.
func (s *sim) refuse(q *simRequest, retryAfter time.Duration) {
	if !s.inOverload() && time.Since(s.begin) < simBegin || !s.burst {
		s.refusedCalm++
		s.reasons["calm"]++
	}
	if !q.retried {
		q.kind.refused++
	}
	if q.retried || time.Since(q.sentAt)+retryAfter >= q.kind.deadline {
		s.count(q, false)
		return
	}
	q.retried = true
	s.after(retryAfter, func() { s.attempt(q) })
}

// start starts queued requests while the engine has slots and memory, the most urgent first.
func (s *sim) start(e *simEngine) {
	for e.running < simSlots && len(e.queue) > 0 {
		best := 0
		for i, q := range e.queue {
			if q.rank < e.queue[best].rank {
				best = i
			}
		}
		q := e.queue[best]
		if e.tokens+q.prompt+q.out > simMemory {
			return
		}
		e.queue = slices.Delete(e.queue, best, best+1)
		e.running++
		e.tokens += q.prompt + q.out
		q.running = true
		q.firstAt = time.Now().Add(runTime(q.prompt, 10))
		s.after(runTime(q.prompt, q.out), func() { s.end(q, true) })
	}
}

func (q *simRequest) request() overload.Request {
	return overload.Request{Service: "llm", Priority: q.priority, Team: fmt.Sprint(max(q.team, -1-q.team)), Goal: q.kind.goal, Tokens: q.prompt + q.out, Memory: simMemory}
}

// end ends a request that was sent, served or at its deadline.
func (s *sim) end(q *simRequest, served bool) {
	if q.ended {
		return
	}
	q.ended = true
	e := q.engine
	if q.running {
		e.running--
		e.tokens -= q.prompt + q.out
	} else {
		e.queue = slices.DeleteFunc(e.queue, func(o *simRequest) bool { return o == q })
	}
	q.endSurge()
	outcome := balance.Served
	if !served {
		outcome = balance.Abandoned
	}
	q.done(outcome)
	if a := q.router.admission; a != nil {
		now := time.Now()
		first, total := now.Sub(q.attemptAt), now.Sub(q.attemptAt)
		if served {
			first = q.firstAt.Sub(q.attemptAt)
		}
		a.End(now, balance.LoadKey(e.status), q.request(), first, total)
	}
	s.count(q, served)
	s.start(e)
}

func (s *sim) count(q *simRequest, served bool) {
	team := &simKind{}
	if q.team >= 0 {
		team = s.teams[q.team]
	}
	least := &s.lastKind[1]
	if q.team == 0 {
		least = &s.lastKind[0]
	}
	if q.team < 0 || q.priority < len(s.kinds)-1 {
		least = &simKind{}
	}
	least.sent++
	for _, k := range []*simKind{q.kind, team, least} {
		switch {
		case !served:
			k.failed++
			k.known += time.Since(q.sentAt)
		case q.firstAt.Sub(q.sentAt) <= q.kind.goal:
			k.inTime++
		default:
			k.late++
		}
	}
}

// worth returns what the callers of a kind got: 1 in time, 0.3 late.
func (k *simKind) worth() float64 {
	return (float64(k.inTime) + 0.3*float64(k.late)) / float64(max(1, k.sent))
}

// total returns the sums over the given kinds or teams.
func total(all []*simKind) *simKind {
	sum := &simKind{}
	for _, k := range all {
		sum.sent, sum.inTime, sum.late = sum.sent+k.sent, sum.inTime+k.inTime, sum.late+k.late
		sum.failed, sum.known, sum.refused = sum.failed+k.failed, sum.known+k.known, sum.refused+k.refused
	}
	return sum
}

func (k *simKind) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(1, k.sent)) }
	return fmt.Sprintf("%d sent, worth %.3f, in time %.3f, late %.3f, failed %.3f (known after %v), first send refused %.3f",
		k.sent, k.worth(), part(k.inTime), part(k.late), part(k.failed), (k.known / time.Duration(max(1, k.failed))).Round(10*time.Millisecond), part(k.refused))
}

func (s *sim) log(t *testing.T) {
	for i, k := range s.kinds {
		t.Logf("%+v priority %d: %v", s.load, i, k)
	}
	t.Logf("%+v all: %v", s.load, total(s.kinds))
	t.Logf("%+v hot team: %v; other teams: %v", s.load, s.teams[0], total(s.teams[1:]))
	t.Logf("%+v least urgent kind of the hot team: %v; of other teams: %v", s.load, &s.lastKind[0], &s.lastKind[1])
	t.Logf("%+v: %d sent beyond memory; decisions %v", s.load, s.beyond, s.reasons)
}

// TestReplayOverload guards the selection of targets under overload, the order of rejection and
// its gain: without rejections, the least urgent requests fail at their deadline.
func TestReplayOverload(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			present := replay(load{seed: seed + 1, burst: true})
			present.log(t)
			if k := present.kinds[0]; float64(k.inTime) < 0.95*float64(k.sent) {
				t.Errorf("without admission, %d of %d urgent requests are in time: all routers select the same target", k.inTime, k.sent)
			}
			s := replay(load{seed: seed + 1, burst: true, admission: true})
			s.log(t)
			all, last := total(s.kinds), len(s.kinds)-1
			if gain := all.worth() - total(present.kinds).worth(); gain < 0.01 {
				t.Errorf("callers gain %.3f, want 0.01", gain)
			}
			if gain := s.kinds[last].worth() - present.kinds[last].worth(); gain < 0.05 {
				t.Errorf("callers of the least urgent kind gain %.3f, want 0.05", gain)
			}
			if hot, others := s.lastKind[0], s.lastKind[1]; hot.served() >= others.served() {
				t.Errorf("the hot team is served as often as the others: %v; %v", &hot, &others)
			}
			if s.refusedCalm > 0 {
				t.Errorf("%d requests refused before the overload", s.refusedCalm)
			}
			for i, k := range s.kinds {
				if i < 2 && float64(k.inTime) < 0.95*float64(k.sent) {
					t.Errorf("priority %d: %d of %d in time", i, k.inTime, k.sent)
				}
				if i > 0 && k.served() > s.kinds[i-1].served() {
					t.Errorf("priority %d is served more often than the next more urgent one", i)
				}
			}
			for i, k := range slices.Concat(s.kinds, s.teams) {
				if k.served() < 0.25*all.served() {
					t.Errorf("kind or team %d starves: %v", i, k)
				}
			}
		})
	}
}

// TestReplayWithoutOverload guards against changes of decisions in calm load, and without
// counts of other routers, which is what a router has that is cut off.
func TestReplayWithoutOverload(t *testing.T) {
	for _, l := range []load{{seed: 1}, {seed: 2}, {seed: 1, burst: true, countsLost: true}} {
		synctest.Test(t, func(t *testing.T) {
			present := replay(l)
			l.admission = true
			s := replay(l)
			s.log(t)
			for i, k := range s.kinds {
				if *k != *present.kinds[i] {
					t.Errorf("%+v priority %d: %v, want as without admission: %v", l, i, k, present.kinds[i])
				}
			}
		})
	}
}
