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
	// maxAdmitCalls bounds the routers asked for one request.
	maxAdmitCalls = 6
	// CodeNoOwner refuses a request for which no home could be reached.
	CodeNoOwner = "no-home"
	// noOwnerRetryAfter is what callers are told then.
	noOwnerRetryAfter = 1 * time.Second
)

// Admit places a request and waits for a place at the target. The error is a
// *filter.Refusal or that of ctx.
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
	failed := make(map[string]bool)
	moved := make(map[string]bool)
	for range maxAdmitCalls {
		to, ok := s.nextCandidate(group, failed)
		if !ok {
			break
		}
		req := s.admitRequest(ctx, group, d, exclude)
		// A router that names a home which this one can't use, for example
		// because only this one knows yet that it drains, passes the request on.
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
		// The target left or was drained since the home's last refresh.
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

// requestSlot asks one router for a place. Unless the answer is a grant under the
// claim in force, nothing is held when it returns.
func (s *Scheduler) requestSlot(ctx context.Context, to router, group string, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	_, asked := s.group(group).current()
	if asked.GetRouter() == to.id {
		req.KnownEpoch = asked.GetEpoch()
	}
	reply, err := s.callAdmit(ctx, to, req)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", errs.Step(err)).Str("peer", to.id).Str("group", group).
			Msg("no answer from the home")
		if errors.Is(err, transport.ErrNotSent) {
			s.held.remove(group, req.Id.Number)
		} else {
			s.release(group, req.Id.Number)
		}
		return nil, err
	}
	if reply.Home == nil {
		reply.Home = asked
	}
	current := s.group(group).applyClaim(reply.Home)
	switch {
	case reply.Code != "":
		s.held.remove(group, req.Id.Number)
	case !current:
		// Granted by a home that has been replaced: the new one does not
		// count this place.
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

// maxWait is the longest wait of a request: that of its class, and at most
// half the time that its caller still gives it, so that nothing is held to
// its deadline.
func maxWait(ctx context.Context, class filter.Class) time.Duration {
	wait := maxWaits[class]
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	return max(wait, 0)
}

// placementHint tells where this router last placed the chat.
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

// newGrant makes the caller's grant; it returns nil if the target is not to be
// used any more.
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

// grantReasons explains a grant to operators.
func grantReasons(reply *pb.AdmitReply, why placement.Reason, waited time.Duration) []filter.Reason {
	var all []filter.Reason
	if reply.Passed != "" {
		text := fmt.Sprintf("passed over: no room at load %d, the bound is %d", reply.PassedLoad, reply.Limit)
		all = append(all, filter.Reason{Step: "placement", Target: reply.Passed, Text: text})
	}
	chosen := fmt.Sprintf("%s; load %d with this request, the bound over %d targets is %d", why, reply.Load, reply.Targets, reply.Limit)
	admitted := "waited " + waited.String() + " at home " + reply.Home.GetRouter()
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
		return "the queue for " + what + " is full and this customer's part of it the longest"
	case CodeNoOwner:
		return "no router could be reached that admits for " + what
	default:
		return "the wait for " + what + " would be too long"
	}
}
