package state

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// applyChange validates a configuration change and accepts or rejects it. The
// operation id is looked up before the change is compared with the state: a
// resend must get the result of its first execution, even if the object has
// changed since.
func (m *Machine) applyChange(e replica.Entry, c *pb.ConfigChange) *pb.ChangeResult {
	if reason := validateChange(c); reason != "" {
		return invalidResult(e, reason)
	}
	digest := contentDigest(c)
	if first, ok := m.operations.find(c.OperationId); ok {
		return resentResult(e, first, digest)
	}
	key := keyOf(c)
	present := m.objects.get(key)
	if present.revision() != c.Replaces {
		result := conflictResult(e, present)
		m.operations.add(c.OperationId, digest, m.elapsedMs, result)
		return result
	}
	if reason := m.validateAgainstState(key, c); reason != "" {
		return invalidResult(e, reason)
	}
	result := m.accept(e, key, c)
	m.operations.add(c.OperationId, digest, m.elapsedMs, result)
	return result
}

// accept stores the changed object under the next revision and adds the change
// to the history.
func (m *Machine) accept(e replica.Entry, key objectKey, c *pb.ConfigChange) *pb.ChangeResult {
	m.revision++
	c = proto.CloneOf(c)
	setRevision(c, m.revision)
	m.objects.put(key, newObject(c, m.timeMs, e.Position))
	m.history.add(&pb.ChangeRecord{
		Revision:    m.revision,
		Operator:    c.Operator,
		OperationId: c.OperationId,
		TimeUnixMs:  m.timeMs,
		Change:      c,
	})
	return &pb.ChangeResult{
		Status:   pb.ChangeStatus_CHANGE_STATUS_ACCEPTED,
		Revision: m.revision,
		Term:     e.Term,
		Index:    e.Index,
	}
}

// validateAgainstState checks a change against the current state. It returns the
// reason for a rejection, or "" if the change is valid.
func (m *Machine) validateAgainstState(key objectKey, c *pb.ConfigChange) string {
	if c.Replaces == 0 && m.objects.len() >= m.bounds.MaxObjects {
		return "the table of configuration objects is full"
	}
	for _, sum := range c.GetContract().GetKeyHashes() {
		if customer, ok := m.objects.customerOfKeyHash([32]byte(sum)); ok && customer != key.name {
			return "a bearer key already belongs to another customer"
		}
	}
	return ""
}

// contentDigest returns the SHA-256 sum of everything that the operator sent.
func contentDigest(c *pb.ConfigChange) [sha256.Size]byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// The change was decoded from valid protobuf.
		panic("encoding a change: " + err.Error())
	}
	return sha256.Sum256(data)
}

func setRevision(c *pb.ConfigChange, revision uint64) {
	if k := c.GetContract(); k != nil {
		k.Revision = revision
	}
	if i := c.GetIntent(); i != nil {
		i.Revision = revision
	}
}

func invalidResult(e replica.Entry, reason string) *pb.ChangeResult {
	return &pb.ChangeResult{
		Status:  pb.ChangeStatus_CHANGE_STATUS_INVALID,
		Message: reason,
		Term:    e.Term,
		Index:   e.Index,
	}
}

func conflictResult(e replica.Entry, present *object) *pb.ChangeResult {
	result := &pb.ChangeResult{
		Status:          pb.ChangeStatus_CHANGE_STATUS_CONFLICT,
		PresentRevision: present.revision(),
		Message:         "the object is at another revision than the change replaces",
		Term:            e.Term,
		Index:           e.Index,
	}
	if present != nil {
		result.PresentOperator = present.operator
		result.PresentTimeUnixMs = present.timeMs
	}
	return result
}

// resentResult returns the result of the first execution, or an error result if
// the resend has other content.
func resentResult(e replica.Entry, first *operation, digest [sha256.Size]byte) *pb.ChangeResult {
	if first.digest != digest {
		return &pb.ChangeResult{
			Status:  pb.ChangeStatus_CHANGE_STATUS_OPERATION_REUSED,
			Message: "the operation id was used before with other content",
			Term:    e.Term,
			Index:   e.Index,
		}
	}
	result := proto.CloneOf(first.result)
	result.Resent = true
	return result
}
