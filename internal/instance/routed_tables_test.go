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

// fakeLog replaces the replicated log in tests. It holds the newest table, which each
// laggingLog receives after a delay.
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

func (tl *laggingLog) Current() (uint64, []byte) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return tl.number, tl.text
}

func (tl *laggingLog) advance(number uint64, text []byte) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if number > tl.number {
		tl.number, tl.text = number, text
	}
}

// commitDelay is the duration of a commit.
const commitDelay = 20 * time.Millisecond

func (tl *laggingLog) Put(_ context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	time.Sleep(commitDelay)
	l := tl.shared
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

// follow repeatedly copies the newest table of the shared log to tl after the lag, until ctx
// ends.
func (tl *laggingLog) follow(ctx context.Context) {
	for ctx.Err() == nil {
		tl.shared.mu.Lock()
		number, text := tl.shared.number, tl.shared.text
		tl.shared.mu.Unlock()
		time.Sleep(tl.lag)
		tl.advance(number, text)
	}
}

// TestStormOfTables puts 25 versions within 1.5 s, each at one of nine instances, every
// second version at another instance too, and every third one together with a repetition of
// its predecessor. It guards against full tables in such a burst: on links of 3 Mbit/s, a
// full table to eight replicas takes a second or more. Only the first table may be sent in
// full, and the log must hold the newest table at the end.
func TestStormOfTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, versions = 9, 25
		ctx, stop := context.WithCancel(t.Context())
		log := &fakeLog{}
		var logs []*laggingLog
		var followers sync.WaitGroup
		for i := range instances {
			tl := &laggingLog{shared: log, lag: time.Duration(30+10*i) * time.Millisecond}
			logs = append(logs, tl)
			followers.Go(func() { tl.follow(ctx) })
		}
		put := func(at, version int) {
			held, err := putTable(ctx, logs[at%instances], uint64(version), testkit.LargeTable(version))
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

// TestOldTablesReachNoLog puts the active table again and then an older one. Both must be
// acknowledged with the active number, and nothing may be written to the log.
func TestOldTablesReachNoLog(t *testing.T) {
	tl := &laggingLog{shared: &fakeLog{}, number: 7, text: testkit.LargeTable(7)}
	for _, number := range []uint64{7, 3} {
		if held, err := putTable(t.Context(), tl, number, testkit.LargeTable(int(number))); err != nil || held != 7 {
			t.Errorf("table %d: acknowledged %d, %v, want 7", number, held, err)
		}
	}
	if tl.shared.bytes > 0 {
		t.Errorf("%d bytes were put", tl.shared.bytes)
	}
}

// TestTableReader checks which router large reads are redirected to: a serving one,
// preferably with the table or a newer one, never a draining router or a replica.
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
