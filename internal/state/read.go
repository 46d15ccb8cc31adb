package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// Delta holds the configuration objects that changed after a revision. Its
// messages are shared and must not be modified.
type Delta struct {
	// Revision is the current revision.
	Revision uint64
	// UpTo is the revision up to which the delta is complete.
	UpTo uint64
	// Partial is set if the size limit cut the delta short.
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

// Contracts returns the contract of one customer, or of all customers if name is
// empty, ordered by customer. Deleted contracts are left out. The messages are
// shared and must not be modified.
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

// Intents returns the intent for one target, or for all targets if name is
// empty, ordered by target. The messages are shared and must not be modified.
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
// position of the change that created it. The intent is shared and must not be
// modified.
func (m *Machine) Intent(target string) (*pb.TargetIntent, replica.Position) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o := m.objects.get(objectKey{kindIntent, target})
	if o == nil {
		return nil, replica.Position{}
	}
	return o.intent, o.position
}

// Change returns the accepted change that created a revision, or nil if the
// change is no longer kept. The message is shared and must not be modified.
func (m *Machine) Change(revision uint64) *pb.ChangeRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.at(revision)
}

// History returns up to limit accepted changes, newest first. A non-empty name
// selects the changes of one customer or target. The messages are shared and
// must not be modified.
func (m *Machine) History(name string, limit int) []*pb.ChangeRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.newest(name, limit)
}

// Delta returns the objects that changed after a revision, oldest change first.
// The delta ends with the object that makes its size exceed maxBytes. It holds at
// least one object if there is any, so that a caller that continues from UpTo
// always makes progress.
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

// add appends the object and returns its encoded size.
func (d *Delta) add(o *object) int {
	if o.contract != nil {
		d.Contracts = append(d.Contracts, o.contract)
		return proto.Size(o.contract)
	}
	d.Intents = append(d.Intents, o.intent)
	return proto.Size(o.intent)
}
