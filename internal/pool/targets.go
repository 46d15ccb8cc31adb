package pool

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// target is the state that the pool keeps for one Target.
type target struct {
	Target
	hash placement.EngineHash
	// joinedAt is when the target first appeared. It is zero if the target was
	// in the pool's first list of targets.
	joinedAt time.Time
	// absentSince is when the target was first missing from the list of targets.
	// It is zero while the target is in the list.
	absentSince time.Time
	// granted is the number of held slots that this pool granted or adopted.
	granted int
}

func (t *target) acceptsWork() bool { return t.absentSince.IsZero() && !t.Closed }

func (t *target) inFlight() int { return t.granted + t.External }

// SetTargets replaces the list of targets. A target that is no longer in the list
// is absent and gets no requests. The pool keeps its state for AbsentTargetTTL and
// as long as requests hold slots there, so that the chats and slots of a target
// that is absent only for a short time are not lost.
func (p *Pool) SetTargets(now time.Time, targets []Target) {
	initial := len(p.targets) == 0
	present := make(map[string]bool, len(targets))
	for _, update := range targets {
		present[update.ID] = true
		p.setTarget(now, update, initial)
	}
	for id, t := range p.targets {
		if present[id] {
			continue
		}
		if t.absentSince.IsZero() {
			t.absentSince = now
		}
		if now.Sub(t.absentSince) >= p.cfg.AbsentTargetTTL && t.granted == 0 {
			delete(p.targets, id)
			p.eventTracker.RemoveEngine(id)
		}
	}
	p.rebuildLanes()
}

func (p *Pool) setTarget(now time.Time, update Target, initial bool) {
	if update.Capacity <= 0 {
		update.Capacity = DefaultCapacity
	}
	t, ok := p.targets[update.ID]
	if !ok {
		t = &target{hash: placement.HashEngine(update.ID)}
		if !initial {
			t.joinedAt = now
		}
		p.targets[update.ID] = t
	}
	if ok && update.Incarnation < t.Incarnation {
		// The update belongs to an earlier incarnation and arrived late.
		return
	}
	t.Target = update
	t.absentSince = time.Time{}
}

func (p *Pool) rebuildLanes() {
	byLane := make(map[string][]*target)
	for _, t := range p.targets {
		if !t.acceptsWork() {
			continue
		}
		for _, name := range Lanes(t.Models, t.Service) {
			byLane[name] = append(byLane[name], t)
		}
	}
	for name, targets := range byLane {
		if p.lanes[name] == nil {
			p.lanes[name] = newLane(name, &p.cfg)
		}
		p.lanes[name].setTargets(targets)
	}
	for name, l := range p.lanes {
		if byLane[name] == nil {
			l.setTargets(nil)
		}
		if l.idle() {
			delete(p.lanes, name)
		}
	}
}

// candidates returns the targets of a lane, engines or services, as candidates for
// placement. An excluded target counts in the mean load but is never selected.
// reserve is the part of each capacity, in thousandths, that the request must
// leave free. The next call overwrites the returned slice.
func (p *Pool) candidates(l *lane, exclude []string, reserve int) []placement.Engine {
	p.engineBuffer = p.engineBuffer[:0]
	for _, t := range l.targets {
		p.engineBuffer = append(p.engineBuffer, placement.Engine{
			ID:          t.ID,
			Hash:        t.hash,
			Incarnation: t.Incarnation,
			InFlight:    t.inFlight(),
			Excess:      t.Excess,
			Capacity:    t.Capacity - (t.Capacity*reserve+999)/1000,
			Blocked:     slices.Contains(exclude, t.ID),
			Joined:      t.joinedAt,
		})
	}
	return p.engineBuffer
}
