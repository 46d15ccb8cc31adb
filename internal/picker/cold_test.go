package picker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/permits"
)

// coldTestRule is the configuration that the platform's services have.
func coldTestRule(string) ColdRule {
	return ColdRule{ColdBound: permits.ColdBoundOf(11, nil, nil), Start: 3 * time.Second}
}

// coldBound is the most requests that a cold target may receive in a second under coldTestRule.
const coldBound = 21

// coldSite is a fleet in memory whose routers notice losses of others late, each at its own
// time. It runs under the virtual time of package synctest.
type coldSite struct {
	mu       sync.Mutex
	rng      *rand.Rand
	routers  []*coldRouter
	targets  []*pb.TargetStatus
	arrivals map[string][]time.Time
	rejected int
	// plain is set if requests have no prompt, so that the owner of the service admits them.
	plain bool
}

// coldRouter is one router and its view of the fleet.
type coldRouter struct {
	site   *coldSite
	status *pb.RouterStatus
	picker *Picker
	dead   bool
	side   int
	// goneAt holds when this router notices that it does not reach another one.
	goneAt map[*coldRouter]time.Time
}

func (r *coldRouter) Self() *pb.RouterStatus         { return r.status }
func (r *coldRouter) Target(string) *pb.TargetStatus { return nil }
func (r *coldRouter) Targets() []*pb.TargetStatus {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	return r.site.targets
}

func (r *coldRouter) Routers() (list []*pb.RouterStatus) {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	for _, other := range r.site.routers {
		if at, gone := r.goneAt[other]; !gone || time.Now().Before(at) {
			list = append(list, other.status)
		}
	}
	return list
}

func (r *coldRouter) SendPlacing(to string, p *pb.Placing) {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	for _, other := range r.site.routers {
		if other.status.PeerAddr == to && other.side == r.side && !other.dead && !r.dead {
			delay := time.Duration(r.site.rng.Int64N(int64(3 * time.Millisecond)))
			time.AfterFunc(delay, func() { other.picker.Handle(r.status.Id, r.status.PeerAddr, p) })
		}
	}
}

func newColdSite(seed uint64, routers, targets int, cold func(string) ColdRule) *coldSite {
	s := &coldSite{rng: rand.New(rand.NewPCG(seed, 11)), arrivals: make(map[string][]time.Time)}
	for i := range targets {
		s.targets = append(s.targets, &pb.TargetStatus{Id: fmt.Sprint("t", i), Incarnation: 1, Service: "portal", Capacity: 24, DataCentre: "here"})
	}
	for i := range routers {
		id := fmt.Sprint("r", i)
		r := &coldRouter{site: s, goneAt: make(map[*coldRouter]time.Time)}
		r.status = &pb.RouterStatus{Id: id, PeerAddr: id, CallerAddr: id, DataCentre: "here", State: pb.RouterState_ROUTER_STATE_SERVING}
		r.picker = New(Config{
			Self: id, Members: r, Balancer: balance.New(r, nil), Cold: cold, Scope: tally.NoopScope,
			Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		})
		s.routers = append(s.routers, r)
	}
	return s
}

// setTarget replaces the status of a target, nil for none.
func (s *coldSite) setTarget(id string, st *pb.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []*pb.TargetStatus
	for _, t := range s.targets {
		if t.Id != id {
			next = append(next, t)
		}
	}
	if st != nil {
		next = append(next, st)
	}
	s.targets = next
}

// lose lets each router notice within 1 to 3 s which others it no longer reaches.
func (s *coldSite) lose(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	for _, r := range s.routers {
		for _, other := range s.routers {
			if _, gone := r.goneAt[other]; !gone && (other.side != r.side || other.dead) {
				r.goneAt[other] = time.Now().Add(time.Second + time.Duration(s.rng.Int64N(int64(2*time.Second))))
			}
		}
	}
}

