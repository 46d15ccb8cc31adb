package placement

import "time"

// EventKind is the kind of a cache event.
type EventKind int

// Kinds of cache events.
const (
	// EventStored: the prefix of the chat was cached.
	EventStored EventKind = iota + 1
	// EventEvicted: the prefix of the chat was evicted.
	EventEvicted
	// EventCleared: the cache was emptied. The event also starts the snapshot that is
	// the reply to a resync request.
	EventCleared
)

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Kind EventKind
	Chat Key
}

// maxTrackedEngines bounds the engines whose events are tracked.
const maxTrackedEngines = 4096

// EventTracker tracks the cache events of engines by sequence number and applies them
// to a directory as hints. It is not safe for concurrent use.
type EventTracker struct {
	directory *Directory
	feeds     map[string]*engineFeed
}

type engineFeed struct {
	incarnation  uint64
	nextSequence uint64
}

// NewEventTracker returns a tracker that applies events to dir.
func NewEventTracker(dir *Directory) *EventTracker {
	return &EventTracker{directory: dir, feeds: make(map[string]*engineFeed)}
}

// Apply applies the events of one incarnation of an engine, which have the sequence
// numbers from, from+1 and so on. It reports resync if events before from are missing:
// the engine should then send EventCleared followed by its complete cache contents.
// Duplicate events and events of earlier incarnations are ignored.
func (t *EventTracker) Apply(now time.Time, engine string, incarnation, from uint64, events []CacheEvent) (resync bool) {
	state, ok := t.feeds[engine]
	switch {
	case !ok && len(t.feeds) >= maxTrackedEngines:
		return false
	case !ok:
		state = &engineFeed{incarnation: incarnation, nextSequence: from}
		t.feeds[engine] = state
		// The cache contents before the first event received here are unknown.
		resync = from > 1 && !startsSnapshot(events)
	case incarnation < state.incarnation:
		return false
	case incarnation > state.incarnation:
		*state = engineFeed{incarnation: incarnation, nextSequence: from}
		t.directory.InvalidateEngine(engine, now)
	}
	if from > state.nextSequence {
		resync = !startsSnapshot(events)
		state.nextSequence = from
	}
	for i, ev := range events {
		sequence := from + uint64(i)
		if sequence < state.nextSequence {
			continue
		}
		state.nextSequence = sequence + 1
		t.apply(now, engine, incarnation, ev)
	}
	return resync
}

// startsSnapshot reports whether events start with the complete contents of a cache.
func startsSnapshot(events []CacheEvent) bool {
	return len(events) > 0 && events[0].Kind == EventCleared
}

func (t *EventTracker) apply(now time.Time, engine string, incarnation uint64, ev CacheEvent) {
	switch ev.Kind {
	case EventStored:
		t.directory.RecordHint(ev.Chat, Holder{Engine: engine, Incarnation: incarnation, Used: now})
	case EventEvicted:
		t.directory.RemoveHolder(ev.Chat, engine)
	case EventCleared:
		t.directory.InvalidateEngine(engine, now)
	}
}

// RemoveEngine stops tracking an engine that does not return.
func (t *EventTracker) RemoveEngine(engine string) {
	delete(t.feeds, engine)
	t.directory.RemoveEngine(engine)
}
