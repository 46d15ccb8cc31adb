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
	// answerTimeout is how long a router waits for a home before it goes by its own
	// view.
	answerTimeout = 25 * time.Millisecond
	// maxMissed is the number of answers in a row that may be missing before the home
	// counts as silent: a small busy machine is late now and then.
	maxMissed = 3
	// maxHomes bounds the homes of which something is known; with more of them, all
	// are learned anew.
	maxHomes = 1024
	// silence is how long a silent home is not asked again.
	silence = time.Second
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
	cfg    Config
	asked  tally.Counter
	silent tally.Counter
	full   tally.Counter

	mu     sync.Mutex
	number uint64
	// answers awaits the home's answer, by place.
	answers map[uint64]chan *pb.PlaceAnswer
	// homes holds what is known of each home, by router.
	homes map[string]*homeState

	homeMu sync.Mutex
	home   *home.Admitter
}

// homeState is how a home answered lately.
type homeState struct {
	// missed counts the answers that were missing since the last one.
	missed int
	// silentUntil is when a silent home may be asked again.
	silentUntil time.Time
}

// New makes a picker.
func New(c Config) *Picker {
	scope := c.Scope.SubScope("place")
	return &Picker{
		cfg:     c,
		asked:   scope.Counter("homes_asked"),
		silent:  scope.Counter("homes_silent"),
		full:    scope.Counter("homes_full"),
		answers: make(map[uint64]chan *pb.PlaceAnswer),
		homes:   make(map[string]*homeState),
		home:    home.New(),
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
	place, answer := p.ask(ctx, at, r)
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
		p.end(at, place, balance.Abandoned)
		return p.cfg.Balancer.Pick(r)
	}
	return p.ending(chosen, at, place), nil
}

// ending has the home told of the request's end.
func (p *Picker) ending(c balance.Choice, at *pb.RouterStatus, place uint64) balance.Choice {
	var once sync.Once
	done := c.Done
	c.Done = func(o balance.Outcome) {
		done(o)
		once.Do(func() { p.end(at, place, o) })
	}
	return c
}

// ask returns the home's answer, nil without one in time.
func (p *Picker) ask(ctx context.Context, at *pb.RouterStatus, r balance.Request) (place uint64, answer *pb.PlaceAnswer) {
	message := &pb.PlaceAsk{
		Service: r.Service,
		GoalMs:  uint32(r.Goal.Milliseconds()),
		LifeMs:  uint32(max(0, r.MaxDuration.Milliseconds())),
		Overdue: r.Overdue,
		Exclude: r.Exclude,
	}
	place, answers, ok := p.open(at)
	if !ok {
		return 0, nil
	}
	defer p.close(place)
	p.asked.Inc(1)
	if at.Id == p.cfg.Self {
		return place, p.admit(home.SlotID{Router: at.Id, Number: place}, message)
	}
	p.cfg.Members.SendPlacing(at.PeerAddr, &pb.Placing{Place: place, What: &pb.Placing_Ask{Ask: message}})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return place, answer
	case <-ctx.Done():
	case <-timer.C:
		p.noteMissed(at)
	}
	// The place may have been given.
	p.end(at, place, balance.Abandoned)
	return place, nil
}

// open numbers a place; false if the home was silent lately.
func (p *Picker) open(at *pb.RouterStatus) (place uint64, answers chan *pb.PlaceAnswer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.homes[at.Id]; s != nil && time.Now().Before(s.silentUntil) {
		return 0, nil, false
	}
	p.number++
	answers = make(chan *pb.PlaceAnswer, 1)
	p.answers[p.number] = answers
	return p.number, answers, true
}

func (p *Picker) close(place uint64) {
	p.mu.Lock()
	delete(p.answers, place)
	p.mu.Unlock()
}

// noteMissed counts an answer that is missing. A home that misses maxMissed in a row
// isn't asked for a while, and once more then.
func (p *Picker) noteMissed(at *pb.RouterStatus) {
	p.silent.Inc(1)
	p.mu.Lock()
	s := p.homes[at.Id]
	if s == nil {
		if len(p.homes) >= maxHomes {
			clear(p.homes)
		}
		s = &homeState{}
		p.homes[at.Id] = s
	}
	s.missed++
	silent, first := s.missed >= maxMissed, s.missed == maxMissed
	if silent {
		s.silentUntil = time.Now().Add(silence)
	}
	p.mu.Unlock()
	if first {
		p.cfg.Logger.Warn().Str("step", step).Str("peer", at.Id).Int("missed", maxMissed).Dur("for_ms", silence).
			Msg("the home of a service did not answer and is not asked for a while")
	}
}

// end gives a place back to its home.
func (p *Picker) end(at *pb.RouterStatus, place uint64, o balance.Outcome) {
	if at.Id == p.cfg.Self {
		p.ended(home.SlotID{Router: at.Id, Number: place}, o)
		return
	}
	p.cfg.Members.SendPlacing(at.PeerAddr, &pb.Placing{Place: place, What: &pb.Placing_End{End: &pb.PlaceEnd{Outcome: uint32(o)}}})
}

// Take takes another router's message, which came from a peer address.
func (p *Picker) Take(router, addr string, m *pb.Placing) {
	place := home.SlotID{Router: router, Number: m.Place}
	switch what := m.What.(type) {
	case *pb.Placing_Ask:
		answer := p.admit(place, what.Ask)
		p.cfg.Members.SendPlacing(addr, &pb.Placing{Place: m.Place, What: &pb.Placing_Answer{Answer: answer}})
	case *pb.Placing_Answer:
		p.answered(router, m.Place, what.Answer)
	case *pb.Placing_End:
		outcome := balance.Outcome(what.End.Outcome)
		if target, ok := p.ended(place, outcome); ok {
			p.cfg.Balancer.Observe(target, outcome)
		}
	}
}

// answered hands a home's answer to the request that waits for it. A late one proves
// that the home is there, too.
func (p *Picker) answered(router string, place uint64, answer *pb.PlaceAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.homes, router)
	if answers := p.answers[place]; answers != nil {
		delete(p.answers, place)
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
	p.homeMu.Lock()
	defer p.homeMu.Unlock()
	now := time.Now()
	target, ok := p.home.Admit(now, place, ask, open)
	if !ok {
		// Half a chance is better for the caller than a refusal.
		target, ok = p.home.Admit(now, place, ask, failing)
	}
	return &pb.PlaceAnswer{Target: target, Full: !ok}
}

// ended gives back a place as the home. It returns the place's target; false if the
// place is not known.
func (p *Picker) ended(place home.SlotID, o balance.Outcome) (target uint32, ok bool) {
	ending := home.Unused
	switch o {
	case balance.Served:
		ending = home.Served
	case balance.Unreachable, balance.Failed:
		ending = home.Failed
	}
	p.homeMu.Lock()
	defer p.homeMu.Unlock()
	return p.home.Release(time.Now(), place, ending)
}
