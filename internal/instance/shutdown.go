package instance

import (
	"context"
	"time"
)

// httpShutdownTimeout bounds the wait for requests of operators and targets that are still
// in progress at a shutdown.
const httpShutdownTimeout = 2 * time.Second

// Shutdown drains the router, so that requests in flight can finish, then notifies the other
// instances and closes all parts. If ctx ends before the drain is complete, Shutdown returns
// the error of the drain.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.logger.Info().Str("step", "drain").Msg("the instance drains")
	err := in.router.Drain(ctx)
	in.Leave()
	in.closeAll()
	in.logger.Info().Str("step", "stop").Msg("the instance stopped")
	return err
}

// Abort closes all parts without a drain and cuts off the requests in flight.
func (in *Instance) Abort() {
	in.router.Abort()
	in.closeAll()
}

// closeAll closes the parts that were started, in the reverse order of their dependencies.
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
