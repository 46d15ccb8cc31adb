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
	// Weight is the customer's weight from its contract. Values below one count
	// as one.
	Weight uint32
	// Class is the priority class. Zero is the most urgent.
	Class int
	// TargetSet identifies the set of targets that can serve the request. If one
	// request of a customer can't be admitted now, the customer's other requests
	// with the same target set can't be admitted either.
	TargetSet string
	// Cost is the expected number of prompt and output tokens. Values below one
	// count as one.
	Cost     float64
	Enqueued time.Time
	// Deadline is the time from which Queue.Expired returns the request.
	Deadline time.Time
}

// weight, cost and class return the fields limited to their valid ranges.

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) cost() float64 { return max(it.Cost, 1) }

func (it *Item) class() int { return min(max(it.Class, 0), numClasses-1) }

// classCost returns the cost divided by the class weight: the time that the item
// takes in the classVirtualTime of its customer.
func (it *Item) classCost() float64 { return it.cost() / classWeights[it.class()] }
