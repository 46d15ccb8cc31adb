package limits

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

const (
	// ShareLifetime is how long a share is valid without renewal.
	ShareLifetime = 6 * time.Second
	// maxAccounts is the maximum number of customers that one owner allocates
	// shares for.
	maxAccounts = 4096
)

// Allocator allocates shares of the limits of the customers that one router
// owns. It performs no I/O and reads no clock: Allocate takes the time as an
// argument. It is not safe for concurrent use.
type Allocator struct {
	accounts map[string]*account
}

// account holds the limits of one customer and the shares allocated from them.
type account struct {
	// createdAt is when this router began to allocate shares for the customer.
	// Shares that a previous owner allocated can be valid until ShareLifetime
	// after createdAt.
	createdAt   time.Time
	revision    uint64
	limits      Amount
	allocations map[string]allocation
}

// allocation is the state of one router's share.
type allocation struct {
	// upperBound is the most that the router can be using. The owner does not know
	// until the router's next request whether the last reply arrived, so upperBound
	// covers both the share that the router held when it sent the last request and
	// the share in the reply.
	upperBound Amount
	demand     Amount
	expiry     time.Time
}

// NewAllocator returns an allocator without allocations.
func NewAllocator() *Allocator {
	return &Allocator{accounts: make(map[string]*account)}
}

// ShareRequest is one router's request for a share.
type ShareRequest struct {
	Customer string
	Router   string
	// Limits are the contract's limits at Revision.
	Limits   Amount
	Revision uint64
	Demand   Amount
	// Held is the share that was active at the router when it sent the request.
	Held Amount
	// InUse is the number of requests in flight at the router. A smaller share
	// does not stop them, so they stay allocated.
	InUse int
	// Routers are the ids of the routers that are eligible for a share.
	Routers []string
}

// Allocate returns the router's new share, which replaces its previous one and
// is valid for ShareLifetime. The limits of the highest revision received apply.
// The share is zero if maxAccounts customers already have valid shares.
//
// A new share is at most what the shares of the other routers leave of the limits.
// Shares allocated before the limits were lowered keep their size until they are
// renewed or expire. While shares of a previous owner can still be valid, each
// router gets at least its minimum share. Otherwise routers that hold large shares
// of the previous owner would keep it from serving.
func (alloc *Allocator) Allocate(now time.Time, req ShareRequest) Amount {
	a := alloc.account(now, req.Customer)
	if a == nil {
		return Amount{}
	}
	if req.Revision >= a.revision {
		a.revision, a.limits = req.Revision, req.Limits
	}
	a.expire(now)
	delete(a.allocations, req.Router)
	share := a.share(req.Demand, a.countInactive(req))
	a.check(share)
	if now.Sub(a.createdAt) < ShareLifetime {
		share = share.atLeast(a.minimumShare(len(req.Routers)))
	}
	upperBound := share.atLeast(req.Held)
	upperBound.Concurrency = max(upperBound.Concurrency, float64(req.InUse))
	a.allocations[req.Router] = allocation{upperBound: upperBound, demand: req.Demand, expiry: now.Add(ShareLifetime)}
	return share
}

// check asserts that the share and the upper bounds of the other routers'
// allocations together stay within the limits. The router's previous allocation
// must have been removed.
func (a *account) check(share Amount) {
	allocated := a.sum(func(al allocation) Amount { return al.upperBound })
	if fits(share.Requests, allocated.Requests, a.limits.Requests) &&
		fits(share.Tokens, allocated.Tokens, a.limits.Tokens) &&
		fits(share.Concurrency, allocated.Concurrency, a.limits.Concurrency) {
		return
	}
	invariant.Check(false, "allocated shares within the contract", "share", share, "lent", allocated, "limits", a.limits)
}

// fits reports whether share and allocated together stay within limit, with
// a tolerance for rounding. A zero share always fits, even if the limit has been
// lowered below what is allocated.
func fits(share, allocated, limit float64) bool {
	const rounding = 1e-9
	return share <= 0 || share+allocated <= limit*(1+rounding)
}

// account returns the account of the customer and creates it if necessary. It
// returns nil if maxAccounts other customers have valid allocations.
func (alloc *Allocator) account(now time.Time, customer string) *account {
	a, ok := alloc.accounts[customer]
	if ok {
		return a
	}
	if len(alloc.accounts) >= maxAccounts {
		alloc.evictIdle(now)
	}
	if len(alloc.accounts) >= maxAccounts {
		return nil
	}
	a = &account{createdAt: now, allocations: make(map[string]allocation)}
	alloc.accounts[customer] = a
	return a
}

