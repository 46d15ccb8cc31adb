package pool

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// target is a target with what the pool keeps of it.
type target struct {
	Target
	hash placement.EngineHash
	// joinedAt is when the target was first seen after the pool started; zero
	// for those that were there from the start.
	joinedAt time.Time
	// absentSince is when the target vanished; zero while it is present.
	absentSince time.Time
	// granted counts the places held by requests that this pool admitted.
	granted int
}

func (t *target) acceptsWork() bool { return t.absentSince.IsZero() && !t.Closed }

func (t *target) inFlight() int { return t.granted + t.External }

// SetTargets replaces the known targets. One that vanished is remembered for
// a while, so that it keeps its chats and its place if it was only flapping.
func (p *Pool) SetTargets(now time.Time, targets []Target) {
	first := len(p.targets) == 0
	present := make(map[string]bool, len(targets))
	for _, update := range targets {
		present[update.ID] = true
		p.setTarget(now, update, first)
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
			p.feeds.RemoveEngine(id)
		}
	}
	p.rebuildLanes()
}

func (p *Pool) setTarget(now time.Time, update Target, first bool) {
	if update.Capacity <= 0 {
		update.Capacity = DefaultCapacity
	}
	t, ok := p.targets[update.ID]
	if !ok {
		t = &target{hash: placement.HashEngine(update.ID)}
		if !first {
			t.joinedAt = now
		}
		p.targets[update.ID] = t
	}
	if ok && update.Incarnation < t.Incarnation {
		// A late word of an earlier incarnation.
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

// engines returns the lane's targets as candidates. A target that the request
// excludes counts in the mean but can't be chosen; reserve is the share of
// each capacity, in thousandths, that the request must leave free.
func (p *Pool) engines(l *lane, exclude []string, reserve int) []placement.Engine {
	p.scratch = p.scratch[:0]
	for _, t := range l.targets {
		p.scratch = append(p.scratch, placement.Engine{
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
	return p.scratch
}
