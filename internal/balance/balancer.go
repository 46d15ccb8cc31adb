// Package balance chooses a target for each request from this router's view:
// the targets that announce themselves, how they served requests lately, and
// the requests in flight here and, as they tell, at the other routers.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

const (
	// loadFactor is the bound on a target's requests in flight as a multiple of
	// its service's mean.
	loadFactor = 1.5
	// forgetAfter is how long a target that is in no view is remembered.
	forgetAfter = 30 * time.Second
	// peerLoadLife is how long another router's counts are taken as present.
	peerLoadLife = 1500 * time.Millisecond
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Key stands for the longest part of the prompt that requests share; zero
	// without one.
	Key placement.Key
	// Slots is the most requests that a target of the service runs at once;
	// zero if unknown.
	Slots int
	// Exclude are targets that failed this request already.
	Exclude []string
}

// Choice is a target with the reasons for it.
type Choice struct {
	Target *pb.TargetStatus
	Why    string
	// InFlight is the number of requests that the target had, as known here.
	InFlight int
	// Done gives the place back with the outcome. Only its first call counts.
	Done func(Outcome)
}

// Balancer chooses targets. It is safe for concurrent use.
type Balancer struct {
	view fleet.View
	now  func() time.Time

	mu      sync.Mutex
	targets map[uint64]*target
	peers   map[string]*peerLoad
	chooser placement.Chooser
	swept   time.Time
}

// target is one incarnation of a target as this router knows it.
type target struct {
	hash     placement.EngineHash
	inFlight int
	health   health
	seen     time.Time
}

// peerLoad is what another router has in flight.
type peerLoad struct {
	counts map[uint64]int
	at     time.Time
}

// New makes a balancer over the targets of view.
func New(view fleet.View) *Balancer {
	return &Balancer{
		view:    view,
		now:     time.Now,
		targets: make(map[uint64]*target),
		peers:   make(map[string]*peerLoad),
		chooser: placement.Chooser{Factor: loadFactor, Spread: 1},
	}
}

// Pick chooses a target for r; ok is false if no target of the service is known
// and not excluded.
func (b *Balancer) Pick(r Request) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.sweep(now)
	candidates := b.candidates(now, r)
	if len(candidates.statuses) == 0 {
		return Choice{}, false
	}
	i, why := b.choose(now, r, candidates)
	st := candidates.statuses[i]
	t := b.targets[fleet.TargetKey(st.Id, st.Incarnation)]
	c = Choice{Target: st, Why: why, InFlight: candidates.engines[i].InFlight}
	t.inFlight++
	t.health.given()
	ended := false
	c.Done = func(o Outcome) { b.done(t, o, &ended) }
	return c, true
}

func (b *Balancer) done(t *target, o Outcome, ended *bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *ended {
		return
	}
	*ended = true
	t.inFlight--
	t.health.observe(b.now(), o)
}

// candidates are the targets that may be chosen, in two equally long lists.
type candidates struct {
	statuses []*pb.TargetStatus
	engines  []placement.Engine
}

// candidates lists the service's targets that are not leaving or excluded:
// those believed sound, or all if none is.
func (b *Balancer) candidates(now time.Time, r Request) candidates {
	var sound, all candidates
	for _, st := range b.view.Targets() {
		if st.Service != r.Service || st.Leaving || slices.Contains(r.Exclude, st.Id) {
			continue
		}
		t := b.target(now, st)
		e := placement.Engine{
			ID:       st.Id,
			Hash:     t.hash,
			InFlight: t.inFlight + b.peerInFlight(now, fleet.TargetKey(st.Id, st.Incarnation)),
			Capacity: capacity(st, r.Slots),
		}
		all.add(st, e)
		if t.health.available(now) {
			sound.add(st, e)
		}
	}
	if len(sound.statuses) > 0 {
		return sound
	}
	return all
}

func (c *candidates) add(st *pb.TargetStatus, e placement.Engine) {
	c.statuses = append(c.statuses, st)
	c.engines = append(c.engines, e)
}

// unboundedCapacity stands for a target whose places are unknown.
const unboundedCapacity = 1 << 20

func capacity(st *pb.TargetStatus, slots int) int {
	switch {
	case st.Capacity > 0:
		return int(st.Capacity)
	case slots > 0:
		return slots
	default:
		return unboundedCapacity
	}
}

func (b *Balancer) target(now time.Time, st *pb.TargetStatus) *target {
	key := fleet.TargetKey(st.Id, st.Incarnation)
	t := b.targets[key]
	if t == nil {
		t = &target{hash: placement.HashEngine(st.Id)}
		b.targets[key] = t
	}
	t.seen = now
	return t
}

// choose returns the index of the chosen target. When all are at their bound,
// the least loaded one takes the request.
func (b *Balancer) choose(now time.Time, r Request, c candidates) (int, string) {
	var choice placement.Choice
	if r.Key != 0 {
		choice = b.chooser.Choose(now, r.Key, c.engines)
	} else {
		choice = b.chooser.LeastLoaded(placement.Key(uint64(now.UnixNano())|1), c.engines)
	}
	if choice.Index >= 0 {
		return choice.Index, choice.Why.String()
	}
	least := 0
	for i := range c.engines {
		if c.engines[i].InFlight < c.engines[least].InFlight {
			least = i
		}
	}
	return least, "all targets are full; this one has the fewest requests"
}

// sweep forgets targets that are in no view any more.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) < forgetAfter {
		return
	}
	b.swept = now
	for key, t := range b.targets {
		if t.inFlight == 0 && now.Sub(t.seen) > forgetAfter {
			delete(b.targets, key)
		}
	}
	for id, p := range b.peers {
		if now.Sub(p.at) > forgetAfter {
			delete(b.peers, id)
		}
	}
}

func (b *Balancer) peerInFlight(now time.Time, key uint64) int {
	sum := 0
	for _, p := range b.peers {
		if now.Sub(p.at) < peerLoadLife {
			sum += p.counts[key]
		}
	}
	return sum
}

// InFlight returns the requests in flight here by target key.
func (b *Balancer) InFlight() map[uint64]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[uint64]int)
	for key, t := range b.targets {
		if t.inFlight > 0 {
			counts[key] = t.inFlight
		}
	}
	return counts
}

// PeerInFlight takes another router's requests in flight by target key.
func (b *Balancer) PeerInFlight(router string, counts map[uint64]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[router] = &peerLoad{counts: counts, at: b.now()}
}