// run sends the requests of d at a rate per second. Those of a hot key make up hot of them.
func (s *coldSite) run(d time.Duration, perSecond, hot float64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
		s.mu.Lock()
		r := s.routers[s.rng.IntN(len(s.routers))]
		dead, key := r.dead, fmt.Sprint("key-", s.rng.IntN(400))
		if s.rng.Float64() < hot {
			key = hotKey
		}
		if s.plain {
			key = ""
		}
		travel := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
		s.mu.Unlock()
		if !dead {
			go s.send(r, key, travel)
		}
	}
}

const hotKey = "hot"

// undisturbed is the time between the return of a cold target and the cut.
const undisturbed = 1500 * time.Millisecond

func (s *coldSite) send(r *coldRouter, key string, travel time.Duration) {
	c, err := r.picker.Pick(context.Background(), balance.Request{Service: "portal", Key: key, Slots: 24, TimeLeft: 10 * time.Second})
	if err != nil {
		s.mu.Lock()
		s.rejected++
		s.mu.Unlock()
		return
	}
	time.Sleep(travel)
	s.mu.Lock()
	s.arrivals[c.Target.Id] = append(s.arrivals[c.Target.Id], time.Now())
	s.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	c.Done(balance.Served)
}

// busiest returns the target that has received the most requests.
func (s *coldSite) busiest() (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, arrivals := range s.arrivals {
		if len(arrivals) > len(s.arrivals[id]) {
			id = other
		}
	}
	return id
}

// worstSecond returns the most requests that a target received in any second after from.
func (s *coldSite) worstSecond(id string, from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst := 0
	for i, first := range s.arrivals[id] {
		n := 0
		for _, at := range s.arrivals[id][i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if !first.Before(from) {
			worst = max(worst, n)
		}
	}
	return worst
}

// replayReturn lets the first choice of a hot key restart and return cold, cuts half of the
// routers off, and ends the owner of the target on the other side, whose successor takes over
// within the same seconds. It returns the most requests of the target in any second, its
// requests before the cut, and the number of rejected requests.
func replayReturn(seed uint64, plain bool, cold func(string) ColdRule) (worst, received, rejected int) {
	targets, dataCentre := 12, "here"
	if plain {
		// The targets of another data centre are never taken without asking the owner.
		targets, dataCentre = 3, "there"
	}
	s := newColdSite(seed, 70, targets, cold)
	s.plain = plain
	for _, st := range s.targets {
		st.DataCentre = dataCentre
	}
	s.run(3*time.Second, 110, 0.6)
	first := s.busiest()
	s.setTarget(first, nil)
	s.run(2*time.Second, 110, 0.6)
	returned := time.Now()
	st := &pb.TargetStatus{Id: first, Incarnation: 2, Sequence: 1, Service: "portal", Capacity: 24, DataCentre: dataCentre, ColdMs: 8000}
	s.setTarget(first, st)
	s.run(undisturbed, 110, 0.6)
	s.lose(func() {
		for i, r := range s.routers {
			r.side = i % 2
		}
	})
	s.run(1200*time.Millisecond, 110, 0.6)
	owner := s.routers[0].picker.targetOwner(st)
	s.lose(func() {
		for _, r := range s.routers {
			r.dead = r.dead || r.status.Id == owner.Id
		}
	})
	s.run(5*time.Second, 110, 0.6)
	time.Sleep(time.Second)
	worst = s.worstSecond(first, returned)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals[first] {
		if at.After(returned) && at.Before(returned.Add(undisturbed)) {
			received++
		}
	}
	return worst, received, s.rejected
}

// TestColdTargetReturns guards against a target that crashes again because the requests of a hot
// key, or of a service with few targets, reach it from all routers while it is cold, also while the
// fleet is cut in two and the owner of the target changes. The other targets must take the rest.
func TestColdTargetReturns(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			// A plain request prefers no target, so the cold one is asked for less often than
			// with the hot key.
			plain, least := seed == 3, 8
			if plain {
				least = 3
			}
			worst, received, rejected := replayReturn(seed, plain, coldTestRule)
			t.Logf("seed %d: %d requests in the worst second, %d before the cut, %d rejected", seed, worst, received, rejected)
			if worst > coldBound {
				t.Errorf("seed %d: a cold target received %d requests in a second, want at most %d", seed, worst, coldBound)
			}
			if received < least {
				t.Errorf("seed %d: the cold target received %d requests in %v, want at least %d", seed, received, undisturbed, least)
			}
			if rejected > 0 {
				t.Errorf("seed %d: %d requests were rejected beside warm targets", seed, rejected)
			}
		})
	}
	for _, plain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			worst, _, _ := replayReturn(0, plain, nil)
			t.Logf("without permits: %d requests in the worst second", worst)
			if worst <= coldBound {
				t.Errorf("without permits, %d requests in the worst second: the replay does not test the bound", worst)
			}
		})
	}
}

