package placement

import (
	"container/list"
	"time"
)

const (
	// DefaultDirectorySize bounds the chats that one router remembers.
	DefaultDirectorySize = 131072
	// holdersPerChat bounds the engines remembered for one chat.
	holdersPerChat = 2
)

// Holder is an engine that is believed to hold a chat's prefix.
type Holder struct {
	Engine      string
	Incarnation uint64
	// Used is when the chat was last placed there.
	Used time.Time
}

// Directory remembers recent placements, most recently used first, up to a
// bound. It is not safe for concurrent use.
type Directory struct {
	size    int
	entries map[Key]*list.Element
	order   *list.List
	// clearedAt is when an engine's cache was last emptied, by engine.
	clearedAt map[string]time.Time
}

type directoryEntry struct {
	key     Key
	holders [holdersPerChat]Holder
}

// NewDirectory makes a directory of at most size chats.
func NewDirectory(size int) *Directory {
	return &Directory{
		size:      size,
		entries:   make(map[Key]*list.Element),
		order:     list.New(),
		clearedAt: make(map[string]time.Time),
	}
}

// Len returns the number of chats remembered.
func (d *Directory) Len() int { return len(d.entries) }

// Record notes that a chat was placed on an engine. The chat's other holder
// stays remembered, since its engine may come back.
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

// RecordHint notes that an engine reported a chat's prefix as held. It never
// displaces a holder that a placement recorded, but confirms one that a
// cleared cache had made cold.
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

// RemoveHolder notes that an engine evicted a chat's prefix.
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

// InvalidateEngine notes that an engine's cache was emptied; all older holders of that
// engine count as cold.
func (d *Directory) InvalidateEngine(engine string, at time.Time) { d.clearedAt[engine] = at }

// RemoveEngine forgets what is kept for an engine that is gone for good.
func (d *Directory) RemoveEngine(engine string) { delete(d.clearedAt, engine) }

// Holders returns the chat's holders, the most recent one first. Those of a
// cleared cache are left out, and empty ones have no engine.
func (d *Directory) Holders(k Key) [holdersPerChat]Holder {
	var held [holdersPerChat]Holder
	el, ok := d.entries[k]
	if !ok {
		return held
	}
	n := 0
	for _, h := range el.Value.(*directoryEntry).holders {
		if h.Engine == "" || h.Used.Before(d.clearedAt[h.Engine]) {
			continue
		}
		held[n] = h
		n++
	}
	return held
}

// touch returns the entry of a chat as the most recent one, making it if
// needed; at the bound the least recent chat is forgotten.
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
