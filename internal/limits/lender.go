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

// Lender lends the shares of the customers that are at home at a router. It
// is pure and not safe for concurrent use.
type Lender struct {
	accounts map[string]*account
}

type account struct {
	// opened is when this router began to lend for the customer. What the home
	// before it lent may be in force for ShareLifetime after.
	opened   time.Time
	revision uint64
	limits   Amount
	loans    map[string]loan
}

// loan is what one router may be using. Until the router asks again it is not
// known whether the last answer arrived, so that both what it held when it
// asked and what it was answered count.
type loan struct {
	counted Amount
	demand  Amount
	until   time.Time
}

// NewLender makes a lender without loans.
func NewLender() *Lender {
	return &Lender{accounts: make(map[string]*account)}
}

// Ask is a router's request for a share.
type Ask struct {
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

// Lend returns the router's new share, which replaces its earlier one and
// lasts for ShareLifetime. The limits of the highest revision seen hold. The
// sum of the shares in force is never above them, but for what routers held
// before this home lent anything. In that time each router gets its least part
// all the same, so that those that hold much don't keep it from serving.
func (l *Lender) Lend(now time.Time, ask Ask) Amount {
	a := l.account(now, ask.Customer)
	if a == nil {
		return Amount{}
	}
	if ask.Revision >= a.revision {
		a.revision, a.limits = ask.Revision, ask.Limits
	}
	a.expire(now)
	delete(a.loans, ask.Router)
	share := a.share(ask.Demand, a.absent(ask))
	a.check(share)
	if now.Sub(a.opened) < ShareLifetime {
		share = share.atLeast(a.least(len(ask.Routers)))
	}
	counted := share.atLeast(ask.Held)
	counted.Concurrency = max(counted.Concurrency, float64(ask.InUse))
	a.loans[ask.Router] = loan{counted: counted, demand: ask.Demand, until: now.Add(ShareLifetime)}
	return share
}

// check holds a share, with what the others may be using, to the limits.
func (a *account) check(share Amount) {
	lent := a.sum(func(lo loan) Amount { return lo.counted })
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

func (l *Lender) account(now time.Time, customer string) *account {
	a, ok := l.accounts[customer]
	if ok {
		return a
	}
	if len(l.accounts) >= maxAccounts {
		l.trim(now)
	}
	if len(l.accounts) >= maxAccounts {
		return nil
	}
	a = &account{opened: now, loans: make(map[string]loan)}
	l.accounts[customer] = a
	return a
}

// trim forgets customers of whom nothing is lent.
func (l *Lender) trim(now time.Time) {
	for customer, a := range l.accounts {
		a.expire(now)
		if len(a.loans) == 0 {
			delete(l.accounts, customer)
		}
	}
}

func (a *account) expire(now time.Time) {
	for router, lo := range a.loans {
		if !lo.until.After(now) {
			delete(a.loans, router)
		}
	}
}

func (a *account) sum(of func(loan) Amount) Amount {
	var total Amount
	for _, lo := range a.loans {
		x := of(lo)
		total.Requests += x.Requests
		total.Tokens += x.Tokens
		total.Concurrency += x.Concurrency
	}
	return total
}

// absent counts the routers that hold nothing and may ask at any moment. A
// router that is gone may still hold something, so loans are not subtracted.
func (a *account) absent(ask Ask) int {
	n := 0
	for _, router := range ask.Routers {
		if _, holds := a.loans[router]; !holds && router != ask.Router {
			n++
		}
	}
	return n
}

// share computes what a router with this demand gets while the others keep
// what they have.
func (a *account) share(demand Amount, absent int) Amount {
	lent := a.sum(func(lo loan) Amount { return lo.counted })
	wanted := a.sum(func(lo loan) Amount { return lo.demand })
	p := parties{asked: len(a.loans) + 1, absent: absent}
	return Amount{
		Requests:    p.divide(a.limits.Requests, lent.Requests, wanted.Requests, demand.Requests, p.rateReserve(a.limits.Requests)),
		Tokens:      p.divide(a.limits.Tokens, lent.Tokens, wanted.Tokens, demand.Tokens, p.rateReserve(a.limits.Tokens)),
		Concurrency: math.Floor(p.divide(a.limits.Concurrency, lent.Concurrency, wanted.Concurrency, demand.Concurrency, p.slotReserve(a.limits.Concurrency))),
	}
}

// parties are the routers among which a limit is divided: those that have
// asked, and those that have not and may ask at any moment.
type parties struct {
	asked  int
	absent int
}

// least is the part that is reserved for each router.
func (a *account) least(routers int) Amount {
	p := parties{absent: max(routers, 1)}
	n := float64(p.absent)
	return Amount{
		Requests:    p.rateReserve(a.limits.Requests) / n,
		Tokens:      p.rateReserve(a.limits.Tokens) / n,
		Concurrency: math.Floor(p.slotReserve(a.limits.Concurrency) / n),
	}
}

// maxReserve is the part of a limit that absent routers may keep others from.
const maxReserve = 0.5

// rateReserve is what stays of a rate for absent routers: an equal part of
// maxReserve for each.
func (p parties) rateReserve(limit float64) float64 {
	return limit * maxReserve * float64(p.absent) / float64(p.asked+p.absent)
}

// slotReserve is what stays of the concurrency for absent routers: one request
// for each.
func (p parties) slotReserve(limit float64) float64 {
	return min(float64(p.absent), math.Floor(limit*maxReserve))
}

// divide returns one router's part of a limit: in proportion to demand if the
// routers want more than there is, but no less than an equal part that it
// wants, else its demand and an equal part of the rest. It never takes what is
// lent to others or reserved for absent routers.
func (p parties) divide(limit, lent, wanted, demand, reserve float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	free := max(limit-lent-reserve, 0)
	total := wanted + demand
	usable := limit - reserve
	equal := usable / float64(p.asked)
	fair := max(usable*demand/max(total, math.SmallestNonzeroFloat64), min(demand, equal))
	if total <= usable {
		fair = demand + (usable-total)/float64(p.asked)
	}
	return min(free, fair)
}
