package lookup

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

type fakeView struct{ routers []*pb.RouterStatus }

func (v fakeView) Self() *pb.RouterStatus         { return v.routers[0] }
func (v fakeView) Routers() []*pb.RouterStatus    { return v.routers }
func (v fakeView) Targets() []*pb.TargetStatus    { return nil }
func (v fakeView) Target(string) *pb.TargetStatus { return nil }

func router(id string, state pb.RouterState) *pb.RouterStatus {
	return &pb.RouterStatus{Id: id, CallerAddr: id + ":80", State: state}
}

const (
	serving  = pb.RouterState_ROUTER_STATE_SERVING
	unleased = pb.RouterState_ROUTER_STATE_UNLEASED
	draining = pb.RouterState_ROUTER_STATE_DRAINING
)

// TestOnlyServingRoutersHomeFirst checks that an answer lists only serving routers, and
// the owner of the chat (the home in the name) first.
func TestOnlyServingRoutersHomeFirst(t *testing.T) {
	view := fakeView{routers: []*pb.RouterStatus{
		router("a", serving), router("b", unleased), router("c", serving), router("d", draining), router("e", serving),
	}}
	h := NewHandler(Config{View: view})
	for _, chat := range []string{"1", "2", "3", "4", "5"} {
		answer := h.Lookup(Query{Customer: "team", Chat: chat})
		if len(answer.Entries) != 3 {
			t.Fatalf("entries %v", answer.Entries)
		}
		if owner := fleet.Owner("team/id:"+chat, []string{"a", "c", "e"}); answer.Entries[0].Addr != owner+":80" {
			t.Fatalf("chat %s: %v first, owner %s", chat, answer.Entries[0], owner)
		}
	}
}

// TestKeptUntil tests CachedUntil.
//
// CachedUntil must cover all answers that list the local router. After StartDrain
// it must also cover the answers of routers that have not learned of the drain yet.
// Otherwise callers would connect to a router that has stopped.
func TestKeptUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHandler(Config{View: fakeView{routers: []*pb.RouterStatus{router("a", serving), router("b", serving)}}})
		if !h.CachedUntil().IsZero() {
			t.Fatal("a cached answer before any query")
		}
		h.Lookup(Query{})
		if want := time.Now().Add(DefaultTTL); !h.CachedUntil().Equal(want) {
			t.Fatalf("cached until %v, want %v", h.CachedUntil(), want)
		}
		time.Sleep(time.Second)
		h.StartDrain()
		want := time.Now().Add(DefaultDrainPropagation + DefaultTTL)
		time.Sleep(time.Second)
		if answer := h.Lookup(Query{Customer: "team", Chat: "x"}); len(answer.Entries) != 1 || answer.Entries[0].Addr != "b:80" {
			t.Fatalf("a draining router lists itself: %v", answer.Entries)
		}
		if !h.CachedUntil().Equal(want) {
			t.Fatalf("cached until %v, want %v", h.CachedUntil(), want)
		}
	})
}

func TestNoEntries(t *testing.T) {
	h := NewHandler(Config{View: fakeView{routers: []*pb.RouterStatus{router("a", unleased)}}})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/entries", nil))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Fatalf("%d %v", w.Code, w.Header())
	}
}

func TestRouterThatAdmitsComesFirst(t *testing.T) {
	view := fakeView{routers: []*pb.RouterStatus{router("a", serving), router("b", serving), router("c", draining)}}
	owner := "b"
	h := NewHandler(Config{View: view, Owner: func(model, key string) string {
		if model != "m" || key != "team/id:x" {
			t.Errorf("Owner called with model %q, key %q", model, key)
		}
		return owner
	}})
	q := Query{Customer: "team", Chat: "x", Model: "m"}
	for _, owner = range []string{"a", "b"} {
		if answer := h.Lookup(q); len(answer.Entries) != 2 || answer.Entries[0].Addr != owner+":80" {
			t.Errorf("owner %s: entries %v", owner, answer.Entries)
		}
	}
	for _, owner = range []string{"", "c"} {
		if answer := h.Lookup(q); len(answer.Entries) != 2 {
			t.Errorf("owner %q: entries %v", owner, answer.Entries)
		}
	}
}
