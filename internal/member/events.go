package member

import "time"

// viewEvent is a change of a router or target that operators want to see in the log.
type viewEvent struct {
	// id names the router or target, generation its life.
	id         string
	generation uint64
	what       string
	// age is that of the last proof of a target's life; zero if it has no part
	// in the event.
	age time.Duration
}

// Texts of events.
const (
	eventAppeared  = "a router appeared"
	eventSuspected = "a router is suspected"
	eventRefuted   = "a router refuted a suspicion"
	eventDead      = "a router is dead"
	eventLeft      = "a router left"
	eventAccused   = "others took this router for dead or suspected it"

	eventTargetAppeared  = "a target appeared"
	eventTargetLeaves    = "a target leaves"
	eventTargetForgotten = "a target was not heard of and is forgotten"
	eventTargetLapsed    = "a target's lease ended: it is not listed until it is heard of again"
	eventTargetRenewed   = "a target is heard of again and listed"
)

// note records an event for the log.
func (c *core) note(e *routerEntry, what string) {
	c.events = append(c.events, viewEvent{id: e.status.Id, generation: e.generation, what: what})
}

// noteTarget records an event of a target for the log.
func (c *core) noteTarget(id string, incarnation uint64, what string) {
	c.events = append(c.events, viewEvent{id: id, generation: incarnation, what: what})
}

// takeEvents returns the events since the last call.
func (c *core) takeEvents() []viewEvent {
	events := c.events
	c.events = nil
	return events
}

// noteProof records an event of a target with the age of its last proof of life.
func (c *core) noteProof(now time.Time, e *targetEntry, what string) {
	c.events = append(c.events, viewEvent{
		id:         e.status.Id,
		generation: e.status.Incarnation,
		what:       what,
		age:        now.Sub(e.fresh),
	})
}
