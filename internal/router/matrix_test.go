package router

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// shortTargetTimeout is the router's time limit for a silent target in the
	// fault table.
	shortTargetTimeout = 80 * time.Millisecond
	// longTargetTimeout is that time limit for faults that silence no target.
	longTargetTimeout = 4 * time.Second
	// callTimeout is far longer than any call may take, even on a busy machine.
	callTimeout = 20 * time.Second
	// callerWaitLimit is how long a caller waits for a router that is killed or
	// frozen.
	callerWaitLimit = 100 * time.Millisecond
)

// testCluster is two routers, two targets and one ledger. The fault is injected
// when the request under test passes faultAt.
type testCluster struct {
	t             testing.TB
	kind          requestKind
	faultAt       faultPoint
	fault         fault
	targetTimeout time.Duration
	armed         atomic.Bool
	injected      atomic.Bool
	leaderChanges atomic.Int64
	ledger        *fakeLedger
	first         *routerProcess
	second        *routerProcess
	targets       []*standInTarget

	mu           sync.Mutex
	caller       net.Conn
	extraReplies []*reply
}

// passPoint injects the fault when the request under test passes faultAt for the
// first time.
func (tc *testCluster) passPoint(at faultPoint) {
	if at == tc.faultAt && tc.armed.Load() && tc.injected.CompareAndSwap(false, true) {
		tc.fault.inject(tc)
	}
}

// consumeLeaderChange reports whether the current ledger call fails because of a
// leader change, and uses that change up.
func (tc *testCluster) consumeLeaderChange() bool { return tc.leaderChanges.Add(-1) >= 0 }

func newTestCluster(t testing.TB, k requestKind, at faultPoint, f fault) *testCluster {
	return newTestClusterWithTimeout(t, k, at, f, f.targetTimeout)
}

func newTestClusterWithTimeout(t testing.TB, k requestKind, at faultPoint, f fault, targetTimeout time.Duration) *testCluster {
	tc := &testCluster{t: t, kind: k, faultAt: at, fault: f, targetTimeout: targetTimeout, ledger: &fakeLedger{}}
	tc.targets = []*standInTarget{newStandInTarget(t, tc), newStandInTarget(t, tc)}
	tc.first, tc.second = newRouterProcess(t, tc, "r1"), newRouterProcess(t, tc, "r2")
	return tc
}

func newRouterProcess(t testing.TB, tc *testCluster, id string) *routerProcess {
	sum := sha256.Sum256([]byte(testKey))
	fleet := &fakeFleet{contracts: []*pb.Contract{{Customer: "acme", KeyHashes: [][]byte{sum[:]}}}}
	for i, s := range tc.targets {
		target := service(fmt.Sprintf("t%d", i), s.ln.Addr().String())
		target.Models = []string{"m"}
		fleet.targets = append(fleet.targets, target)
	}
	p := &routerProcess{fakeFleet: fleet, cluster: tc, id: id}
	wait := ClassTimeouts{FirstByte: tc.targetTimeout, Plain: tc.targetTimeout, BetweenBytes: tc.targetTimeout, Total: 5 * time.Second}
	r, err := New(Config{
		View: p, Config: p, Ledger: p, Scheduler: p, Limiter: p, Observer: p,
		Timeouts: Timeouts{wait, wait, wait},
		Forward:  forward.Config{Dial: p.dial},
	})
	if err != nil {
		t.Fatal(err)
	}
	ln := listenOnOwnAddress(t)
	p.router, p.url = r, ln.Addr().String()
	go r.Serve(ln)
	t.Cleanup(func() { p.thaw(); r.Abort() })
	return p
}

// Self returns the identity that the router puts into its ledger claims.
func (p *routerProcess) Self() *pb.RouterStatus { return &pb.RouterStatus{Id: p.id, Incarnation: 1} }

// reply is the caller's view of one call.
type reply struct {
	status  int
	outcome string
	code    string
	id      string
	body    string
	// cut is set if the answer or its connection ended early.
	cut  bool
	took time.Duration
}

// String describes the reply, with at most 60 bytes of the body.
func (r *reply) String() string {
	return fmt.Sprintf("status %d, outcome %s, code %s, cut %v, %d bytes %.60q", r.status, r.outcome, r.code, r.cut, len(r.body), r.body)
}

// requestText returns the bytes that a caller sends for a request.
func (tc *testCluster) requestText(k requestKind, order string) string {
	header := "Host: x\r\nAuthorization: Bearer " + testKey + "\r\nX-Order: " + order + "\r\n"
	switch k {
	case lookup:
		return "GET /v1/services/lab/lookup HTTP/1.1\r\n" + header + "\r\n"
	case stream:
		return "POST /v1/chat/completions HTTP/1.1\r\n" + header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(streamChat), streamChat)
	case keyed:
		header += "Idempotency-Key: " + order + "\r\n"
	}
	return "POST /v1/services/lab/book HTTP/1.1\r\n" + header + "Content-Length: 5\r\n\r\nsteel"
}

// call sends the request under test to the first router. The request passes atRead
// when its last three bytes are missing.
func (tc *testCluster) call(c net.Conn) *reply {
	tc.mu.Lock()
	tc.caller = c
	tc.mu.Unlock()
	text := tc.requestText(tc.kind, "order")
	io.WriteString(c, text[:len(text)-3])
	tc.passPoint(atRead)
	io.WriteString(c, text[len(text)-3:])
	return tc.receive(c)
}

