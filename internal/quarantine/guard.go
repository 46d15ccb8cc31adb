package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// step is the name of this processing step in log lines.
	step = "quarantine"
	// roundInterval is the time between two rounds of updates, updateFanout the number
	// of routers that receive the updates of one round.
	roundInterval = 150 * time.Millisecond
	updateFanout  = 3
	// digestInterval is the time between two digests, each to one router.
	digestInterval = 2 * time.Second
	// requestInterval is the time between two requests for the decisions of two other
	// routers after the start. They end with the first reply, or after maxRequests.
	requestInterval = 300 * time.Millisecond
	maxRequests     = 20
	requestFanout   = 2
	// bytesPerSecond and burstBytes bound what a router sends.
	bytesPerSecond = 1024
	burstBytes     = 8 << 10
	// messageOverhead is the size of a message without its records: datagram headers,
	// signature and the sender's id.
	messageOverhead = 100
	// requestCollectors is the number of routers that collect the first crash of a request.
	requestCollectors = 2
	// singlesReserveBytes is what the limit of bytes must leave for updates if single
	// crashes are sent.
	singlesReserveBytes = burstBytes / 2
	// decisionsReserveBytes is what the limit of bytes must leave for new decisions if other
	// updates are sent.
	decisionsReserveBytes = burstBytes / 4
	// maxCountsBytes bounds the counts in a message.
	maxCountsBytes = 128
	// maxReplyMessages bounds the reply to a request for decisions.
	maxReplyMessages = 4
)

// Config configures a Guard. All fields are required.
type Config struct {
	// Self is the id of this router.
	Self string
	// Routers returns the known routers, including this one.
	Routers func() []*pb.RouterStatus
	// Send sends a message to the routers with these peer addresses. Delivery is not
	// guaranteed.
	Send   func(to []string, q *pb.Quarantine)
	Logger *log.Logger
	Scope  tally.Scope
}

// Guard runs the Detector of one router. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	limiter *rate.Limiter

	held        tally.Gauge
	suspects    tally.Gauge
	refused     tally.Counter
	interrupted tally.Counter
	decisions   tally.Counter
	lifted      tally.Counter

	mu       sync.Mutex
	detector *Detector
	// synced is set once another router has replied with its decisions. Updates on parts
	// that changed do not contain all decisions.
	synced bool
}

// New returns a Guard that holds no part. Run must be called for it to decide.
func New(c Config) *Guard {
	scope := c.Scope.SubScope("quarantine")
	return &Guard{
		cfg:         c,
		limiter:     rate.NewLimiter(bytesPerSecond, burstBytes),
		held:        scope.Gauge("held_parts"),
		suspects:    scope.Gauge("suspected_parts"),
		refused:     scope.Counter("refused_requests"),
		interrupted: scope.Counter("interrupted_requests"),
		decisions:   scope.Counter("holds"),
		lifted:      scope.Counter("lifted_holds"),
		detector:    NewDetector(c.Self),
	}
}

// Admit returns nil if a request whose prompt has these parts may be sent to an engine, and
// the hold on one of its parts otherwise.
func (g *Guard) Admit(parts []string) *Hold {
	var h *Hold
	g.do(func(d *Detector, now time.Time) { h = d.Admit(now, parts, g.rank) })
	if h != nil {
		g.refused.Inc(1)
	}
	return h
}

// rank returns the number of serving routers that probe a part before this one.
func (g *Guard) rank(part string) int {
	self := fleet.Score(part, g.cfg.Self)
	rank := 0
	for _, r := range balance.ServingRouters(g.cfg.Routers()) {
		if r.Id != g.cfg.Self && fleet.Score(part, r.Id) > self {
			rank++
		}
	}
	return rank
}

// TracksRequests reports whether there is evidence against any request. If there is none, the
// keys of requests need not be passed to Admit, MayRepeat, and Observe of answers.
func (g *Guard) TracksRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.TracksRequests()
}

// MayRepeat reports whether a request whose prompt has these parts may be sent to another
// engine after one has failed it.
func (g *Guard) MayRepeat(parts []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayRepeat(parts)
}

