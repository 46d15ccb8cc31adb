package filter

import "context"

// Body reads the body of a request whose route and key are known to be valid.
type Body struct{}

// Name returns the filter's name in specs.
func (*Body) Name() string { return StepBody }

// Handle calls the exchange's ReadBody.
func (*Body) Handle(ctx context.Context, x *Exchange, next Next) error {
	if x.ReadBody != nil {
		if err := x.ReadBody(); err != nil {
			return err
		}
	}
	return next(ctx, x)
}
