package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// ageUnit is the unit of ages in renewals up to fineAges, coarseAgeUnit that of what
	// is beyond them: the default lease is counted in fine units.
	ageUnit       = 10 * time.Millisecond
	fineAges      = 251
	coarseAgeUnit = time.Second
	// unprovenAge stands for an age that the units can't express.
	unprovenAge = 255
	// renewalBytes is what one keyed renewal takes at most.
	renewalBytes = 8 + 1 + 2
	// newsRoomBytes is what renewals leave free for news.
	newsRoomBytes = 300
	// keyedShare is the part of the room, one in so many, that targets in groups
	// that differ have at least.
	keyedShare = 2
)

func leavingBit(st *pb.TargetStatus) uint64 {
	if st.Leaving {
		return 1
	}
	return 0
}

// renewals answers an asker whose present targets have the given digests. It is sent
// the ages alone of targets in groups that it has equal, and others with their keys:
// while views differ in a few of a thousand targets, the leases on the others must
// still be renewed.
func (c *core) renewals(now time.Time, asker string, digests []uint64, room int) *pb.Renewals {
	present := c.presentNow(now)
	if len(present.list) == 0 || room <= 0 {
		return nil
	}
	equal := present.equalGroups(digests)
	same := inGroups(present.list, equal)
	different := inGroups(present.list, allGroups&^equal)
	keyedRoom := min(len(different)*renewalBytes, max(room-len(same), room/keyedShare))
	r := &pb.Renewals{}
	c.addKeyed(r, now, different, c.dataCentreOf(asker), keyedRoom/renewalBytes)
	c.addPlain(r, now, same, room-keyedRoom)
	if equal != allGroups {
		r.EqualGroups = equal
	}
	return r
}

// addPlain lists ages in the order of the targets. Where not all fit, it begins at a
// random one, so that all are renewed within a few answers.
func (c *core) addPlain(r *pb.Renewals, now time.Time, list []*targetEntry, room int) {
	r.EqualAges = make([]byte, min(room, len(list)))
	if len(r.EqualAges) < len(list) {
		r.First = uint32(c.rng.IntN(len(list)))
	}
	for i := range r.EqualAges {
		r.EqualAges[i] = ageByte(now, list[(int(r.First)+i)%len(list)].fresh)
	}
}

// addKeyed lists at most limit of the targets with a lease. Half of the places go to
// those of the asker's data centre first, the others to any; which fit changes from
// answer to answer.
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
		return cmp.Compare(distance(a, dataCentre), distance(b, dataCentre))
	})
	c.shuffle(leased[limit/2:])
	for _, e := range leased[:limit] {
		addRenewal(r, now, e)
	}
}

func (c *core) shuffle(list []*targetEntry) {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func distance(e *targetEntry, dataCentre string) int {
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
	r.Ages = append(r.Ages, ageByte(now, e.fresh))
}

// ageByte rounds up, so that an age is never understated.
func ageByte(now, at time.Time) byte {
	if at.IsZero() {
		return unprovenAge
	}
	age := max(0, now.Sub(at))
	if units := roundedUp(age, ageUnit); units <= fineAges {
		return byte(units)
	}
	return byte(min(fineAges+roundedUp(age-fineAges*ageUnit, coarseAgeUnit), unprovenAge))
}

func roundedUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit }

// ageOf reverses ageByte.
func ageOf(b byte) time.Duration {
	fine, coarse := min(time.Duration(b), fineAges), max(0, time.Duration(b)-fineAges)
	return fine*ageUnit + coarse*coarseAgeUnit
}

// applyRenewals renews leases by the answer to a question asked at askedAt.
// Each announcement was made its age before the answer, and so at the
// earliest its age before the question. The list holds the targets that were
// present when the question was asked.
func (c *core) applyRenewals(now time.Time, r *pb.Renewals, askedAt time.Time, list []*targetEntry) {
	c.applyKeyed(now, r, askedAt)
	c.applyPlain(now, r, askedAt, list)
}

func (c *core) applyPlain(now time.Time, r *pb.Renewals, askedAt time.Time, list []*targetEntry) {
	equal := r.GetEqualGroups()
	if equal == 0 {
		equal = allGroups
	}
	list = inGroups(list, equal)
	if len(r.GetEqualAges()) > len(list) {
		return
	}
	for i, age := range r.GetEqualAges() {
		c.applyAge(now, list[(int(r.First)+i)%len(list)], age, askedAt)
	}
}

func (c *core) applyKeyed(now time.Time, r *pb.Renewals, askedAt time.Time) {
	for i, key := range r.GetKeys() {
		e := c.byKey[key]
		if e == nil {
			c.syncWanted = true
			continue
		}
		if slices.Contains(r.Leaving, uint32(i)) {
			c.markLeaving(e.status.Id, e.status.Incarnation)
		} else if e.status.Leaving {
			// The sender has not heard that this target leaves.
			c.news.addUrgent(targetNews, e.status.Id)
			continue
		}
		c.applyAge(now, e, r.Ages[i], askedAt)
	}
}

func (c *core) applyAge(now time.Time, e *targetEntry, age byte, askedAt time.Time) {
	// An entry that was removed since the question was asked stays removed.
	if age == unprovenAge || e.removed {
		return
	}
	if provenAt := askedAt.Add(-ageOf(age)); provenAt.After(e.fresh) {
		c.renew(now, e, provenAt)
	}
}

// renewalRoom is what renewals may take in m.
func renewalRoom(m *pb.Gossip) int { return maxMessageBytes - proto.Size(m) - newsRoomBytes }
