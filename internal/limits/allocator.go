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
// owns. It performs no I/O, takes the time as an argument and is not safe for
// concurrent use.
type Allocator struct {
	accounts map[string]*account
}

// account is the allocation state of one customer.
type account struct {
	// createdAt is when this router began to allocate shares for the customer.
	// Shares that the previous owner allocated can stay valid for ShareLifetime
	// after that.
	createdAt   time.Time
	revision    uint64
	limits      Amount
	allocations map[string]allocation
}

// allocation is the state of one router's share.
type allocation struct {
	// upperBound is the most that the router may be using. Whether the last
	// reply reached the router is unknown until its next request, so upperBound
	// covers both the share held at the time of the last request and the share
	// in the reply.
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
	// InUse is the number of requests in flight, which a smaller share cannot
	// stop.
	InUse int
	// Routers are the ids of the routers that are eligible for a share.
	Routers []string
}

// Allocate returns the router's new share, which replaces its previous one and
// is valid for ShareLifetime. The limits of the highest revision received apply.
// The sum of the valid shares does not exceed these limits, except for shares
// that the previous owner allocated. While such shares can still be valid, each
// router gets at least its minimum share, so that routers that hold large shares
// of the previous owner do not prevent it from serving.
func (l *Allocator) Allocate(now time.Time, req ShareRequest) Amount {
	a := l.account(now, req.Customer)
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
// allocations together stay within the limits.
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
// a tolerance for rounding. A zero share always fits.
func fits(share, allocated, limit float64) bool {
	const rounding = 1e-9
	return share <= 0 || share+allocated <= limit*(1+rounding)
}

// account returns the account of the customer and creates it if necessary. It
// returns nil while maxAccounts customers have valid allocations.
func (l *Allocator) account(now time.Time, customer string) *account {
	a, ok := l.accounts[customer]
	if ok {
		return a
	}
	if len(l.accounts) >= maxAccounts {
		l.evictIdle(now)
	}
	if len(l.accounts) >= maxAccounts {
		return nil
	}
	a = &account{createdAt: now, allocations: make(map[string]allocation)}
	l.accounts[customer] = a
	return a
}

// evictIdle removes the accounts of customers without valid allocations.
func (l *Allocator) evictIdle(now time.Time) {
	for customer, a := range l.accounts {
		a.expire(now)
		if len(a.allocations) == 0 {
			delete(l.accounts, customer)
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

func (a *account) sum(of func(allocation) Amount) Amount {
	var total Amount
	for _, al := range a.allocations {
		x := of(al)
		total.Requests += x.Requests
		total.Tokens += x.Tokens
		total.Concurrency += x.Concurrency
	}
	return total
}

// countInactive returns the number of other eligible routers that have no
// allocation and can request one at any moment. Subtracting the number of
// allocations from the number of routers would be wrong, since a router that has
// left can still hold an allocation.
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
// other routers stay as they are; inactive is the number of routers without one.
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
	// active is the number of routers with an allocation, including the one
	// that is being computed; inactive is the number of eligible routers without
	// one, which can request it at any moment.
	active   int
	inactive int
}

// minimumShare returns one router's part of the reserve if the number of eligible
// routers is routers.
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

// divide returns one router's part of a limit, where demand is the demand of
// this router, otherDemand that of the other active routers, allocated what these
// hold and reserve what is reserved for inactive routers.
//
// If the total demand fits the limit less the reserve, the router gets its demand
// and an equal part of the remainder. Otherwise it gets a part in proportion to
// its demand, but at least the smaller of its demand and an equal part. The result
// never exceeds the limit less allocated and reserve.
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
