// Package place finds the target of each request: from this router's own view, or,
// where that is too old for requests as short as those without a prompt, by asking
// the home of the service.
package place

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/home"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// replyTimeout is how long a router waits for a home before it goes by its own
	// view.
	replyTimeout = 25 * time.Millisecond
	// maxTimeouts is the number of answers in a row that may be missing before the home
	// counts as silent: a small busy machine is late now and then.
	maxTimeouts = 3
	// maxOwners bounds the homes of which something is known; with more of them, all
	// are learned anew.
	maxOwners = 1024
	// ownerBackoff is how long a silent home is not asked again.
	ownerBackoff = time.Second
	// step names this work in logs.
	step = "place"
)

// Members is what the picker uses of the membership.
type Members interface {
	Routers() []*pb.RouterStatus
	// SendPlacing sends a message to a peer address; it may be lost.
	SendPlacing(to string, p *pb.Placing)
}

// Config sets up a Picker; all fields are needed.
type Config struct {
	// Self is the id of this router.
	Self     string
	Members  Members
	Balancer *balance.Balancer
	Logger   *log.Logger
	Scope    tally.Scope
}

// Picker chooses targets, and is the home of some services. It is safe for
// concurrent use.
type Picker struct {
	cfg       Config
	requested tally.Counter
	timedOut  tally.Counter
	full      tally.Counter

	mu       sync.Mutex
	lastSlot uint64
	// replies awaits the home's answer, by place.
	replies map[uint64]chan *pb.PlaceAnswer
	// owners holds what is known of each home, by router.
	owners map[string]*ownerState

	admitterMu sync.Mutex
	admitter   *home.Admitter
}

// ownerState is how a home answered lately.
type ownerState struct {
	// timeouts counts the answers that were missing since the last one.
	timeouts int
	// backoffUntil is when a silent home may be asked again.
	backoffUntil time.Time
}

// New makes a picker.
func New(c Config) *Picker {
	scope := c.Scope.SubScope("place")
	return &Picker{
		cfg:       c,
		requested: scope.Counter("homes_asked"),
		timedOut:  scope.Counter("homes_silent"),
		full:      scope.Counter("homes_full"),
		replies:   make(map[uint64]chan *pb.PlaceAnswer),
		owners:    make(map[string]*ownerState),
		admitter:  home.New(),
	}
}

// Pick chooses a target for r. It fails with balance.ErrNoTarget, or with
// balance.ErrFull if the home says that all targets have enough.
func (p *Picker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	local, err := p.cfg.Balancer.Pick(r)
	if err != nil || !local.StaleLoad {
		return local, err
	}
	at := balance.OwnerOf(p.cfg.Members.Routers(), r.Service)
	if at == nil {
		return local, nil
	}
	place, answer := p.requestSlot(ctx, at, r)
	if answer == nil || answer.Unknown {
		return local, nil
	}
	// Given back first, so that the choice doesn't count the request itself.
	local.Done(balance.Abandoned)
	if answer.Full {
		p.full.Inc(1)
		return balance.Choice{}, errs.Wrap(balance.ErrFull, step, at.Id)
	}
	chosen, err := p.cfg.Balancer.PickTarget(r, answer.Target, "chosen by the service's home "+at.Id)
	if err != nil {
		// The target has left this view; the home hears that it was not used.
		p.release(at, place, balance.Abandoned)
		return p.cfg.Balancer.Pick(r)
	}
	return p.releaseWhenDone(chosen, at, place), nil
}

// releaseWhenDone has the home told of the request's end.
func (p *Picker) releaseWhenDone(c balance.Choice, at *pb.RouterStatus, place uint64) balance.Choice {
	var once sync.Once
	done := c.Done
	c.Done = func(o balance.Outcome) {
		done(o)
		once.Do(func() { p.release(at, place, o) })
	}
	return c
}

// requestSlot returns the home's answer, nil without one in time.
func (p *Picker) requestSlot(ctx context.Context, at *pb.RouterStatus, r balance.Request) (place uint64, answer *pb.PlaceAnswer) {
	message := &pb.PlaceAsk{
		Service: r.Service,
		GoalMs:  uint32(r.Goal.Milliseconds()),
		LifeMs:  uint32(max(0, r.MaxDuration.Milliseconds())),
		Overdue: r.Overdue,
		Exclude: r.Exclude,
	}
	place, answers, ok := p.openSlot(at)
	if !ok {
		return 0, nil
	}
	defer p.closeSlot(place)
	p.requested.Inc(1)
	if at.Id == p.cfg.Self {
		return place, p.admit(home.SlotID{Router: at.Id, Number: place}, message)
	}
	p.cfg.Members.SendPlacing(at.PeerAddr, &pb.Placing{Place: place, What: &pb.Placing_Ask{Ask: message}})
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return place, answer
	case <-ctx.Done():
	case <-timer.C:
		p.recordTimeout(at)
	}
	// The place may have been given.
	p.release(at, place, balance.Abandoned)
	return place, nil
}

