package placement

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	testseed.Fix(1, 0)
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(n, capacity int) []Engine {
	all := make([]Engine, n)
	for i := range all {
		id := fmt.Sprint("engine-", i)
		all[i] = Engine{ID: id, Hash: HashEngine(id), Incarnation: 1, Capacity: capacity}
	}
	return all
}

func newChooser() *Chooser {
	return &Chooser{
		Factor: DefaultBoundFactor, Spread: DefaultSpread, SlowStart: DefaultSlowStart,
		Directory: NewDirectory(1000),
	}
}

// TestBoundAlwaysLeavesRoom checks that the load bound alone never causes a rejection,
// because at least one engine is always below it, and that no selection exceeds it.
func TestBoundAlwaysLeavesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 20).Draw(t, "loads")
		all := engines(len(loads), 1000)
		total := 1
		for i, load := range loads {
			all[i].InFlight = load
			total += load
		}
		factor := rapid.Float64Range(1, 3).Draw(t, "factor")
		c := newChooser()
		c.Factor = factor
		key := ChatKey(rapid.String().Draw(t, "chat"))
		for _, choice := range []Choice{c.Choose(start, key, all), c.LeastLoaded(key, all)} {
			if choice.Index < 0 {
				t.Fatalf("no engine with loads %v has capacity", loads)
			}
			if !WithinLoadLimit(factor, loads[choice.Index]+1, total, len(loads)) {
				t.Fatalf("engine with load %d of %v selected", loads[choice.Index], loads)
			}
		}
	})
}

// TestHolderKeepsItsChat checks that a chat is assigned to the engine that has its prefix
// cached, also after that engine was absent for a short time, and that a restart of the
// engine invalidates the directory entry.
func TestHolderKeepsItsChat(t *testing.T) {
	c := newChooser()
	all := engines(8, 10)
	key := ChatKey("chat")
	c.Directory.Record(key, Holder{Engine: "engine-5", Incarnation: 1, Used: start})
	if got := c.Choose(start, key, all); got.Index != 5 || got.Reason != ReasonCached {
		t.Fatalf("got %+v", got)
	}
	withoutHolder := append(append([]Engine(nil), all[:5]...), all[6:]...)
	other := c.Choose(start, key, withoutHolder)
	c.Directory.Record(key, Holder{Engine: withoutHolder[other.Index].ID, Incarnation: 1, Used: start})
	c.Directory.RemoveHolder(key, withoutHolder[other.Index].ID)
	if got := c.Choose(start, key, all); got.Index != 5 {
		t.Fatalf("after the absence of engine 5: %+v", got)
	}
	all[5].Incarnation = 2
	if got := c.Choose(start, key, all); got.Reason == ReasonCached {
		t.Fatalf("a restarted engine is selected as cached: %+v", got)
	}
}

func TestFullHolderIsPassedOver(t *testing.T) {
	c := newChooser()
	all := engines(4, 10)
	key := ChatKey("chat")
	c.Directory.Record(key, Holder{Engine: "engine-1", Incarnation: 1, Used: start})
	all[1].InFlight = 10
	if got := c.Choose(start, key, all); got.Index == 1 || got.Index < 0 || got.Reason != ReasonOverflow && got.Reason != ReasonTopScore {
		t.Fatalf("got %+v", got)
	}
	for i := range all {
		all[i].Blocked = true
	}
	if got := c.Choose(start, key, all); got.Index >= 0 {
		t.Fatalf("a blocked engine was selected: %+v", got)
	}
}

// TestGradualTakeover checks the slow start: a joining engine's share of the chats grows
// linearly with the time since it joined.
func TestGradualTakeover(t *testing.T) {
	c := newChooser()
	c.Spread = 1
	all := engines(4, 1000)
	all[3].Joined = start
	share := func(after time.Duration) float64 {
		n := 0
		for i := range 4000 {
			if c.Choose(start.Add(after), ChatKey(fmt.Sprint(i)), all).Index == 3 {
				n++
			}
		}
		return float64(n) / 4000
	}
	for _, want := range []struct {
		after    time.Duration
		low, top float64
	}{{0, 0, 0}, {DefaultSlowStart / 2, 0.10, 0.15}, {DefaultSlowStart, 0.22, 0.28}} {
		if got := share(want.after); got < want.low || got > want.top {
			t.Errorf("after %v the joining engine receives %.3f of the chats", want.after, got)
		}
	}
}

