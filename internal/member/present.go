package member

import (
	"cmp"
	"slices"
	"time"
)

// presentTargets are the targets that are not long gone. They are worked out again
// only after a change: each probe and each answer uses them, and sorting thousands
// would take most of a small processor.
type presentTargets struct {
	// list is in the order of the targets' keys. It is replaced, never changed.
	list []*targetEntry
	// digest is over the list: equal digests mean equal lists.
	digest uint64
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
		p.sums[e.bucket] ^= e.hash
		p.until = earliest(p.until, e.seen.Add(presentFor))
	}
	slices.SortFunc(p.list, func(a, b *targetEntry) int { return cmp.Compare(a.key, b.key) })
	return p
}

// targetsChanged has the present targets worked out again.
func (c *core) targetsChanged() { c.presence.valid = false }
