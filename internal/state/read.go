package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// Delta is the part of the configuration that changed after a revision.
// Its messages are shared and must not be changed.
type Delta struct {
	// Revision is the present revision, UpTo the one that this part reaches.
	Revision uint64
	UpTo     uint64
	// Partial tells that the byte bound cut the part short.
	Partial   bool
	Contracts []*pb.Contract
	Intents   []*pb.TargetIntent
}

// Revision returns the revision of the last accepted change.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// Contracts returns the contracts of one customer, or of all if name is
// empty, ordered by customer. Deleted ones are left out. The messages are
// shared and must not be changed.
func (m *Machine) Contracts(name string) []*pb.Contract {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*pb.Contract
	for key, o := range m.objects.byKey {
		if o.contract != nil && !o.contract.Deleted && (name == "" || key.name == name) {
			out = append(out, o.contract)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Contract) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// Intents returns the intent for one target, or all if name is empty, ordered
// by target. The messages are shared and must not be changed.
func (m *Machine) Intents(name string) []*pb.TargetIntent {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*pb.TargetIntent
	for key, o := range m.objects.byKey {
		if o.intent != nil && (name == "" || key.name == name) {
			out = append(out, o.intent)
		}
	}
	slices.SortFunc(out, func(a, b *pb.TargetIntent) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Intent returns the intent for a target, nil if there is none, and the log
// position of the change that made it.
func (m *Machine) Intent(target string) (*pb.TargetIntent, replica.Position) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o := m.objects.get(objectKey{kindIntent, target})
	if o == nil {
		return nil, replica.Position{}
	}
	return o.intent, o.position
}

// Change returns the accepted change that made a revision, nil if it isn't kept.
// The message is shared and must not be changed.
func (m *Machine) Change(revision uint64) *pb.ChangeRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.at(revision)
}

// History returns up to limit accepted changes, newest first. The messages
// are shared and must not be changed.
func (m *Machine) History(name string, limit int) []*pb.ChangeRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.newest(name, limit)
}

// Delta returns the objects changed after a revision, oldest change first, cut
// once they exceed maxBytes. It always makes progress: a part holds at least
// one object.
func (m *Machine) Delta(after uint64, maxBytes int) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := Delta{Revision: m.revision, UpTo: m.revision}
	size := 0
	for _, item := range m.objects.after(after) {
		if m.objects.stale(item) {
			continue
		}
		if size > maxBytes {
			d.Partial = true
			d.UpTo = item.revision - 1
			return d
		}
		size += d.add(m.objects.get(item.key))
	}
	return d
}

// add returns the encoded size of the object.
func (d *Delta) add(o *object) int {
	if o.contract != nil {
		d.Contracts = append(d.Contracts, o.contract)
		return proto.Size(o.contract)
	}
	d.Intents = append(d.Intents, o.intent)
	return proto.Size(o.intent)
}
