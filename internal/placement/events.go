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

// maxTrackedEngines bounds the engines whose events are followed.
const maxTrackedEngines = 4096

// EventTracker follows the cache events of engines by sequence number and applies
// them to a directory as hints. It is not safe for concurrent use.
type EventTracker struct {
	directory *Directory
	feeds     map[string]*feedState
}

type feedState struct {
	incarnation  uint64
	nextSequence uint64
}

// NewEventTracker follows events into dir.
func NewEventTracker(dir *Directory) *EventTracker {
	return &EventTracker{directory: dir, feeds: make(map[string]*feedState)}
}

// Apply takes the events numbered from, from+1 and so on of one incarnation.
// It returns resync if events before from are missing: the engine should then
// send EventCleared and all that it holds. What is seen twice is ignored.
func (f *EventTracker) Apply(now time.Time, engine string, incarnation, from uint64, events []CacheEvent) (resync bool) {
	fd, ok := f.feeds[engine]
	switch {
	case !ok && len(f.feeds) >= maxTrackedEngines:
		return false
	case !ok:
		fd = &feedState{incarnation: incarnation, nextSequence: from}
		f.feeds[engine] = fd
		// What the engine held before its first event here is unknown.
		resync = from > 1 && !startsSnapshot(events)
	case incarnation < fd.incarnation:
		return false
	case incarnation > fd.incarnation:
		*fd = feedState{incarnation: incarnation, nextSequence: from}
		f.directory.InvalidateEngine(engine, now)
	}
	if from > fd.nextSequence {
		resync = !startsSnapshot(events)
		fd.nextSequence = from
	}
	for i, ev := range events {
		number := from + uint64(i)
		if number < fd.nextSequence {
			continue
		}
		fd.nextSequence = number + 1
		f.apply(now, engine, incarnation, ev)
	}
	return resync
}

func startsSnapshot(events []CacheEvent) bool {
	return len(events) > 0 && events[0].Kind == EventCleared
}

func (f *EventTracker) apply(now time.Time, engine string, incarnation uint64, ev CacheEvent) {
	switch ev.Kind {
	case EventStored:
		f.directory.RecordHint(ev.Chat, Holder{Engine: engine, Incarnation: incarnation, Used: now})
	case EventEvicted:
		f.directory.RemoveHolder(ev.Chat, engine)
	case EventCleared:
		f.directory.InvalidateEngine(engine, now)
	}
}

// RemoveEngine stops following an engine that is gone for good.
func (f *EventTracker) RemoveEngine(engine string) {
	delete(f.feeds, engine)
	f.directory.RemoveEngine(engine)
}
