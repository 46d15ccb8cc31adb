package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// minRetryPause and retryMax bound the pause between two passes over the
	// addresses.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// readPassTimeout bounds one pass of a read over the addresses; all of them may
	// wait for a leader that was lost.
	readPassTimeout = 2 * time.Second
	// inForceCallTimeout bounds one call that waits for a revision to be in force.
	inForceCallTimeout = 2 * time.Second
)

// ClientConfig holds what a Client works with.
type ClientConfig struct {
	Pool *transport.Pool
	// Replicas returns the peer addresses of the control replicas.
	Replicas func() []string
	// Relays returns peer addresses of routers that may reach replicas which
	// this process doesn't; nil for none.
	Relays func() []string
	Logger *log.Logger
	Scope  tally.Scope
	// Group is the log group of commands.
	Group uint32
}

// Client makes control calls, bounded by the caller's context. It retries only
// what is safe to repeat: reads, and commands, which the state machine answers
// once.
type Client struct {
	leader  *leaderCaller
	group   uint32
	logger  *log.Logger
	retries tally.Counter
	unknown tally.Counter
}

var _ filter.Ledger = (*Client)(nil)

// NewClient makes a client. Close ends it.
func NewClient(cfg ClientConfig) *Client {
	return newClient(cfg, cfg.Pool)
}

func newClient(cfg ClientConfig, calls peerCaller) *Client {
	scope := cfg.Scope.SubScope("control")
	return &Client{
		leader:  newLeaderCaller(calls, cfg.Replicas, cfg.Relays),
		group:   cfg.Group,
		logger:  cfg.Logger,
		retries: scope.Counter("command_retries"),
		unknown: scope.Counter("commands_unknown"),
	}
}

// Close waits for calls under way.
func (c *Client) Close() { c.leader.close() }

// Submit commits a command. A change must bear an operation id, a claim its
// attempt. The error carries CALL_STATUS_NOT_LEADER or wraps
// transport.ErrNotSent only if the command can't have been committed.
func (c *Client) Submit(ctx context.Context, cmd *pb.Command) (*pb.SubmitReply, error) {
	reply, _, err := c.submit(ctx, cmd)
	return reply, err
}

// submit also returns whether a try before the one that was answered may have
// been committed.
func (c *Client) submit(ctx context.Context, cmd *pb.Command) (_ *pb.SubmitReply, mayBeRepeat bool, _ error) {
	pause := minRetryPause
	for {
		req := &pb.SubmitRequest{Group: c.group, Command: cmd, Hops: maxHops}
		resp := &pb.SubmitReply{}
		err := c.leader.callInOrder(ctx, methodSubmit, req, resp)
		if err == nil {
			return resp, mayBeRepeat, nil
		}
		if isFinal(err) {
			return nil, mayBeRepeat, err
		}
		mayBeRepeat = mayBeRepeat || !hadNoEffect(err)
		if !sleep(ctx, jitter(pause)) {
			return nil, mayBeRepeat, c.unresolvedError(err, mayBeRepeat)
		}
		c.retries.Inc(1)
		pause = min(2*pause, maxRetryPause)
	}
}

// isFinal tells whether trying again can't help.
func isFinal(err error) bool {
	return transport.Status(err) == pb.CallStatus_CALL_STATUS_UNAUTHORIZED
}

func (c *Client) unresolvedError(last error, mayBeCommitted bool) error {
	if !mayBeCommitted {
		return last
	}
	c.unknown.Inc(1)
	return errs.Wrap(outcomeUnknown("the command may be committed: "+last.Error()), methodSubmit, errs.Peer(last))
}

// Change submits a configuration change.
func (c *Client) Change(ctx context.Context, change *pb.ConfigChange) (*pb.ChangeResult, error) {
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_Change{Change: change}})
	if err != nil {
		return nil, err
	}
	return reply.Result.GetChange(), nil
}

