package instance

import (
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/controller"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// controlReplica is what an instance with a data folder runs besides.
type controlReplica struct {
	node    *replica.Node
	state   *state.Machine
	service *control.Service
	orders  *controller.Orders
}

// startReplica starts the control replica, or the relay to the replicas at an
// instance without a data folder.
func (in *Instance) startReplica() error {
	if in.cfg.DataDir == "" {
		in.relay = control.NewRelay(control.RelayConfig{
			Server:   in.server,
			Pool:     in.pool,
			Replicas: in.replicaAddrs,
			Logger:   in.logger,
			Scope:    in.scope,
		})
		return nil
	}
	machine := state.New()
	node, service, err := in.startControlLog(replica.Config{
		Dir:        in.cfg.DataDir,
		Addr:       in.cfg.PeerListen,
		DataCentre: in.cfg.DataCentre,
		Founders:   in.cfg.Founders,
	}, machine)
	if err != nil {
		return err
	}
	part := &controlReplica{node: node, state: machine, service: service}
	part.orders = controller.NewOrders(controller.OrdersConfig{
		Leader:  node,
		Intents: machine,
		View:    in.members,
		Logger:  in.logger,
		Scope:   in.scope,
	})
	in.replica = part
	return nil
}

// serveReplica sends orders while this replica leads, and ends the process if
// the replica must stop.
func (in *Instance) serveReplica() {
	if in.replica == nil {
		return
	}
	in.work.Go(func() { in.replica.orders.Run(in.ctx) })
	in.work.Go(func() {
		select {
		case <-in.ctx.Done():
		case <-in.replica.node.Done():
			in.fail(in.replica.node.Err())
		}
	})
}

func (p *controlReplica) close() {
	if p == nil {
		return
	}
	p.service.Close()
	p.node.Close()
}
