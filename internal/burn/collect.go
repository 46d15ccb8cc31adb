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
	// maxRecordedRouters bounds the routers remembered as lost.
	maxRecordedRouters = 4096
	recordInterval     = 10 * time.Second
)

// PeerClient makes calls to other instances; transport.Pool is one.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Aggregator makes reports over the whole fleet.
type Aggregator struct {
	view       fleet.View
	client     PeerClient
	objectives func(customer string) *pb.Objectives

	mu       sync.Mutex
	lastSeen map[string]time.Time
}

// NewAggregator makes a collector.
func NewAggregator(view fleet.View, caller PeerClient, objectives func(customer string) *pb.Objectives) *Aggregator {
	return &Aggregator{view: view, client: caller, objectives: objectives, lastSeen: make(map[string]time.Time)}
}

// Run remembers which routers are alive, so that a report names those that
// were lost within its windows. It returns when ctx ends.
func (c *Aggregator) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		c.recordRouters()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Aggregator) recordRouters() {
	routers := c.view.Routers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range routers {
		if _, known := c.lastSeen[r.Id]; known || len(c.lastSeen) < maxRecordedRouters {
			c.lastSeen[r.Id] = time.Now()
		}
	}
	longest := Windows[len(Windows)-1]
	for id, at := range c.lastSeen {
		if time.Since(at) > longest {
			delete(c.lastSeen, id)
		}
	}
}

// Collect asks all routers and merges their counts. Routers that don't answer
// are named in the report's notes.
func (c *Aggregator) Collect(ctx context.Context, customer string) *Report {
	c.recordRouters()
	routers := c.view.Routers()
	replies := make([]*pb.BurnReply, len(routers))
	failures := make([]error, len(routers))
	fleet.ForEach(routers, func(i int, r *pb.RouterStatus) {
		replies[i], failures[i] = c.request(ctx, r, customer)
	})
	return c.buildReport(routers, replies, failures)
}

func (c *Aggregator) request(ctx context.Context, r *pb.RouterStatus, customer string) (*pb.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.BurnReply{}
	err := c.client.Call(ctx, r.PeerAddr, Method, &pb.BurnRequest{Customer: customer}, reply)
	return reply, err
}

func (c *Aggregator) buildReport(routers []*pb.RouterStatus, replies []*pb.BurnReply, failures []error) *Report {
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
	for id, at := range c.lastSeen {
		if !alive[id] {
			report.Notes = append(report.Notes, fmt.Sprintf("router %s was lost %s ago; its requests are not counted", id, time.Since(at).Round(time.Second)))
		}
	}
	return report
}
