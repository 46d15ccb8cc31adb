package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// fakeFleet is a fixed view of targets and contracts, with a scheduler, a limiter
// and a configuration lease, which is valid unless unleased is set.
type fakeFleet struct {
	mu        sync.Mutex
	unleased  bool
	targets   []*pb.TargetStatus
	contracts []*pb.Contract
}

func (f *fakeFleet) Self() *pb.RouterStatus {
	return &pb.RouterStatus{Id: "r1", Incarnation: 1}
}

func (f *fakeFleet) Routers() []*pb.RouterStatus { return []*pb.RouterStatus{f.Self()} }

func (f *fakeFleet) Targets() []*pb.TargetStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets
}

func (f *fakeFleet) Target(id string) *pb.TargetStatus {
	for _, t := range f.Targets() {
		if t.GetId() == id {
			return t
		}
	}
	return nil
}

func (f *fakeFleet) Lease() (uint64, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 7, time.Now().Add(time.Minute), !f.unleased
}

func (f *fakeFleet) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	for _, c := range f.contracts {
		if bytes.Equal(c.GetKeyHashes()[0], sum[:]) {
			return c, true
		}
	}
	return nil, false
}

func (f *fakeFleet) Intent(string) *pb.TargetIntent { return nil }

// Admit grants the first target that offers the requested model or service and
// is not excluded.
func (f *fakeFleet) Admit(ctx context.Context, d filter.Demand, exclude []string) (*filter.Grant, error) {
	for _, t := range f.Targets() {
		offers := d.Service != "" && t.GetService() == d.Service || slices.Contains(t.GetModels(), d.Model)
		if offers && !slices.Contains(exclude, t.GetId()) {
			return &filter.Grant{Target: t, Release: func(filter.Usage) {}}, nil
		}
	}
	return nil, &filter.Refusal{Code: "no-target", Text: "no target is left", RetryAfter: time.Second}
}

func (f *fakeFleet) Take(context.Context, filter.Demand) (func(filter.Usage), error) {
	return func(filter.Usage) {}, nil
}

// fakeLedger is an in-memory ledger. beforeClaim and beforeResolve run before the
// call takes effect, afterClaim runs after it. A hook's error is returned to the
// caller.
type fakeLedger struct {
	mu            sync.Mutex
	open          map[string]*pb.Claim
	ended         map[string]*pb.Resolve
	beforeClaim   func() error
	afterClaim    func() error
	beforeResolve func() error
}

func (l *fakeLedger) Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error) {
	if l.beforeClaim != nil {
		if err := l.beforeClaim(); err != nil {
			return nil, err
		}
	}
	result := l.apply(c)
	if l.afterClaim != nil {
		if err := l.afterClaim(); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// apply grants the claim if its key has none, and otherwise returns the state of
// the existing claim.
func (l *fakeLedger) apply(c *pb.Claim) *pb.ClaimResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.open[c.GetKey()]
	switch {
	case held == nil:
		if l.open == nil {
			l.open = make(map[string]*pb.Claim)
			l.ended = make(map[string]*pb.Resolve)
		}
		l.open[c.GetKey()] = proto.CloneOf(c)
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
	case !bytes.Equal(held.GetDigest(), c.GetDigest()):
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_DIGEST_MISMATCH}
	}
	end := l.ended[c.GetKey()]
	switch end.GetOutcome() {
	case pb.ClaimOutcome_CLAIM_OUTCOME_DONE:
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_DONE, Answer: end.GetAnswer(), RequestId: held.GetRequestId()}
	case pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_UNKNOWN}
	}
	return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS}
}

func (l *fakeLedger) Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	if l.beforeResolve != nil {
		if err := l.beforeResolve(); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.open[r.GetKey()]
	if held.GetAttempt() != r.GetAttempt() || held.GetRouter() != r.GetRouter() || l.ended[r.GetKey()] != nil {
		return &pb.ResolveResult{}, nil
	}
	if r.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED {
		delete(l.open, r.GetKey())
		return &pb.ResolveResult{Applied: true}, nil
	}
	l.ended[r.GetKey()] = proto.CloneOf(r)
	return &pb.ResolveResult{Applied: true}, nil
}

// recordingObserver collects the records of finished requests.
type recordingObserver struct {
	mu  sync.Mutex
	all []*filter.Record
}

func (r *recordingObserver) Observe(rec *filter.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rec)
}

const testKey = "secret-of-acme"

// harness is one router on fakes of its interfaces.
type harness struct {
	fleet    *fakeFleet
	ledger   *fakeLedger
	observer *recordingObserver
	router   *Router
	url      string
}

// newHarness serves a router for the given targets on a loopback address.
func newHarness(t testing.TB, targets ...*pb.TargetStatus) *harness {
	return newHarnessWithConfig(t, Config{}, targets...)
}

func newHarnessWithConfig(t testing.TB, c Config, targets ...*pb.TargetStatus) *harness {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	h := &harness{
		fleet: &fakeFleet{
			targets:   targets,
			contracts: []*pb.Contract{{Customer: "acme", KeyHashes: [][]byte{sum[:]}}},
		},
		ledger:   &fakeLedger{},
		observer: &recordingObserver{},
	}
	c.View, c.Config, c.Scheduler, c.Limiter = h.fleet, h.fleet, h.fleet, h.fleet
	c.Ledger, c.Observer = h.ledger, h.observer
	r, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.router, h.url = r, "http://"+ln.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := r.Serve(ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		r.Abort()
		<-served
	})
	return h
}

// recorded waits until no request is in flight and returns all records. The wait
// is needed because a caller can have its answer before the record is written.
func (h *harness) recorded() []*filter.Record {
	for h.router.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.observer.mu.Lock()
	defer h.observer.mu.Unlock()
	return h.observer.all
}

// do sends a request with the customer's key and returns the response, its body
// and the error of reading it.
func (h *harness) do(t testing.TB, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, h.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	// Without GetBody the test's client can't retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// engine returns an engine target with the model m.
func engine(id, addr string) *pb.TargetStatus {
	return &pb.TargetStatus{Id: id, Kind: pb.TargetKind_TARGET_KIND_ENGINE, Addr: addr, Models: []string{"m"}}
}

// service returns a target of the service lab.
func service(id, addr string, routes ...*pb.Route) *pb.TargetStatus {
	return &pb.TargetStatus{Id: id, Kind: pb.TargetKind_TARGET_KIND_SERVICE, Addr: addr, Service: "lab", Routes: routes}
}
