package limits

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
)

const (
	// ShareLifetime is how long a lent share lasts without renewal.
	ShareLifetime = 6 * time.Second
	// maxAccounts bounds the customers that one home lends for.
	maxAccounts = 4096
)

// Allocator lends the shares of the customers that are at home at a router. It
// is pure and not safe for concurrent use.
type Allocator struct {
	accounts map[string]*account
}

type account struct {
	// createdAt is when this router began to lend for the customer. What the home
	// before it lent may be in force for ShareLifetime after.
	createdAt   time.Time
	revision    uint64
	limits      Amount
	allocations map[string]allocation
}

// allocation is what one router may be using. Until the router asks again it is not
// known whether the last answer arrived, so that both what it held when it
// asked and what it was answered count.
type allocation struct {
	upperBound Amount
	demand     Amount
	expiry     time.Time
}

// NewAllocator makes a lender without loans.
func NewAllocator() *Allocator {
	return &Allocator{accounts: make(map[string]*account)}
}

// Request is a router's request for a share.
type Request struct {
	Customer string
	Router   string
	// Limits are those of the contract at Revision.
	Limits   Amount
	Revision uint64
	Demand   Amount
	// Held is the share in force at the router when it asked.
	Held Amount
	// InUse counts the requests in flight, which a share can't take back.
	InUse int
	// Routers are the routers that may ask for a share.
	Routers []string
}

// Allocate returns the router's new share, which replaces its earlier one and
// lasts for ShareLifetime. The limits of the highest revision seen hold. The
// sum of the shares in force is never above them, but for what routers held
// before this home lent anything. In that time each router gets its least part
// all the same, so that those that hold much don't keep it from serving.
func (l *Allocator) Allocate(now time.Time, ask Request) Amount {
	a := l.account(now, ask.Customer)
	if a == nil {
		return Amount{}
	}
	if ask.Revision >= a.revision {
		a.revision, a.limits = ask.Revision, ask.Limits
	}
	a.expire(now)
	delete(a.allocations, ask.Router)
	share := a.share(ask.Demand, a.countInactive(ask))
	a.check(share)
	if now.Sub(a.createdAt) < ShareLifetime {
		share = share.atLeast(a.minimumShare(len(ask.Routers)))
	}
	counted := share.atLeast(ask.Held)
	counted.Concurrency = max(counted.Concurrency, float64(ask.InUse))
	a.allocations[ask.Router] = allocation{upperBound: counted, demand: ask.Demand, expiry: now.Add(ShareLifetime)}
	return share
}

// check holds a share, with what the others may be using, to the limits.
func (a *account) check(share Amount) {
	lent := a.sum(func(lo allocation) Amount { return lo.upperBound })
	if fits(share.Requests, lent.Requests, a.limits.Requests) &&
		fits(share.Tokens, lent.Tokens, a.limits.Tokens) &&
		fits(share.Concurrency, lent.Concurrency, a.limits.Concurrency) {
		return
	}
	invariant.Check(false, "lend within the contract", "share", share, "lent", lent, "limits", a.limits)
}

// fits allows for rounding. A share of nothing always fits.
func fits(share, lent, limit float64) bool {
	const rounding = 1e-9
	return share <= 0 || share+lent <= limit*(1+rounding)
}

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

// evictIdle forgets customers of whom nothing is lent.
func (l *Allocator) evictIdle(now time.Time) {
	for customer, a := range l.accounts {
		a.expire(now)
		if len(a.allocations) == 0 {
			delete(l.accounts, customer)
		}
	}
}

func (a *account) expire(now time.Time) {
	for router, lo := range a.allocations {
		if !lo.expiry.After(now) {
			delete(a.allocations, router)
		}
	}
}

func (a *account) sum(of func(allocation) Amount) Amount {
	var total Amount
	for _, lo := range a.allocations {
		x := of(lo)
		total.Requests += x.Requests
		total.Tokens += x.Tokens
		total.Concurrency += x.Concurrency
	}
	return total
}

// countInactive counts the routers that hold nothing and may ask at any moment. A
// router that is gone may still hold something, so loans are not subtracted.
func (a *account) countInactive(ask Request) int {
	n := 0
	for _, router := range ask.Routers {
		if _, holds := a.allocations[router]; !holds && router != ask.Router {
			n++
		}
	}
	return n
}

// share computes what a router with this demand gets while the others keep
// what they have.
func (a *account) share(demand Amount, absent int) Amount {
	lent := a.sum(func(lo allocation) Amount { return lo.upperBound })
	wanted := a.sum(func(lo allocation) Amount { return lo.demand })
	p := routerCounts{active: len(a.allocations) + 1, inactive: absent}
	return Amount{
		Requests:    p.divide(a.limits.Requests, lent.Requests, wanted.Requests, demand.Requests, p.rateReserve(a.limits.Requests)),
		Tokens:      p.divide(a.limits.Tokens, lent.Tokens, wanted.Tokens, demand.Tokens, p.rateReserve(a.limits.Tokens)),
		Concurrency: math.Floor(p.divide(a.limits.Concurrency, lent.Concurrency, wanted.Concurrency, demand.Concurrency, p.concurrencyReserve(a.limits.Concurrency))),
	}
}

// routerCounts are the routers among which a limit is divided: those that have
// asked, and those that have not and may ask at any moment.
type routerCounts struct {
	active   int
	inactive int
}

// minimumShare is the part that is reserved for each router.
func (a *account) minimumShare(routers int) Amount {
	p := routerCounts{inactive: max(routers, 1)}
	n := float64(p.inactive)
	return Amount{
		Requests:    p.rateReserve(a.limits.Requests) / n,
		Tokens:      p.rateReserve(a.limits.Tokens) / n,
		Concurrency: math.Floor(p.concurrencyReserve(a.limits.Concurrency) / n),
	}
}

// maxReserveFraction is the part of a limit that absent routers may keep others from.
const maxReserveFraction = 0.5

// rateReserve is what stays of a rate for absent routers: an equal part of
// maxReserve for each.
func (p routerCounts) rateReserve(limit float64) float64 {
	return limit * maxReserveFraction * float64(p.inactive) / float64(p.active+p.inactive)
}

// concurrencyReserve is what stays of the concurrency for absent routers: one request
// for each.
func (p routerCounts) concurrencyReserve(limit float64) float64 {
	return min(float64(p.inactive), math.Floor(limit*maxReserveFraction))
}

// divide returns one router's part of a limit: in proportion to demand if the
// routers want more than there is, but no less than an equal part that it
// wants, else its demand and an equal part of the rest. It never takes what is
// lent to others or reserved for absent routers.
func (p routerCounts) divide(limit, lent, wanted, demand, reserve float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	free := max(limit-lent-reserve, 0)
	total := wanted + demand
	usable := limit - reserve
	equal := usable / float64(p.active)
	fair := max(usable*demand/max(total, math.SmallestNonzeroFloat64), min(demand, equal))
	if total <= usable {
		fair = demand + (usable-total)/float64(p.active)
	}
	return min(free, fair)
}
