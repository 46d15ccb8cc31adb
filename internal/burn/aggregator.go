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
	// callTimeout is the time limit of the call to one router.
	callTimeout = 3 * time.Second
	// maxRecordedRouters is the maximum number of routers for which the Aggregator
	// records when they were last alive.
	maxRecordedRouters = 4096
	// recordInterval is the time between two recordings of the live routers.
	recordInterval = 10 * time.Second
)

// PeerClient makes calls to other instances. It is implemented by
// transport.Pool.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Aggregator builds reports from the counts of all routers.
type Aggregator struct {
	view       fleet.View
	client     PeerClient
	objectives func(customer string) *pb.Objectives

	mu sync.Mutex
	// lastSeen holds, by router id, when a router was last in the view.
	lastSeen map[string]time.Time
}

// NewAggregator returns an aggregator. The function objectives returns the
// objectives of a customer, or nil for a customer without a contract.
func NewAggregator(view fleet.View, client PeerClient, objectives func(customer string) *pb.Objectives) *Aggregator {
	return &Aggregator{view: view, client: client, objectives: objectives, lastSeen: make(map[string]time.Time)}
}

// Run records which routers are alive until ctx ends. A report can then name the
// routers that left or failed within its windows.
func (a *Aggregator) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		a.recordRouters()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordRouters records the routers that are alive now. It removes routers that
// were last alive before the start of the longest window.
func (a *Aggregator) recordRouters() {
	routers := a.view.Routers()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range routers {
		if _, known := a.lastSeen[r.Id]; known || len(a.lastSeen) < maxRecordedRouters {
			a.lastSeen[r.Id] = time.Now()
		}
	}
	longestWindow := Windows[len(Windows)-1]
	for id, at := range a.lastSeen {
		if time.Since(at) > longestWindow {
			delete(a.lastSeen, id)
		}
	}
}

// Collect requests the counts of one customer from all routers and merges them. An
// empty customer means all customers. The notes of the report name the routers
// that did not reply.
func (a *Aggregator) Collect(ctx context.Context, customer string) *Report {
	a.recordRouters()
	routers := a.view.Routers()
	replies := make([]*pb.BurnReply, len(routers))
	callErrs := make([]error, len(routers))
	fleet.ForEach(routers, func(i int, r *pb.RouterStatus) {
		replies[i], callErrs[i] = a.request(ctx, r, customer)
	})
	return a.buildReport(routers, replies, callErrs)
}

func (a *Aggregator) request(ctx context.Context, r *pb.RouterStatus, customer string) (*pb.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.BurnReply{}
	err := a.client.Call(ctx, r.PeerAddr, Method, &pb.BurnRequest{Customer: customer}, reply)
	return reply, err
}

// buildReport merges the replies and adds a note for each router without a reply
// and for each router that left or failed within the longest window. The slices
// replies and callErrs have one element for each router.
func (a *Aggregator) buildReport(routers []*pb.RouterStatus, replies []*pb.BurnReply, errs []error) *Report {
	var replied []*pb.BurnReply
	var notes []string
	alive := make(map[string]bool, len(routers))
	for i, r := range routers {
		alive[r.Id] = true
		if errs[i] != nil {
			notes = append(notes, fmt.Sprintf("router %s did not answer (%v); its requests are not counted", r.Id, errs[i]))
			continue
		}
		replied = append(replied, replies[i])
	}
	report := Build(replied, a.objectives)
	report.Notes = append(report.Notes, notes...)
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, at := range a.lastSeen {
		if !alive[id] {
			report.Notes = append(report.Notes, fmt.Sprintf("router %s was lost %s ago; its requests are not counted", id, time.Since(at).Round(time.Second)))
		}
	}
	return report
}
