package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// ageUnit is the unit of the ages in renewals.
	ageUnit = 10 * time.Millisecond
	// unprovenAge stands for an age that the unit can't express.
	unprovenAge = 255
	// renewalBytes is what one keyed renewal takes at most.
	renewalBytes = 8 + 1 + 2
	// newsRoomBytes is what renewals leave free for news.
	newsRoomBytes = 300
)

func leavingBit(st *pb.TargetStatus) uint64 {
	if st.Leaving {
		return 1
	}
	return 0
}

// renewals answers an asker whose present targets have the given digest. An
// asker with the same targets is sent their ages alone.
func (c *core) renewals(now time.Time, asker string, digest uint64, room int) *pb.Renewals {
	present := c.presentNow(now)
	switch {
	case len(present.list) == 0:
		return nil
	case present.digest == digest && room > 0:
		return c.plainRenewals(now, present.list, room)
	default:
		return c.keyedRenewals(now, slices.Clone(present.list), c.dataCentreOf(asker), room/renewalBytes)
	}
}

// plainRenewals lists ages in the order of the targets. Where not all fit, it begins
// at a random one, so that all are renewed within a few answers.
func (c *core) plainRenewals(now time.Time, list []*targetEntry, room int) *pb.Renewals {
	r := &pb.Renewals{Ages: make([]byte, min(room, len(list)))}
	if len(r.Ages) < len(list) {
		r.First = uint32(c.rng.IntN(len(list)))
	}
	for i := range r.Ages {
		r.Ages[i] = ageByte(now, list[(int(r.First)+i)%len(list)].fresh)
	}
	return r
}

// keyedRenewals lists at most limit targets. Those of the asker's data centre
// go first; which of the others fit changes from answer to answer.
func (c *core) keyedRenewals(now time.Time, list []*targetEntry, dataCentre string, limit int) *pb.Renewals {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *targetEntry) int {
		return cmp.Compare(distance(a, dataCentre), distance(b, dataCentre))
	})
	list = slices.DeleteFunc(list, func(e *targetEntry) bool { return !c.leased(now, e) })
	r := &pb.Renewals{}
	for _, e := range list[:min(max(0, limit), len(list))] {
		addRenewal(r, now, e)
	}
	return r
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
	units := (now.Sub(at) + ageUnit - 1) / ageUnit
	return byte(min(max(0, units), unprovenAge))
}

// applyRenewals renews leases by the answer to a question asked at askedAt.
// Each announcement was made its age before the answer, and so at the
// earliest its age before the question. The list holds the targets that were
// present when the question was asked.
func (c *core) applyRenewals(now time.Time, r *pb.Renewals, askedAt time.Time, list []*targetEntry) {
	if len(r.GetKeys()) > 0 {
		c.applyKeyed(now, r, askedAt)
		return
	}
	if len(r.GetAges()) > len(list) {
		return
	}
	for i, age := range r.GetAges() {
		c.applyAge(now, list[(int(r.First)+i)%len(list)], age, askedAt)
	}
}

func (c *core) applyKeyed(now time.Time, r *pb.Renewals, askedAt time.Time) {
	for i, key := range r.Keys {
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
	c.renew(now, e, askedAt.Add(-time.Duration(age)*ageUnit))
}

// renewalRoom is what renewals may take in m.
func renewalRoom(m *pb.Gossip) int { return maxMessageBytes - proto.Size(m) - newsRoomBytes }
