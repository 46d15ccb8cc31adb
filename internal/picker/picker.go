// Package picker selects the target of each request. It uses the balancer of this router
// if the balancer's in-flight counts are recent enough. The counts are older than the
// duration of short requests without a prompt; for these, the package requests a slot
// from the owner of the service, the router that admits such requests for all routers.
// It also handles the slot requests for the services that this router owns.
//
// Protocol messages, metrics and log lines keep older names: "home" for the owner of a
// service, "place" for a slot, "ask" for a slot request, "answer" for the reply to it,
// and "end" for the release.
//
// The package does not send requests to targets and does not determine the members of
// the fleet.
package picker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
	"github.com/wigeonwood/wigeonwood/internal/slots"
)

const (
	// replyTimeout is how long a router waits for the owner's reply before it uses the
	// target that its own balancer selected.
	replyTimeout = 25 * time.Millisecond
	// maxTimeouts is the number of consecutive timeouts after which an owner counts as
	// unresponsive. It is above one because an owner on a small, busy machine
	// occasionally replies late.
	maxTimeouts = 3
	// maxOwners bounds the number of owners whose timeouts are tracked. When it is
	// reached, the timeouts of all owners are reset.
	maxOwners = 1024
	// ownerBackoff is the time for which this router stops requesting slots from an
	// unresponsive owner.
	ownerBackoff = time.Second
	// step is the name of this processing step in log lines and errors.
	step = "place"
)

// Members is the part of the membership that the picker uses.
type Members interface {
	// Routers returns the known routers, including this one.
	Routers() []*pb.RouterStatus
	// SendPlacing sends a message of the slot protocol to the router with the peer
	// address to. Delivery is not guaranteed.
	SendPlacing(to string, p *pb.Placing)
}

// Config configures a Picker. All fields but Started and Cold are required.
type Config struct {
	// Self is the id of this router.
	Self string
	// Started is when this router started; zero means long ago. A router that has just
	// started does not know yet which targets name a limit.
	Started  time.Time
	Members  Members
	Balancer *balance.Balancer
	Logger   *log.Logger
	Scope    tally.Scope
	// Cold returns the configuration of the cold targets of a service. If it is nil, cold
	// targets get as many requests as others.
	Cold func(service string) ColdRule
}

// Picker selects targets and admits the requests of the services that this router
// owns. It is safe for concurrent use.
type Picker struct {
	cfg          Config
	slotRequests tally.Counter
	timeouts     tally.Counter
	rejections   tally.Counter
	// limited is the number of targets that are known to name a limit. The counters that
	// follow count the permits that this router has asked for.
	limited           tally.Gauge
	permitsGranted    tally.Counter
	permitsDenied     tally.Counter
	permitsUnanswered tally.Counter

	mu         sync.Mutex
	lastNumber uint64
	// replies holds the channel on which each pending request to an owner receives the
	// owner's reply, by the number of the request.
	replies map[uint64]chan *pb.Placing
	// owners holds the owners that have timed out since their last reply, by router
	// id.
	owners map[string]*ownerState

	admitterMu sync.Mutex
	// admitter admits the requests of the services that this router owns.
	admitter *slots.Admitter

	limiterMu sync.Mutex
	// limiter holds the limits that targets name, and limits a copy for the balancer.
	limiter *permits.Limiter
	limits  atomic.Pointer[map[uint32]float64]
	// cold is guarded by limiterMu, except for the marks and metrics in it.
	cold coldTargets
}

// ownerState tracks the timeouts of one owner.
type ownerState struct {
	// timeouts counts the timeouts since the last reply of the owner.
	timeouts int
	// backoffUntil is the end of the back-off, during which no slots are requested from
	// the owner.
	backoffUntil time.Time
}

// New returns a Picker that has admitted no requests.
func New(c Config) *Picker {
	scope, limits := c.Scope.SubScope("place"), c.Scope.SubScope(stepLimit)
	p := &Picker{
		cfg:          c,
		slotRequests: scope.Counter("homes_asked"),
		timeouts:     scope.Counter("homes_silent"),
		rejections:   scope.Counter("homes_full"),
		replies:      make(map[uint64]chan *pb.Placing),
		owners:       make(map[string]*ownerState),
		admitter:     slots.New(),
		limited:      limits.Gauge("targets"),

		permitsGranted:    limits.Counter("permits_granted"),
		permitsDenied:     limits.Counter("permits_denied"),
		permitsUnanswered: limits.Counter("permits_unanswered"),
		limiter:           permits.NewLimiter(c.Started),
		cold:              newColdTargets(limits),
	}
	c.Balancer.SetLimits(p.knownLimits)
	c.Balancer.SetCold(p.coldRate)
	return p
}

// Pick selects a target for r. It fails with balance.ErrNoTarget, a *balance.PausedError or
// a *balance.LimitedError if no target accepts the request, or with balance.ErrFull if the
// owner of the service replies that all targets are at their admission limit.
func (p *Picker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	p.cfg.Balancer.RecordRequest(r.Service)
	return p.pickWithPermit(ctx, r)
}

