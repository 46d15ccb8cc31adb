package burn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// callTimeout bounds the wait for one router.
	callTimeout = 3 * time.Second
	// maxSeenRouters bounds the routers remembered as lost.
	maxSeenRouters = 4096
	seenInterval   = 10 * time.Second
)

// Caller makes calls to other instances; transport.Pool is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Collector makes reports over the whole fleet.
type Collector struct {
	view       fleet.View
	caller     Caller
	objectives func(customer string) *pb.Objectives

	mu   sync.Mutex
	seen map[string]time.Time
}

// NewCollector makes a collector.
func NewCollector(view fleet.View, caller Caller, objectives func(customer string) *pb.Objectives) *Collector {
	return &Collector{view: view, caller: caller, objectives: objectives, seen: make(map[string]time.Time)}
}

// Run remembers which routers are alive, so that a report names those that
// were lost within its windows. It returns when ctx ends.
func (c *Collector) Run(ctx context.Context) {
	ticker := time.NewTicker(seenInterval)
	defer ticker.Stop()
	for {
		c.look()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Collector) look() {
	routers := c.view.Routers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range routers {
		if _, known := c.seen[r.Id]; known || len(c.seen) < maxSeenRouters {
			c.seen[r.Id] = time.Now()
		}
	}
	longest := Windows[len(Windows)-1]
	for id, at := range c.seen {
		if time.Since(at) > longest {
			delete(c.seen, id)
		}
	}
}

// Collect asks all routers and merges their counts. Routers that don't answer
// are named in the report's notes.
func (c *Collector) Collect(ctx context.Context, customer string) *Report {
	c.look()
	routers := c.view.Routers()
	replies := make([]*pb.BurnReply, len(routers))
	failures := make([]error, len(routers))
	fleet.ForEach(routers, func(i int, r *pb.RouterStatus) {
		replies[i], failures[i] = c.ask(ctx, r, customer)
	})
	return c.merge(routers, replies, failures)
}

func (c *Collector) ask(ctx context.Context, r *pb.RouterStatus, customer string) (*pb.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.BurnReply{}
	err := c.caller.Call(ctx, r.PeerAddr, Method, &pb.BurnRequest{Customer: customer}, reply)
	return reply, err
}

func (c *Collector) merge(routers []*pb.RouterStatus, replies []*pb.BurnReply, failures []error) *Report {
	var answered []*pb.BurnReply
	var notes []string
	alive := make(map[string]bool, len(routers))
	for i, r := range routers {
		alive[r.Id] = true
		if failures[i] != nil {
			notes = append(notes, fmt.Sprintf("router %s did not answer (%v); its requests are not counted", r.Id, failures[i]))
			continue
		}
		answered = append(answered, replies[i])
	}
	report := Build(answered, c.objectives)
	report.Notes = append(report.Notes, notes...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.seen {
		if !alive[id] {
			report.Notes = append(report.Notes, fmt.Sprintf("router %s was lost %s ago; its requests are not counted", id, time.Since(at).Round(time.Second)))
		}
	}
	return report
}