// PutRoutingTable submits a routing table, whole or as a delta.
func (c *Client) PutRoutingTable(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_RoutingTable{RoutingTable: t}})
	if err != nil {
		return nil, err
	}
	return reply.Result.GetRoutingTable(), nil
}

// Claim commits a claim; each call must bear an attempt of its own. A grant is
// returned to at most one call: a repeated grant counts only if this call sent
// the claim before and lost the answer. After an error that leaves the outcome
// open, the claimant must not dispatch and should resolve the attempt as
// released, which the ledger honours even if the claim commits later.
func (c *Client) Claim(ctx context.Context, claim *pb.Claim) (*pb.ClaimResult, error) {
	reply, mayBeRepeat, err := c.submit(ctx, &pb.Command{Body: &pb.Command_Claim{Claim: claim}})
	if err != nil {
		return nil, err
	}
	result := reply.Result.GetClaim()
	if result == nil {
		return nil, errs.Wrap(outcomeUnknown("the reply holds no claim result"), methodSubmit, "")
	}
	if result.Status == pb.ClaimStatus_CLAIM_STATUS_GRANTED && result.Resent && !mayBeRepeat {
		c.logger.Error().Str("step", "claim").Str("request", claim.RequestId).Msg("an attempt was claimed twice")
		result.Status = pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	}
	return result, nil
}

// Resolve ends a claim. An answer larger than the ledger stores goes without
// its body, so that it doesn't burden the log.
func (c *Client) Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error) {
	if proto.Size(r.Answer) > state.DefaultBounds().MaxAnswerBytes {
		r = proto.CloneOf(r)
		r.Answer = &pb.StoredAnswer{Status: r.Answer.Status, Truncated: true}
	}
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_Resolve{Resolve: r}})
	if err != nil {
		return nil, err
	}
	return reply.Result.GetResolve(), nil
}

// Lease asks for a lease once, at several addresses if need be.
func (c *Client) Lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
	req.Hops = maxHops
	return hedgedRead[pb.LeaseReply](ctx, c.leader, methodLease, req)
}

// InForce waits until a revision is in force at all routers, or ctx ends; then
// the reply names those that it waits for.
func (c *Client) InForce(ctx context.Context, revision uint64) (*pb.InForceReply, error) {
	last := &pb.InForceReply{}
	for {
		tryCtx, cancel := context.WithTimeout(ctx, inForceCallTimeout)
		resp := &pb.InForceReply{}
		err := c.leader.callInOrder(tryCtx, methodInForce, &pb.InForceRequest{Revision: revision, Hops: maxHops}, resp)
		cancel()
		switch {
		case err == nil && resp.InForce:
			return resp, nil
		case err == nil:
			last = resp
		case isFinal(err):
			return nil, err
		}
		if !sleep(ctx, jitter(minRetryPause)) {
			return last, nil
		}
	}
}

// Query reads the leader's state, retrying until ctx ends.
func (c *Client) Query(ctx context.Context, req *pb.QueryRequest) (*pb.QueryReply, error) {
	req.Hops = maxHops
	pause := minRetryPause
	for {
		passCtx, cancel := context.WithTimeout(ctx, readPassTimeout)
		resp, err := hedgedRead[pb.QueryReply](passCtx, c.leader, methodQuery, req)
		cancel()
		if err == nil || isFinal(err) {
			return resp, err
		}
		if !sleep(ctx, jitter(pause)) {
			return nil, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// ReplicaChange adds or removes a replica. It is not repeated after an unknown
// outcome; query the replicas then.
func (c *Client) ReplicaChange(ctx context.Context, req *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error) {
	req.Hops = maxHops
	pause := minRetryPause
	for {
		resp := &pb.ReplicaChangeReply{}
		err := c.leader.callInOrder(ctx, methodReplicaChange, req, resp)
		if err == nil {
			return resp, nil
		}
		if isFinal(err) || !hadNoEffect(err) || !sleep(ctx, jitter(pause)) {
			return nil, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// jitter spreads retries of many processes.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep returns false if ctx ends before d is over.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
