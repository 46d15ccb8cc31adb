package instance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// leaveTimeout bounds telling other instances of the departure.
const leaveTimeout = 2 * time.Second

// base holds what every kind of instance has: its metrics, its connections to
// other instances, membership, and the background work.
type base struct {
	logger  *log.Logger
	scope   tally.Scope
	metrics http.Handler
	closer  io.Closer

	listeners *Listeners
	server    *transport.Server
	pool      *transport.Pool
	members   *member.Members

	// ctx ends the background work at the end of a shutdown.
	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
	failed chan error
}

// init sets up the metrics and the context of the background work.
func (b *base) init(id string, listeners *Listeners, logger *log.Logger) {
	b.logger = logger
	b.listeners = listeners
	b.failed = make(chan error, 1)
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.scope, b.metrics, b.closer = newMetrics(id)
}

// Failed delivers an error that must end the process, such as a failed sync.
func (b *base) Failed() <-chan error { return b.failed }

// fail ends the process for err, unless another error does already.
func (b *base) fail(err error) {
	select {
	case b.failed <- err:
	default:
	}
}

// Leave tells the other instances that this one is gone.
func (b *base) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := b.members.Leave(ctx); err != nil {
		b.logger.Warn().Err(err).Str("step", "leave").Msg("other instances were not told of the departure")
	}
}

// closeBase ends the parts that were started, in the reverse order of their use,
// once nothing uses them any more.
func (b *base) closeBase() {
	if b.server != nil {
		b.server.Close()
		b.pool.Close()
	}
	if b.members != nil {
		b.members.Close()
	}
	b.listeners.Close()
	b.work.Wait()
	_ = b.closer.Close()
}

// startControlLog starts this process's replica of the control log, whose own settings cfg
// holds, and the service on it.
func (b *base) startControlLog(cfg replica.Config, machine *state.Machine) (*replica.Node, *control.Service, error) {
	cfg.Group = controlGroup
	cfg.Machine = machine
	cfg.Server = b.server
	cfg.Pool = b.pool
	cfg.Logger = b.logger
	cfg.Scope = b.scope
	node, err := replica.Start(b.ctx, cfg)
	if err != nil {
		return nil, nil, fmt.Errorf("data folder %s: %w", cfg.Dir, err)
	}
	service := control.NewService(control.Config{
		Log:    node,
		State:  machine,
		Group:  controlGroup,
		Server: b.server,
		Pool:   b.pool,
		Logger: b.logger,
		Scope:  b.scope,
	})
	return node, service, nil
}