// pickTarget selects a target without regard to its limit.
func (p *Picker) pickTarget(ctx context.Context, r balance.Request) (balance.Choice, error) {
	local, err := p.cfg.Balancer.Pick(r)
	if err != nil || !local.StaleLoad || len(r.Only) > 0 {
		return local, err
	}
	owner := balance.OwnerOf(p.cfg.Members.Routers(), r.Service)
	if owner == nil {
		return local, nil
	}
	slot, reply := p.requestSlot(ctx, owner, r)
	if reply == nil || reply.Unknown {
		return local, nil
	}
	// The local selection is undone before the next one, so that Choice.InFlight does
	// not include this request.
	local.Done(balance.Abandoned)
	if reply.Full {
		p.rejections.Inc(1)
		return balance.Choice{}, errs.Wrap(balance.ErrFull, step, owner.Id)
	}
	chosen, err := p.cfg.Balancer.PickTarget(r, reply.Target, "chosen by the service's home "+owner.Id)
	if err != nil {
		// The target is not in this router's view or accepts no requests. The slot is
		// released as unused.
		p.release(owner, slot, balance.Abandoned)
		return p.cfg.Balancer.Pick(r)
	}
	return p.releaseWhenDone(chosen, owner, slot), nil
}

// releaseWhenDone returns c with a Done function that also releases the slot at the
// owner.
func (p *Picker) releaseWhenDone(c balance.Choice, owner *pb.RouterStatus, slot uint64) balance.Choice {
	var once sync.Once
	done := c.Done
	c.Done = func(o balance.Outcome) {
		done(o)
		once.Do(func() { p.release(owner, slot, o) })
	}
	return c
}

// requestSlot requests a slot from the owner and returns the number of the request, which
// is also that of an assigned slot, and the owner's reply. The reply is nil if the owner
// is in back-off, if it does not reply within replyTimeout, or if ctx is done first.
func (p *Picker) requestSlot(ctx context.Context, owner *pb.RouterStatus, r balance.Request) (slot uint64, reply *pb.PlaceAnswer) {
	message := &pb.PlaceAsk{
		Service:  r.Service,
		GoalMs:   uint32(r.Goal.Milliseconds()),
		LifeMs:   uint32(max(0, r.TimeLeft.Milliseconds())),
		Overdue:  r.Overdue,
		Exclude:  r.Exclude,
		Priority: uint32(max(0, r.Priority)),
	}
	if owner.Id == p.cfg.Self {
		p.slotRequests.Inc(1)
		slot = p.nextNumber()
		return slot, p.admit(slots.SlotID{Router: owner.Id, Number: slot}, message)
	}
	slot, answer := p.askOwner(ctx, owner, &pb.Placing{What: &pb.Placing_Ask{Ask: message}})
	if slot == 0 {
		return 0, nil
	}
	p.slotRequests.Inc(1)
	if reply = answer.GetAnswer(); reply == nil {
		// The owner may have assigned the slot although its reply is late or lost.
		p.release(owner, slot, balance.Abandoned)
	}
	return slot, reply
}

// askOwner sends a request to its owner and returns the number of the request and the owner's
// reply. The reply is nil if the owner does not reply within replyTimeout or if ctx is done
// first. If the owner is in back-off, the number is zero and nothing is sent.
func (p *Picker) askOwner(ctx context.Context, owner *pb.RouterStatus, message *pb.Placing) (number uint64, reply *pb.Placing) {
	number, replies, ok := p.beginRequest(owner)
	if !ok {
		return 0, nil
	}
	defer p.endRequest(number)
	message.Place = number
	p.cfg.Members.SendPlacing(owner.PeerAddr, message)
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case reply = <-replies:
		return number, reply
	case <-ctx.Done():
	case <-timer.C:
		p.recordTimeout(owner)
	}
	return number, nil
}

// nextNumber returns a number for a request.
func (p *Picker) nextNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// beginRequest registers a request to an owner. It returns the number of the request, which
// becomes the number of the slot if one is assigned, and the channel that receives the owner's
// reply. If the owner is in back-off, ok is false and nothing is registered.
func (p *Picker) beginRequest(owner *pb.RouterStatus) (number uint64, replies chan *pb.Placing, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.owners[owner.Id]; s != nil && time.Now().Before(s.backoffUntil) {
		return 0, nil, false
	}
	p.lastNumber++
	replies = make(chan *pb.Placing, 1)
	p.replies[p.lastNumber] = replies
	return p.lastNumber, replies, true
}

// endRequest removes a request to an owner, so that a late reply is discarded.
func (p *Picker) endRequest(number uint64) {
	p.mu.Lock()
	delete(p.replies, number)
	p.mu.Unlock()
}

