package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// The shape of the trace. Two customers are large. Chats return after minutes, hours
// or days, so some return only after the trace has ended.
const (
	customers   = 10
	traceLength = 90 * time.Minute
	// chatHistory is how long before the trace its oldest chats started.
	chatHistory      = 6 * time.Hour
	warmUp           = 30 * time.Minute
	meanTurns        = 6
	evictedChatShare = 0.10
	surgeFactor      = 10
	surgeCustomer    = "customer-3"
	surgeStart       = 50 * time.Minute
	surgeEnd         = 65 * time.Minute
)

var customerShares = [customers]float64{0.25, 0.15, 0.12, 0.10, 0.08, 0.08, 0.07, 0.05, 0.05, 0.05}

// request is one request of the trace and its state in a run.
type request struct {
	arrival      time.Duration
	customer     int
	customerName string
	weight       uint32
	class        int
	chat         placement.Key
	returning    bool
	cost         float64
	runTime      time.Duration
	prefill      time.Duration
	entry        int

	id       uint64
	engine   int
	started  time.Duration
	hit      bool
	running  bool
	done     bool
	refused  bool
	attempts int
	// cancels counts how often the request was removed from an engine.
	cancels int
}

// classShape describes one priority class.
type classShape struct {
	share             float64
	shortest, longest time.Duration
	cost              float64
}

var classShapes = []classShape{
	{share: 0.5, shortest: 500 * time.Millisecond, longest: 2 * time.Second, cost: 400},
	{share: 0.3, shortest: 2 * time.Second, longest: 6 * time.Second, cost: 1200},
	{share: 0.2, shortest: 10 * time.Second, longest: 40 * time.Second, cost: 6000},
}

// newTrace generates requests with a mean rate per second, in order of arrival.
func newTrace(seed uint64, rate float64, routers int, surge bool) []request {
	rng := rand.New(rand.NewPCG(seed, 1))
	var trace []request
	for c := range customers {
		chatRate := rate * customerShares[c] / meanTurns
		trace = appendChats(trace, rng, c, chatRate, -chatHistory, traceLength, routers)
	}
	if surge {
		// A separate random stream, so that the other customers' requests do not
		// change.
		surgeRNG := rand.New(rand.NewPCG(seed, 2))
		extra := rate * customerShares[3] * (surgeFactor - 1)
		trace = appendSurge(trace, surgeRNG, 3, extra, routers)
	}
	slices.SortStableFunc(trace, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	for i := range trace {
		trace[i].id = uint64(i + 1)
	}
	return trace
}

func appendChats(trace []request, rng *rand.Rand, c int, rate float64, from, until time.Duration, routers int) []request {
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return trace
		}
		trace = appendTurns(trace, rng, c, at, until, routers)
	}
}

// appendSurge adds the requests of the surge, each of a separate chat.
func appendSurge(trace []request, rng *rand.Rand, c int, rate float64, routers int) []request {
	for at := surgeStart; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= surgeEnd {
			return trace
		}
		r := newRequest(rng, c, at)
		r.chat = newChat(rng, r.customerName)
		r.entry = rng.IntN(routers)
		trace = append(trace, r)
	}
}

func newChat(rng *rand.Rand, customer string) placement.Key {
	return placement.ChatKey(fmt.Sprint(customer, "/", rng.Uint64()))
}

func newRequest(rng *rand.Rand, c int, at time.Duration) request {
	r := request{
		arrival: at, customer: c, customerName: fmt.Sprint("customer-", c),
		weight: uint32(math.Round(customerShares[c] * 100)),
	}
	randomClass(rng, &r)
	return r
}

func appendTurns(trace []request, rng *rand.Rand, c int, at, until time.Duration, routers int) []request {
	chat := newChat(rng, fmt.Sprint("customer-", c))
	// A chat that is days old, whose prefix no engine has cached any more.
	returning := rng.Float64() < evictedChatShare
	entry := rng.IntN(routers)
	for at < until {
		r := newRequest(rng, c, at)
		r.chat, r.returning, r.entry = chat, returning, entry
		if at >= 0 {
			trace = append(trace, r)
		}
		if rng.Float64() < 1.0/meanTurns {
			return trace
		}
		gap, long := returnDelay(rng)
		at += r.runTime + gap
		if long {
			// Callers cache the entry address for a limited time only.
			entry = rng.IntN(routers)
		}
		returning = true
	}
	return trace
}

func randomClass(rng *rand.Rand, r *request) {
	x := rng.Float64()
	for i, shape := range classShapes {
		if x < shape.share || i == len(classShapes)-1 {
			r.class = i
			r.cost = shape.cost
			r.runTime = shape.shortest + time.Duration(rng.Float64()*float64(shape.longest-shape.shortest))
			r.prefill = time.Duration((0.3 + rng.Float64()) * float64(time.Second))
			return
		}
		x -= shape.share
	}
}

// returnDelay returns a random time until a chat returns; long is set if it exceeds
// ten minutes.
func returnDelay(rng *rand.Rand) (gap time.Duration, long bool) {
	x := rng.Float64()
	lo, hi := time.Minute, 10*time.Minute
	switch {
	case x > 0.9:
		lo, hi = 24*time.Hour, 5*24*time.Hour
	case x > 0.65:
		lo, hi = 10*time.Minute, 3*time.Hour
	}
	log := math.Log(float64(lo)) + rng.Float64()*(math.Log(float64(hi))-math.Log(float64(lo)))
	gap = time.Duration(math.Exp(log))
	return gap, gap > 10*time.Minute
}
