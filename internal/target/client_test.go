package target

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/errs"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func serve(t *testing.T, h http.HandlerFunc) (addr string) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestOrderAndState(t *testing.T) {
	var state State
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "PUT /control/v1/order":
			order := Order{}
			if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
				t.Error(err)
			}
			if order.Fencing.Less(state.Fencing) {
				w.WriteHeader(http.StatusConflict)
				break
			}
			state = State{Desired: order.Desired, Models: order.Models, Role: order.Role, Fencing: order.Fencing, Incarnation: 7}
		case "GET /control/v1/state":
		default:
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(state)
	})
	c := NewClient()
	newer := Order{Operation: "2", Desired: "drain", Models: []string{"m"}, Fencing: Fencing{Term: 2, Index: 1}}
	if err := c.Order(t.Context(), addr, newer); err != nil {
		t.Fatal(err)
	}
	err := c.Order(t.Context(), addr, Order{Operation: "1", Desired: "serve", Fencing: Fencing{Term: 1, Index: 9}})
	fenced := &FencedError{}
	if !errors.As(err, &fenced) || fenced.Newer != newer.Fencing {
		t.Fatalf("an older order: %v", err)
	}
	got, err := c.State(t.Context(), addr)
	if err != nil || got.Desired != "drain" || got.Fencing != newer.Fencing || got.Incarnation != 7 {
		t.Fatalf("state %+v, %v", got, err)
	}
}

func TestErrorsNameStepAndPeer(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "not JSON")
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	c := NewClient()
	if _, err := c.State(t.Context(), addr); errs.Step(err) != StepState || errs.Peer(err) != addr {
		t.Fatalf("state: %v", err)
	}
	if err := c.Order(t.Context(), addr, Order{}); errs.Step(err) != StepOrder || errs.Peer(err) != addr {
		t.Fatalf("order: %v", err)
	}
}

// TestEachCallUsesItsOwnConnection guards against the reuse of a keep-alive connection,
// which could have gone silent.
func TestEachCallUsesItsOwnConnection(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	c := NewClient()
	for range 3 {
		if err := c.Order(t.Context(), s.Listener.Addr().String(), Order{}); err != nil {
			t.Fatal(err)
		}
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections for 3 calls", n)
	}
}

// TestBrokenAnswers guards against a broken answer that is taken for the state of a target, or
// for the confirmation of an order.
func TestBrokenAnswers(t *testing.T) {
	const state = `{"desired":"serve","fencing":{"term":2,"index":1}}`
	for name, c := range map[string]struct {
		answer string
		// confirms is set if the answer confirms an order, whose state is read on its own.
		confirms bool
	}{
		"status 000":              {answer: "HTTP/1.1 000 Trouble\r\n\r\n" + state},
		"status 099":              {answer: "HTTP/1.1 099 Trouble\r\n\r\n" + state},
		"control byte in a name":  {answer: "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\n\r\n" + state},
		"blank after an encoding": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\n" + state[:5] + "\r\n0\r\n\r\n", confirms: true},
		"blank after a length":    {answer: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}" + state, confirms: true},
		"part, without a length":  {answer: "HTTP/1.1 200 OK\r\n\r\n" + state[:len(state)-1], confirms: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, c.answer)
			})
			client := NewClient()
			if got, err := client.State(t.Context(), addr); err == nil {
				t.Errorf("state %+v, want an error", got)
			}
			if err := client.Order(t.Context(), addr, Order{}); (err == nil) != c.confirms {
				t.Errorf("order: error %v, confirmed: %t, want %t", err, err == nil, c.confirms)
			}
		})
	}
}
