package state

import (
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ledger records idempotency claims and so decides which dispatch of a
// non-idempotent request may run. The state of a key changes only as follows:
//
//	absent -> claimed -> done | unknown
//	          claimed -> absent, if the claimant proves that nothing was sent
//
// Only the claimant (router, incarnation, attempt) can resolve its claim. A
// timeout never transfers a claim to another claimant: the claim becomes
// unknown and stays unknown until the key expires.
//
// All times in the ledger are in elapsed log time, as in Machine.elapsedMs.
type ledger struct {
	bounds  Bounds
	table   ledgerTable
	routers routerTable
	// answerBytes is the total size of the stored answers.
	answerBytes int
}

func newLedger(b Bounds) ledger {
	return ledger{bounds: b, table: newLedgerTable(), routers: newRouterTable()}
}

// maxExpiredPerEntry bounds the ledger entries that one log entry removes, so
// that the expiry of a burst of keys doesn't delay the log. One log entry adds
// at most one ledger entry.
const maxExpiredPerEntry = 64

// expire removes up to maxExpiredPerEntry entries whose TTL has passed at
// elapsedMs.
func (l *ledger) expire(elapsedMs int64) {
	for range maxExpiredPerEntry {
		if !l.expireOne(&l.table.claims, elapsedMs-l.bounds.KeyTTL.Milliseconds()) &&
			!l.expireOne(&l.table.releases, elapsedMs-l.bounds.ReleaseTTL.Milliseconds()) {
			return
		}
	}
}

// expireOne removes the oldest entry of the list if it was created at or before
// untilMs. It reports whether an entry was removed.
func (l *ledger) expireOne(list *entryList, untilMs int64) bool {
	slot := list.head
	if slot == noSlot || l.table.at(slot).createdMs > untilMs {
		return false
	}
	l.remove(slot)
	return true
}

// remove deletes an entry and subtracts it from the count of its router, and the size
// of its answer from answerBytes.
func (l *ledger) remove(slot uint32) {
	e := l.table.at(slot)
	l.answerBytes -= len(e.answer())
	l.routers.removeEntry(e.router)
	l.table.remove(slot)
}

// find returns the slot and the entry of a key, or noSlot and nil if the key has
// no unexpired entry. It removes the key's entry if that has expired.
func (l *ledger) find(key entryKey, elapsedMs int64) (uint32, *entry) {
	slot, ok := l.table.find(key)
	if !ok {
		return noSlot, nil
	}
	e := l.table.at(slot)
	ttl := l.bounds.KeyTTL
	if e.state == stateReleased {
		ttl = l.bounds.ReleaseTTL
	}
	if e.createdMs+ttl.Milliseconds() <= elapsedMs {
		// The entry has expired, but expire has not reached it yet.
		l.remove(slot)
		return noSlot, nil
	}
	return slot, e
}

// state returns an entry's state at elapsedMs. An open claim is unknown once
// OpenClaimTimeout has passed or its router has claimed under a later
// incarnation. Neither condition reverts, so a claim that is unknown stays
// unknown.
func (l *ledger) state(e *entry, elapsedMs int64) entryState {
	if e.state != stateClaimed {
		return e.state
	}
	if e.createdMs+l.bounds.OpenClaimTimeout.Milliseconds() <= elapsedMs {
		return stateUnknown
	}
	if l.routers.at(e.router).incarnation > e.incarnation {
		return stateUnknown
	}
	return stateClaimed
}

// claim grants a key to the first claimant only. The result of a repeated
// granted claim has Resent set: the repeat may be the retry of a claimant that
// lost the reply, or a late copy that no call waits for, and only the claimant's
// process can tell which.
func (l *ledger) claim(c *pb.Claim, elapsedMs int64) *pb.ClaimResult {
	if !validClaimant(c.GetCustomer(), c.GetKey(), c.GetRouter()) || len(c.Digest) != DigestBytes || len(c.RequestId) > MaxNameBytes {
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_INVALID}
	}
	if !l.routers.observe(c.Router, c.RouterIncarnation) {
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_STALE_CLAIMANT}
	}
	by := claimant{router: c.Router, incarnation: c.RouterIncarnation, attempt: c.Attempt}
	if _, released := l.find(releaseKey(c.Customer, c.Key, by), elapsedMs); released != nil {
		// This is a late copy of a claim that its claimant has released. A grant
		// would leave the key claimed by a claimant that has given up.
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS, RequestId: c.RequestId}
	}
	key := claimKey(c.Customer, c.Key)
	if _, e := l.find(key, elapsedMs); e != nil {
		return l.claimExisting(e, c, by, elapsedMs)
	}
	if l.table.len() >= l.bounds.MaxLedgerEntries {
		return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_FULL}
	}
	e := l.add(key, by, stateClaimed, elapsedMs)
	e.digest = truncatedDigest(c.Digest)
	e.setPayload(c.RequestId, nil)
	return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED, RequestId: c.RequestId}
}

