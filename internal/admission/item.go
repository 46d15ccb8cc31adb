package admission

import "time"

const (
	// AgingStep is the wait that raises a request by one priority class.
	AgingStep = 5 * time.Second
	// classes is the number of priority classes.
	classes = 3
)

// Item is one waiting request.
type Item struct {
	ID       uint64
	Customer string
	// Weight is the customer's share by contract; below one counts as one.
	Weight uint32
	// Class is the priority class, zero the most urgent.
	Class int
	// Lane groups requests that the same targets can serve; if one of them
	// can't be admitted now, none of its customer's in this lane can.
	Lane string
	// Cost is the expected service in tokens; below one counts as one.
	Cost float64
	// Enqueued is when the request began to wait.
	Enqueued time.Time
	// GiveUp is when it is refused if it still waits.
	GiveUp time.Time
}

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) cost() float64 { return max(it.Cost, 1) }

func (it *Item) class() int { return min(max(it.Class, 0), classes-1) }

// rank is the item's class after aging; it falls without limit, so that every
// item comes first in the end.
func (it *Item) rank(now time.Time) int {
	return it.class() - int(now.Sub(it.Enqueued)/AgingStep)
}
