package burn

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var objectives = &pb.Objectives{FirstTokenMs: 460, FirstTokenShare: 0.95, AnsweredShare: 0.99, NotRefusedShare: 0.9}

func objectivesOf(customer string) *pb.Objectives {
	if customer == "gone" {
		return nil
	}
	return objectives
}

func chat(first time.Duration) *filter.Record {
	return &filter.Record{Customer: "a", Model: "m", Status: 200, Complete: true, FirstToken: first, Target: "e1"}
}

// The expected values are computed by hand. Two hours ago: 100 chats, all good.
// In the last minutes, at router 1: 90 good chats, 10 with a first token after
// 500 ms, 5 cut off; at router 2: 20 good chats and 5 refused.
func TestBurnWorkedOutByHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r1, r2 := NewRecorder("r1", objectivesOf), NewRecorder("r2", objectivesOf)
		observe := func(r *Recorder, n int, rec *filter.Record) {
			for range n {
				r.Observe(rec)
			}
		}
		observe(r1, 100, chat(100*time.Millisecond))
		time.Sleep(2 * time.Hour)
		observe(r1, 90, chat(100*time.Millisecond))
		observe(r1, 10, chat(500*time.Millisecond))
		cut := &filter.Record{Customer: "a", Model: "m", Status: 200, FirstToken: time.Millisecond, Target: "e2", Reasons: []filter.Reason{{Step: "forward"}}}
		observe(r1, 5, cut)
		observe(r2, 20, chat(100*time.Millisecond))
		observe(r2, 5, &filter.Record{Customer: "a", Model: "m", Status: 429, Refused: true, Reasons: []filter.Reason{{Step: "limits"}}})
		observe(r2, 7, &filter.Record{Customer: "a", Model: "m", Status: 400, Refused: true})

		reply1, _ := r1.HandleBurn(t.Context(), &pb.BurnRequest{})
		reply2, _ := r2.HandleBurn(t.Context(), &pb.BurnRequest{Customer: "a"})
		report := Build([]*pb.BurnReply{reply1, reply2}, objectivesOf)
		if len(report.Customers) != 1 {
			t.Fatalf("customers %v", report.Customers)
		}
		c := report.Customers[0]
		check := func(objective, window int, total, bad uint64, burn float64) {
			t.Helper()
			w := c.Objectives[objective].Windows[window]
			if w.Total != total || w.Bad != bad || math.Abs(w.Burn-burn) > 1e-9 {
				t.Errorf("%s over %s: %+v, want %d bad of %d, burn %v", c.Objectives[objective].Name, w.Window, w, bad, total, burn)
			}
		}
		check(0, 0, 125, 10, 10.0/125/0.05)
		check(0, 2, 225, 10, 10.0/225/0.05)
		check(1, 0, 125, 5, 5.0/125/0.01)
		check(2, 1, 130, 5, 5.0/130/0.1)
		if left := c.Objectives[1].BudgetLeft; math.Abs(left-(1-5.0/225/0.01)) > 1e-9 {
			t.Errorf("budget left %v", left)
		}
		want := CulpritReport{Step: "", Target: "e1", Bad: 10}
		if len(c.Culprits) != 3 || c.Culprits[0] != want {
			t.Errorf("culprits %v", c.Culprits)
		}
	})
}

type fakeView struct{ routers []*pb.RouterStatus }

func (v *fakeView) Self() *pb.RouterStatus         { return v.routers[0] }
func (v *fakeView) Routers() []*pb.RouterStatus    { return v.routers }
func (v *fakeView) Targets() []*pb.TargetStatus    { return nil }
func (v *fakeView) Target(string) *pb.TargetStatus { return nil }

type fakeClient map[string]*Recorder

func (f fakeClient) Call(ctx context.Context, addr, _ string, req, resp proto.Message) error {
	r, ok := f[addr]
	if !ok {
		return errors.New("connection refused")
	}
	reply, err := r.HandleBurn(ctx, req.(*pb.BurnRequest))
	proto.Merge(resp, reply)
	return err
}

func TestCollectNamesLostRouters(t *testing.T) {
	r1 := NewRecorder("r1", objectivesOf)
	r1.Observe(chat(time.Millisecond))
	view := &fakeView{routers: []*pb.RouterStatus{{Id: "r1", PeerAddr: "1"}, {Id: "r2", PeerAddr: "2"}, {Id: "r3", PeerAddr: "3"}}}
	a := NewAggregator(view, fakeClient{"1": r1}, objectivesOf)
	a.recordRouters()
	view.routers = view.routers[:2]
	report := a.Collect(t.Context(), "")
	notes := strings.Join(report.Notes, "\n")
	if !strings.Contains(notes, "r2 did not answer") || !strings.Contains(notes, "r3 was lost") {
		t.Fatalf("notes:\n%s", notes)
	}
	if len(report.Customers) != 1 || report.Customers[0].Objectives[1].Windows[0].Total != 1 {
		t.Fatalf("customers %+v", report.Customers)
	}
}

func TestCustomersAreBounded(t *testing.T) {
	r := NewRecorder("r1", objectivesOf)
	rec := chat(time.Millisecond)
	for i := range maxCustomers + 10 {
		copied := *rec
		copied.Customer = string(rune('a')) + string(rune(i+0x4000))
		r.Observe(&copied)
	}
	if n := len(r.customers); n != maxCustomers+1 {
		t.Fatalf("%d customers counted", n)
	}
	if got := r.customers[OtherCustomers].window(r.bucketNumber(), Windows[0]).Total; got != 10 {
		t.Fatalf("the shared entry counted %d requests, want 10", got)
	}
}

// BenchmarkMemory reports the heap bytes that a recorder needs per customer.
func BenchmarkMemory(b *testing.B) {
	const customers = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := NewRecorder("r1", objectivesOf)
		for i := range customers {
			rec := *chat(time.Duration(i) * time.Millisecond)
			rec.Customer = fmt.Sprint("customer-", i)
			r.Observe(&rec)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/customers, "B/customer")
		runtime.KeepAlive(r)
	}
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder("r1", objectivesOf)
	rec := chat(100 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(rec)
	}
}

// Requests of routes with a latency objective are measured against it, with or
// without a model. Other requests are measured against the objective of their
// contract.
func TestGoalOfTheRoute(t *testing.T) {
	r := NewRecorder("r1", objectivesOf)
	for _, first := range []time.Duration{100 * time.Millisecond, 140 * time.Millisecond, 300 * time.Millisecond} {
		r.Observe(&filter.Record{Customer: "a", Service: "s", Goal: 150 * time.Millisecond, Status: 200, Complete: true, FirstToken: first})
	}
	r.Observe(&filter.Record{Customer: "a", Service: "s", Goal: 150 * time.Millisecond, Status: 503, Refused: true, FirstToken: time.Millisecond})
	r.Observe(chat(300 * time.Millisecond))
	reply, err := r.HandleBurn(t.Context(), &pb.BurnRequest{})
	if err != nil {
		t.Fatal(err)
	}
	counts := reply.Customers[0].Windows[0]
	if counts.FirstTokens != 4 || counts.FirstTokensMet != 3 {
		t.Errorf("%d of %d first tokens met their objective, want 3 of 4", counts.FirstTokensMet, counts.FirstTokens)
	}
}
