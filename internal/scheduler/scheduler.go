package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// Scheduler places requests on targets and admits them.
type Scheduler struct {
	cfg     Config
	local   *gate
	metrics *metrics
	numbers atomic.Uint64

	refreshMu sync.Mutex
	reports   map[string]report

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
}

var _ filter.Scheduler = (*Scheduler)(nil)

// New makes a scheduler.
func New(cfg Config) *Scheduler {
	cfg.setDefaults()
	return &Scheduler{
		cfg:     cfg,
		local:   newGate(cfg.poolConfig()),
		metrics: newMetrics(cfg.Scope),
		reports: make(map[string]report),
		stop:    make(chan struct{}),
	}
}

// Run follows the view until Close or the end of ctx.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.refresh()
		s.metrics.report(s.local.stats())
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// Close ends Run.
func (s *Scheduler) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.done.Wait()
}

// Admit places a request and waits for a place at the target. The error is a
// *filter.Refusal or that of ctx.
func (s *Scheduler) Admit(ctx context.Context, d filter.Demand, exclude []string) (*filter.Grant, error) {
	r := s.request(ctx, d, exclude)
	for {
		result, err := s.local.admit(ctx, r)
		if err != nil {
			return nil, err
		}
		if result.Kind == pool.Refused {
			return nil, s.refusal(result, d)
		}
		grant, ok := s.grant(r, result)
		if ok {
			return grant, nil
		}
		// The target left or was drained since the last refresh.
		s.local.release(r.ID)
		s.refresh()
		r.Exclude = append(r.Exclude, result.Target)
		r.ID.Number = s.numbers.Add(1)
	}
}

func (s *Scheduler) request(ctx context.Context, d filter.Demand, exclude []string) pool.Request {
	return pool.Request{
		ID:       pool.ID{Router: s.cfg.Self, Number: s.numbers.Add(1)},
		Customer: d.Contract.GetCustomer(),
		Weight:   d.Contract.GetWeight(),
		Class:    int(d.Class),
		Cost:     float64(d.PromptTokens + d.MaxTokens),
		Chat:     placement.ChatKey(d.Chat),
		Model:    d.Model,
		Service:  d.Service,
		Exclude:  append([]string(nil), exclude...),
		MaxWait:  maxWait(ctx, d.Class),
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
	return wait
}

// grant makes the caller's grant; ok is false if the target is not to be used
// any more.
func (s *Scheduler) grant(r pool.Request, result pool.Result) (_ *filter.Grant, ok bool) {
	target := s.cfg.View.Target(result.Target)
	if target == nil || target.Incarnation != result.Incarnation || s.closed(target) {
		return nil, false
	}
	s.metrics.granted(result)
	var once sync.Once
	return &filter.Grant{
		Target: target,
		Reasons: []filter.Reason{
			{Step: "placement", Target: result.Target, Text: result.Why.String()},
			{Step: "admission", Target: result.Target, Text: "waited " + result.Waited.Round(time.Millisecond).String()},
		},
		Release: func(u filter.Usage) {
			once.Do(func() {
				s.metrics.released(u)
				s.local.release(r.ID)
			})
		},
	}, true
}

func (s *Scheduler) refusal(result pool.Result, d filter.Demand) *filter.Refusal {
	s.metrics.refused(result.Code)
	return &filter.Refusal{
		Code:       result.Code,
		Text:       refusalText(result.Code, d),
		RetryAfter: result.RetryAfter,
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
	default:
		return "the wait for " + what + " would be too long"
	}
}

// CacheEvents takes the events numbered from, from+1 and so on of an engine's
// cache. It returns resync if earlier ones are missing: the engine should then
// send placement.EventCleared and all that it holds.
func (s *Scheduler) CacheEvents(target string, incarnation, from uint64, events []placement.CacheEvent) (resync bool) {
	return s.local.cacheEvents(target, incarnation, from, events)
}
