package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// maxAdmitCalls bounds the admission calls for one request.
	maxAdmitCalls = 6
	// CodeNoOwner is the code of a refusal because no owner router of the
	// target group could be reached.
	CodeNoOwner = "no-home"
	// noOwnerRetryAfter is the Retry-After time of refusals because no owner can
	// be reached or no target group serves the request.
	noOwnerRetryAfter = 1 * time.Second
)

// Admit obtains a slot at a target for the request, and waits until a slot is free
// if necessary. Admit does not select targets in exclude. The error is a
// *filter.Refusal or the error of ctx.
func (s *Scheduler) Admit(ctx context.Context, d filter.Demand, exclude []string) (*filter.Grant, error) {
	exclude = append([]string(nil), exclude...)
	group := s.currentLayout().group(d)
	if group == "" {
		s.refresh()
		group = s.currentLayout().group(d)
	}
	if group == "" || s.group(group) == nil {
		return nil, s.refuse(pool.CodeNoTarget, noOwnerRetryAfter, d)
	}
	// failed holds the candidates that are not called again: calls to them
	// failed, or they redirected the request twice. moved holds the candidates
	// that redirected the request.
	failed := make(map[string]bool)
	moved := make(map[string]bool)
	for range maxAdmitCalls {
		to, ok := s.nextCandidate(group, failed)
		if !ok {
			break
		}
		req := s.admitRequest(ctx, group, d, exclude)
		// The called router may redirect the request to an owner that this router
		// can't call, for example because so far only this router knows that the
		// owner drains. With one hop left, the called router forwards the request
		// to the owner instead.
		if len(failed) > 0 || moved[to.id] {
			req.Hops = 1
		}
		reply, err := s.requestSlot(ctx, to, group, req)
		if ctx.Err() != nil {
			s.release(group, req.Id.Number)
			return nil, ctx.Err()
		}
		if err != nil {
			failed[to.id] = true
			continue
		}
		if reply.Code == codeMoved {
			failed[to.id] = moved[to.id]
			moved[to.id] = true
			continue
		}
		if reply.Code != "" {
			return nil, s.refuse(reply.Code, time.Duration(reply.RetryAfterMs)*time.Millisecond, d)
		}
		if grant := s.newGrant(group, req, reply); grant != nil {
			return grant, nil
		}
		// The target left or was drained after the owner's last refresh.
		s.release(group, req.Id.Number)
		s.refresh()
		exclude = append(exclude, reply.Target)
	}
	return nil, s.refuse(CodeNoOwner, noOwnerRetryAfter, d)
}

func (s *Scheduler) nextCandidate(group string, failed map[string]bool) (router, bool) {
	for _, r := range s.ownerCandidates(group) {
		if !failed[r.id] {
			return r, true
		}
	}
	return router{}, false
}

// requestSlot requests a slot from one router. If the reply is a grant under the
// current ownership claim, requestSlot records the slot in s.held. Otherwise
// requestSlot removes the request from s.held and, if a slot may have been granted,
// releases the slot.
func (s *Scheduler) requestSlot(ctx context.Context, to router, group string, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	_, claim := s.group(group).current()
	if claim.GetRouter() == to.id {
		req.KnownEpoch = claim.GetEpoch()
	}
	reply, err := s.callAdmit(ctx, to, req)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", errs.Step(err)).Str("peer", to.id).Str("group", group).
			Msg("no reply from the owner router")
		if errors.Is(err, transport.ErrNotSent) {
			s.held.remove(group, req.Id.Number)
		} else {
			s.release(group, req.Id.Number)
		}
		return nil, err
	}
	if reply.Home == nil {
		reply.Home = claim
	}
	current := s.group(group).applyClaim(reply.Home)
	switch {
	case reply.Code != "":
		s.held.remove(group, req.Id.Number)
	case !current:
		// The router that granted the slot is no longer the owner, and the new
		// owner does not count the slot.
		s.release(group, req.Id.Number)
		reply.Code = codeMoved
	default:
		s.held.set(group, &pb.HeldPlace{
			Number:   req.Id.Number,
			Target:   reply.Target,
			Customer: req.Customer,
			Weight:   req.Weight,
			Model:    req.Model,
			Service:  req.Service,
		})
	}
	return reply, nil
}

