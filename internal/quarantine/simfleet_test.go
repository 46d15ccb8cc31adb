package quarantine

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// latency is the time that a message between two routers takes.
	latency = 3 * time.Millisecond
	// downTime is the time for which an engine that crashed is down.
	downTime = 3 * time.Second
	// minStart and maxStart bound the time until an engine begins to answer.
	minStart = 50 * time.Millisecond
	maxStart = 400 * time.Millisecond
	// datagramOverhead is the size of a message's headers, signature and sender.
	datagramOverhead = 28 + 17 + 40
)

// simFleet is a simulated fleet of routers with real Guards, and engines that crash. It must be
// used in a synctest bubble.
type simFleet struct {
	t       *testing.T
	ctx     context.Context
	routers []*router
	engines []*engine
	rng     *rand.Rand
	// loss is the share of messages that are lost; cut reports whether two routers can't
	// reach each other.
	loss float64
	cut  func(from, to *router) bool

	mu       sync.Mutex
	requests sync.WaitGroup
	bad      map[string]bool
	// crashes and arrivals hold the times at which bad requests ended engines and were
	// sent to them.
	crashes  []time.Time
	arrivals []time.Time
	// answered, refused and interrupted count the sound requests.
	answered, refused, interrupted int
	// sent is the number of requests with a key of their own.
	sent int
}

type router struct {
	status  *pb.RouterStatus
	running atomic.Pointer[Guard]
	stop    context.CancelFunc
	// old is set for a router of a build without the quarantine, partsOnly for one of a
	// build that knows no requests in it.
	old, partsOnly atomic.Bool
	// sent holds the sizes of the messages sent, by second.
	sent map[int64]int
}

type engine struct {
	id        uint64
	crashed   chan struct{}
	downUntil time.Time
}

// guard returns the Guard that runs at the router since its last start.
func (r *router) guard() *Guard { return r.running.Load() }

// known returns those of the keys that the router's build passes to its Guard.
func (r *router) known(keys []string) []string {
	if !r.partsOnly.Load() {
		return keys
	}
	return slices.DeleteFunc(slices.Clone(keys), IsRequestKey)
}

// withoutRequests removes the fields that a build without requests does not send.
func withoutRequests(q *pb.Quarantine) {
	q.PlainTrials, q.PlainFailures, q.FailedTargets, q.FailuresAtTargets = 0, 0, nil, nil
	for _, r := range q.Records {
		r.CrashedRequests = nil
	}
}

func newFleet(t *testing.T, routers, engines int, seed uint64) *simFleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &simFleet{t: t, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), bad: make(map[string]bool)}
	for i := range routers {
		f.routers = append(f.routers, &router{
			status: &pb.RouterStatus{
				Id:         fmt.Sprintf("router-%03d", i),
				PeerAddr:   fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250+1),
				CallerAddr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1),
				State:      pb.RouterState_ROUTER_STATE_SERVING,
			},
			sent: make(map[int64]int),
		})
	}
	for _, r := range f.routers {
		f.start(r)
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{id: uint64(i + 1), crashed: make(chan struct{})})
	}
	t.Cleanup(cancel)
	return f
}

// start starts or restarts a router without any state.
func (f *simFleet) start(r *router) {
	if r.stop != nil {
		r.stop()
	}
	var statuses []*pb.RouterStatus
	for _, other := range f.routers {
		statuses = append(statuses, other.status)
	}
	guard := New(Config{
		Self:    r.status.Id,
		Routers: func() []*pb.RouterStatus { return statuses },
		Send:    func(to []string, q *pb.Quarantine) { f.send(r, to, q) },
		Logger:  &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Scope:   tally.NoopScope,
	})
	r.running.Store(guard)
	ctx, cancel := context.WithCancel(f.ctx)
	r.stop = cancel
	if !r.old.Load() {
		go guard.Run(ctx)
	}
}

// send delivers a message unless it is lost. Routers of old builds ignore it.
func (f *simFleet) send(from *router, to []string, q *pb.Quarantine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range to {
		i := slices.IndexFunc(f.routers, func(r *router) bool { return r.status.PeerAddr == addr })
		receiver := f.routers[i]
		from.sent[time.Now().Unix()] += proto.Size(q) + datagramOverhead
		if receiver.old.Load() || f.rng.Float64() < f.loss || f.cut != nil && f.cut(from, receiver) {
			continue
		}
		message := proto.CloneOf(q)
		if from.partsOnly.Load() {
			withoutRequests(message)
		}
		time.AfterFunc(latency, func() { receiver.guard().Handle(from.status.Id, from.status.PeerAddr, message) })
	}
}

