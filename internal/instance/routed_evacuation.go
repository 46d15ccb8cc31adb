package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routesync"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// stepEvacuation is the step in log lines and errors about orders of evacuations.
const stepEvacuation = "evacuation"

// ErrInvalidEvacuation means that an order is malformed or exceeds the limit of evacuated
// data centres, and changed nothing.
var ErrInvalidEvacuation = errors.New("the evacuation order is invalid")

// ErrEvacuationUnsupported means that a live replica runs a build that ignores evacuations.
// The order was not submitted, since that replica would lack it after its upgrade.
var ErrEvacuationUnsupported = errors.New("a replica runs a build without evacuations")

// SetEvacuation starts or ends the evacuation of a data centre and returns once the order is
// committed. It fails with ErrInvalidEvacuation or ErrEvacuationUnsupported if the order was
// not submitted or changed nothing. After another error, the order may be committed; it can
// be repeated, because an order that is repeated changes nothing.
func (in *Routed) SetEvacuation(ctx context.Context, dataCentre string, evacuated bool) error {
	start := time.Now()
	result, err := in.submitEvacuation(ctx, &pb.SetEvacuation{DataCentre: dataCentre, Evacuated: evacuated})
	e := in.logger.Info()
	if err != nil {
		e = in.logger.Warn().Err(err)
	}
	e.Str("step", stepEvacuation).Str("data_centre", dataCentre).Bool("evacuated", evacuated).Uint64("revision", result.GetRevision()).
		Bool("changed", result.GetChanged()).Int64("took_ms", time.Since(start).Milliseconds()).Msg("an evacuation was ordered")
	return err
}

func (in *Routed) submitEvacuation(ctx context.Context, order *pb.SetEvacuation) (*pb.SetEvacuationResult, error) {
	if reason := state.CheckDataCentre(order.DataCentre); reason != "" {
		return nil, fmt.Errorf("%w: %s", ErrInvalidEvacuation, reason)
	}
	if r := control.ReplicaWithoutEvacuation(in.members.Routers()); r != nil {
		return nil, errs.Wrap(ErrEvacuationUnsupported, stepEvacuation, r.Id)
	}
	result, err := in.client.SetEvacuation(ctx, order)
	if err != nil {
		return nil, err
	}
	if result.Invalid != "" {
		return result, fmt.Errorf("%w: %s", ErrInvalidEvacuation, result.Invalid)
	}
	return result, nil
}

// handleEvacuations is called just before a newer set of evacuated data centres takes effect at
// this instance. The targets of a data centre whose evacuation ends count as cold from then on.
// It must not block. At an instance that is a replica, it may be called before the gateway is
// created.
func (in *Routed) handleEvacuations(before, after *pb.Evacuations) {
	for _, name := range routesync.EndedEvacuations(before, after) {
		in.logger.Info().Str("step", stepEvacuation).Str("data_centre", name).Uint64("revision", after.Revision).
			Msg("the evacuation of a data centre has ended")
		if markCold := in.markCold.Load(); markCold != nil {
			(*markCold)(name)
		}
	}
}
