package placement

import "time"

// EventKind is the kind of a cache event.
type EventKind int

// Kinds of cache events.
const (
	// EventStored: the prefix of the chat is now held.
	EventStored EventKind = iota + 1
	// EventEvicted: the prefix of the chat is no longer held.
	EventEvicted
	// EventCleared: nothing is held. It also opens the answer to a resync.
	EventCleared
)

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Kind EventKind
	Chat Key
}

// maxFeeds bounds the engines whose events are followed.
const maxFeeds = 4096

// Feeds follows the cache events of engines by sequence number and applies
// them to a directory as hints. It is not safe for concurrent use.
type Feeds struct {
	dir   *Directory
	feeds map[string]*feed
}

type feed struct {
	incarnation uint64
	next        uint64
}

// NewFeeds follows events into dir.
func NewFeeds(dir *Directory) *Feeds {
	return &Feeds{dir: dir, feeds: make(map[string]*feed)}
}

// Apply takes the events numbered from, from+1 and so on of one incarnation.
// It returns resync if events before from are missing: the engine should then
// send EventCleared and all that it holds. What is seen twice is ignored.
func (f *Feeds) Apply(now time.Time, engine string, incarnation, from uint64, events []CacheEvent) (resync bool) {
	fd, ok := f.feeds[engine]
	switch {
	case !ok && len(f.feeds) >= maxFeeds:
		return false
	case !ok:
		fd = &feed{incarnation: incarnation, next: from}
		f.feeds[engine] = fd
		// What the engine held before its first event here is unknown.
		resync = from > 1 && !opensResync(events)
	case incarnation < fd.incarnation:
		return false
	case incarnation > fd.incarnation:
		*fd = feed{incarnation: incarnation, next: from}
		f.dir.Clear(engine, now)
	}
	if from > fd.next {
		resync = !opensResync(events)
		fd.next = from
	}
	for i, ev := range events {
		number := from + uint64(i)
		if number < fd.next {
			continue
		}
		fd.next = number + 1
		f.apply(now, engine, incarnation, ev)
	}
	return resync
}

func opensResync(events []CacheEvent) bool {
	return len(events) > 0 && events[0].Kind == EventCleared
}

func (f *Feeds) apply(now time.Time, engine string, incarnation uint64, ev CacheEvent) {
	switch ev.Kind {
	case EventStored:
		f.dir.Hint(ev.Chat, Holder{Engine: engine, Incarnation: incarnation, Used: now})
	case EventEvicted:
		f.dir.Forget(ev.Chat, engine)
	case EventCleared:
		f.dir.Clear(engine, now)
	}
}

// Drop stops following an engine that is gone for good.
func (f *Feeds) Drop(engine string) {
	delete(f.feeds, engine)
	f.dir.Drop(engine)
}
