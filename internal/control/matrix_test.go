package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/configlease"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// matrixFaultDuration is how long a fault lasts.
	matrixFaultDuration = 3 * time.Second
	// matrixElection is how long the other replicas take to elect a reachable
	// leader.
	matrixElection = 1 * time.Second
	// matrixBound is the time within which an operator must have the final
	// result. It covers the fault, the leases that an earlier leader granted, and
	// the retries.
	matrixBound = matrixFaultDuration + 2*DefaultLease + 2*time.Second
)

// replaceLeader isolates the leader and has another replica elected after
// matrixElection. The returned function ends the isolation.
func replaceLeader(f *memFleet) (end func()) {
	f.setCut("a", true)
	time.AfterFunc(matrixElection, func() { f.elect("b") })
	return func() { f.setCut("a", false) }
}

// matrixFaults are the faults of the leading replica, a. Faults of its disk (lost
// unsynced writes, lost disk, torn tail, failed sync, full disk) can't occur at
// these steps: none of the steps writes, and the commit before them is a step of
// the fault matrix in internal/replica.
var matrixFaults = map[string]func(f *memFleet) (end func()){
	"kill": func(f *memFleet) func() {
		endIsolation := replaceLeader(f)
		f.net.setDown("a", true)
		return func() {
			f.net.setDown("a", false)
			endIsolation()
		}
	},
	"freeze and thaw": func(f *memFleet) func() {
		f.net.freeze("a", time.Now().Add(matrixFaultDuration))
		return replaceLeader(f)
	},
	"two-way cut": func(f *memFleet) func() {
		endIsolation := replaceLeader(f)
		f.cutLeader(true, true)
		return func() {
			f.net.heal()
			endIsolation()
		}
	},
	"one-way cut, incoming": func(f *memFleet) func() {
		endIsolation := replaceLeader(f)
		f.cutLeader(true, false)
		return func() {
			f.net.heal()
			endIsolation()
		}
	},
	"one-way cut, outgoing": func(f *memFleet) func() {
		endIsolation := replaceLeader(f)
		f.cutLeader(false, true)
		return func() {
			f.net.heal()
			endIsolation()
		}
	},
	"cut between callers and leader only": func(f *memFleet) func() {
		for _, caller := range []string{"r1", "r2", "op"} {
			f.net.setCut("a", caller, true)
		}
		return f.net.heal
	},
	"messages late": func(f *memFleet) func() {
		for _, caller := range []string{"r1", "r2", "op"} {
			f.net.setDelay("a", caller, 800*time.Millisecond)
		}
		return f.net.heal
	},
	"messages doubled": func(f *memFleet) func() {
		f.net.setDuplicate(true)
		return func() { f.net.setDuplicate(false) }
	},
	"messages reordered": func(f *memFleet) func() {
		// The paths from op and r1 are slow, so that messages that were sent
		// earlier arrive later than others.
		f.net.setDelay("op", "a", 300*time.Millisecond)
		f.net.setDelay("r1", "a", 300*time.Millisecond)
		return f.net.heal
	},
}

// cutLeader cuts the calls to or from the leader, or both, for all other processes.
func (f *memFleet) cutLeader(incoming, outgoing bool) {
	for _, peer := range []string{"b", "c", "relay", "r1", "r2", "op"} {
		f.net.setCut(peer, "a", incoming)
		f.net.setCut("a", peer, outgoing)
	}
}

// matrixSteps are the methods and moments at which a fault is injected.
var matrixSteps = map[string]step{
	"lease renewal, asked":             {methodLease, beforeHandler},
	"lease renewal, answered":          {methodLease, afterHandler},
	"change, received":                 {methodSubmit, beforeHandler},
	"change, answer to the operator":   {methodSubmit, afterHandler},
	"in force, asked":                  {methodInForce, beforeHandler},
	"in force, answer to the operator": {methodInForce, afterHandler},
	"query, answer to the operator":    {methodQuery, afterHandler},
	"claim, received":                  {"claim", beforeHandler},
	"claim, answer to the router":      {"claim", afterHandler},
}

// TestServiceFaultMatrix injects each fault at each step of the service's calls at
// the leader. Each change must be accepted exactly once and confirmed by InForce.
// After that, no router may hold a lease with an older revision. Once the fault is
// over, all routers must hold leases again.
func TestServiceFaultMatrix(t *testing.T) {
	for stepName, at := range matrixSteps {
		for faultName, fault := range matrixFaults {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCase(t, at, fault) })
			})
		}
	}
}

func runCase(t *testing.T, at step, fault func(*memFleet) func()) {
	f := newMemFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	run := &leaseRun{memFleet: f, lastRevision: map[string]uint64{}}
	var holders []*configlease.Holder
	for _, id := range []string{"r1", "r2"} {
		h := f.startRouter(ctx, &wg, id)
		holders = append(holders, h)
		wg.Go(func() { run.watch(ctx, id, h) })
	}
	time.Sleep(2 * DefaultLease)
	injected := make(chan struct{})
	f.net.injectAt(at, func() {
		end := fault(f)
		time.AfterFunc(matrixFaultDuration, end)
		close(injected)
	})
	run.operate(t)
	select {
	case <-injected:
	default:
		t.Fatal("the fault was not injected")
	}
	time.Sleep(matrixBound)
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.violation != "" {
		t.Fatal(run.violation)
	}
	for i, h := range holders {
		if revision, _, ok := h.Lease(); !ok || revision != 2 {
			t.Fatalf("router %d after the fault: lease %v at revision %d", i+1, ok, revision)
		}
	}
}

// operate makes two changes, one claim and one query, and checks their results.
func (r *leaseRun) operate(t *testing.T) {
	c := r.newClient("op")
	defer c.Close()
	for i := range 2 {
		ch := change(fmt.Sprint("op-", i), "aina", uint64(i))
		result, err := c.Change(within(t, matrixBound), ch)
		if err != nil || result.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED || result.Revision != uint64(i+1) {
			t.Fatalf("change %d: %v, %v", i+1, result, err)
		}
		reply, err := c.InForce(within(t, matrixBound), result.Revision)
		if err != nil || !reply.InForce {
			t.Fatalf("change %d in force: %v, %v", i+1, reply, err)
		}
		r.mu.Lock()
		r.inForce = result.Revision
		r.mu.Unlock()
		again, err := c.Change(within(t, matrixBound), ch)
		if err != nil || !again.Resent || again.Revision != result.Revision || again.Index != result.Index {
			t.Fatalf("change %d sent again: %v, %v", i+1, again, err)
		}
	}
	claim := &pb.Claim{Customer: "harga", Key: "k", Digest: make([]byte, 32), Router: "r1", RouterIncarnation: 1, Attempt: 1}
	granted, err := c.Claim(within(t, matrixBound), claim)
	if err != nil || granted.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		t.Fatalf("claim: %v, %v", granted, err)
	}
	q, err := c.Query(within(t, matrixBound), &pb.QueryRequest{What: pb.QueryRequest_WHAT_CONTRACTS})
	if err != nil || q.Revision != 2 {
		t.Fatalf("query: %v, %v", q, err)
	}
}