// recordTimeout counts a timeout of the owner. At maxTimeouts consecutive timeouts, and at
// each further one, a back-off starts. After a back-off the owner is tried again.
func (p *Picker) recordTimeout(owner *pb.RouterStatus) {
	p.timeouts.Inc(1)
	p.mu.Lock()
	s := p.owners[owner.Id]
	if s == nil {
		if len(p.owners) >= maxOwners {
			clear(p.owners)
		}
		s = &ownerState{}
		p.owners[owner.Id] = s
	}
	s.timeouts++
	backoff, first := s.timeouts >= maxTimeouts, s.timeouts == maxTimeouts
	if backoff {
		s.backoffUntil = time.Now().Add(ownerBackoff)
	}
	p.mu.Unlock()
	if first {
		p.cfg.Logger.Warn().Str("step", step).Str("peer", owner.Id).Int("missed", maxTimeouts).Dur("for_ms", ownerBackoff).
			Msg("the home of a service did not answer and is not asked for a while")
	}
}

// release releases a slot at its owner and reports the outcome of the request to the
// owner.
func (p *Picker) release(owner *pb.RouterStatus, slot uint64, o balance.Outcome) {
	if owner.Id == p.cfg.Self {
		p.releaseAsOwner(slots.SlotID{Router: owner.Id, Number: slot}, o)
		return
	}
	p.cfg.Members.SendPlacing(owner.PeerAddr, &pb.Placing{Place: slot, What: &pb.Placing_End{End: &pb.PlaceEnd{Outcome: uint32(o)}}})
}

// Handle processes a message from another router, which has the peer address addr: a request
// for a slot or a permit, the reply to one, the release of a slot, or a report of a limit.
func (p *Picker) Handle(router, addr string, m *pb.Placing) {
	slot := slots.SlotID{Router: router, Number: m.Place}
	switch what := m.What.(type) {
	case *pb.Placing_Ask:
		reply := p.admit(slot, what.Ask)
		p.cfg.Members.SendPlacing(addr, &pb.Placing{Place: m.Place, What: &pb.Placing_Answer{Answer: reply}})
	case *pb.Placing_PermitAsk:
		reply := p.grantPermit(router, what.PermitAsk)
		p.cfg.Members.SendPlacing(addr, &pb.Placing{Place: m.Place, What: &pb.Placing_PermitAnswer{PermitAnswer: reply}})
	case *pb.Placing_Answer, *pb.Placing_PermitAnswer:
		p.deliverReply(router, m)
	case *pb.Placing_LimitReport:
		now := time.Now()
		p.learn(now, what.LimitReport.Target, observation(now, what.LimitReport.Seen), router)
	case *pb.Placing_End:
		outcome := balance.Outcome(what.End.Outcome)
		if target, ok := p.releaseAsOwner(slot, outcome); ok {
			p.cfg.Balancer.Observe(target, outcome)
		}
	}
}

// deliverReply passes an owner's reply to the request that waits for it, and resets the
// owner's timeouts. A late reply resets them too, since it shows that the owner is alive.
func (p *Picker) deliverReply(router string, reply *pb.Placing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.owners, router)
	if waiting := p.replies[reply.Place]; waiting != nil {
		delete(p.replies, reply.Place)
		waiting <- reply
	}
}

// admit handles a slot request as the owner of the service and returns the reply. Unknown
// is set if this router knows no target for the request, Full if all are at their limit.
func (p *Picker) admit(slot slots.SlotID, m *pb.PlaceAsk) *pb.PlaceAnswer {
	open, degraded := p.cfg.Balancer.AdmissionTargets(balance.Request{Service: m.Service, Exclude: m.Exclude})
	if len(open) == 0 {
		return &pb.PlaceAnswer{Unknown: true}
	}
	request := slots.Request{
		Service:  m.Service,
		Goal:     time.Duration(m.GoalMs) * time.Millisecond,
		Overdue:  m.Overdue,
		Priority: int(m.Priority),
		TTL:      time.Duration(m.LifeMs) * time.Millisecond,
	}
	p.admitterMu.Lock()
	defer p.admitterMu.Unlock()
	now := time.Now()
	target, ok := p.admitter.Admit(now, slot, request, open)
	if !ok {
		// For the caller, a target that serves only some of its requests is better than
		// a rejection.
		target, ok = p.admitter.Admit(now, slot, request, degraded)
	}
	return &pb.PlaceAnswer{Target: target, Full: !ok}
}

// releaseAsOwner releases a slot that this router assigned as the owner of the service,
// and returns the load key of the slot's target. If the slot is not known, ok is false.
func (p *Picker) releaseAsOwner(slot slots.SlotID, o balance.Outcome) (target uint32, ok bool) {
	outcome := slots.Unused
	switch o {
	case balance.Served:
		outcome = slots.Served
	case balance.Unreachable, balance.Failed:
		outcome = slots.Failed
	}
	p.admitterMu.Lock()
	defer p.admitterMu.Unlock()
	return p.admitter.Release(time.Now(), slot, outcome)
}