func (s *Scheduler) admitRequest(ctx context.Context, group string, d filter.Demand, exclude []string) *pb.AdmitRequest {
	chat := placement.ChatKey(d.Chat)
	return &pb.AdmitRequest{
		Id: &pb.PlaceId{
			Router:      s.cfg.Self,
			Incarnation: s.cfg.View.Self().GetIncarnation(),
			Number:      s.held.register(group),
		},
		Group:      group,
		Customer:   d.Contract.GetCustomer(),
		Weight:     d.Contract.GetWeight(),
		Class:      uint32(d.Class),
		CostTokens: uint32(min(max(d.PromptTokens+d.MaxTokens, 0), math.MaxInt32)),
		Chat:       uint64(chat),
		Model:      d.Model,
		Service:    d.Service,
		Exclude:    exclude,
		MaxWaitMs:  uint32(maxWait(ctx, d.Class).Milliseconds()),
		Hint:       s.placementHint(chat),
	}
}

// maxWait returns the wait limit of a request in the queue: the limit of its
// class, and at most half the time left until the caller's deadline, so that no
// request waits until its deadline. The rest is left to run the request, or to
// refuse it in time.
func maxWait(ctx context.Context, class filter.Class) time.Duration {
	wait := maxWaits[class]
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	return max(wait, 0)
}

// placementHint returns the engine to which this router last assigned the chat,
// or nil if none is known.
func (s *Scheduler) placementHint(chat placement.Key) *pb.PlaceHint {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.recentPlacements.Holders(chat)[0]
	if h.Engine == "" {
		return nil
	}
	return &pb.PlaceHint{Target: h.Engine, Incarnation: h.Incarnation}
}

func (s *Scheduler) recordPlacement(chat placement.Key, target string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentPlacements.Record(chat, placement.Holder{Engine: target, Incarnation: incarnation, Used: time.Now()})
}

// newGrant returns the grant for an admission reply. newGrant returns nil if the
// target has restarted, is no longer in view, or takes no new work.
func (s *Scheduler) newGrant(group string, req *pb.AdmitRequest, reply *pb.AdmitReply) *filter.Grant {
	target := s.cfg.View.Target(reply.Target)
	if target == nil || target.Incarnation != reply.Incarnation || s.closed(target) {
		return nil
	}
	s.recordPlacement(placement.Key(req.Chat), target.Id, target.Incarnation)
	waited := time.Duration(reply.WaitedMs) * time.Millisecond
	why := placement.Reason(reply.Why)
	s.metrics.granted(why, waited)
	var once sync.Once
	return &filter.Grant{
		Target:  target,
		Reasons: grantReasons(reply, why, waited),
		Release: func(u filter.Usage) {
			once.Do(func() {
				s.metrics.released(u)
				s.release(group, req.Id.Number)
			})
		},
	}
}

// grantReasons returns the reasons for the selection of the target and for the
// wait, which the explain command shows to operators.
func grantReasons(reply *pb.AdmitReply, why placement.Reason, waited time.Duration) []filter.Reason {
	var all []filter.Reason
	if reply.Passed != "" {
		text := fmt.Sprintf("passed over: no room at load %d, the bound is %d", reply.PassedLoad, reply.Limit)
		all = append(all, filter.Reason{Step: "placement", Target: reply.Passed, Text: text})
	}
	chosen := fmt.Sprintf("%s; load %d with this request, the bound over %d targets is %d", why, reply.Load, reply.Targets, reply.Limit)
	admitted := "waited " + waited.String() + " at owner " + reply.Home.GetRouter()
	return append(all,
		filter.Reason{Step: "placement", Target: reply.Target, Text: chosen},
		filter.Reason{Step: "admission", Target: reply.Target, Text: admitted},
	)
}

func (s *Scheduler) refuse(code string, retryAfter time.Duration, d filter.Demand) *filter.Refusal {
	s.metrics.refused(code)
	return &filter.Refusal{
		Code:       code,
		Text:       refusalText(code, d),
		RetryAfter: retryAfter,
	}
}

func refusalText(code string, d filter.Demand) string {
	what := "model " + d.Model
	if d.Service != "" {
		what = "service " + d.Service
	}
	switch code {
	case pool.CodeNoTarget:
		return "no target takes work for " + what
	case pool.CodeQueueFull:
		return "the queue for " + what + " is full and this customer has the largest backlog in it"
	case CodeNoOwner:
		return "could not reach a router that admits requests for " + what
	default:
		return "the wait for " + what + " would be too long"
	}
}