// claimExisting returns the result of a claim on a key that has an entry.
func (l *ledger) claimExisting(e *entry, c *pb.Claim, by claimant, elapsedMs int64) *pb.ClaimResult {
	result := &pb.ClaimResult{RequestId: e.requestID()}
	if e.digest != truncatedDigest(c.Digest) {
		result.Status = pb.ClaimStatus_CLAIM_STATUS_DIGEST_MISMATCH
		return result
	}
	switch l.state(e, elapsedMs) {
	case stateDone:
		result.Status = pb.ClaimStatus_CLAIM_STATUS_DONE
		result.Answer = e.storedAnswer()
	case stateUnknown:
		result.Status = pb.ClaimStatus_CLAIM_STATUS_UNKNOWN
	default:
		result.Status = pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
		if l.claimedBy(e, by) {
			result.Status = pb.ClaimStatus_CLAIM_STATUS_GRANTED
			result.Resent = true
		}
	}
	return result
}

// claimedBy reports whether by is the claimant of the entry.
func (l *ledger) claimedBy(e *entry, by claimant) bool {
	return e.attempt == by.attempt &&
		e.incarnation == by.incarnation &&
		l.routers.at(e.router).id == by.router
}

// add appends an entry of a claimant and counts it for the claimant's router.
func (l *ledger) add(key entryKey, by claimant, state entryState, elapsedMs int64) *entry {
	e := l.table.add(key, state, elapsedMs)
	e.router = l.routers.addEntry(by.router, by.incarnation)
	e.incarnation = by.incarnation
	e.attempt = by.attempt
	return e
}

// resolve records the outcome of a claim. It is idempotent: a repeat gives the
// result of the first call.
func (l *ledger) resolve(r *pb.Resolve, elapsedMs int64) *pb.ResolveResult {
	if !validClaimant(r.GetCustomer(), r.GetKey(), r.GetRouter()) {
		return &pb.ResolveResult{}
	}
	by := claimant{router: r.Router, incarnation: r.RouterIncarnation, attempt: r.Attempt}
	slot, e := l.find(claimKey(r.Customer, r.Key), elapsedMs)
	byClaimant := e != nil && l.claimedBy(e, by)
	if r.Outcome == pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED {
		return &pb.ResolveResult{Applied: l.releaseClaim(r, by, slot, byClaimant, elapsedMs)}
	}
	if !byClaimant {
		return &pb.ResolveResult{}
	}
	return &pb.ResolveResult{Applied: l.finish(e, r, elapsedMs)}
}

// finish sets the outcome of an open claim. It reports whether the claim now has
// the outcome of r.
func (l *ledger) finish(e *entry, r *pb.Resolve, elapsedMs int64) bool {
	var target entryState
	switch r.Outcome {
	case pb.ClaimOutcome_CLAIM_OUTCOME_DONE:
		target = stateDone
	case pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
		target = stateUnknown
	default:
		return false
	}
	state := l.state(e, elapsedMs)
	if state != stateClaimed {
		return state == target
	}
	e.state = target
	if target == stateDone {
		l.storeAnswer(e, r.Answer)
	}
	return true
}

// releaseClaim frees the key and records the release, even if the claim itself
// has not been applied yet: a copy of the claim that commits later finds the
// release and is not granted. It reports whether the claim counts as released.
func (l *ledger) releaseClaim(r *pb.Resolve, by claimant, slot uint32, byClaimant bool, elapsedMs int64) bool {
	key := releaseKey(r.Customer, r.Key, by)
	if _, released := l.find(key, elapsedMs); released != nil {
		return true
	}
	if byClaimant {
		if l.state(l.table.at(slot), elapsedMs) != stateClaimed {
			return false
		}
		l.remove(slot)
	}
	if l.table.len() >= l.bounds.MaxLedgerEntries {
		// There is no room to record the release: it counts only if the claim
		// itself was removed.
		return byClaimant
	}
	l.add(key, by, stateReleased, elapsedMs)
	return true
}

// storeAnswer stores the answer in the entry. An answer above the bounds is
// stored as its status only and marked as truncated.
func (l *ledger) storeAnswer(e *entry, a *pb.StoredAnswer) {
	if a == nil {
		a = &pb.StoredAnswer{}
	}
	room := min(l.bounds.MaxAnswerBytes, l.bounds.MaxTotalAnswerBytes-l.answerBytes)
	if proto.Size(a) > room {
		a = &pb.StoredAnswer{Status: a.Status, Truncated: true}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
	if err != nil {
		// The answer was decoded from valid protobuf.
		panic("encoding a stored answer: " + err.Error())
	}
	e.setPayload(e.requestID(), data)
	l.answerBytes += len(data)
}
