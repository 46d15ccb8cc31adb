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

// fakeLog holds tables as the replicated log does and shows each instance the
// newest one some time later.
type fakeLog struct {
	mu     sync.Mutex
	number uint64
	text   []byte
	// whole counts the whole tables that were put, bytes all that was.
	whole int
	bytes int
}

// laggingLog is the log as one instance sees it, lag behind it.
type laggingLog struct {
	log *fakeLog
	lag time.Duration

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

// commitDelay is the time of a commit.
const commitDelay = 20 * time.Millisecond

func (v *laggingLog) Put(_ context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	time.Sleep(commitDelay)
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += len(t.Document) + len(t.Delta)
	if len(t.Delta) == 0 {
		l.whole++
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

// follow shows the log to the instance after its lag, until ctx ends.
func (v *laggingLog) follow(ctx context.Context) {
	for ctx.Err() == nil {
		v.log.mu.Lock()
		number, text := v.log.number, v.log.text
		v.log.mu.Unlock()
		time.Sleep(v.lag)
		v.advance(number, text)
	}
}

// TestStormOfTables replays 25 versions within 1.5 s, each sent to one of nine
// instances, half of them to a second one too, and each third again after the
// next: only the first goes whole, and the newest is in force at the end. On links
// of 3 Mbit/s a whole one to eight replicas takes a second and more.
func TestStormOfTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, versions = 9, 25
		ctx, stop := context.WithCancel(t.Context())
		log := &fakeLog{}
		var views []*laggingLog
		var followers sync.WaitGroup
		for i := range instances {
			v := &laggingLog{log: log, lag: time.Duration(30+10*i) * time.Millisecond}
			views = append(views, v)
			followers.Go(func() { v.follow(ctx) })
		}
		put := func(at, version int) {
			held, err := putTable(ctx, views[at%instances], uint64(version), testkit.LargeTable(version))
			if err != nil || held < uint64(version) {
				t.Errorf("version %d at instance %d: %d held, %v", version, at%instances, held, err)
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
		if log.whole != 1 {
			t.Errorf("%d whole tables were put, %d bytes in all, want the first one only", log.whole, log.bytes)
		}
	})
}

// TestOldTablesReachNoLog sends a table again that is in force, and an older one:
// both are acknowledged by what is held, and nothing is put.
func TestOldTablesReachNoLog(t *testing.T) {
	v := &laggingLog{log: &fakeLog{}, number: 7, text: testkit.LargeTable(7)}
	for _, number := range []uint64{7, 3} {
		if held, err := putTable(t.Context(), v, number, testkit.LargeTable(int(number))); err != nil || held != 7 {
			t.Errorf("table %d: %d held, %v, want 7", number, held, err)
		}
	}
	if v.log.bytes > 0 {
		t.Errorf("%d bytes were put", v.log.bytes)
	}
}

// TestTableReader has large reads answered by routers that serve, one that has the
// table if any is known to.
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