// setCut sets which routers can't reach each other from now on, none if cut is nil.
func (f *simFleet) setCut(cut func(from, to *router) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// soundRetries is how often an interrupted sound request is sent again, through a random
// router: once by its router and once by its caller.
const soundRetries = 2

// request sends one request through a router to an engine that is up.
func (f *simFleet) request(r *router, parts ...string) { f.try(r, soundRetries, parts) }

// try sends a request. If it is sound and interrupted, it is sent again retries times.
func (f *simFleet) try(r *router, retries int, parts []string) {
	f.mu.Lock()
	var up []*engine
	for _, e := range f.engines {
		if time.Now().After(e.downUntil) {
			up = append(up, e)
		}
	}
	bad := slices.ContainsFunc(parts, func(p string) bool { return f.bad[p] })
	f.mu.Unlock()
	if !r.old.Load() && r.guard().Admit(r.known(parts)) != nil {
		if !bad {
			f.count(&f.refused)
		}
		return
	}
	if len(up) == 0 {
		return
	}
	f.mu.Lock()
	e, sent := up[f.rng.IntN(len(up))], time.Now()
	id, crashed := e.id, e.crashed
	start := minStart + time.Duration(f.rng.Int64N(int64(maxStart-minStart)))
	if bad {
		f.arrivals = append(f.arrivals, sent)
	}
	f.mu.Unlock()
	f.requests.Go(func() {
		select {
		case <-crashed:
			f.observe(r, id, parts, sent, Interrupted, bad)
			if !bad && retries > 0 {
				f.try(f.randomRouter(), retries-1, parts)
			}
		case <-time.After(start):
			if bad {
				f.crash(e, id)
				f.mu.Lock()
				f.crashes = append(f.crashes, time.Now())
				f.mu.Unlock()
				f.observe(r, id, parts, sent, Interrupted, true)
				return
			}
			f.observe(r, id, parts, sent, Answered, false)
		}
	})
}

func (f *simFleet) count(n *int) {
	f.mu.Lock()
	*n++
	f.mu.Unlock()
}

func (f *simFleet) observe(r *router, engine uint64, parts []string, sent time.Time, o Outcome, bad bool) {
	switch {
	case bad:
	case o == Answered:
		f.count(&f.answered)
	default:
		f.count(&f.interrupted)
	}
	if !r.old.Load() {
		r.guard().Observe("id", &pb.TargetStatus{Id: fmt.Sprint(engine)}, r.known(parts), sent, o)
	}
}

// crash ends one incarnation of an engine and interrupts the requests that it has not begun
// to answer.
func (f *simFleet) crash(e *engine, id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.id != id {
		return
	}
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.id += 1_000_000
	e.downUntil = time.Now().Add(downTime)
}

func (f *simFleet) crashAll() {
	for _, e := range f.engines {
		f.crash(e, e.id)
	}
}

func (f *simFleet) randomRouter() *router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[f.rng.IntN(len(f.routers))]
}

// soundPrompt returns the parts of a sound request: one of a few first parts and one of
// many documents, of which most are rare.
func (f *simFleet) soundPrompt() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	doc := int(300 * f.rng.Float64() * f.rng.Float64())
	return []string{fmt.Sprint("first-", f.rng.IntN(3)), fmt.Sprint("doc-", doc)}
}

// ownKey returns the key of a request that is like no other.
func (f *simFleet) ownKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return RequestKey(fmt.Sprint(f.sent), true)
}

// badPrompt returns the sound parts, and the request's own key, that accompany a bad part. A
// bad request is always the same, with the same parts.
func (f *simFleet) badPrompt(part string) []string {
	if IsRequestKey(part) {
		return []string{"first-0", "doc-0"}
	}
	return append(f.soundPrompt(), f.ownKey())
}

// traffic sends sound requests, and requests with each of the given parts or request keys, at
// these rates a second for a time.
func (f *simFleet) traffic(length time.Duration, sound float64, bad map[string]float64) {
	const tick = 10 * time.Millisecond
	f.mu.Lock()
	for part := range bad {
		f.bad[part] = true
	}
	f.mu.Unlock()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(tick) {
		for range f.arrivalsIn(tick, sound) {
			f.request(f.randomRouter(), append(f.soundPrompt(), f.ownKey())...)
		}
		for part, perSecond := range bad {
			for range f.arrivalsIn(tick, perSecond) {
				f.request(f.randomRouter(), append(f.badPrompt(part), part)...)
			}
		}
	}
}

// arrivalsIn returns the number of arrivals in a time, at random around the rate.
func (f *simFleet) arrivalsIn(length time.Duration, perSecond float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := perSecond * length.Seconds()
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// heldAt returns the parts that a router holds.
func (f *simFleet) heldAt(r *router) []string {
	var parts []string
	for _, h := range r.guard().HeldParts().Parts {
		parts = append(parts, h.Part)
	}
	return parts
}

// wantHeld checks that each router of a build with the quarantine holds these parts and no
// others.
func (f *simFleet) wantHeld(want ...string) {
	f.t.Helper()
	slices.Sort(want)
	for _, r := range f.routers {
		if got := f.heldAt(r); !r.old.Load() && !slices.Equal(got, want) {
			f.t.Errorf("%s holds %s, want %s", r.status.Id, strings.Join(got, ","), strings.Join(want, ","))
		}
	}
}

// later returns the number of bad requests that were sent later than a time after the last
// of the allowed crashes.
func (f *simFleet) later(crashesAllowed int, after time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashesAllowed {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[crashesAllowed-1]) > after {
			n++
		}
	}
	return n
}

// checkBytes checks that no router exceeded the budget of control traffic, and returns the most
// bytes a second that one sent.
func (f *simFleet) checkBytes() float64 {
	f.t.Helper()
	bytes := f.maxBytesPerSecond(controlWindow)
	if bytes > controlBytesPerSecond {
		f.t.Errorf("a router sent %.0f bytes a second over %d s, over %d", bytes, controlWindow, controlBytesPerSecond)
	}
	return bytes
}

// maxBytesPerSecond returns the most bytes a second that a router sent on average over any
// window of this many seconds.
func (f *simFleet) maxBytesPerSecond(window int64) float64 {
	most := 0
	for _, r := range f.routers {
		for second := range r.sent {
			sum := 0
			for i := range window {
				sum += r.sent[second+i]
			}
			most = max(most, sum)
		}
	}
	return float64(most) / float64(window)
}
