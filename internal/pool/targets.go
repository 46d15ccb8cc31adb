package pool

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// target is a target with the state that the pool keeps for it.
type target struct {
	Target
	hash placement.EngineHash
	// joinedAt is when the target first appeared; zero if it was in the pool's
	// first list of targets.
	joinedAt time.Time
	// absentSince is when the target disappeared; zero while it is present.
	absentSince time.Time
	// granted counts the slots that this pool granted or adopted and that
	// requests still hold.
	granted int
}

func (t *target) acceptsWork() bool { return t.absentSince.IsZero() && !t.Closed }

func (t *target) inFlight() int { return t.granted + t.External }

// SetTargets replaces the targets of the pool. The state of a target that
// disappeared is kept for AbsentTargetTTL and for as long as requests hold slots
// there, so that a flapping target keeps its chats and its slots.
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
		// A delayed update of an earlier incarnation.
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

// engines returns the lane's targets as candidates for placement. A target that
// the request excludes counts in the mean load but is never selected. reserve is
// the part of each capacity, in thousandths, that the request must leave free.
// The returned slice is reused by the next call.
func (p *Pool) engines(l *lane, exclude []string, reserve int) []placement.Engine {
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
