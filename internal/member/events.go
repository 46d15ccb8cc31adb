package member

import "time"

// viewEvent is a change of a router or target that is logged for operators.
type viewEvent struct {
	// id names the router or target; generation is the router's generation or the
	// target's incarnation.
	id         string
	generation uint64
	text       string
	// age is the time since the target's last proof of life; zero if it is irrelevant
	// to the event.
	age time.Duration
}

// Event texts as they appear in the log.
const (
	eventAppeared      = "a router appeared"
	eventSuspected     = "a router is suspected"
	eventRefuted       = "a router refuted a suspicion"
	eventDead          = "a router is dead"
	eventLeft          = "a router left"
	eventSelfSuspected = "other routers suspected this router or declared it dead"

	eventTargetAppeared = "a target appeared"
	eventTargetLeaves   = "a target leaves"
	eventTargetRemoved  = "a target was not heard of and is forgotten"
	eventTargetExpired  = "a target's lease ended: it is not listed until it is heard of again"
	eventTargetCold     = "a target is cold"
	eventTargetWarm     = "a target is warm"
	eventTargetRenewed  = "a target is heard of again and listed"
)

// recordRouterEvent records an event of a router for the log.
func (c *core) recordRouterEvent(e *routerEntry, text string) {
	c.events = append(c.events, viewEvent{id: e.status.Id, generation: e.generation, text: text})
}

// recordTargetEvent records an event of a target for the log.
func (c *core) recordTargetEvent(id string, incarnation uint64, text string) {
	c.events = append(c.events, viewEvent{id: id, generation: incarnation, text: text})
}

// drainEvents returns the events since the last call.
func (c *core) drainEvents() []viewEvent {
	events := c.events
	c.events = nil
	return events
}

// recordLeaseEvent records an event of a target with the age of its last proof of life.
func (c *core) recordLeaseEvent(now time.Time, e *targetEntry, text string) {
	c.events = append(c.events, viewEvent{
		id:         e.status.Id,
		generation: e.status.Incarnation,
		text:       text,
		age:        now.Sub(e.lastProof),
	})
}
