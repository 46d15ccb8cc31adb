package announce

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func quietLogger() *log.Logger {
	return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
}

// fakeRouter implements Registry and fleet.View.
type fakeRouter struct {
	mu          sync.Mutex
	statuses    []*pb.TargetStatus
	proven      []time.Time
	left        []string
	announceErr error
	peers       []string
	state       pb.RouterState
}

func (f *fakeRouter) Announce(st *pb.TargetStatus, provenAt time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses = append(f.statuses, st)
	f.proven = append(f.proven, provenAt)
	return f.announceErr
}

func (f *fakeRouter) TargetLeaves(id string, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = append(f.left, id)
}

// drain sets the router's state to draining and lists the other router.
func (f *fakeRouter) drain(other string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = pb.RouterState_ROUTER_STATE_DRAINING
	f.peers = []string{other}
}

func (f *fakeRouter) Self() *pb.RouterStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.RouterStatus{Id: "self", State: f.state}
}

func (f *fakeRouter) Routers() []*pb.RouterStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	routers := []*pb.RouterStatus{{Id: "self", TargetAddr: "127.0.0.1:1"}}
	for _, addr := range f.peers {
		routers = append(routers, &pb.RouterStatus{Id: addr, TargetAddr: addr})
	}
	return routers
}

func (f *fakeRouter) Targets() []*pb.TargetStatus    { return nil }
func (f *fakeRouter) Target(string) *pb.TargetStatus { return nil }
func (f *fakeRouter) snapshot() (n int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n = len(f.proven); n > 0 {
		last = f.proven[n-1]
	}
	return n, last
}

func startRouter(t *testing.T, f *fakeRouter) *httptest.Server {
	s := httptest.NewServer(NewHandler(Config{Token: "secret", Registry: f, View: f, Logger: quietLogger()}))
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, url, token, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	http.DefaultClient.CloseIdleConnections()
	return resp.StatusCode, string(answer)
}

// TestBadInput checks that each invalid request is rejected with a one-line error
// that names the fault.
func TestBadInput(t *testing.T) {
	f := &fakeRouter{}
	s := startRouter(t, f)
	engine := func(fields string) string {
		return `{"id":"e","kind":"engine","addr":"10.0.0.1:80","incarnation":1,"sequence":1,"capacity":1` + fields + `}`
	}
	for _, c := range []struct {
		path, body, want string
		status           int
	}{
		{PathAnnounce, `{`, "not a JSON object", 400},
		{PathAnnounce, engine(`,"colour":"red"`), "colour", 400},
		{PathAnnounce, engine(`,"addr":"host:80"`), "IP number", 400},
		{PathAnnounce, engine(`,"addr":"0.0.0.0:80"`), "names no instance", 400},
		{PathAnnounce, engine(`,"addr":"10.0.0.1:0"`), "IP number", 400},
		{PathAnnounce, engine(`,"kind":"robot"`), "kind", 400},
		{PathAnnounce, engine(`,"incarnation":0`), "incarnation", 400},
		{PathAnnounce, engine(`,"sequence":0`), "sequence", 400},
		{PathAnnounce, engine(`,"capacity":0`), "capacity", 400},
		{PathAnnounce, engine(`,"routes":[{"path_prefix":"/x"}]`), "engine declares", 400},
		{PathAnnounce, engine(`,"id":"a\nb"`), "control characters", 400},
		{PathAnnounce, engine(`,"stamp":7`), "stamp", 400},
		{PathAnnounce, `{"id":"s","kind":"service","addr":"[::1]:80","incarnation":"1","sequence":1,"service":"a/b"}`, "slash", 400},
		{PathAnnounce, engine(`,"models":["` + strings.Repeat(`m","`, 600) + `x"]`), "bytes encoded", 400},
		{PathAnnounce, strings.Repeat(" ", MaxBodyBytes+1), "over the bound", 413},
		{PathCacheEvents, `{"target":"e","incarnation":1,"events":[{"sequence":1,"kind":"lost","chat":"c"}]}`, "stored", 400},
		{PathCacheEvents, `{"target":"e","incarnation":1,"events":[{"sequence":2,"kind":"stored","chat":"c"},{"sequence":2,"kind":"stored","chat":"c"}]}`, "must grow", 400},
		{PathLeave, `{"id":"e"}`, "incarnation", 400},
		{"/v1/targets/other", `{}`, "no such path", 404},
	} {
		status, answer := post(t, s.URL+c.path, "secret", c.body)
		if status != c.status || !strings.Contains(answer, c.want) || strings.Count(answer, "\n") != 1 {
			t.Errorf("%s %.80s: %d %q, want %d with %q", c.path, c.body, status, answer, c.status, c.want)
		}
	}
	if status, _ := post(t, s.URL+PathAnnounce, "guess", engine("")); status != http.StatusUnauthorized {
		t.Errorf("wrong token: %d", status)
	}
	if n, _ := f.snapshot(); n != 0 {
		t.Errorf("%d invalid announcements were accepted", n)
	}
	f.announceErr = errors.New("it has left")
	if status, answer := post(t, s.URL+PathAnnounce, "secret", engine("")); status != http.StatusConflict || !strings.Contains(answer, "it has left") {
		t.Errorf("rejected by the registry: %d %s", status, answer)
	}
}