// Observe records the result of a request that was sent to a target at the given time.
func (g *Guard) Observe(requestID string, target *pb.TargetStatus, parts []string, sent time.Time, o Outcome) {
	if o == Interrupted {
		g.interrupted.Inc(1)
		g.cfg.Logger.Info().Str("step", step).Str("request_id", requestID).Str("peer", target.GetId()).
			Uint64("incarnation", target.GetIncarnation()).Strs("parts", parts[:min(len(parts), maxParts)]).
			Msg("a target closed the connection before it had answered")
	}
	key := fleet.TargetKey(target.GetId(), target.GetIncarnation())
	g.do(func(d *Detector, now time.Time) {
		d.Observe(now, Trial{Parts: parts, Target: key, Sent: sent, Outcome: o})
	})
}

// HeldParts returns the holds in force, by part.
func (g *Guard) HeldParts() *pb.HeldParts {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := &pb.HeldParts{Router: g.cfg.Self}
	for _, h := range g.detector.Holds(time.Now()) {
		held.Parts = append(held.Parts, &pb.HeldPart{
			Part:           h.Part,
			SinceMs:        h.Since.Milliseconds(),
			LeftMs:         h.Left.Milliseconds(),
			DecidedBy:      h.By,
			Strikes:        uint32(h.Strikes),
			Crashes:        uint32(h.Crashes),
			LastCrashMs:    h.LastCrash.Milliseconds(),
			AnsweredBefore: h.AnsweredBefore,
		})
	}
	return held
}

// LiftPart ends the hold on a part at all routers. It reports whether the part was held
// here.
func (g *Guard) LiftPart(part string) bool {
	lifted := false
	g.do(func(d *Detector, now time.Time) { lifted = d.Lift(now, part) })
	return lifted
}

// Handle processes a message of the router with the given id and peer address. If that router
// holds parts whose holds have ended, it is told so.
func (g *Guard) Handle(router, addr string, q *pb.Quarantine) {
	var reply []*pb.Quarantine
	var refuted []*pb.PartRecord
	g.do(func(d *Detector, now time.Time) {
		g.synced = g.synced || q.Reply
		d.MergeCounts(now, router, q)
		for _, r := range q.Records {
			if !d.Merge(now, r) {
				g.cfg.Logger.Warn().Str("step", step).Str("peer", router).Str("part", r.GetPart()).Msg("a record with invalid fields was ignored")
				continue
			}
			if own := d.Refutes(now, r); own != nil {
				refuted = append(refuted, own)
			}
		}
		if q.Want {
			reply = decisions(d, now)
		}
	})
	g.send([]string{addr}, refuted)
	for _, m := range reply {
		g.cfg.Send([]string{addr}, m)
	}
}

// decisions returns messages with the decided records, one without records if there are
// none.
func decisions(d *Detector, now time.Time) []*pb.Quarantine {
	var messages []*pb.Quarantine
	seen := make(map[string]bool)
	for len(messages) < maxReplyMessages {
		records := d.Digest(now)
		if len(messages) > 0 && (len(records) == 0 || seen[records[0].Part]) {
			break
		}
		for _, r := range records {
			seen[r.Part] = true
		}
		messages = append(messages, &pb.Quarantine{Records: records, Reply: true})
	}
	return messages
}

// do runs fn on the detector and reports the events that result.
func (g *Guard) do(fn func(d *Detector, now time.Time)) {
	g.mu.Lock()
	fn(g.detector, time.Now())
	events := g.detector.DrainEvents()
	g.mu.Unlock()
	for _, e := range events {
		g.report(e)
	}
}