// evictIdle removes the accounts of customers without valid allocations.
func (alloc *Allocator) evictIdle(now time.Time) {
	for customer, a := range alloc.accounts {
		a.expire(now)
		if len(a.allocations) == 0 {
			delete(alloc.accounts, customer)
		}
	}
}

// expire removes expired allocations.
func (a *account) expire(now time.Time) {
	for router, al := range a.allocations {
		if !al.expiry.After(now) {
			delete(a.allocations, router)
		}
	}
}

// sum returns the sum of amountOf over all allocations.
func (a *account) sum(amountOf func(allocation) Amount) Amount {
	var total Amount
	for _, al := range a.allocations {
		x := amountOf(al)
		total.Requests += x.Requests
		total.Tokens += x.Tokens
		total.Concurrency += x.Concurrency
	}
	return total
}

// countInactive returns the number of other eligible routers that have no
// allocation and can request one at any moment. The number of routers less the
// number of allocations would be too low, since a router that has left the fleet
// can still hold an allocation.
func (a *account) countInactive(req ShareRequest) int {
	n := 0
	for _, router := range req.Routers {
		if _, holds := a.allocations[router]; !holds && router != req.Router {
			n++
		}
	}
	return n
}

// share computes the share of a router with this demand. The allocations of the
// other routers do not change; inactive is the number of other routers without an
// allocation.
func (a *account) share(demand Amount, inactive int) Amount {
	allocated := a.sum(func(al allocation) Amount { return al.upperBound })
	otherDemand := a.sum(func(al allocation) Amount { return al.demand })
	n := routerCounts{active: len(a.allocations) + 1, inactive: inactive}
	return Amount{
		Requests:    n.divide(a.limits.Requests, allocated.Requests, otherDemand.Requests, demand.Requests, n.rateReserve(a.limits.Requests)),
		Tokens:      n.divide(a.limits.Tokens, allocated.Tokens, otherDemand.Tokens, demand.Tokens, n.rateReserve(a.limits.Tokens)),
		Concurrency: math.Floor(n.divide(a.limits.Concurrency, allocated.Concurrency, otherDemand.Concurrency, demand.Concurrency, n.concurrencyReserve(a.limits.Concurrency))),
	}
}

// routerCounts holds the numbers of routers among which a limit is divided.
type routerCounts struct {
	// active is the number of routers with an allocation, including the router
	// whose share is computed.
	active int
	// inactive is the number of eligible routers without an allocation, which can
	// request one at any moment.
	inactive int
}

// minimumShare returns the share that each eligible router gets whatever the
// others hold, where routers is the number of eligible routers: an equal part of
// maxReserveFraction of each rate, and a concurrency of one if the limit allows
// one for each router within maxReserveFraction, otherwise zero. All routers are
// counted as inactive, so that the reserves are those of all routers together and
// are divided by their number.
func (a *account) minimumShare(routers int) Amount {
	counts := routerCounts{inactive: max(routers, 1)}
	n := float64(counts.inactive)
	return Amount{
		Requests:    counts.rateReserve(a.limits.Requests) / n,
		Tokens:      counts.rateReserve(a.limits.Tokens) / n,
		Concurrency: math.Floor(counts.concurrencyReserve(a.limits.Concurrency) / n),
	}
}

// maxReserveFraction is the largest fraction of a limit that is reserved for
// inactive routers.
const maxReserveFraction = 0.5

// rateReserve returns the part of a rate limit that is reserved for inactive
// routers: an equal part of maxReserveFraction of the limit for each of them.
func (n routerCounts) rateReserve(limit float64) float64 {
	return limit * maxReserveFraction * float64(n.inactive) / float64(n.active+n.inactive)
}

// concurrencyReserve returns the part of a concurrency limit that is reserved
// for inactive routers: one request each, up to maxReserveFraction of the limit.
func (n routerCounts) concurrencyReserve(limit float64) float64 {
	return min(float64(n.inactive), math.Floor(limit*maxReserveFraction))
}

// divide returns one router's part of a limit. The demand of this router is
// demand, and otherDemand is the demand of the other active routers. These hold
// allocated, and reserve is kept for inactive routers.
//
// If the total demand is at most the limit minus the reserve, the router gets its
// demand and an equal part of the remainder. Otherwise it gets a part in
// proportion to its demand, but at least the smaller of its demand and an equal
// part. The result never exceeds what allocated and reserve leave of the limit.
func (n routerCounts) divide(limit, allocated, otherDemand, demand, reserve float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	free := max(limit-allocated-reserve, 0)
	total := otherDemand + demand
	usable := limit - reserve
	equal := usable / float64(n.active)
	fair := max(usable*demand/max(total, math.SmallestNonzeroFloat64), min(demand, equal))
	if total <= usable {
		fair = demand + (usable-total)/float64(n.active)
	}
	return min(free, fair)
}
