package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fairqueue"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// Pool admits requests to targets. A Pool is not safe for concurrent use.
type Pool struct {
	cfg              Config
	directory        *placement.Directory
	eventTracker     *placement.EventTracker
	chooser          *placement.Chooser
	placer           Placer
	targets          map[string]*target
	lanes            map[string]*lane
	grants           map[ID]*grant
	waitersByItem    map[uint64]*waiter
	waitersByRequest map[ID]*waiter
	lastItemID       uint64
	// engineBuffer is the slice that engines returns.
	engineBuffer []placement.Engine
}

// grant is a slot that a request holds.
type grant struct {
	target *target
	// lane and share are nil for an adopted slot in an unknown lane.
	lane  *lane
	share *share
}

// waiter is a request in the queue of a lane.
type waiter struct {
	req  Request
	item *fairqueue.Item
	lane *lane
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	directory := placement.NewDirectory(cfg.DirectorySize)
	chooser := &placement.Chooser{
		Factor:    cfg.Factor,
		Spread:    cfg.Spread,
		SlowStart: cfg.SlowStart,
		Directory: directory,
	}
	placer := cfg.Placer
	if placer == nil {
		placer = chooser
	}
	return &Pool{
		cfg:              cfg,
		directory:        directory,
		eventTracker:     placement.NewEventTracker(directory),
		chooser:          chooser,
		placer:           placer,
		targets:          make(map[string]*target),
		lanes:            make(map[string]*lane),
		grants:           make(map[ID]*grant),
		waitersByItem:    make(map[uint64]*waiter),
		waitersByRequest: make(map[ID]*waiter),
	}
}

// Submit decides on a request. The first result is the decision on this request.
// If its kind is Queued, a later call of a method of the pool returns the final
// decision. A second result is the refusal of a queued request that was shed
// because the queue was full. If the request holds a slot already, Submit returns
// that slot.
func (p *Pool) Submit(now time.Time, r Request) []Result {
	if g, ok := p.grants[r.ID]; ok {
		// The router sent the request again because the reply was lost.
		return []Result{{ID: r.ID, Kind: Granted, Target: g.target.ID, Incarnation: g.target.Incarnation}}
	}
	l, ok := p.lanes[LaneName(r.Model, r.Service)]
	if !ok || !l.hasEligibleTarget(r.Exclude) {
		return []Result{{ID: r.ID, Kind: Refused, Code: CodeNoTarget, RetryAfter: minRetryAfter}}
	}
	if r.Hint.Engine != "" && p.directory.Holders(r.Chat)[0].Engine == "" {
		p.directory.RecordHint(r.Chat, r.Hint)
	}
	l.recordRequest(now, &r)
	if l.queue.Len() == 0 || p.mayOvertake(now, l, &r) {
		if result, ok := p.assign(now, l, &r); ok {
			l.queue.Charge(r.Customer, r.Weight, r.Cost)
			return []Result{result}
		}
	}
	return p.enqueue(now, l, r)
}

// mayOvertake reports whether a request may be assigned a slot before the queued
// requests. The customer of the request must have no queued request and be within
// its share. Requests of other customers then wait only because their customers
// are above their shares, or because of the targets that they exclude.
func (p *Pool) mayOvertake(now time.Time, l *lane, r *Request) bool {
	return l.queue.Waiting(r.Customer) == 0 && !l.aboveShare(now, r.Customer)
}

// hasEligibleTarget reports whether any target of the lane is not excluded.
func (l *lane) hasEligibleTarget(exclude []string) bool {
	return slices.ContainsFunc(l.targets, func(t *target) bool {
		return !slices.Contains(exclude, t.ID)
	})
}

// assign selects a target and grants the request a slot there. assign returns
// false if no target has a free slot for the request. The reserved slots are not
// free for a customer above its share.
func (p *Pool) assign(now time.Time, l *lane, r *Request) (Result, bool) {
	reserve := 0
	if l.aboveShare(now, r.Customer) {
		reserve = p.cfg.Reserve
		if l.freeSlots() <= l.reservedSlots() {
			return Result{}, false
		}
	}
	candidates := p.candidates(l, r.Exclude, reserve)
	var choice placement.Choice
	if r.Service != "" {
		// The key only breaks ties between equally loaded targets, so any number
		// can serve as the key.
		choice = p.chooser.LeastLoaded(placement.Key(p.lastItemID), candidates)
	} else {
		choice = p.placer.Choose(now, r.Chat, candidates)
	}
	if choice.Index < 0 {
		return Result{}, false
	}
	t := l.targets[choice.Index]
	p.checkAssignment(l, t)
	p.addGrant(now, r.ID, &grant{target: t, lane: l, share: l.shares[r.Customer]})
	p.directory.Record(r.Chat, placement.Holder{Engine: t.ID, Incarnation: t.Incarnation, Used: now})
	return grantedResult(r.ID, l, t, choice, candidates), true
}

// grantedResult returns the result for a request that was just assigned to t.
func grantedResult(id ID, l *lane, t *target, choice placement.Choice, engines []placement.Engine) Result {
	result := Result{
		ID:          id,
		Kind:        Granted,
		Target:      t.ID,
		Incarnation: t.Incarnation,
		Reason:      choice.Reason,
		Load:        t.inFlight(),
		Limit:       choice.Limit,
		Targets:     len(engines),
	}
	if choice.PassedOver >= 0 {
		result.PassedOver = l.targets[choice.PassedOver].ID
		result.PassedOverLoad = l.targets[choice.PassedOver].inFlight()
	}
	return result
}