// send sends another request to p on a new connection.
func (tc *testCluster) send(p *routerProcess, k requestKind, order string) *reply {
	c, err := net.Dial("tcp", p.url)
	if err != nil {
		return &reply{cut: true}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	io.WriteString(c, tc.requestText(k, order))
	return tc.receive(c)
}

// receive reads one answer with the standard HTTP client parser.
func (tc *testCluster) receive(c net.Conn) *reply {
	start := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return &reply{cut: true, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var refusal errorBody
	if resp.StatusCode != http.StatusOK {
		json.Unmarshal(body, &refusal)
	}
	return &reply{
		status: resp.StatusCode, outcome: resp.Header.Get(headerOutcome), code: refusal.Error.Code,
		id: resp.Header.Get(headerRequestID), body: string(body), cut: err != nil, took: time.Since(start),
	}
}

// expireClaims sets the open claims of a dead router to unknown, as control
// replicas do.
func (tc *testCluster) expireClaims(router string) {
	l := tc.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.open {
		if c.GetRouter() == router && l.ended[key] == nil {
			l.ended[key] = &pb.Resolve{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}
		}
	}
}

// TestFaultTable injects each fault at each fault point of each kind of request,
// on new and on reused connections, and checks the guarantees of every cell: a
// non-idempotent request runs at most once, not-run is true, and no truncated or
// mismatched answer looks complete.
func TestFaultTable(t *testing.T) {
	for _, f := range faults {
		for at := range numFaultPoints {
			for k := keyed; k <= stream; k++ {
				for _, reused := range []bool{false, true} {
					name := fmt.Sprintf("%s/%s/%s/reused=%v", f.name, at, k, reused)
					t.Run(name, func(t *testing.T) {
						if why := cannotOccur(f, k, at, reused); why != "" {
							t.Log("cannot occur:", why)
							return
						}
						t.Parallel()
						runCell(newTestCluster(t, k, at, f), reused)
					})
				}
			}
		}
	}
}

// connect connects to the first router. A reused connection has already carried
// two answers, which may take several attempts on a busy machine.
func (tc *testCluster) connect(reused bool) net.Conn {
	for range maxInProgress {
		c, err := net.Dial("tcp", tc.first.url)
		if err != nil {
			tc.t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(callTimeout))
		if !reused {
			return c
		}
		first := tc.warmUp(c)
		second := tc.warmUp(c)
		if first && second {
			return c
		}
		c.Close()
	}
	tc.t.Fatal("no warm-up was answered")
	return nil
}

// warmUp sends one lookup on c and reports whether it was answered. After the
// first lookup the router knows that the target echoes request IDs, after the
// second it keeps the connection to the target.
func (tc *testCluster) warmUp(c net.Conn) bool {
	io.WriteString(c, tc.requestText(lookup, "warm"))
	r := tc.receive(c)
	return r.status == http.StatusOK && !r.cut
}

// runCell runs one cell of the fault table and checks the guarantees.
func runCell(tc *testCluster, reused bool) {
	c := tc.connect(reused)
	defer c.Close()
	tc.armed.Store(true)
	if tc.fault.callerLeaves {
		time.AfterFunc(callerWaitLimit, func() { c.Close() })
	}
	replies := []*reply{tc.call(c)}
	// The caller can have the answer before the router passes its last fault point.
	for !tc.injected.Load() && tc.first.router.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if !tc.injected.Load() {
		tc.t.Fatalf("the request never passed %s: %s", tc.faultAt, replies[0])
	}
	if tc.kind == keyed {
		replies = append(replies, tc.resend()...)
	}
	tc.waitIdle()
	if tc.kind == keyed {
		replies = append(replies, tc.send(tc.second, keyed, "order"))
	}
	tc.mu.Lock()
	replies = append(replies, tc.extraReplies...)
	tc.mu.Unlock()
	tc.check(replies)
}

// resend sends the request to the second router, before and after control
// replicas end the claims of a first router that failed.
func (tc *testCluster) resend() []*reply {
	before := tc.send(tc.second, keyed, "order")
	if tc.fault.callerLeaves {
		tc.expireClaims("r1")
	}
	return []*reply{before, tc.send(tc.second, keyed, "order")}
}

// waitIdle ends the faults that can be undone and waits until no request or claim
// is in flight.
func (tc *testCluster) waitIdle() {
	tc.first.thaw()
	for _, s := range tc.targets {
		s.thaw()
	}
	for _, p := range []*routerProcess{tc.first, tc.second} {
		for p.router.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		p.router.claim.Wait()
	}
}

// check checks the guarantees against the runs at the targets and the replies.
func (tc *testCluster) check(replies []*reply) {
	runs := 0
	for _, s := range tc.targets {
		n, _ := s.counts("order", "")
		runs += n
	}
	if !tc.kind.idempotent() && runs > 1 {
		tc.t.Errorf("%d runs of a non-idempotent request", runs)
	}
	for i, r := range replies {
		if r.took > callTimeout {
			tc.t.Errorf("reply %d took %v", i, r.took)
		}
		if r.code == codeInternal {
			tc.t.Errorf("reply %d: %s", i, r)
		}
		tc.checkReply(i, r)
	}
}

func (tc *testCluster) checkReply(i int, r *reply) {
	ran, complete := 0, false
	for _, s := range tc.targets {
		orders, ids := s.counts("order", r.id)
		ran += ids
		for run := 1; run <= orders; run++ {
			complete = complete || r.body == responseBody(tc.kind, "order", run)
		}
	}
	if r.outcome == "not-run" && ran > 0 {
		tc.t.Errorf("reply %d says not-run after %d runs: %s", i, ran, r)
	}
	if r.status == http.StatusOK && !r.cut && !complete {
		tc.t.Errorf("reply %d looks whole and is not: %s", i, r)
	}
	if r.status != http.StatusOK && r.status != 0 && (r.outcome == "" || !strings.Contains(r.body, `"outcome"`)) {
		tc.t.Errorf("reply %d names no outcome: %s", i, r)
	}
}
