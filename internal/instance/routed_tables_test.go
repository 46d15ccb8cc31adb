package instance

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// fakeLog stands in for the replicated log: it holds the newest table, which each
// laggingLog sees after a delay.
type fakeLog struct {
	mu     sync.Mutex
	number uint64
	text   []byte
	// full counts the full tables that were put; bytes is the size of all tables and
	// deltas that were put.
	full  int
	bytes int
}

// laggingLog implements tableLog for one instance, which receives tables lag after their
// commit.
type laggingLog struct {
	shared *fakeLog
	lag    time.Duration

	mu     sync.Mutex
	number uint64
	text   []byte
}

func (v *laggingLog) Current() (uint64, []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.number, v.text
}

func (v *laggingLog) advance(number uint64, text []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if number > v.number {
		v.number, v.text = number, text
	}
}

// commitDelay is how long a commit takes.
const commitDelay = 20 * time.Millisecond

func (v *laggingLog) Put(_ context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	time.Sleep(commitDelay)
	l := v.shared
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += len(t.Document) + len(t.Delta)
	if len(t.Delta) == 0 {
		l.full++
	}
	if t.Number <= l.number {
		return &pb.RoutingTableResult{Number: l.number}, nil
	}
	if len(t.Delta) > 0 && t.Base != l.number {
		return &pb.RoutingTableResult{Number: l.number, WholeNeeded: true}, nil
	}
	text, err := document.Unpack(t.Document)
	if len(t.Delta) > 0 {
		var delta []byte
		if delta, err = document.Unpack(t.Delta); err == nil {
			text, err = document.Patch(l.text, delta)
		}
	}
	if err != nil {
		return nil, err
	}
	l.number, l.text = t.Number, text
	return &pb.RoutingTableResult{Number: t.Number}, nil
}

// follow copies the newest table of the log to v after the lag, until ctx ends.
func (v *laggingLog) follow(ctx context.Context) {
	for ctx.Err() == nil {
		v.shared.mu.Lock()
		number, text := v.shared.number, v.shared.text
		v.shared.mu.Unlock()
		time.Sleep(v.lag)
		v.advance(number, text)
	}
}

// TestStormOfTables puts 25 versions within 1.5 s, each at one of nine instances, every
// second version at another instance too, and every third one together with a repetition of
// its predecessor. It guards against full tables in such a burst, since on links of 3 Mbit/s
// a full table to eight replicas takes a second or more: only the first table may be sent in
// full, and the newest must be active at the end.
func TestStormOfTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, versions = 9, 25
		ctx, stop := context.WithCancel(t.Context())
		log := &fakeLog{}
		var views []*laggingLog
		var followers sync.WaitGroup
		for i := range instances {
			v := &laggingLog{shared: log, lag: time.Duration(30+10*i) * time.Millisecond}
			views = append(views, v)
			followers.Go(func() { v.follow(ctx) })
		}
		put := func(at, version int) {
			held, err := putTable(ctx, views[at%instances], uint64(version), testkit.LargeTable(version))
			if err != nil || held < uint64(version) {
				t.Errorf("version %d at instance %d: acknowledged %d, %v", version, at%instances, held, err)
			}
		}
		put(0, 1)
		time.Sleep(time.Second)
		var puts sync.WaitGroup
		for version := 2; version <= versions; version++ {
			puts.Go(func() { put(version*4, version) })
			if version%2 == 0 {
				puts.Go(func() { put(version*4+1, version) })
			}
			if version%3 == 0 {
				puts.Go(func() { put(version*4+2, version-1) })
			}
			time.Sleep(60 * time.Millisecond)
		}
		puts.Wait()
		stop()
		followers.Wait()
		if log.number != versions || string(log.text) != string(testkit.LargeTable(versions)) {
			t.Errorf("the log holds version %d at the end, want %d", log.number, versions)
		}
		if log.full != 1 {
			t.Errorf("%d full tables were put, %d bytes in all, want the first one only", log.full, log.bytes)
		}
	})
}

// TestOldTablesReachNoLog puts the active table again, and an older one: both are
// acknowledged with the active number, and nothing is written to the log.
func TestOldTablesReachNoLog(t *testing.T) {
	v := &laggingLog{shared: &fakeLog{}, number: 7, text: testkit.LargeTable(7)}
	for _, number := range []uint64{7, 3} {
		if held, err := putTable(t.Context(), v, number, testkit.LargeTable(int(number))); err != nil || held != 7 {
			t.Errorf("table %d: acknowledged %d, %v, want 7", number, held, err)
		}
	}
	if v.shared.bytes > 0 {
		t.Errorf("%d bytes were put", v.shared.bytes)
	}
}

// TestTableReader selects the router for large reads: a serving one, preferably with the
// table or a newer one, never a draining router or a replica.
func TestTableReader(t *testing.T) {
	router := func(id string, number uint64) *pb.RouterStatus {
		return &pb.RouterStatus{Id: id, CallerAddr: "10.0.0.1:80", State: pb.RouterState_ROUTER_STATE_SERVING, RoutingTable: number}
	}
	replica := router("replica", 9)
	replica.CallerAddr = ""
	draining := router("draining", 9)
	draining.State = pb.RouterState_ROUTER_STATE_DRAINING
	first := func(int) int { return 0 }
	for _, c := range []struct {
		name    string
		routers []*pb.RouterStatus
		want    string
	}{
		{"none serves", []*pb.RouterStatus{replica, draining}, ""},
		{"one has the table", []*pb.RouterStatus{replica, draining, router("old", 8), router("new", 9)}, "new"},
		{"one has a newer table", []*pb.RouterStatus{router("old", 8), router("newer", 10)}, "newer"},
		{"none has it yet", []*pb.RouterStatus{replica, router("old", 8)}, "old"},
	} {
		if got := pickTableRouter(c.routers, 9, first).GetId(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
