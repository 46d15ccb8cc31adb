package instance

import (
	"context"
	"time"
)

// httpShutdownTimeout bounds the wait for requests of operators and targets that are in
// progress at a shutdown.
const httpShutdownTimeout = 2 * time.Second

// Shutdown drains the router, so that no request in flight is cut off, notifies the other
// instances and then closes all parts. It returns the error of the drain if ctx ends
// first.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.logger.Info().Str("step", "drain").Msg("the instance drains")
	err := in.router.Drain(ctx)
	in.Leave()
	in.closeAll()
	in.logger.Info().Str("step", "stop").Msg("the instance stopped")
	return err
}

// Abort closes all parts at once and cuts off requests in flight.
func (in *Instance) Abort() {
	in.router.Abort()
	in.closeAll()
}

// closeAll closes the parts that were started, dependents first.
func (in *Instance) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if in.admin != nil {
		_ = in.admin.Shutdown(ctx)
		_ = in.targets.Shutdown(ctx)
	}
	in.stop()
	if in.scheduler != nil {
		in.scheduler.Close()
		in.limiter.Close()
	}
	if in.client != nil {
		in.client.Close()
	}
	if in.relay != nil {
		in.relay.Close()
	}
	in.replica.close()
	in.closeBase()
}
