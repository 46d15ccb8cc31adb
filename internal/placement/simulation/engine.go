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
	order     *list.List
	// events are the unpublished cache events; next is the sequence number of the
	// first.
	events []placement.CacheEvent
	next   uint64
}

func newEngine(id string) *engine {
	return &engine{
		id: id, incarnation: 1, present: true, announced: true, next: 1,
		cache: make(map[placement.Key]*list.Element), order: list.New(),
	}
}

func (e *engine) inFlight() int { return e.running + len(e.queue) }

func (e *engine) eligible() bool { return e.present && e.announced && !e.leaving }

func (e *engine) holds(k placement.Key) bool {
	_, ok := e.cache[k]
	return ok
}

// store caches a chat's prefix and evicts the least recently used one if the cache is
// full.
func (e *engine) store(k placement.Key) {
	if el, ok := e.cache[k]; ok {
		e.order.MoveToFront(el)
		return
	}
	e.cache[k] = e.order.PushFront(k)
	e.events = append(e.events, placement.CacheEvent{Kind: placement.EventStored, Chat: k})
	if len(e.cache) <= engineChats {
		return
	}
	oldest := e.order.Back()
	evicted := oldest.Value.(placement.Key)
	e.order.Remove(oldest)
	delete(e.cache, evicted)
	e.events = append(e.events, placement.CacheEvent{Kind: placement.EventEvicted, Chat: evicted})
}

// restart empties the cache and starts a new incarnation.
func (e *engine) restart() {
	e.incarnation++
	e.cache = make(map[placement.Key]*list.Element)
	e.order.Init()
	e.events = nil
	e.next = 1
}

// snapshot returns the reply to a resync request: EventCleared and the complete cache
// contents.
func (e *engine) snapshot() []placement.CacheEvent {
	all := []placement.CacheEvent{{Kind: placement.EventCleared}}
	for el := e.order.Back(); el != nil; el = el.Prev() {
		all = append(all, placement.CacheEvent{Kind: placement.EventStored, Chat: el.Value.(placement.Key)})
	}
	return all
}

// epoch is the virtual time at which traces start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }
