package filter

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Identify finds the contract of the caller's bearer key and checks that it permits the
// model or service.
type Identify struct {
	Config ConfigView
}

// Name returns the filter's name in specs.
func (*Identify) Name() string { return StepIdentify }

// Handle sets the contract of the demand.
func (i *Identify) Handle(ctx context.Context, x *Exchange, next Next) error {
	contract, err := i.Contract(x)
	if err != nil {
		return err
	}
	x.Demand.Contract = contract
	if x.Demand.Chat != "" {
		// Callers choose chat names, so the customer's name keeps those of different
		// customers apart.
		x.Demand.Chat = contract.GetCustomer() + "/" + x.Demand.Chat
	}
	if !Permits(contract, x.Demand.Model, x.Demand.Service) {
		return x.Reject(Rejection{
			Status:  http.StatusForbidden,
			Code:    "not-permitted",
			Message: "the contract does not permit this model or service",
			Step:    StepIdentify,
		})
	}
	return next(ctx, x)
}

// Contract returns the contract of x's bearer key, or a rejection.
func (i *Identify) Contract(x *Exchange) (*pb.Contract, error) {
	if x.Bearer == "" {
		return nil, x.Reject(Rejection{
			Status:  http.StatusUnauthorized,
			Code:    "no-key",
			Message: "the request needs the header Authorization: Bearer KEY",
			Step:    StepIdentify,
		})
	}
	contract, ok := i.Config.ContractByKey(sha256.Sum256([]byte(x.Bearer)))
	if !ok || contract.GetDeleted() {
		return nil, x.Reject(Rejection{
			Status:  http.StatusUnauthorized,
			Code:    "unknown-key",
			Message: "no contract has this key",
			Step:    StepIdentify,
		})
	}
	return contract, nil
}

// Permits reports whether the contract permits the model or service that is set. A
// contract that lists none permits all.
func Permits(c *pb.Contract, model, service string) bool {
	if model != "" && len(c.GetModels()) > 0 && !slices.Contains(c.GetModels(), model) {
		return false
	}
	if service != "" && len(c.GetServices()) > 0 && !slices.Contains(c.GetServices(), service) {
		return false
	}
	return true
}