// openSlot numbers a place; false if the home was silent lately.
func (p *Picker) openSlot(at *pb.RouterStatus) (place uint64, answers chan *pb.PlaceAnswer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.owners[at.Id]; s != nil && time.Now().Before(s.backoffUntil) {
		return 0, nil, false
	}
	p.lastSlot++
	answers = make(chan *pb.PlaceAnswer, 1)
	p.replies[p.lastSlot] = answers
	return p.lastSlot, answers, true
}

func (p *Picker) closeSlot(place uint64) {
	p.mu.Lock()
	delete(p.replies, place)
	p.mu.Unlock()
}

// recordTimeout counts an answer that is missing. A home that misses maxMissed in a row
// isn't asked for a while, and once more then.
func (p *Picker) recordTimeout(at *pb.RouterStatus) {
	p.timedOut.Inc(1)
	p.mu.Lock()
	s := p.owners[at.Id]
	if s == nil {
		if len(p.owners) >= maxOwners {
			clear(p.owners)
		}
		s = &ownerState{}
		p.owners[at.Id] = s
	}
	s.timeouts++
	silent, first := s.timeouts >= maxTimeouts, s.timeouts == maxTimeouts
	if silent {
		s.backoffUntil = time.Now().Add(ownerBackoff)
	}
	p.mu.Unlock()
	if first {
		p.cfg.Logger.Warn().Str("step", step).Str("peer", at.Id).Int("missed", maxTimeouts).Dur("for_ms", ownerBackoff).
			Msg("the home of a service did not answer and is not asked for a while")
	}
}

// release gives a place back to its home.
func (p *Picker) release(at *pb.RouterStatus, place uint64, o balance.Outcome) {
	if at.Id == p.cfg.Self {
		p.releaseAsOwner(home.SlotID{Router: at.Id, Number: place}, o)
		return
	}
	p.cfg.Members.SendPlacing(at.PeerAddr, &pb.Placing{Place: place, What: &pb.Placing_End{End: &pb.PlaceEnd{Outcome: uint32(o)}}})
}

// Handle takes another router's message, which came from a peer address.
func (p *Picker) Handle(router, addr string, m *pb.Placing) {
	place := home.SlotID{Router: router, Number: m.Place}
	switch what := m.What.(type) {
	case *pb.Placing_Ask:
		answer := p.admit(place, what.Ask)
		p.cfg.Members.SendPlacing(addr, &pb.Placing{Place: m.Place, What: &pb.Placing_Answer{Answer: answer}})
	case *pb.Placing_Answer:
		p.deliver(router, m.Place, what.Answer)
	case *pb.Placing_End:
		outcome := balance.Outcome(what.End.Outcome)
		if target, ok := p.releaseAsOwner(place, outcome); ok {
			p.cfg.Balancer.Observe(target, outcome)
		}
	}
}

// deliver hands a home's answer to the request that waits for it. A late one proves
// that the home is there, too.
func (p *Picker) deliver(router string, place uint64, answer *pb.PlaceAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.owners, router)
	if answers := p.replies[place]; answers != nil {
		delete(p.replies, place)
		answers <- answer
	}
}

// admit answers as the home.
func (p *Picker) admit(place home.SlotID, m *pb.PlaceAsk) *pb.PlaceAnswer {
	open, failing := p.cfg.Balancer.AdmissionTargets(balance.Request{Service: m.Service, Exclude: m.Exclude})
	if len(open) == 0 {
		return &pb.PlaceAnswer{Unknown: true}
	}
	ask := home.Request{
		Service: m.Service,
		Goal:    time.Duration(m.GoalMs) * time.Millisecond,
		Overdue: m.Overdue,
		TTL:     time.Duration(m.LifeMs) * time.Millisecond,
	}
	p.admitterMu.Lock()
	defer p.admitterMu.Unlock()
	now := time.Now()
	target, ok := p.admitter.Admit(now, place, ask, open)
	if !ok {
		// Half a chance is better for the caller than a refusal.
		target, ok = p.admitter.Admit(now, place, ask, failing)
	}
	return &pb.PlaceAnswer{Target: target, Full: !ok}
}

// releaseAsOwner gives back a place as the home. It returns the place's target; false if the
// place is not known.
func (p *Picker) releaseAsOwner(place home.SlotID, o balance.Outcome) (target uint32, ok bool) {
	ending := home.Unused
	switch o {
	case balance.Served:
		ending = home.Served
	case balance.Unreachable, balance.Failed:
		ending = home.Failed
	}
	p.admitterMu.Lock()
	defer p.admitterMu.Unlock()
	return p.admitter.Release(time.Now(), place, ending)
}
