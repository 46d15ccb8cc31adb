package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// fineAgeUnit is the unit of ages in renewals up to maxFineUnits units;
	// coarseAgeUnit is the unit of the age beyond them. The default lease is counted in
	// fine units.
	fineAgeUnit   = 10 * time.Millisecond
	maxFineUnits  = 251
	coarseAgeUnit = time.Second
	// unknownAge stands for an age that the units can't express.
	unknownAge = 255
	// renewalBytes is the maximum size of one keyed renewal.
	renewalBytes = 8 + 1 + 2
	// updateReserveBytes is the space that renewals leave for updates.
	updateReserveBytes = 300
	// keyedRoomDivisor divides the room for renewals: targets in groups that differ get
	// at least one such part.
	keyedRoomDivisor = 2
)

func leavingBit(st *pb.TargetStatus) uint64 {
	if st.Leaving {
		return 1
	}
	return 0
}

// renewals returns the renewals for a requester whose present targets have the given
// digests. Targets in equal groups are sent as ages alone, by position; the others are
// sent with their keys. So while views differ in a few of a thousand targets, the
// leases on the others are still renewed.
func (c *core) renewals(now time.Time, requester string, digests []uint64, room int) *pb.Renewals {
	present := c.presentNow(now)
	if len(present.list) == 0 || room <= 0 {
		return nil
	}
	equal := present.equalGroups(digests)
	same := inGroups(present.list, equal)
	different := inGroups(present.list, allGroups&^equal)
	keyedRoom := min(len(different)*renewalBytes, max(room-len(same), room/keyedRoomDivisor))
	r := &pb.Renewals{}
	c.addKeyed(r, now, different, c.dataCentreOf(requester), keyedRoom/renewalBytes)
	c.addPositional(r, now, same, room-keyedRoom)
	if equal != allGroups {
		r.EqualGroups = equal
	}
	return r
}

// addPositional adds ages in the order of the targets. If not all fit, the first is
// selected at random, so that all targets are renewed within a few replies.
func (c *core) addPositional(r *pb.Renewals, now time.Time, list []*targetEntry, room int) {
	r.EqualAges = make([]byte, min(room, len(list)))
	if len(r.EqualAges) < len(list) {
		r.First = uint32(c.rng.IntN(len(list)))
	}
	for i := range r.EqualAges {
		r.EqualAges[i] = ageByte(now, list[(int(r.First)+i)%len(list)].lastProof)
	}
}

// addKeyed adds at most limit of the targets that hold a lease. Half of the entries go
// to targets of the requester's data centre first, the other half to any; which targets
// fit changes from reply to reply.
func (c *core) addKeyed(r *pb.Renewals, now time.Time, list []*targetEntry, dataCentre string, limit int) {
	var leased []*targetEntry
	for _, e := range list {
		if c.leased(now, e) {
			leased = append(leased, e)
		}
	}
	limit = min(max(0, limit), len(leased))
	c.shuffle(leased)
	slices.SortStableFunc(leased, func(a, b *targetEntry) int {
		return cmp.Compare(dataCentreRank(a, dataCentre), dataCentreRank(b, dataCentre))
	})
	c.shuffle(leased[limit/2:])
	for _, e := range leased[:limit] {
		addRenewal(r, now, e)
	}
}

func (c *core) shuffle(list []*targetEntry) {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func dataCentreRank(e *targetEntry, dataCentre string) int {
	if e.status.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// addRenewal appends one target with its key.
func addRenewal(r *pb.Renewals, now time.Time, e *targetEntry) {
	if e.status.Leaving {
		r.Leaving = append(r.Leaving, uint32(len(r.Keys)))
	}
	r.Keys = append(r.Keys, e.key)
	r.Ages = append(r.Ages, ageByte(now, e.lastProof))
}

// ageByte encodes an age, rounded up so that it is never understated.
func ageByte(now, at time.Time) byte {
	if at.IsZero() {
		return unknownAge
	}
	age := max(0, now.Sub(at))
	if units := roundedUp(age, fineAgeUnit); units <= maxFineUnits {
		return byte(units)
	}
	return byte(min(maxFineUnits+roundedUp(age-maxFineUnits*fineAgeUnit, coarseAgeUnit), unknownAge))
}

func roundedUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit }

// ageOf decodes the result of ageByte.
func ageOf(b byte) time.Duration {
	fine, coarse := min(time.Duration(b), maxFineUnits), max(0, time.Duration(b)-maxFineUnits)
	return fine*fineAgeUnit + coarse*coarseAgeUnit
}

// applyRenewals renews leases from the reply to a request that was sent at requestedAt.
// Each target announced itself at the earliest its age before the reply was made, and
// so at the earliest its age before the request was sent. The list holds the targets
// that were present at the time of the request.
func (c *core) applyRenewals(now time.Time, r *pb.Renewals, requestedAt time.Time, list []*targetEntry) {
	c.applyKeyed(now, r, requestedAt)
	c.applyPositional(now, r, requestedAt, list)
}

func (c *core) applyPositional(now time.Time, r *pb.Renewals, requestedAt time.Time, list []*targetEntry) {
	equal := r.GetEqualGroups()
	if equal == 0 {
		equal = allGroups
	}
	list = inGroups(list, equal)
	if len(r.GetEqualAges()) > len(list) {
		return
	}
	for i, age := range r.GetEqualAges() {
		c.applyAge(now, list[(int(r.First)+i)%len(list)], age, requestedAt)
	}
}

func (c *core) applyKeyed(now time.Time, r *pb.Renewals, requestedAt time.Time) {
	for i, key := range r.GetKeys() {
		e := c.byKey[key]
		if e == nil {
			c.syncRequired = true
			continue
		}
		if slices.Contains(r.Leaving, uint32(i)) {
			c.markLeaving(e.status.Id, e.status.Incarnation)
		} else if e.status.Leaving {
			// The sender has not learned yet that this target leaves.
			c.updates.addUrgent(targetUpdate, e.status.Id)
			continue
		}
		c.applyAge(now, e, r.Ages[i], requestedAt)
	}
}

func (c *core) applyAge(now time.Time, e *targetEntry, age byte, requestedAt time.Time) {
	// An entry that was removed since the request was sent stays removed.
	if age == unknownAge || e.removed {
		return
	}
	if provenAt := requestedAt.Add(-ageOf(age)); provenAt.After(e.lastProof) {
		c.renew(now, e, provenAt)
	}
}

// renewalRoom returns the bytes that renewals may take in m.
func renewalRoom(m *pb.Gossip) int { return maxMessageBytes - proto.Size(m) - updateReserveBytes }
