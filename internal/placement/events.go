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
	// EventCleared: the cache was emptied. The event also starts a snapshot of the
	// complete cache contents, which an engine sends when a resync is requested.
	EventCleared
)

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Kind EventKind
	// Chat is the chat whose prefix is concerned. It is not used by EventCleared.
	Chat Key
}

// maxTrackedEngines bounds the number of engines whose events are tracked. At the bound,
// the events of further engines are ignored.
const maxTrackedEngines = 4096

// EventTracker applies the cache events of engines to a directory as hints. It detects
// missing and duplicate events by their sequence numbers. It is not safe for concurrent
// use.
type EventTracker struct {
	directory *Directory
	// feeds holds the position in the event sequence of each engine, by engine.
	feeds map[string]*engineFeed
}

// engineFeed is the position in the sequence of cache events of one engine.
type engineFeed struct {
	incarnation  uint64
	nextSequence uint64
}

// NewEventTracker returns a tracker that applies events to dir.
func NewEventTracker(dir *Directory) *EventTracker {
	return &EventTracker{directory: dir, feeds: make(map[string]*engineFeed)}
}

// Apply applies the events of one incarnation of an engine, which have the sequence
// numbers from, from+1 and so on. It reports whether a resync is needed because events
// before from are missing: the engine should then send EventCleared followed by its
// complete cache contents. Duplicate events and events of earlier incarnations are
// ignored. A later incarnation than before invalidates the engine's earlier entries.
func (t *EventTracker) Apply(now time.Time, engine string, incarnation, from uint64, events []CacheEvent) (resync bool) {
	state, ok := t.feeds[engine]
	switch {
	case !ok && len(t.feeds) >= maxTrackedEngines:
		return false
	case !ok:
		state = &engineFeed{incarnation: incarnation, nextSequence: from}
		t.feeds[engine] = state
		// The cache contents before the first received event are unknown.
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
	t.directory.RemoveInvalidation(engine)
}