// TestStampProvesFreshness checks that only a stamp issued by the same process
// proves freshness, and only from the time of issue.
func TestStampProvesFreshness(t *testing.T) {
	start := time.Now()
	local, remote := newStampIssuer(start), newStampIssuer(start)
	stamp := local.issue(start.Add(3 * time.Second))
	at, ok := local.issuedAt(stamp, start.Add(time.Minute))
	if !ok || !at.Equal(start.Add(3*time.Second)) {
		t.Fatalf("stamp of the same process: %v %v", at.Sub(start), ok)
	}
	if _, ok := remote.issuedAt(stamp, start.Add(time.Minute)); ok {
		t.Fatal("the stamp of another process was accepted")
	}
	if _, ok := local.issuedAt(stamp, start.Add(time.Second)); ok {
		t.Fatal("a stamp with a future time was accepted")
	}
	if at, ok := local.issuedAt("", start); ok || !at.IsZero() {
		t.Fatal("an empty stamp was accepted")
	}
}

// TestAnnouncer checks that announcements carry the router's stamp from the second
// one on, that the Announcer switches to another router when the one in use closes,
// and that Leave reaches the router and marks later announcements.
func TestAnnouncer(t *testing.T) {
	first, second := &fakeRouter{}, &fakeRouter{}
	a, b := startRouter(t, first), startRouter(t, second)
	first.peers = []string{b.Listener.Addr().String()}
	announcer, err := NewAnnouncer(AnnouncerConfig{
		Routers: []string{a.Listener.Addr().String()},
		Token:   "secret",
		Status: func() *pb.TargetStatus {
			return &pb.TargetStatus{Id: "e", Kind: pb.TargetKind_TARGET_KIND_ENGINE, Addr: "10.0.0.1:80", Incarnation: 1 << 60, Capacity: 1}
		},
		Logger: quietLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer announcer.Close()
	proven := func(f *fakeRouter) func() bool {
		return func() bool {
			n, last := f.snapshot()
			return n >= 2 && !last.IsZero()
		}
	}
	testkit.Eventually(t, "a proven announcement at the first router", proven(first))
	a.CloseClientConnections()
	a.Close()
	testkit.Eventually(t, "a proven announcement at the second router", proven(second))
	if err := announcer.Leave(t.Context()); err != nil || len(second.left) != 1 {
		t.Fatalf("leave: %v, %v", err, second.left)
	}
	testkit.Eventually(t, "an announcement that says it leaves", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.statuses[len(second.statuses)-1].Leaving
	})
}

// TestDrainingRouterSendsTargetsElsewhere drains a router that a target uses. The
// router must still accept the next announcement, which renews the lease. Another
// router must receive an announcement with a valid stamp long before that lease
// expires.
func TestDrainingRouterSendsTargetsElsewhere(t *testing.T) {
	for range 8 {
		leaving := &fakeRouter{}
		staying := &fakeRouter{}
		a := announceTo(t, startRouter(t, leaving))
		testkit.Eventually(t, "a proven announcement before the drain", func() bool {
			n, last := leaving.snapshot()
			return n >= 2 && !last.IsZero()
		})
		before, _ := leaving.snapshot()
		stayingAddr := startRouter(t, staying).Listener.Addr().String()
		leaving.drain(stayingAddr)
		testkit.Eventually(t, "an announcement while the router drains", func() bool {
			n, _ := leaving.snapshot()
			return n > before
		})
		if _, last := leaving.snapshot(); last.IsZero() {
			t.Error("the draining router did not accept a proven announcement")
		}
		deadline := time.Now().Add(DefaultLease / 4)
		for proven := false; !proven; {
			if time.Now().After(deadline) {
				t.Fatal("the remaining router received no proven announcement")
			}
			time.Sleep(10 * time.Millisecond)
			_, last := staying.snapshot()
			proven = !last.IsZero()
		}
		a.Close()
		if n, _ := leaving.snapshot(); n > before+1 {
			t.Errorf("the draining router accepted %d announcements", n-before)
		}
	}
}

// TestGoneRouterTakesNoAnnouncements checks that a router in state GONE rejects
// announcements, since it no longer propagates updates to other routers.
func TestGoneRouterTakesNoAnnouncements(t *testing.T) {
	gone := &fakeRouter{state: pb.RouterState_ROUTER_STATE_GONE}
	s := startRouter(t, gone)
	body := `{"id":"e","kind":"engine","addr":"10.0.0.1:80","incarnation":1,"sequence":1,"capacity":1}`
	if status, answer := post(t, s.URL+PathAnnounce, "secret", body); status != http.StatusServiceUnavailable {
		t.Errorf("status %d %s", status, answer)
	}
	if n, _ := gone.snapshot(); n > 0 {
		t.Errorf("%d announcements were accepted", n)
	}
}

// TestStampsEndWithTheUse checks that moveToEnd deletes the router's stamp. A target
// that returned to the router with a stamp almost as old as a lease would be listed,
// and its lease would expire before its next announcement.
func TestStampsEndWithTheUse(t *testing.T) {
	a := &Announcer{routers: []string{"one", "two"}, stamps: map[string]string{"one": "1-1"}}
	a.moveToEnd("one")
	if _, ok := a.stamps["one"]; ok {
		t.Error("the stamp was not deleted")
	}
}

// announceTo starts an Announcer of an engine with these routers.
func announceTo(t *testing.T, routers ...*httptest.Server) *Announcer {
	cfg := AnnouncerConfig{
		Token:  "secret",
		Logger: quietLogger(),
		Status: func() *pb.TargetStatus {
			return &pb.TargetStatus{Id: "e", Kind: pb.TargetKind_TARGET_KIND_ENGINE, Addr: "10.0.0.1:80", Incarnation: 1, Capacity: 1}
		},
	}
	for _, r := range routers {
		cfg.Routers = append(cfg.Routers, strings.TrimPrefix(r.URL, "http://"))
	}
	a, err := NewAnnouncer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
