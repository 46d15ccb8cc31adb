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

// leaveTimeout bounds the notification of the other instances when this one leaves.
const leaveTimeout = 2 * time.Second

// base holds the parts that Instance and Routed have in common: metrics, the
// connections to other instances, membership and the background goroutines.
type base struct {
	logger  *log.Logger
	scope   tally.Scope
	metrics http.Handler
	closer  io.Closer

	listeners *Listeners
	server    *transport.Server
	pool      *transport.Pool
	members   *member.Members

	// ctx is cancelled by stop at the end of a shutdown, which ends the background
	// goroutines in work.
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
	// failed holds the first error that must end the process.
	failed chan error
}

// init creates the metrics and the context of the background goroutines.
func (b *base) init(id string, listeners *Listeners, logger *log.Logger) {
	b.logger = logger
	b.listeners = listeners
	b.failed = make(chan error, 1)
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.scope, b.metrics, b.closer = newMetrics(id)
}

// Failed returns a channel that delivers an error that must end the process, such as a
// failed fsync of the log.
func (b *base) Failed() <-chan error { return b.failed }

// fail reports err through Failed, unless an earlier error is still waiting there.
func (b *base) fail(err error) {
	select {
	case b.failed <- err:
	default:
	}
}

// Leave notifies the other instances that this one leaves.
func (b *base) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := b.members.Leave(ctx); err != nil {
		b.logger.Warn().Err(err).Str("step", "leave").Msg("other instances were not notified of the departure")
	}
}

// closeBase closes the parts of base that were started, dependents first, and waits for
// the background goroutines. Other parts that use them must be closed before.
func (b *base) closeBase() {
	if b.server != nil {
		b.server.Close()
		b.pool.Close()
	}
	if b.members != nil {
		b.members.Close()
	}
	b.listeners.Close()
	b.background.Wait()
	_ = b.closer.Close()
}

// startControlLog starts this process's replica of the Raft log for the control state, and
// the service that gives peers access to it. cfg holds the settings of the replica; the
// fields that all instances share are filled in here.
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
