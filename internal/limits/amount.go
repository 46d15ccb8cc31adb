package limits

import (
	"math"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// unlimited is the value of a dimension that the contract does not limit.
var unlimited = math.Inf(1)

// Amount is a quantity in each dimension of a contract's limits: a limit, a
// share or a demand.
type Amount struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// Concurrency is a number of requests in flight, always an integer.
	Concurrency float64
}

// FromLimits converts the limits of a contract. A zero limit means unlimited.
func FromLimits(l *pb.Limits) Amount {
	return Amount{
		Requests:    orUnlimited(l.GetRequestsPerSecond()),
		Tokens:      orUnlimited(l.GetTokensPerSecond()),
		Concurrency: orUnlimited(float64(l.GetConcurrency())),
	}
}

func orUnlimited(x float64) float64 {
	if x <= 0 {
		return unlimited
	}
	return x
}

// Unlimited reports whether all dimensions are unlimited.
func (a Amount) Unlimited() bool {
	return math.IsInf(a.Requests, 1) && math.IsInf(a.Tokens, 1) && math.IsInf(a.Concurrency, 1)
}

// dividedBy returns the amount divided by n, with the concurrency rounded down.
func (a Amount) dividedBy(n int) Amount {
	f := float64(max(n, 1))
	return Amount{
		Requests:    a.Requests / f,
		Tokens:      a.Tokens / f,
		Concurrency: math.Floor(a.Concurrency / f),
	}
}

// atLeast returns the larger of a and b in each dimension.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{
		Requests:    max(a.Requests, b.Requests),
		Tokens:      max(a.Tokens, b.Tokens),
		Concurrency: max(a.Concurrency, b.Concurrency),
	}
}

func (a Amount) toShare() *pb.Share {
	return &pb.Share{
		RequestsPerSecond: zeroIfUnlimited(a.Requests),
		TokensPerSecond:   zeroIfUnlimited(a.Tokens),
		Concurrency:       uint32(zeroIfUnlimited(a.Concurrency)),
	}
}

func zeroIfUnlimited(x float64) float64 {
	if math.IsInf(x, 1) {
		return 0
	}
	return x
}

// fromShare converts a share and caps it at the limits of the contract.
// Dimensions that the contract does not limit are unlimited in the result,
// whatever the share holds there.
func fromShare(s *pb.Share, limits Amount) Amount {
	return Amount{
		Requests:    cappedAt(s.GetRequestsPerSecond(), limits.Requests),
		Tokens:      cappedAt(s.GetTokensPerSecond(), limits.Tokens),
		Concurrency: cappedAt(float64(s.GetConcurrency()), limits.Concurrency),
	}
}

func cappedAt(x, limit float64) float64 {
	if math.IsInf(limit, 1) {
		return limit
	}
	return min(x, limit)
}
