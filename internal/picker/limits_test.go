package picker

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

// nameLimit lets every router see the limit in an answer of the targets.
func (n *network) nameLimit(l permits.Limit, targets ...int) {
	for _, p := range n.pickers {
		for _, i := range targets {
			p.ObserveLimit(n.targets[i], "req", l)
		}
	}
}

func promptRequest(i int) balance.Request {
	return balance.Request{Service: "portal", Key: fmt.Sprint("prompt-", i), Slots: 64, TimeLeft: 10 * time.Second}
}

// TestLimitedTargetsAreRefusedAtOnce checks what callers get while all targets are at the limits
// that they name: an error that tells when the first takes a request again, without a wait.
func TestLimitedTargetsAreRefusedAtOnce(t *testing.T) {
	n := newNetwork(6, 3)
	n.nameLimit(permits.Limit{Named: true, PerSecond: 0.5}, 0, 1, 2)
	began := time.Now()
	for i := range 60 {
		c, err := n.pick(i%6, promptRequest(i))
		limited := (*balance.LimitedError)(nil)
		if !errors.As(err, &limited) || limited.RetryAfter <= 0 || limited.RetryAfter > 2*time.Second {
			t.Fatalf("request %d: %+v, %v, want an error with the time until a target takes a request", i, c, err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("60 refusals took %v", took)
	}
}

// TestOtherTargetsTakeTheWork checks that no request is refused while a target without a limit
// is left, and that the end of a limit is noticed.
func TestOtherTargetsTakeTheWork(t *testing.T) {
	n := newNetwork(6, 3)
	n.nameLimit(permits.Limit{Named: true, PerSecond: 0.5}, 0, 1)
	for i := range 60 {
		c, err := n.pick(i%6, promptRequest(i))
		if err != nil {
			t.Fatal(err)
		}
		if c.Target.Id != "t2" {
			t.Errorf("request %d went to %s without a permit", i, c.Target.Id)
		}
		c.Done(balance.Served)
	}
	n.nameLimit(permits.Limit{}, 0, 1)
	got := make(map[string]int)
	for i := range 60 {
		c, err := n.pick(i%6, promptRequest(i))
		if err != nil {
			t.Fatal(err)
		}
		got[c.Target.Id]++
		c.Done(balance.Served)
	}
	if len(got) != 3 {
		t.Errorf("after the limits ended the requests went to %v", got)
	}
}

// TestSilentOwnerGivesNoPermit checks that a limited target gets nothing from a router that its
// owner does not answer, and that its other targets still do.
func TestSilentOwnerGivesNoPermit(t *testing.T) {
	n := newNetwork(2, 2)
	n.nameLimit(permits.Limit{Named: true, PerSecond: 1000}, 0)
	owner := n.pickers["r0"].targetOwner(n.targets[0])
	asker := 0
	if owner.Id == "r0" {
		asker = 1
	}
	time.Sleep(50 * time.Millisecond)
	n.mu.Lock()
	n.dead[owner.PeerAddr] = true
	n.mu.Unlock()
	for i := range 40 {
		c, err := n.pick(asker, promptRequest(i))
		if err != nil || c.Target.Id != "t1" {
			t.Fatalf("request %d: %v, %v, want the target without a limit", i, c.Target, err)
		}
		c.Done(balance.Served)
	}
}

// TestOwnerOfAnotherBuild checks that messages of builds that know no permits, and fields that
// are no limits, do no harm.
func TestOwnerOfAnotherBuild(t *testing.T) {
	n := newNetwork(2, 1)
	p := n.pickers["r0"]
	p.Handle("r1", "r1", &pb.Placing{Place: 1})
	p.Handle("r1", "r1", &pb.Placing{Place: 1, What: &pb.Placing_LimitReport{LimitReport: &pb.LimitReport{Target: 5}}})
	p.Handle("r1", "r1", &pb.Placing{Place: 1, What: &pb.Placing_PermitAsk{PermitAsk: &pb.PermitAsk{Seen: &pb.SeenLimit{PerSecond: new(-3.0)}}}})
	p.Handle("r1", "r1", &pb.Placing{Place: 99, What: &pb.Placing_PermitAnswer{PermitAnswer: &pb.PermitAnswer{Granted: true}}})
	if limits := p.knownLimits(); len(limits) > 0 {
		t.Errorf("limits %v are known", limits)
	}
	if _, err := p.Pick(context.Background(), request); err != nil {
		t.Error(err)
	}
}

// TestManyLimitedTargetsBesideOne checks that a request reaches the one target without a limit,
// however many limited targets rank higher, and that the permits it asks for are few.
func TestManyLimitedTargetsBesideOne(t *testing.T) {
	const limited = 30
	n := newNetwork(3, limited+1)
	n.nameLimit(permits.Limit{Named: true, PerSecond: 0.25}, upTo(limited)...)
	time.Sleep(50 * time.Millisecond)
	n.mu.Lock()
	n.sent = 0
	n.mu.Unlock()
	c, err := n.pick(0, promptRequest(1))
	if err != nil || c.Target.Id != fmt.Sprint("t", limited) {
		t.Fatalf("%v, %v, want the target without a limit", c.Target, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent > 2*maxPermitAsks {
		t.Errorf("%d messages for one request, want at most %d requests for permits and their answers", n.sent, maxPermitAsks)
	}
}

func upTo(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}
