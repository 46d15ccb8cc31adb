package fairqueue

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain sets a fixed seed for the property tests unless a seed is given.
func TestMain(m *testing.M) {
	testseed.Fix(1, 0)
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always(*Item) bool { return true }

func item(id uint64, customer string, weight uint32, class int, cost float64, at time.Time) *Item {
	return &Item{ID: id, Customer: customer, Weight: weight, Class: class, Cost: cost, Enqueued: at, Deadline: at.Add(time.Hour)}
}

// Guards against starvation of a customer while other customers always have
// waiting requests. Until the customer's requests are served, each of the others
// receives at most its weighted share of service, plus two requests of the
// highest cost.
func TestNoCustomerStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 100
		others := rapid.IntRange(1, 5).Draw(t, "others")
		q := NewQueue(100000)
		now := start
		var id uint64
		push := func(customer string, weight uint32) {
			id++
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Push(item(id, customer, weight, rapid.IntRange(0, 2).Draw(t, "class"), cost, now))
		}
		weights := make(map[string]uint32)
		for i := range others {
			weights[fmt.Sprint("o", i)] = uint32(rapid.IntRange(1, 5).Draw(t, "weight"))
		}
		feed := func() {
			for i := range others {
				c := fmt.Sprint("o", i)
				for q.Waiting(c) < 3 {
					push(c, weights[c])
				}
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			feed()
			q.Take(always)
		}
		weight := uint32(rapid.IntRange(1, 5).Draw(t, "own weight"))
		ahead := rapid.IntRange(0, 3).Draw(t, "ahead")
		for range ahead + 1 {
			push("own", weight)
		}
		served := make(map[string]float64)
		for q.Waiting("own") > 0 {
			feed()
			now = now.Add(time.Second)
			it := q.Take(always)
			if it.Customer == "own" {
				continue
			}
			served[it.Customer] += it.cost()
			limit := float64(ahead)*maxCost*float64(weights[it.Customer])/float64(weight) + 2*maxCost
			if got := served[it.Customer]; got > limit {
				t.Fatalf("%s received %.0f tokens before the customer's %d requests were served, want at most %.0f", it.Customer, got, ahead+1, limit)
			}
		}
	})
}

// Guards against starvation of the lowest class. A request of the lowest class
// (a draft) is served although requests of the most urgent class (checks) of the
// same customer keep arriving. The ratio of the class weights bounds the number
// of checks of the same cost that are served before the draft.
// In the test's name, arrives means is served.
func TestLowestClassArrives(t *testing.T) {
	q := NewQueue(100)
	q.Push(item(1, "c", 1, 2, 1, start))
	most := int(classWeights[0] / classWeights[2])
	for n := range most + 1 {
		q.Push(item(uint64(n+2), "c", 1, 0, 1, start))
		if it := q.Take(always); it.ID != 1 {
			continue
		}
		if n < most-1 {
			t.Fatalf("the draft was served after only %d checks", n)
		}
		return
	}
	t.Fatalf("the draft was not served after %d checks", most+1)
}

func TestUrgentClassFirst(t *testing.T) {
	q := NewQueue(10)
	for i, class := range []int{2, 1, 0, 1} {
		q.Push(item(uint64(i), "c", 1, class, 1, start))
	}
	for _, want := range []uint64{2, 1, 3, 0} {
		if it := q.Take(always); it.ID != want {
			t.Fatalf("took %d, want %d", it.ID, want)
		}
	}
}

// A full queue sheds a request of the customer with the largest backlog: the
// newest request of the lowest class.
// In the test's name, the longest is the customer with the largest backlog.
func TestShedsTheLongest(t *testing.T) {
	q := NewQueue(4)
	q.Push(item(1, "surge", 1, 2, 50, start))
	q.Push(item(2, "surge", 1, 2, 50, start))
	q.Push(item(3, "surge", 1, 0, 50, start))
	q.Push(item(4, "quiet", 1, 2, 50, start))
	if shed := q.Push(item(5, "quiet", 1, 0, 50, start)); shed == nil || shed.ID != 2 {
		t.Fatalf("shed %+v", shed)
	}
	if q.Len() != 4 || q.Waiting("quiet") != 2 {
		t.Fatalf("%d requests wait, %d of them of the quiet customer", q.Len(), q.Waiting("quiet"))
	}
}

// Idle time earns a customer no credit: a customer that was idle and a busy one
// of the same weight are served in turn.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	q := NewQueue(100)
	for n := range uint64(50) {
		q.Charge("busy", 1, 100)
		_ = n
	}
	var id uint64
	for range 10 {
		id += 2
		q.Push(item(id, "busy", 1, 0, 100, start))
		q.Push(item(id+1, "idle", 1, 0, 100, start))
	}
	idle := 0
	for range 6 {
		if q.Take(always).Customer == "idle" {
			idle++
		}
	}
	if idle < 3 || idle > 4 {
		t.Fatalf("the idle customer was served %d of 6 times", idle)
	}
}

func TestExpired(t *testing.T) {
	q := NewQueue(10)
	late := item(1, "c", 1, 0, 1, start)
	late.Deadline = start.Add(time.Second)
	q.Push(late)
	q.Push(item(2, "c", 1, 0, 1, start))
	if got := q.Expired(start.Add(time.Second)); len(got) != 1 || got[0].ID != 1 || q.Len() != 1 {
		t.Fatalf("expired %v, %d still wait", got, q.Len())
	}
}
