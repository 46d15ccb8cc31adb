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
	// shortTargetTimeout is the router's bound on a silent target in the table.
	shortTargetTimeout = 80 * time.Millisecond
	// longTargetTimeout is that bound where no target is silent.
	longTargetTimeout = 4 * time.Second
	// callTimeout is far more than any call may take, also on a busy machine.
	callTimeout = 20 * time.Second
	// callerWaitLimit is how long the caller of a frozen router waits.
	callerWaitLimit = 100 * time.Millisecond
)

// testCluster is two routers before two targets, with one ledger.
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

// passPoint strikes the fault when the request of interest passes its step.
func (w *testCluster) passPoint(s faultPoint) {
	if s == w.faultAt && w.armed.Load() && w.injected.CompareAndSwap(false, true) {
		w.fault.inject(w)
	}
}

// consumeLeaderChange tells whether the present ledger call meets one.
func (w *testCluster) consumeLeaderChange() bool { return w.leaderChanges.Add(-1) >= 0 }

func newTestCluster(t testing.TB, k requestKind, at faultPoint, f fault) *testCluster {
	return newTestClusterWithTimeout(t, k, at, f, f.targetTimeout)
}

func newTestClusterWithTimeout(t testing.TB, k requestKind, at faultPoint, f fault, wait time.Duration) *testCluster {
	w := &testCluster{t: t, kind: k, faultAt: at, fault: f, targetTimeout: wait, ledger: &fakeLedger{}}
	w.targets = []*standInTarget{newStandInTarget(t, w), newStandInTarget(t, w)}
	w.first, w.second = newRouterProcess(t, w, "r1"), newRouterProcess(t, w, "r2")
	return w
}

func newRouterProcess(t testing.TB, w *testCluster, id string) *routerProcess {
	sum := sha256.Sum256([]byte(testKey))
	fleet := &fakeFleet{contracts: []*pb.Contract{{Customer: "acme", KeyHashes: [][]byte{sum[:]}}}}
	for i, s := range w.targets {
		target := service(fmt.Sprintf("t%d", i), s.ln.Addr().String())
		target.Models = []string{"m"}
		fleet.targets = append(fleet.targets, target)
	}
	n := &routerProcess{fakeFleet: fleet, cluster: w, id: id}
	wait := ClassTimeouts{FirstByte: w.targetTimeout, Plain: w.targetTimeout, BetweenBytes: w.targetTimeout, Total: 5 * time.Second}
	r, err := New(Config{
		View: n, Config: n, Ledger: n, Scheduler: n, Limiter: n, Observer: n,
		Timeouts: Timeouts{wait, wait, wait},
		Forward:  forward.Config{Dial: n.dial},
	})
	if err != nil {
		t.Fatal(err)
	}
	ln := listenOnOwnAddress(t)
	n.router, n.url = r, ln.Addr().String()
	go r.Serve(ln)
	t.Cleanup(func() { n.thaw(); r.Abort() })
	return n
}

// Self names the node to its ledger claims.
func (n *routerProcess) Self() *pb.RouterStatus { return &pb.RouterStatus{Id: n.id, Incarnation: 1} }

// reply is what the caller saw of one call.
type reply struct {
	status  int
	outcome string
	code    string
	id      string
	body    string
	// cut tells that the answer or its connection ended early.
	cut  bool
	took time.Duration
}

// String shortens the body.
func (r *reply) String() string {
	return fmt.Sprintf("status %d, outcome %s, code %s, cut %v, %d bytes %.60q", r.status, r.outcome, r.code, r.cut, len(r.body), r.body)
}

