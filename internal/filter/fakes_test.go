package filter

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(20261203, 3000)
	goleak.VerifyTestMain(m)
}

// fake implements everything that the chain depends on.
type fake struct {
	leaseExpired bool
	contract     *pb.Contract
	targets      []*pb.TargetStatus
	// take, admit, claim, resolve and try replace the results of calls; nil means
	// success.
	take    func() error
	admit   func() error
	claim   func(c *pb.Claim) (*pb.ClaimResult, error)
	resolve func(r *pb.Resolve) (*pb.ResolveResult, error)
	try     func(x *Exchange) (*Answer, error)

	admitted, released          int
	limitsTaken, limitsReleased int
	resolvedAs                  []pb.ClaimOutcome
}

const goodKey = "key-of-acme"

func newFake() *fake {
	sum := sha256.Sum256([]byte(goodKey))
	return &fake{
		contract: &pb.Contract{Customer: "acme", KeyHashes: [][]byte{sum[:]}, Services: []string{"lab", "away"}},
		targets:  []*pb.TargetStatus{{Id: "t1", Service: "lab"}, {Id: "t2", Service: "lab", Models: []string{"m"}}},
	}
}

func (f *fake) Self() *pb.RouterStatus         { return &pb.RouterStatus{Id: "r1"} }
func (f *fake) Routers() []*pb.RouterStatus    { return nil }
func (f *fake) Targets() []*pb.TargetStatus    { return f.targets }
func (f *fake) Target(string) *pb.TargetStatus { return nil }
func (f *fake) Intent(string) *pb.TargetIntent { return nil }
func (f *fake) Lease() (uint64, time.Time, bool) {
	if f.leaseExpired {
		return 3, time.Now().Add(-time.Minute), false
	}
	return 3, time.Now().Add(time.Minute), true
}
func (f *fake) entries(customer string) []string { return []string{"10.0.0.2:80 for " + customer} }

func (f *fake) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	return f.contract, string(f.contract.GetKeyHashes()[0]) == string(sum[:])
}

func (f *fake) Take(context.Context, Demand) (func(Usage), error) {
	if f.take != nil {
		if err := f.take(); err != nil {
			return nil, err
		}
	}
	f.limitsTaken++
	return func(Usage) { f.limitsReleased++ }, nil
}

func (f *fake) Admit(_ context.Context, _ Demand, exclude []string) (*Grant, error) {
	if f.admit != nil {
		if err := f.admit(); err != nil {
			return nil, err
		}
	}
	if len(exclude) >= len(f.targets) {
		return nil, &Refusal{Code: "no-target", Text: "none left", RetryAfter: time.Second}
	}
	f.admitted++
	return &Grant{Target: f.targets[len(exclude)], Release: func(Usage) { f.released++ }}, nil
}

func (f *fake) Claim(_ context.Context, c *pb.Claim) (*pb.ClaimResult, error) {
	if f.claim != nil {
		return f.claim(c)
	}
	return &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
}

func (f *fake) Resolve(_ context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	f.resolvedAs = append(f.resolvedAs, r.GetOutcome())
	if f.resolve != nil {
		return f.resolve(r)
	}
	return &pb.ResolveResult{Applied: true}, nil
}

// Name and Handle replace the filter that forwards.
func (f *fake) Name() string { return StepForward }

func (f *fake) Handle(_ context.Context, x *Exchange, _ Next) error {
	if err := checkDispatch(x); err != nil {
		return err
	}
	a, err := f.answer(x)
	if err != nil {
		return errs.Wrap(err, StepForward, x.Grant.Target.GetId())
	}
	x.Answer = a
	return nil
}

func (f *fake) answer(x *Exchange) (*Answer, error) {
	if f.try != nil {
		return f.try(x)
	}
	x.Token.Spend()
	return plainAnswer("answer", nil), nil
}

// plainAnswer returns an answer whose body ends with err, or with io.EOF if err is nil.
func plainAnswer(body string, err error) *Answer {
	var r io.Reader = strings.NewReader(body)
	if err != nil {
		r = io.MultiReader(r, errReader{err})
	}
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(body)), Framed: true, Body: io.NopCloser(r)}
}

type errReader struct{ err error }

func (e errReader) Read([]byte) (int, error) { return 0, e.err }

// chain builds the default chain around the fake.
func (f *fake) chain(t testing.TB) (*Chain, *Claim) {
	lease := &Lease{Config: f, Entries: f.entries}
	claim := &Claim{Ledger: f, Router: "r1", Incarnation: 1}
	c, err := Build(DefaultSpec, lease, &Identify{Config: f}, settledCatalog(f), &Limits{Limiter: f}, claim,
		&Schedule{Scheduler: f, Lease: lease, Budget: NewRetryBudget(RetryShare, RetryBurst)}, &Check{}, f)
	if err != nil {
		t.Fatal(err)
	}
	return c, claim
}

// keyedRequest returns a non-idempotent request with an Idempotency-Key.
func keyedRequest() *Exchange {
	return &Exchange{
		ID: "id", Received: time.Now(), Method: "POST", URI: "/book", Path: "/book", Header: http.Header{},
		Bearer: goodKey, Key: "k", Demand: Demand{Service: "lab"},
	}
}

// Errors of tries. Those of sent must follow Token.Spend.
var (
	// errDial is the error of a try that sent nothing. The errors in sentErrors are
	// valid only after Token.Spend.
	errDial    = errors.New("refused")
	sentErrors = []error{forward.ErrTruncated, forward.ErrSilent, forward.ErrRequestIDMismatch}
)
