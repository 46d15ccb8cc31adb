package limits

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// fakeView is a view whose routers a test can change.
type fakeView struct {
	self    string
	routers atomic.Pointer[[]*pb.RouterStatus]
}

func (v *fakeView) Self() *pb.RouterStatus          { return nil }
func (v *fakeView) Routers() []*pb.RouterStatus     { return *v.routers.Load() }
func (v *fakeView) Targets() []*pb.TargetStatus     { return nil }
func (v *fakeView) Target(string) *pb.TargetStatus  { return nil }
func (v *fakeView) set(routers ...*pb.RouterStatus) { v.routers.Store(&routers) }
func serving(id, addr string) *pb.RouterStatus {
	return &pb.RouterStatus{Id: id, PeerAddr: addr, State: pb.RouterState_ROUTER_STATE_SERVING}
}

func discard() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

func newLimiter(t *testing.T, view *fakeView) (*Limiter, *transport.Server) {
	pool := transport.NewPool("secret", nil, nil)
	server := transport.NewServer("secret", discard())
	l := New(Config{Self: view.self, View: view, Pool: pool, Server: server, Logger: discard()})
	running := make(chan struct{})
	go func() {
		defer close(running)
		l.Run(t.Context())
	}()
	t.Cleanup(func() {
		l.Close()
		<-running
		server.Close()
		pool.Close()
	})
	return l, server
}

func demandUnder(l *pb.Limits) filter.Demand {
	return filter.Demand{Contract: &pb.Contract{Customer: "c", Revision: 1, Limits: l}, PromptTokens: 50, MaxTokens: 50}
}

func TestOneRouterEnforcesTheWholeContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &fakeView{self: "r1"}
		view.set(serving("r1", ""))
		l, _ := newLimiter(t, view)
		d := demandUnder(&pb.Limits{RequestsPerSecond: 10, Concurrency: 4})
		admitted := 0
		for range 600 {
			if release, err := l.Take(t.Context(), d); err == nil {
				admitted++
				release(filter.Usage{Tokens: 10})
			} else if r := (*filter.Refusal)(nil); !errors.As(err, &r) || r.RetryAfter <= 0 {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		// 30 s at 10 requests/s, and the burst of one second.
		if admitted < 270 || admitted > 310 {
			t.Fatalf("admitted %d requests in 30 s at a limit of 10/s", admitted)
		}
	})
}

func TestConcurrencyIsHeldAndGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &fakeView{self: "r1"}
		view.set(serving("r1", ""))
		l, _ := newLimiter(t, view)
		d := demandUnder(&pb.Limits{Concurrency: 3})
		for range 5 {
			var releases []func(filter.Usage)
			for range 8 {
				if release, err := l.Take(t.Context(), d); err == nil {
					releases = append(releases, release)
				}
				time.Sleep(time.Second)
			}
			if len(releases) != 3 {
				t.Fatalf("%d concurrent requests at a limit of 3", len(releases))
			}
			for _, release := range releases {
				release(filter.Usage{})
				release(filter.Usage{})
			}
		}
	})
}

// Three routers that call each other over TCP must enforce one contract together.
// After the owner fails, the others must admit requests under fallback shares.
func TestRoutersShareOneContract(t *testing.T) {
	var views []*fakeView
	var limiters []*Limiter
	var routers []*pb.RouterStatus
	var servers []*transport.Server
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprint("r", i)
		view := &fakeView{self: id}
		view.set()
		l, server := newLimiter(t, view)
		go func() { _ = server.Serve(listener) }()
		routers = append(routers, serving(id, listener.Addr().String()))
		views, limiters, servers = append(views, view), append(limiters, l), append(servers, server)
	}
	for _, v := range views {
		v.set(routers...)
	}
	d := demandUnder(&pb.Limits{Concurrency: 6})
	if held := acquireAll(t, limiters, d); held > 6 || held < 4 {
		t.Fatalf("%d concurrent requests at a limit of 6", held)
	}
	owner, _ := limiters[0].owner("c")
	for i, r := range routers {
		if r.Id == owner {
			servers[i].Close()
		}
	}
	d.Contract = &pb.Contract{Customer: "other", Revision: 1, Limits: &pb.Limits{Concurrency: 6}}
	if held := acquireAll(t, limiters, d); held == 0 {
		t.Fatal("no request was admitted while the owner was unreachable")
	}
}