func (g *Guard) report(e Event) {
	line := g.cfg.Logger.Warn()
	switch e.Kind {
	case Held:
		g.decisions.Inc(1)
	case LiftedByAnswer, LiftedByOperator:
		g.lifted.Inc(1)
		line = g.cfg.Logger.Info()
	}
	h := e.Hold
	line.Str("step", step).Str("part", h.Part).Str("decided_by", h.By).Int64("since_ms", h.Since.Milliseconds()).
		Int64("left_ms", h.Left.Milliseconds()).Int("strikes", h.Strikes).Int("crashes", h.Crashes).
		Int64("last_crash_ms", h.LastCrash.Milliseconds()).Bool("answered_before", h.AnsweredBefore).Msg(string(e.Kind))
}

// Run decides and exchanges records with the other routers until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	var nextDigest, nextRequest time.Time
	requests := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sendUpdates()
			if !now.Before(nextDigest) {
				nextDigest = now.Add(digestInterval)
				g.sendDigest()
			}
			if requests < maxRequests && !now.Before(nextRequest) && g.requestDecisions() {
				nextRequest = now.Add(requestInterval)
				requests++
			}
		}
	}
}

func (g *Guard) sendUpdates() {
	var records []*pb.PartRecord
	g.do(func(d *Detector, now time.Time) {
		d.Tick(now)
		g.held.Update(float64(len(d.Holds(now))))
		g.suspects.Update(float64(d.Suspects()))
		tokens := int(g.limiter.TokensAt(now))
		available := func(tokens int) int {
			return min(maxUpdateBytes, tokens/updateFanout-messageOverhead-maxCountsBytes)
		}
		records = d.Updates(now, available(tokens), available(tokens-decisionsReserveBytes))
	})
	g.send(g.randomPeers(updateFanout), records)
	g.sendSingles()
}

// sendSingles sends the evidence against requests that met one crash to the routers that
// collect it: those are few, because an engine that ends leaves many such requests.
func (g *Guard) sendSingles() {
	var records []*pb.PartRecord
	g.do(func(d *Detector, now time.Time) {
		// The updates of the next round must not wait for these.
		if g.limiter.TokensAt(now) >= singlesReserveBytes {
			records = d.Singles(now)
		}
	})
	byRouter := make(map[string][]*pb.PartRecord)
	for _, r := range records {
		for _, addr := range g.collectors(r.Part) {
			byRouter[addr] = append(byRouter[addr], r)
		}
	}
	for addr, batch := range byRouter {
		g.send([]string{addr}, batch)
	}
}

// collectors returns the peer addresses of the first requestCollectors serving routers by
// rendezvous hashing of a request's key, without this router.
func (g *Guard) collectors(key string) []string {
	var addrs []string
	for _, r := range balance.FirstServing(key, g.cfg.Routers(), requestCollectors) {
		if r.Id != g.cfg.Self {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	return addrs
}

func (g *Guard) sendDigest() {
	var records []*pb.PartRecord
	g.do(func(d *Detector, now time.Time) { records = d.Digest(now) })
	g.send(g.randomPeers(1), records)
}

// requestDecisions requests the decisions of other routers unless one has sent some. It
// reports whether a request was sent.
func (g *Guard) requestDecisions() bool {
	g.mu.Lock()
	synced := g.synced
	g.mu.Unlock()
	peers := g.randomPeers(requestFanout)
	if synced || len(peers) == 0 {
		return false
	}
	g.cfg.Send(peers, &pb.Quarantine{Want: true})
	return true
}

// send sends records, unless there are none or the limit of bytes is reached.
func (g *Guard) send(to []string, records []*pb.PartRecord) {
	if len(records) == 0 || len(to) == 0 {
		return
	}
	m := &pb.Quarantine{Records: records}
	g.mu.Lock()
	g.detector.SetCounts(time.Now(), m)
	g.mu.Unlock()
	if g.limiter.AllowN(time.Now(), len(to)*(proto.Size(m)+messageOverhead)) {
		g.cfg.Send(to, m)
	}
}

// randomPeers returns the peer addresses of up to n other routers that serve callers.
func (g *Guard) randomPeers(n int) []string {
	var addrs []string
	for _, r := range g.cfg.Routers() {
		if r.CallerAddr != "" && r.Id != g.cfg.Self {
			addrs = append(addrs, r.PeerAddr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
