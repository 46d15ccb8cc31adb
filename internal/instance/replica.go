package instance

import (
	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/controller"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// controlReplica holds the parts that only an instance with a data folder runs: the Raft
// node, the replicated state, its service, and the orders to targets.
type controlReplica struct {
	node    *replica.Node
	state   *state.Machine
	service *control.Service
	orders  *controller.Orders
}

// startReplica starts the control replica. An instance without a data folder starts a
// relay instead, which forwards other instances' requests to the replicas.
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

// serveReplica runs the orders to targets, which are sent only while this replica is the
// leader. It ends the process if the Raft node fails.
func (in *Instance) serveReplica() {
	if in.replica == nil {
		return
	}
	in.background.Go(func() { in.replica.orders.Run(in.ctx) })
	in.background.Go(func() {
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