func TestDirectoryIsBounded(t *testing.T) {
	d := NewDirectory(10)
	for i := range 100 {
		d.Record(ChatKey(fmt.Sprint(i)), Holder{Engine: "e", Incarnation: 1, Used: start})
	}
	if d.Len() != 10 {
		t.Fatalf("%d chats in a directory of 10", d.Len())
	}
	if d.Holders(ChatKey("99"))[0].Engine != "e" || d.Holders(ChatKey("0"))[0].Engine != "" {
		t.Fatal("the directory does not hold exactly the latest chats")
	}
}

// TestResyncRenewsHolders checks that the holders confirmed by the snapshot of a resync
// are valid again, that the others are not, and that a resync is requested after a gap in
// the sequence numbers.
func TestResyncRenewsHolders(t *testing.T) {
	d := NewDirectory(10)
	tracker := NewEventTracker(d)
	kept, lost := ChatKey("kept"), ChatKey("lost")
	d.Record(kept, Holder{Engine: "e", Incarnation: 1, Used: start})
	d.Record(lost, Holder{Engine: "e", Incarnation: 1, Used: start})
	now := start.Add(time.Second)
	if tracker.Apply(now, "e", 1, 1, []CacheEvent{{Kind: EventStored, Chat: kept}}) {
		t.Fatal("resync requested without a gap")
	}
	if !tracker.Apply(now, "e", 1, 5, []CacheEvent{{Kind: EventStored, Chat: kept}}) {
		t.Fatal("no resync requested after a gap")
	}
	if tracker.Apply(now, "e", 1, 6, []CacheEvent{{Kind: EventCleared}, {Kind: EventStored, Chat: kept}}) {
		t.Fatal("another resync requested after a complete snapshot")
	}
	if d.Holders(kept)[0].Engine != "e" {
		t.Error("a holder confirmed by the resync is missing")
	}
	if d.Holders(lost)[0].Engine != "" {
		t.Error("a holder not confirmed by the resync is returned")
	}
	// Duplicate events and events of an earlier incarnation are ignored.
	tracker.Apply(now, "e", 1, 6, []CacheEvent{{Kind: EventEvicted, Chat: kept}})
	tracker.Apply(now, "e", 0, 9, []CacheEvent{{Kind: EventEvicted, Chat: kept}})
	if d.Holders(kept)[0].Engine != "e" {
		t.Error("a duplicate or outdated event was applied")
	}
	tracker.Apply(now.Add(time.Second), "e", 2, 1, nil)
	if d.Holders(kept)[0].Engine != "" {
		t.Error("the holders of a restarted engine are returned")
	}
}

// TestOldHintChangesNothing checks that an older hint does not replace a newer entry. If
// it did, InvalidateEngine would wrongly invalidate the entry.
func TestOldHintChangesNothing(t *testing.T) {
	d := NewDirectory(10)
	key := ChatKey("chat")
	d.Record(key, Holder{Engine: "e", Incarnation: 1, Used: start.Add(time.Minute)})
	d.RecordHint(key, Holder{Engine: "e", Incarnation: 1, Used: start})
	d.InvalidateEngine("e", start.Add(time.Second))
	if d.Holders(key)[0].Engine != "e" {
		t.Fatal("an older hint replaced the holder's time of use")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newChooser()
			all := engines(n, 16)
			for i := range all {
				all[i].InFlight = i % 7
			}
			b.ReportAllocs()
			for i := range b.N {
				c.Choose(start, Key(i)*2+1, all)
			}
		})
	}
}
