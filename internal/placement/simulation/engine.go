package simulation

import (
	"container/list"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

const (
	// engineCapacity is the number of requests that an engine runs concurrently.
	engineCapacity = 16
	// engineChats bounds the prefixes in an engine's cache.
	engineChats = 900
)

// engine simulates an engine: it runs requests up to its capacity, queues the others
// in order, and caches the prefixes of its most recently used chats.
type engine struct {
	id          string
	incarnation uint64
	// present is set while the engine is up, announced while it is in the routers'
	// view.
	present   bool
	announced bool
	leaving   bool
	running   int
	queue     []*request
	cache     map[placement.Key]*list.Element
	recency   *list.List
	// events are the unpublished cache events; next is the sequence number of the
	// first.
	events       []placement.CacheEvent
	nextSequence uint64
}

func newEngine(id string) *engine {
	return &engine{
		id: id, incarnation: 1, present: true, announced: true, nextSequence: 1,
		cache: make(map[placement.Key]*list.Element), recency: list.New(),
	}
}

func (e *engine) inFlight() int { return e.running + len(e.queue) }

func (e *engine) eligible() bool { return e.present && e.announced && !e.leaving }

func (e *engine) hasCached(k placement.Key) bool {
	_, ok := e.cache[k]
	return ok
}

// cachePrefix caches a chat's prefix and evicts the least recently used one if the cache is
// full.
func (e *engine) cachePrefix(k placement.Key) {
	if el, ok := e.cache[k]; ok {
		e.recency.MoveToFront(el)
		return
	}
	e.cache[k] = e.recency.PushFront(k)
	e.events = append(e.events, placement.CacheEvent{Kind: placement.EventStored, Chat: k})
	if len(e.cache) <= engineChats {
		return
	}
	oldest := e.recency.Back()
	evicted := oldest.Value.(placement.Key)
	e.recency.Remove(oldest)
	delete(e.cache, evicted)
	e.events = append(e.events, placement.CacheEvent{Kind: placement.EventEvicted, Chat: evicted})
}

// restart empties the cache and starts a new incarnation.
func (e *engine) restart() {
	e.incarnation++
	e.cache = make(map[placement.Key]*list.Element)
	e.recency.Init()
	e.events = nil
	e.nextSequence = 1
}

// snapshot returns the reply to a resync request: EventCleared and the complete cache
// contents.
func (e *engine) snapshot() []placement.CacheEvent {
	all := []placement.CacheEvent{{Kind: placement.EventCleared}}
	for el := e.recency.Back(); el != nil; el = el.Prev() {
		all = append(all, placement.CacheEvent{Kind: placement.EventStored, Chat: el.Value.(placement.Key)})
	}
	return all
}

// epoch is the virtual time at which traces start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func virtualTime(d time.Duration) time.Time { return epoch.Add(d) }
