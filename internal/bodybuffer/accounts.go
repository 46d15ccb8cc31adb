package bodybuffer

import "time"

const (
	// largeBytes is the memory from which an unfinished body is closed first. Smaller bodies
	// are closed only if there is no such body, because closing them frees little and
	// ordinary bodies are smaller.
	largeBytes = 128 << 10
	// arrivalTime is the age up to which a body counts as arriving normally. Smaller bodies
	// are not closed before that.
	arrivalTime = 250 * time.Millisecond
)

// Reason is the limit because of which a body was closed or refused.
type Reason string

const (
	// ReasonMemory is the limit on the memory of all bodies.
	ReasonMemory Reason = "memory"
	// ReasonOwner is the limit on the memory of one owner's bodies.
	ReasonOwner Reason = "owner"
	// ReasonCount is the limit on the number of unfinished bodies.
	ReasonCount Reason = "count"
)

// entry is the account of one body.
type entry struct {
	owner string
	begun time.Time
	// charged is the memory that is allocated for the body, received the number of bytes
	// that have arrived.
	charged  int64
	received int64
	// reason is why the body was closed, empty if it was not.
	reason Reason
}

// sums are the memory of several bodies, and the part of it that closed bodies will free.
type sums struct{ charged, freeing int64 }

// accounts decides which bodies may grow and which are closed. It is not safe for concurrent
// use.
type accounts struct {
	limits Limits
	total  sums
	owners map[string]*sums
	// unfinished holds the bodies that still arrive, without the closed ones.
	unfinished map[*entry]struct{}
}

func newAccounts(l Limits) *accounts {
	return &accounts{limits: l, owners: make(map[string]*sums), unfinished: make(map[*entry]struct{})}
}

// begin opens the account of a body that starts to arrive. If there are too many unfinished
// bodies, it closes one, the victim. It returns no account if none may be closed.
func (a *accounts) begin(owner string, now time.Time) (e, victim *entry) {
	if len(a.unfinished) >= a.limits.Unfinished {
		victim = a.slowest(func(e *entry) bool { return now.Sub(e.begun) >= arrivalTime }, now)
		if victim == nil {
			return nil, nil
		}
		a.close(victim, ReasonCount)
	}
	e = &entry{owner: owner, begun: now}
	a.unfinished[e] = struct{}{}
	return e, victim
}

// outcome is the answer to a request for memory.
type outcome int

const (
	granted outcome = iota
	// pending means that closed bodies will free enough memory.
	pending
	// closed means that the body itself was closed.
	closed
	// refused means that no body may be closed to free enough memory.
	refused
)

// grow requests n bytes for a body that never needs more than maxPeak bytes in total. It returns
// the bodies that it closed for that. If the outcome is closed or refused, reason is the limit.
func (a *accounts) grow(e *entry, n, maxPeak int64, now time.Time) (out outcome, victims []*entry, reason Reason) {
	owner := a.owner(e.owner)
	for _, bound := range []struct {
		sums   *sums
		max    int64
		reason Reason
	}{
		{owner, max(a.limits.ownerBytes(), maxPeak), ReasonOwner},
		{&a.total, max(a.limits.Bytes, maxPeak), ReasonMemory},
	} {
		for e.reason == "" && bound.sums.charged-bound.sums.freeing+n > bound.max {
			victim := a.victim(e, bound.reason == ReasonOwner, now)
			if victim == nil {
				a.forget(e.owner)
				return refused, victims, bound.reason
			}
			a.close(victim, bound.reason)
			victims = append(victims, victim)
		}
		if e.reason != "" {
			return closed, victims, e.reason
		}
		if bound.sums.charged+n > bound.max {
			out = pending
		}
	}
	if out == granted {
		a.charge(e, n)
	}
	return out, victims, ""
}

// victim returns the unfinished body to close so that e can grow, nil if there is none.
func (a *accounts) victim(e *entry, sameOwner bool, now time.Time) *entry {
	among := func(other *entry) bool { return !sameOwner || other.owner == e.owner }
	large := a.slowest(func(other *entry) bool { return among(other) && other.charged >= largeBytes }, now)
	if large != nil {
		return large
	}
	return a.slowest(func(other *entry) bool { return among(other) && now.Sub(other.begun) >= arrivalTime }, now)
}

// slowest returns the unfinished body with the fewest bytes for its age among those that match.
func (a *accounts) slowest(match func(*entry) bool, now time.Time) *entry {
	var slowest *entry
	var least float64
	for e := range a.unfinished {
		if !match(e) {
			continue
		}
		rate := float64(e.received) / max(now.Sub(e.begun), time.Millisecond).Seconds()
		if slowest == nil || rate < least || rate == least && e.begun.Before(slowest.begun) {
			slowest, least = e, rate
		}
	}
	return slowest
}

// close marks an unfinished body as closed. Its memory stays charged until end.
func (a *accounts) close(e *entry, reason Reason) {
	e.reason = reason
	delete(a.unfinished, e)
	a.total.freeing += e.charged
	a.owner(e.owner).freeing += e.charged
}

// shrink returns n bytes of a body.
func (a *accounts) shrink(e *entry, n int64) { a.charge(e, -n) }

func (a *accounts) charge(e *entry, n int64) {
	e.charged += n
	owner := a.owner(e.owner)
	a.total.charged += n
	owner.charged += n
	if e.reason != "" {
		a.total.freeing += n
		owner.freeing += n
	}
	a.forget(e.owner)
}

// finish records that a body has arrived completely, after which it is not closed any more. It
// returns false if the body was closed before.
func (a *accounts) finish(e *entry) bool {
	delete(a.unfinished, e)
	return e.reason == ""
}

// end closes the account of a body.
func (a *accounts) end(e *entry) {
	delete(a.unfinished, e)
	a.shrink(e, e.charged)
}

func (a *accounts) owner(name string) *sums {
	s := a.owners[name]
	if s == nil {
		s = &sums{}
		a.owners[name] = s
	}
	return s
}

// forget removes the sums of an owner without memory.
func (a *accounts) forget(name string) {
	if s := a.owners[name]; s != nil && *s == (sums{}) {
		delete(a.owners, name)
	}
}
