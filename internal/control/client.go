package control

import (
	"context"
	"errors"
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
	// minRetryPause and maxRetryPause bound the exponential back-off between two
	// passes over the addresses.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// readPassTimeout bounds one pass of a read over the addresses, since all
	// replicas may be waiting for a leader that has failed.
	readPassTimeout = 2 * time.Second
	// inForceCallTimeout bounds one call that waits until a revision is active at
	// all routers.
	inForceCallTimeout = 2 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Pool *transport.Pool
	// Replicas returns the peer addresses of the control replicas.
	Replicas func() []string
	// Relays returns the peer addresses of routers that may reach replicas which
	// this process can't reach. A nil Relays means that there are none.
	Relays func() []string
	Logger *log.Logger
	Scope  tally.Scope
	// Group is the group of the replicated log that commands are submitted to.
	Group uint32
}

// Client makes control calls, bounded by the context of each call. It retries
// only what is safe to repeat: reads, and commands, which the state machine
// deduplicates.
type Client struct {
	leader  *leaderCaller
	group   uint32
	logger  *log.Logger
	retries tally.Counter
	unknown tally.Counter
}

var _ filter.Ledger = (*Client)(nil)

// NewClient returns a client. The caller must close it.
func NewClient(cfg ClientConfig) *Client {
	return newClient(cfg, cfg.Pool)
}

func newClient(cfg ClientConfig, peers peerCaller) *Client {
	scope := cfg.Scope.SubScope("control")
	return &Client{
		leader:  newLeaderCaller(peers, cfg.Replicas, cfg.Relays),
		group:   cfg.Group,
		logger:  cfg.Logger,
		retries: scope.Counter("command_retries"),
		unknown: scope.Counter("commands_unknown"),
	}
}

// Close waits for calls of hedged reads that are still in progress. Later reads
// fail.
func (c *Client) Close() { c.leader.close() }

// Submit commits a command and retries until ctx ends. A change must carry an
// operation id, and a claim an attempt number, so that the state machine can
// detect repeats. The error has CALL_STATUS_NOT_LEADER or wraps transport.ErrNotSent only
// if the command can't have been committed.
func (c *Client) Submit(ctx context.Context, cmd *pb.Command) (*pb.SubmitReply, error) {
	reply, _, err := c.submit(ctx, cmd)
	return reply, err
}

// submit also returns whether a failed attempt to send the command may have
// committed it.
func (c *Client) submit(ctx context.Context, cmd *pb.Command) (_ *pb.SubmitReply, mayBeCommitted bool, _ error) {
	pause := minRetryPause
	for {
		req := &pb.SubmitRequest{Group: c.group, Command: cmd, Hops: maxHops}
		resp := &pb.SubmitReply{}
		err := c.leader.callInOrder(ctx, methodSubmit, req, resp)
		if err == nil {
			return resp, mayBeCommitted, nil
		}
		if isFinal(err) {
			return nil, mayBeCommitted, err
		}
		mayBeCommitted = mayBeCommitted || !hadNoEffect(err)
		if !sleep(ctx, jitter(pause)) {
			return nil, mayBeCommitted, c.unresolvedError(err, mayBeCommitted)
		}
		c.retries.Inc(1)
		pause = min(2*pause, maxRetryPause)
	}
}

// isFinal reports whether a retry can't succeed, because the peer does not accept
// this process's token.
func isFinal(err error) bool {
	return transport.Status(err) == pb.CallStatus_CALL_STATUS_UNAUTHORIZED
}

// unresolvedError returns the error of a command whose retries have ended: lastErr
// if the command can't have been committed, otherwise one that says that the
// outcome is unknown.
func (c *Client) unresolvedError(lastErr error, mayBeCommitted bool) error {
	if !mayBeCommitted {
		return lastErr
	}
	c.unknown.Inc(1)
	return errs.Wrap(outcomeUnknown("the command may be committed: "+lastErr.Error()), methodSubmit, errs.Peer(lastErr))
}

// Change submits a configuration change.
func (c *Client) Change(ctx context.Context, change *pb.ConfigChange) (*pb.ChangeResult, error) {
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_Change{Change: change}})
	if err != nil {
		return nil, err
	}
	return reply.Result.GetChange(), nil
}

// PutRoutingTable submits a routing table, in full or as a delta.
func (c *Client) PutRoutingTable(ctx context.Context, t *pb.RoutingTable) (*pb.RoutingTableResult, error) {
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_RoutingTable{RoutingTable: t}})
	if err != nil {
		return nil, err
	}
	return reply.Result.GetRoutingTable(), nil
}

// errNoEvacuationResult means that the leader runs a build that does not know the command.
var errNoEvacuationResult = errors.New("the leader does not apply evacuations")

// SetEvacuation submits an order that starts or ends an evacuation. Repeats change nothing.
func (c *Client) SetEvacuation(ctx context.Context, order *pb.SetEvacuation) (*pb.SetEvacuationResult, error) {
	reply, err := c.Submit(ctx, &pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: order}})
	if err != nil {
		return nil, err
	}
	result := reply.Result.GetSetEvacuation()
	if result == nil {
		return nil, errs.Wrap(errNoEvacuationResult, methodSubmit, reply.LeaderAddr)
	}
	return result, nil
}

// Claim commits a claim. Each call must use a new attempt number. At most one call
// receives the grant: a repeated grant counts only if this call sent the claim
// before and lost the reply. After an error that leaves the outcome open, the
// claimant must not dispatch the request and should resolve the attempt as
// released, which the ledger honours even if the claim commits later.
func (c *Client) Claim(ctx context.Context, claim *pb.Claim) (*pb.ClaimResult, error) {
	reply, mayBeCommitted, err := c.submit(ctx, &pb.Command{Body: &pb.Command_Claim{Claim: claim}})
	if err != nil {
		return nil, err
	}
	result := reply.Result.GetClaim()
	if result == nil {
		return nil, errs.Wrap(outcomeUnknown("the reply has no claim result"), methodSubmit, "")
	}
	if result.Status == pb.ClaimStatus_CLAIM_STATUS_GRANTED && result.Resent && !mayBeCommitted {
		c.logger.Error().Str("step", "claim").Str("request", claim.RequestId).Msg("two calls claimed the same attempt; reporting the claim as in progress")
		result.Status = pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	}
	return result, nil
}

// Resolve records the outcome of a claim. An answer that is too large for the
// ledger to store is sent without its body, so that the body does not take up
// space in the log.
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

// Lease requests a lease. It makes one pass over the addresses and does not retry
// after that.
func (c *Client) Lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
	req.Hops = maxHops
	return hedgedRead[pb.LeaseReply](ctx, c.leader, methodLease, req)
}

// InForce waits until a revision is active at all routers, which means that no
// router can serve under an older revision. If ctx ends before that, InForce
// returns the leader's last reply, which lists the routers that were still pending.
// That reply is empty if no leader replied.
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

// Query reads the leader's state and retries until ctx ends.
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

// ReplicaChange adds or removes a replica. It does not retry after an unknown
// outcome; the caller must then query the replicas.
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

// jitter returns a random duration between d/2 and d, so that processes don't
// retry in step.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep waits for d. It returns false if ctx ends first, and does so at once if
// the deadline of ctx is not after the end of d.
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
