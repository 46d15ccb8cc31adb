package instance

import (
	"context"
	"time"
)

// httpShutdownTimeout bounds the last answers to operators and targets.
const httpShutdownTimeout = 2 * time.Second

// Shutdown drains the router, so that no request in flight is cut off, and
// then ends all parts. It returns the drain's error if ctx ended first.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.logger.Info().Str("step", "drain").Msg("the instance drains")
	err := in.router.Drain(ctx)
	in.Leave()
	in.closeAll()
	in.logger.Info().Str("step", "stop").Msg("the instance stopped")
	return err
}

// Abort ends all parts at once, requests in flight included.
func (in *Instance) Abort() {
	in.router.Abort()
	in.closeAll()
}

// closeAll ends the parts that were started, in the reverse order of their use.
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
