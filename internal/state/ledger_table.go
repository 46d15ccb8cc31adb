package state

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

type entryState uint8

const (
	stateClaimed entryState = iota + 1
	stateDone
	stateReleased
	stateUnknown
)

// hashBytes is the length to which hashes of keys and request digests are
// truncated.
const hashBytes = 16

// entryKey is the truncated SHA-256 sum of the fields that identify an entry.
type entryKey [hashBytes]byte

// claimant identifies one dispatch of a request.
type claimant struct {
	router      string
	incarnation uint64
	attempt     uint64
}

// hashParts hashes the parts with their lengths, so that parts can't be confused
// by moving bytes from one to the next.
func hashParts(parts ...string) entryKey {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	return entryKey(h.Sum(nil)[:hashBytes])
}

func claimKey(customer, key string) entryKey {
	return hashParts("claim", customer, key)
}

func releaseKey(customer, key string, by claimant) entryKey {
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], by.incarnation)
	binary.BigEndian.PutUint64(numbers[8:], by.attempt)
	return hashParts("release", customer, key, by.router, string(numbers[:]))
}

func truncatedDigest(digest []byte) [hashBytes]byte { return [hashBytes]byte(digest) }

// entry is one claim or one recorded release. Since the ledger holds up to a
// million entries, an entry is compact and has a single pointer, its string.
type entry struct {
	key         entryKey
	digest      [hashBytes]byte
	incarnation uint64
	attempt     uint64
	createdMs   int64
	// payload holds the length of the request id in one byte, the request id and
	// the encoded answer.
	payload    string
	router     uint32
	prev, next uint32
	state      entryState
}

func (e *entry) setPayload(requestID string, answer []byte) {
	buf := make([]byte, 0, 1+len(requestID)+len(answer))
	buf = append(buf, byte(len(requestID)))
	buf = append(buf, requestID...)
	buf = append(buf, answer...)
	e.payload = string(buf)
}

func (e *entry) requestID() string {
	if e.payload == "" {
		return ""
	}
	return e.payload[1 : 1+int(e.payload[0])]
}

func (e *entry) answer() string {
	if e.payload == "" {
		return ""
	}
	return e.payload[1+int(e.payload[0]):]
}

func (e *entry) storedAnswer() *pb.StoredAnswer {
	a := &pb.StoredAnswer{}
	if err := proto.Unmarshal([]byte(e.answer()), a); err != nil {
		// The bytes were encoded by storeAnswer or checked by Restore.
		panic("decoding a stored answer: " + err.Error())
	}
	return a
}

const (
	// noSlot marks the end of a list.
	noSlot = ^uint32(0)
	// chunkSlots is the number of entries that are allocated at once. Chunks
	// never move.
	chunkSlots = 4096
)

// entryList is a doubly linked list of entries in the order of their creation.
type entryList struct {
	head, tail uint32
	n          int
}

// ledgerTable is a slab of entries, addressed by slot number, with an index by
// key. Claims and releases are listed by age, in separate lists since their TTLs
// differ.
type ledgerTable struct {
	index  map[entryKey]uint32
	chunks [][]entry
	// used counts the slots that were ever allocated.
	used uint32
	// free is the first slot of the free list, which is linked by next.
	free     uint32
	claims   entryList
	releases entryList
}

func newLedgerTable() ledgerTable {
	empty := entryList{head: noSlot, tail: noSlot}
	return ledgerTable{
		index:    make(map[entryKey]uint32),
		free:     noSlot,
		claims:   empty,
		releases: empty,
	}
}

func (t *ledgerTable) len() int { return len(t.index) }

func (t *ledgerTable) at(slot uint32) *entry {
	return &t.chunks[slot/chunkSlots][slot%chunkSlots]
}

func (t *ledgerTable) find(key entryKey) (uint32, bool) {
	slot, ok := t.index[key]
	return slot, ok
}

func (t *ledgerTable) list(s entryState) *entryList {
	if s == stateReleased {
		return &t.releases
	}
	return &t.claims
}

// add appends an entry, which must not be older than the last entry of its list.
func (t *ledgerTable) add(key entryKey, state entryState, elapsedMs int64) *entry {
	list := t.list(state)
	_, held := t.index[key]
	invariant.Check(!held, "ledger", "state", state, "entries", len(t.index))
	invariant.Check(list.tail == noSlot || t.at(list.tail).createdMs <= elapsedMs, "ledger", "time", elapsedMs)
	slot := t.allocate()
	e := t.at(slot)
	*e = entry{key: key, state: state, createdMs: elapsedMs, prev: list.tail, next: noSlot}
	if list.tail == noSlot {
		list.head = slot
	} else {
		t.at(list.tail).next = slot
	}
	list.tail = slot
	list.n++
	t.index[key] = slot
	return e
}

func (t *ledgerTable) allocate() uint32 {
	if t.free != noSlot {
		slot := t.free
		t.free = t.at(slot).next
		return slot
	}
	slot := t.used
	if slot%chunkSlots == 0 {
		t.chunks = append(t.chunks, make([]entry, chunkSlots))
	}
	t.used++
	return slot
}

func (t *ledgerTable) remove(slot uint32) {
	e := t.at(slot)
	list := t.list(e.state)
	if e.prev == noSlot {
		list.head = e.next
	} else {
		t.at(e.prev).next = e.next
	}
	if e.next == noSlot {
		list.tail = e.prev
	} else {
		t.at(e.next).prev = e.prev
	}
	list.n--
	delete(t.index, e.key)
	*e = entry{next: t.free}
	t.free = slot
}