// requestText is a request as the caller writes it.
func (w *testCluster) requestText(k requestKind, order string) string {
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

// call sends the request of interest to the first router.
func (w *testCluster) call(c net.Conn) *reply {
	w.mu.Lock()
	w.caller = c
	w.mu.Unlock()
	text := w.requestText(w.kind, "order")
	io.WriteString(c, text[:len(text)-3])
	w.passPoint(atRead)
	io.WriteString(c, text[len(text)-3:])
	return w.receive(c)
}

// send sends another request to n.
func (w *testCluster) send(n *routerProcess, k requestKind, order string) *reply {
	c, err := net.Dial("tcp", n.url)
	if err != nil {
		return &reply{cut: true}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	io.WriteString(c, w.requestText(k, order))
	return w.receive(c)
}

// receive reads one answer as any HTTP client does.
func (w *testCluster) receive(c net.Conn) *reply {
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

// expireClaims ends the claims of a router that is gone, as control replicas do.
func (w *testCluster) expireClaims(router string) {
	l := w.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.open {
		if c.GetRouter() == router && l.ended[key] == nil {
			l.ended[key] = &pb.Resolve{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}
		}
	}
}

// TestFaultTable strikes each fault at each step of each kind of request, on
// fresh and on reused connections.
func TestFaultTable(t *testing.T) {
	for _, f := range faults {
		for s := range numFaultPoints {
			for k := keyed; k <= stream; k++ {
				for _, reused := range []bool{false, true} {
					name := fmt.Sprintf("%s/%s/%s/reused=%v", f.name, s, k, reused)
					t.Run(name, func(t *testing.T) {
						if why := cannotOccur(f, k, s, reused); why != "" {
							t.Log("cannot occur:", why)
							return
						}
						t.Parallel()
						runCell(newTestCluster(t, k, s, f), reused)
					})
				}
			}
		}
	}
}

// connect connects to the first router. A reused connection has had an answer,
// which a busy machine may take several tries to give.
func (w *testCluster) connect(reused bool) net.Conn {
	for range maxInProgress {
		c, err := net.Dial("tcp", w.first.url)
		if err != nil {
			w.t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(callTimeout))
		if !reused {
			return c
		}
		first := w.warmUp(c)
		second := w.warmUp(c)
		if first && second {
			return c
		}
		c.Close()
	}
	w.t.Fatal("no warm-up was answered")
	return nil
}

// warmUp has one lookup answered on c. After the first one the router knows that
// the target echoes request ids, after the second it keeps the connection.
func (w *testCluster) warmUp(c net.Conn) bool {
	io.WriteString(c, w.requestText(lookup, "warm"))
	r := w.receive(c)
	return r.status == http.StatusOK && !r.cut
}

// runCell plays one cell and checks what must hold.
func runCell(w *testCluster, reused bool) {
	c := w.connect(reused)
	defer c.Close()
	w.armed.Store(true)
	if w.fault.callerLeaves {
		time.AfterFunc(callerWaitLimit, func() { c.Close() })
	}
	replies := []*reply{w.call(c)}
	// The caller can have the answer before the router passes its last step.
	for !w.injected.Load() && w.first.router.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if !w.injected.Load() {
		w.t.Fatalf("the request never passed %s: %s", w.faultAt, replies[0])
	}
	if w.kind == keyed {
		replies = append(replies, w.resend()...)
	}
	w.waitIdle()
	if w.kind == keyed {
		replies = append(replies, w.send(w.second, keyed, "order"))
	}
	w.mu.Lock()
	replies = append(replies, w.extraReplies...)
	w.mu.Unlock()
	w.check(replies)
}

// resend asks the second router, before and after the first is known gone.
func (w *testCluster) resend() []*reply {
	before := w.send(w.second, keyed, "order")
	if w.fault.callerLeaves {
		w.expireClaims("r1")
	}
	return []*reply{before, w.send(w.second, keyed, "order")}
}

// waitIdle ends the faults that can end and waits until nothing runs any more.
func (w *testCluster) waitIdle() {
	w.first.thaw()
	for _, s := range w.targets {
		s.thaw()
	}
	for _, n := range []*routerProcess{w.first, w.second} {
		for n.router.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		n.router.claim.Wait()
	}
}

// check asserts the promises on all that targets and callers counted.
func (w *testCluster) check(replies []*reply) {
	runs := 0
	for _, s := range w.targets {
		n, _ := s.counts("order", "")
		runs += n
	}
	if !w.kind.idempotent() && runs > 1 {
		w.t.Errorf("%d runs of a non-idempotent request", runs)
	}
	for i, r := range replies {
		if r.took > callTimeout {
			w.t.Errorf("reply %d took %v", i, r.took)
		}
		if r.code == codeInternal {
			w.t.Errorf("reply %d: %s", i, r)
		}
		w.checkReply(i, r)
	}
}

func (w *testCluster) checkReply(i int, r *reply) {
	ran, whole := 0, false
	for _, s := range w.targets {
		orders, ids := s.counts("order", r.id)
		ran += ids
		for run := 1; run <= orders; run++ {
			whole = whole || r.body == responseBody(w.kind, "order", run)
		}
	}
	if r.outcome == "not-run" && ran > 0 {
		w.t.Errorf("reply %d says not-run after %d runs: %s", i, ran, r)
	}
	if r.status == http.StatusOK && !r.cut && !whole {
		w.t.Errorf("reply %d looks whole and is not: %s", i, r)
	}
	if r.status != http.StatusOK && r.status != 0 && (r.outcome == "" || !strings.Contains(r.body, `"outcome"`)) {
		w.t.Errorf("reply %d names no outcome: %s", i, r)
	}
}
