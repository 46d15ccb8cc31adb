package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// numGroups is the number of groups of targets whose lists are compared when
	// leases are renewed. A bit mask of 32 bits holds them.
	numGroups = 16
	// allGroups is the mask of all groups.
	allGroups = 1<<numGroups - 1
	// fewTargets is how many targets are compared as one group: ages with keys take
	// about as much as the digests of all groups.
	fewTargets = 64
)

// presentTargets are the targets that are not long gone. They are worked out again
// only after a change: each probe and each answer uses them, and sorting thousands
// would take most of a small processor.
type presentTargets struct {
	// list is in the order of the targets' keys. It is replaced, never changed.
	list []*targetEntry
	// digest is over the list: equal digests mean equal lists. Those of the groups
	// are over the targets of each.
	digest uint64
	groups [numGroups]uint64
	// sums are the targets' part of the buckets' digests.
	sums [numBuckets]uint32
	// until is when the first of them is long gone unless it is renewed.
	until time.Time
	valid bool
}

// present tells whether the target was heard of lately.
func (c *core) present(now time.Time, e *targetEntry) bool {
	return now.Sub(e.seen) < presentFor
}

// presentNow returns the targets that are present. Targets whose lease ended a
// short while ago are among them, so that views in which only leases differ have
// equal lists.
func (c *core) presentNow(now time.Time) *presentTargets {
	if !c.presence.valid || !now.Before(c.presence.until) {
		c.presence = c.listPresent(now)
	}
	return &c.presence
}

func (c *core) listPresent(now time.Time) presentTargets {
	p := presentTargets{valid: true, until: now.Add(presentFor)}
	for _, e := range c.targets {
		if !c.present(now, e) {
			continue
		}
		p.list = append(p.list, e)
		p.digest ^= e.identity
		p.groups[groupOf(e)] ^= e.identity
		p.sums[e.bucket] ^= e.hash
		p.until = earliest(p.until, e.seen.Add(presentFor))
	}
	slices.SortFunc(p.list, func(a, b *targetEntry) int { return cmp.Compare(a.key, b.key) })
	return p
}

func groupOf(e *targetEntry) uint64 { return e.key % numGroups }

// digests returns what another router compares its present targets with.
func (p *presentTargets) digests() []uint64 {
	if len(p.list) <= fewTargets {
		return []uint64{p.digest}
	}
	return slices.Clone(p.groups[:])
}

// equalGroups returns the mask of the groups that are equal at a router with the
// given digests.
func (p *presentTargets) equalGroups(digests []uint64) uint32 {
	equal := uint32(0)
	switch len(digests) {
	case 1:
		if digests[0] == p.digest {
			equal = allGroups
		}
	case numGroups:
		for i, d := range digests {
			if d == p.groups[i] {
				equal |= 1 << i
			}
		}
	}
	return equal
}

// inGroups returns the targets of the groups of a mask, in the same order.
func inGroups(list []*targetEntry, mask uint32) []*targetEntry {
	if mask == allGroups {
		return list
	}
	var in []*targetEntry
	for _, e := range list {
		if mask&(1<<groupOf(e)) != 0 {
			in = append(in, e)
		}
	}
	return in
}

// targetsChanged has the present targets worked out again.
func (c *core) targetsChanged() { c.presence.valid = false }
