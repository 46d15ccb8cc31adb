package admission

import "time"

// numClasses is the number of priority classes.
const numClasses = 3

// classWeights divide a customer's service between its classes while all of
// them wait. A lower class always gets its part, so that what may wait arrives.
var classWeights = [numClasses]float64{9, 3, 1}

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
	// Deadline is when it is refused if it still waits.
	Deadline time.Time
}

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) cost() float64 { return max(it.Cost, 1) }

func (it *Item) class() int { return min(max(it.Class, 0), numClasses-1) }

// classCost is the item's service in the virtual time of its customer.
func (it *Item) classCost() float64 { return it.cost() / classWeights[it.class()] }