// checkAssignment checks the invariants of an admission and panics if one is
// violated: the target takes work, and one more request stays within the load
// bound and the target's capacity. checkAssignment counts the load independently
// of the code that selected the target.
func (p *Pool) checkAssignment(l *lane, t *target) {
	total := 1
	for _, other := range l.targets {
		total += other.inFlight()
	}
	load := t.inFlight() + 1
	if placement.WithinLoadLimit(p.cfg.Factor, load, total, len(l.targets)) && load <= t.Capacity && t.acceptsWork() {
		return
	}
	invariant.Check(false, "admit within the load bound",
		"target", t.ID, "load", load, "total", total, "targets", len(l.targets), "capacity", t.Capacity, "open", t.acceptsWork())
}

func (p *Pool) addGrant(now time.Time, id ID, g *grant) {
	g.target.granted++
	if g.share != nil {
		g.share.addInFlight(now, 1)
	}
	p.grants[id] = g
}

// enqueue adds a request to the lane's queue. enqueue refuses the request at once
// if the expected wait exceeds the request's wait limit. If the queue is full,
// enqueue refuses the request that the queue sheds, which may be the new one.
func (p *Pool) enqueue(now time.Time, l *lane, r Request) []Result {
	if wait, ok := l.expectedWait(r.Customer, r.Class); ok && wait > r.MaxWait {
		return []Result{p.refuse(l, &r, CodeWaitTooLong)}
	}
	p.lastItemID++
	it := &fairqueue.Item{
		ID:       p.lastItemID,
		Customer: r.Customer,
		Weight:   r.Weight,
		Class:    r.Class,
		// The excluded targets identify the set of the others in the lane.
		TargetSet: strings.Join(r.Exclude, ","),
		Cost:      r.Cost,
		Enqueued:  now,
		Deadline:  now.Add(r.MaxWait),
	}
	w := &waiter{req: r, item: it, lane: l}
	p.waitersByItem[it.ID] = w
	p.waitersByRequest[r.ID] = w
	shed := l.queue.Push(it)
	if shed == nil {
		return []Result{{ID: r.ID, Kind: Queued}}
	}
	shedWaiter := p.removeWaiter(shed)
	refused := p.refuse(l, &shedWaiter.req, CodeQueueFull)
	if shed == it {
		return []Result{refused}
	}
	return []Result{{ID: r.ID, Kind: Queued}, refused}
}

func (p *Pool) refuse(l *lane, r *Request, code string) Result {
	return Result{ID: r.ID, Kind: Refused, Code: code, RetryAfter: l.retryAfter(r.Customer, r.Class)}
}

// removeWaiter removes and returns the waiter of an item that was removed from its
// queue.
func (p *Pool) removeWaiter(it *fairqueue.Item) *waiter {
	w := p.waitersByItem[it.ID]
	delete(p.waitersByItem, it.ID)
	delete(p.waitersByRequest, w.req.ID)
	return w
}

// Release releases the slot of a request, or removes the request from its queue.
// Release returns the results of the queued requests that are assigned a slot as
// a consequence. A second release of the same request has no effect.
func (p *Pool) Release(now time.Time, id ID) []Result {
	if w, ok := p.waitersByRequest[id]; ok {
		w.lane.queue.Remove(w.item.Customer, w.item.ID)
		p.removeWaiter(w.item)
		return nil
	}
	g, ok := p.grants[id]
	if !ok {
		return nil
	}
	delete(p.grants, id)
	g.target.granted--
	if g.share != nil {
		g.share.addInFlight(now, -1)
		g.lane.countRelease(now)
	}
	return p.DispatchWaiting(now)
}

// DispatchWaiting assigns free slots to queued requests in fair-queueing order
// and returns the results of these requests.
func (p *Pool) DispatchWaiting(now time.Time) []Result {
	var results []Result
	for _, l := range p.sortedLanes() {
		results = p.dispatchLane(now, l, results)
	}
	return results
}

func (p *Pool) dispatchLane(now time.Time, l *lane, results []Result) []Result {
	for l.queue.Len() > 0 {
		var assigned Result
		it := l.queue.Take(func(it *fairqueue.Item) bool {
			var ok bool
			assigned, ok = p.assign(now, l, &p.waitersByItem[it.ID].req)
			return ok
		})
		if it == nil {
			return results
		}
		p.removeWaiter(it)
		assigned.Waited = now.Sub(it.Enqueued)
		results = append(results, assigned)
	}
	return results
}

// Tick refuses queued requests whose wait limit has passed, updates the release
// rates, evicts idle customers, and assigns slots that are free after a change of
// the targets. Callers call Tick at least about once per second.
func (p *Pool) Tick(now time.Time) []Result {
	var results []Result
	for _, l := range p.sortedLanes() {
		for _, it := range l.queue.Expired(now) {
			w := p.removeWaiter(it)
			results = append(results, p.refuse(l, &w.req, CodeWaitTooLong))
		}
		l.updateRate(now)
		l.evictIdleShares(now)
	}
	return append(results, p.DispatchWaiting(now)...)
}

func (p *Pool) sortedLanes() []*lane {
	lanes := make([]*lane, 0, len(p.lanes))
	for _, l := range p.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return strings.Compare(a.name, b.name) })
	return lanes
}

// ApplyCacheEvents applies events of an engine's prefix cache to the directory.
// from is the sequence number of the first event. resync is true if earlier
// events are missing.
func (p *Pool) ApplyCacheEvents(now time.Time, engine string, incarnation, from uint64, events []placement.CacheEvent) (resync bool) {
	return p.eventTracker.Apply(now, engine, incarnation, from, events)
}
