package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// numGroups is the number of groups of targets whose lists are compared when leases
	// are renewed. A bit mask of 32 bits holds them.
	numGroups = 16
	// allGroups is the mask of all groups.
	allGroups = 1<<numGroups - 1
	// singleGroupTargets is the number of targets up to which all are compared as one
	// group: ages with keys then take about as much space as the digests of all groups.
	singleGroupTargets = 64
)

// presentTargets caches the present targets: those seen within presentPeriod, with or
// without a valid lease. It is recomputed only after a change: each probe and each
// acknowledgement uses it, and sorting thousands of targets each time would take most
// of a small processor.
type presentTargets struct {
	// list is sorted by the targets' keys. It is replaced, never modified.
	list []*targetEntry
	// digest covers the list: equal digests mean equal lists. groups holds one digest
	// per group of targets.
	digest uint64
	groups [numGroups]uint64
	// bucketSums are the targets' part of the bucket digests.
	bucketSums [numBuckets]uint32
	// expiresAt is when the first target stops being present unless its lease is
	// renewed.
	expiresAt time.Time
	valid     bool
}

// present reports whether the target was last seen within presentPeriod.
func (c *core) present(now time.Time, e *targetEntry) bool {
	return now.Sub(e.lastSeen) < presentPeriod
}

// presentNow returns the present targets, recomputed if necessary. They include targets
// whose lease expired a short while ago, so that views in which only leases differ have
// equal lists.
func (c *core) presentNow(now time.Time) *presentTargets {
	if !c.presentCache.valid || !now.Before(c.presentCache.expiresAt) {
		c.presentCache = c.computePresent(now)
	}
	return &c.presentCache
}

func (c *core) computePresent(now time.Time) presentTargets {
	p := presentTargets{valid: true, expiresAt: now.Add(presentPeriod)}
	for _, e := range c.targets {
		if !c.present(now, e) {
			continue
		}
		p.list = append(p.list, e)
		p.digest ^= e.identity
		p.groups[groupOf(e)] ^= e.identity
		p.bucketSums[e.bucket] ^= e.hash
		p.expiresAt = earliest(p.expiresAt, e.lastSeen.Add(presentPeriod))
	}
	slices.SortFunc(p.list, func(a, b *targetEntry) int { return cmp.Compare(a.key, b.key) })
	return p
}

func groupOf(e *targetEntry) uint64 { return e.key % numGroups }

// digests returns the digests that a peer compares with those of its present targets.
func (p *presentTargets) digests() []uint64 {
	if len(p.list) <= singleGroupTargets {
		return []uint64{p.digest}
	}
	return slices.Clone(p.groups[:])
}

// equalGroups returns the mask of the groups whose digests equal the given ones of
// another router.
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

// inGroups returns the targets that are in the groups of a mask, in the same order.
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

// invalidatePresent has the present targets recomputed on their next use.
func (c *core) invalidatePresent() { c.presentCache.valid = false }
