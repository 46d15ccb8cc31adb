package quarantine

import "time"

// EventKind is a kind of decision on a part.
type EventKind string

// Kinds of events.
const (
	// Held: this router decided to hold the part.
	Held EventKind = "this router holds back a part of prompts"
	// Learned: another router's hold came into force here.
	Learned EventKind = "another router's hold on a part of prompts is in force here"
	// Renewed: a probe crashed an engine.
	Renewed EventKind = "a probe ended an engine; the part of prompts stays held back"
	// Probed: a request was let through after the hold had expired.
	Probed EventKind = "a request probes a part of prompts whose hold has expired"
	// LiftedByAnswer: a request with the part was answered, here or at another router.
	LiftedByAnswer EventKind = "an answer lifts the hold on a part of prompts"
	// LiftedByOperator: an operator lifted the hold, here or at another router.
	LiftedByOperator EventKind = "an operator lifts the hold on a part of prompts"
)

// Event is a decision on a part, for logs and metrics.
type Event struct {
	Kind EventKind
	Hold *Hold
}

// maxEvents bounds the events that wait to be drained.
const maxEvents = 256

func (d *Detector) addEvent(now time.Time, kind EventKind, r *record) {
	if len(d.events) < maxEvents {
		d.events = append(d.events, Event{Kind: kind, Hold: r.describe(now)})
	}
}

// DrainEvents returns the events since the last call.
func (d *Detector) DrainEvents() []Event {
	events := d.events
	d.events = nil
	return events
}