// acquireAll sends 10 requests to each limiter, all limiters concurrently, and
// returns how many were admitted. The requests do not end.
func acquireAll(t *testing.T, limiters []*Limiter, d filter.Demand) int {
	var held atomic.Int32
	var wg sync.WaitGroup
	for _, l := range limiters {
		wg.Go(func() {
			for range 10 {
				if _, err := l.Take(t.Context(), d); err == nil {
					held.Add(1)
				}
				time.Sleep(minShareRequestInterval / 2)
			}
		})
	}
	wg.Wait()
	return int(held.Load())
}

// A router that makes the maximum number of renewals must stay within its traffic
// budget of 4 KB/s.
// The router with the id "home" is the owner, "entry" the one that renews its share.
func TestRenewalBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const token = "0123456789abcdef0123456789abcdef"
	server := transport.NewServer(token, discard())
	ownerView := &fakeView{self: "home"}
	New(Config{Self: "home", View: ownerView, Server: server, Logger: discard()})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	wire := &testkit.CountingDialer{}
	pool := transport.NewPool(token, wire, nil)
	defer pool.Close()
	view := &fakeView{self: "entry"}
	view.set(serving("home", listener.Addr().String()))
	ownerView.set(serving("home", listener.Addr().String()))
	l := New(Config{Self: "entry", View: view, Pool: pool, Server: transport.NewServer(token, discard()), Logger: discard()})
	req := ShareRequest{
		Customer: "customer-3", Router: "entry", Revision: 1000,
		Limits: Amount{Requests: 50, Tokens: 20000, Concurrency: 40},
		Demand: Amount{Requests: 3.3, Tokens: 900.5, Concurrency: 4},
		Held:   Amount{Requests: 7.7, Tokens: 3000.5, Concurrency: 8}, InUse: 3,
	}
	limits := &pb.Limits{RequestsPerSecond: 50, TokensPerSecond: 20000, Concurrency: 40}
	const renewals = 20
	for range renewals {
		if _, _, err := l.requestShare(t.Context(), req, limits); err != nil {
			t.Fatal(err)
		}
	}
	bytesPerRenewal := float64(wire.Bytes()) / renewals
	t.Logf("%.0f bytes per renewal", bytesPerRenewal)
	const budget = 4096
	if rate := bytesPerRenewal * maxRenewalsPerInterval / renewInterval.Seconds(); rate > budget {
		t.Fatalf("%.0f bytes/s for renewals", rate)
	}
}

// A share can expire before the minimum interval after its failed renewal has
// passed. The fallback share must apply at once. Otherwise requests would be
// refused until the interval has passed.
func TestFallbackFollowsAFailedRenewalAtOnce(t *testing.T) {
	view := &fakeView{self: "r1"}
	view.set(serving("r1", ""), serving("r2", "127.0.0.1:1"))
	l, _ := newLimiter(t, view)
	d := demandUnder(&pb.Limits{Concurrency: 6})
	for d.Contract.Customer = "c"; ; d.Contract.Customer += "c" {
		if owner, _ := l.owner(d.Contract.Customer); owner == "r2" {
			break
		}
	}
	c := l.customer(d.Contract)
	c.mu.Lock()
	c.shareRequestedAt = time.Now()
	c.mu.Unlock()
	release, err := l.Take(t.Context(), d)
	if err != nil {
		t.Fatalf("refused immediately after a failed renewal: %v", err)
	}
	release(filter.Usage{})
}
