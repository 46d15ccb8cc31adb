package placement

import (
	"container/list"
	"time"
)

const (
	// DefaultDirectorySize is the default maximum number of chats in a directory.
	DefaultDirectorySize = 131072
	// holdersPerChat is the maximum number of engines recorded for one chat.
	holdersPerChat = 2
)

// Holder is an engine that is expected to have a chat's prefix cached.
type Holder struct {
	Engine      string
	Incarnation uint64
	// Used is the time at which the chat was last assigned to the engine, or at which
	// the engine last reported the prefix as cached.
	Used time.Time
}

// Directory records which engines have the prefixes of recent chats cached. At its
// maximum size it evicts the least recently used chat. It is not safe for concurrent use.
type Directory struct {
	size    int
	entries map[Key]*list.Element
	// order lists the entries, the most recently used one first.
	order *list.List
	// clearedAt is the time at which an engine's cache was last emptied, by engine.
	clearedAt map[string]time.Time
}

type directoryEntry struct {
	key     Key
	holders [holdersPerChat]Holder
}

// NewDirectory returns a directory of at most size chats.
func NewDirectory(size int) *Directory {
	return &Directory{
		size:      size,
		entries:   make(map[Key]*list.Element),
		order:     list.New(),
		clearedAt: make(map[string]time.Time),
	}
}

// Len returns the number of chats in the directory.
func (d *Directory) Len() int { return len(d.entries) }

// Record records that a chat was assigned to an engine. The chat's previous holder is kept
// as the second one, since that engine may become available again with the prefix still
// cached. A chat with key zero is not recorded.
func (d *Directory) Record(k Key, h Holder) {
	if k == 0 || d.size <= 0 {
		return
	}
	e := d.touch(k)
	if e.holders[0].Engine != h.Engine {
		e.holders[1] = e.holders[0]
	}
	e.holders[0] = h
}

// RecordHint records that an engine reported a chat's prefix as cached. A hint never
// replaces another engine as holder. For an engine that is a holder already, a newer hint
// updates the entry; the entry is then valid again if InvalidateEngine had invalidated it.
func (d *Directory) RecordHint(k Key, h Holder) {
	if k == 0 || d.size <= 0 {
		return
	}
	e := d.touch(k)
	for i := range e.holders {
		if e.holders[i].Engine == h.Engine {
			if h.Used.After(e.holders[i].Used) {
				e.holders[i] = h
			}
			return
		}
	}
	for i := range e.holders {
		if e.holders[i].Engine == "" {
			e.holders[i] = h
			return
		}
	}
}

// RemoveHolder records that an engine evicted a chat's prefix.
func (d *Directory) RemoveHolder(k Key, engine string) {
	el, ok := d.entries[k]
	if !ok {
		return
	}
	e := el.Value.(*directoryEntry)
	if e.holders[1].Engine == engine {
		e.holders[1] = Holder{}
	}
	if e.holders[0].Engine == engine {
		e.holders[0], e.holders[1] = e.holders[1], Holder{}
	}
	if e.holders[0].Engine == "" {
		d.order.Remove(el)
		delete(d.entries, k)
	}
}

// InvalidateEngine records that an engine's cache was emptied at the given time. Holders
// no longer returns the engine for chats last used there before that time.
func (d *Directory) InvalidateEngine(engine string, at time.Time) { d.clearedAt[engine] = at }

// RemoveInvalidation removes the invalidation time of an engine that does not return. The
// engine's holder entries remain until they are evicted, and Holders returns those from
// before that time again.
func (d *Directory) RemoveInvalidation(engine string) { delete(d.clearedAt, engine) }

// Holders returns the chat's holders, the most recently assigned one first, without those
// whose cache was emptied since. In unused elements of the array, Engine is empty.
func (d *Directory) Holders(k Key) [holdersPerChat]Holder {
	var holders [holdersPerChat]Holder
	el, ok := d.entries[k]
	if !ok {
		return holders
	}
	n := 0
	for _, h := range el.Value.(*directoryEntry).holders {
		if h.Engine == "" || h.Used.Before(d.clearedAt[h.Engine]) {
			continue
		}
		holders[n] = h
		n++
	}
	return holders
}

// touch returns the entry of a chat and marks it as most recently used. It adds a
// missing entry, and evicts the least recently used chat if the directory is full.
func (d *Directory) touch(k Key) *directoryEntry {
	if el, ok := d.entries[k]; ok {
		d.order.MoveToFront(el)
		return el.Value.(*directoryEntry)
	}
	if len(d.entries) >= d.size {
		oldest := d.order.Back()
		delete(d.entries, oldest.Value.(*directoryEntry).key)
		d.order.Remove(oldest)
	}
	e := &directoryEntry{key: k}
	d.entries[k] = d.order.PushFront(e)
	return e
}