// TestEvacuationEndsCold guards against the requests that all targets of a data centre receive at
// once when its evacuation ends, and against marks that outlast a heartbeat of a warm target.
func TestEvacuationEndsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(1, 8, 2, coldTestRule)
		for _, r := range s.routers {
			r.picker.MarkDataCentreCold("here")
		}
		began := time.Now()
		s.run(1500*time.Millisecond, 150, 0.5)
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"t0", "t1"} {
			if worst := s.worstSecond(id, began); worst > coldBound {
				t.Errorf("%s received %d requests in a second, want at most %d", id, worst, coldBound)
			}
		}
		var err error
		for range 20 {
			_, err = s.routers[0].picker.Pick(context.Background(), balance.Request{Service: "portal", Key: hotKey, Slots: 24})
		}
		if limited := (*balance.LimitedError)(nil); !errors.As(err, &limited) || limited.RetryAfter <= 0 || limited.RetryAfter > time.Second {
			t.Errorf("with all targets cold: %v, want an error with the time until a permit", err)
		}
		warm := &pb.TargetStatus{Id: "t0", Incarnation: 1, Sequence: 1, Service: "portal", DataCentre: "here"}
		if rate := s.routers[0].picker.coldRate(warm); rate > 0 {
			t.Error("a target whose later heartbeat says that it is warm counts as cold")
		}
		if _, cold := s.routers[0].picker.coldRule(s.targets[1]); !cold {
			t.Error("a target without a later heartbeat does not count as cold")
		}
		time.Sleep(2 * time.Second)
		if _, cold := s.routers[0].picker.coldRule(s.targets[1]); cold {
			t.Error("a target counts as cold after the time that its service configures")
		}
	})
}

// TestColdTargetWithoutOwner guards against requests to a cold target whose owner does not
// answer, and against a reserved place that is used after its permit has aged.
func TestColdTargetWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdSite(1, 2, 2, coldTestRule)
		owner := s.routers[0].picker.targetOwner(s.targets[0])
		asker := s.routers[0]
		if owner.Id == asker.status.Id {
			asker = s.routers[1]
		}
		held, err := asker.picker.Pick(context.Background(), balance.Request{Service: "portal", Key: hotKey, Only: []string{"t0"}})
		if err != nil {
			t.Fatal(err)
		}
		s.setTarget("t0", &pb.TargetStatus{Id: "t0", Incarnation: 1, Service: "portal", Capacity: 24, DataCentre: "here", ColdMs: 3000})
		s.lose(func() {
			for _, r := range s.routers {
				r.dead = r.status.Id == owner.Id
			}
		})
		for i := range 20 {
			c, err := asker.picker.Pick(context.Background(), promptRequest(i))
			if err != nil || c.Target.Id != "t1" {
				t.Fatalf("request %d: %v, %v, want the warm target", i, c.Target, err)
			}
			c.Done(balance.Served)
		}
		time.Sleep(100 * time.Millisecond)
		if held.Renew(context.Background()) {
			t.Error("a place at a target that has become cold was used without a permit")
		}
	})
}
