package fairqueue

import "time"

// numClasses is the number of priority classes.
const numClasses = 3

// classWeights divides a customer's service between its classes while requests
// of all classes wait. Every class has a weight above zero, so that requests of
// the lowest class are delayed but never starve.
var classWeights = [numClasses]float64{9, 3, 1}

// Item is one waiting request.
type Item struct {
	ID       uint64
	Customer string
	// Weight is the customer's weight by contract. Values below one count as
	// one.
	Weight uint32
	// Class is the priority class. Zero is the most urgent.
	Class int
	// TargetSet groups requests that the same targets can serve. If one request of
	// a customer in a lane can't be admitted now, the customer's other requests
	// in that lane can't be admitted either.
	TargetSet string
	// Cost is the expected service in tokens. Values below one count as one.
	Cost     float64
	Enqueued time.Time
	// Deadline is when the request is refused if it still waits.
	Deadline time.Time
}

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) cost() float64 { return max(it.Cost, 1) }

func (it *Item) class() int { return min(max(it.Class, 0), numClasses-1) }

// classCost returns the item's cost in the virtual time of its customer.
func (it *Item) classCost() float64 { return it.cost() / classWeights[it.class()] }
