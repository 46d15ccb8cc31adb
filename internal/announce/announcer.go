package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// callTimeout bounds one announcement, so that a target can try several routers
	// before its lease expires.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the wait after a failed announcement.
	retryDelay = 100 * time.Millisecond
	// maxRouters bounds the known router addresses.
	maxRouters = 64
	// maxReplyBytes bounds the body of a router's reply.
	maxReplyBytes = 64 << 10
)

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	// Routers are the initial addresses (IP number and port) of routers' target
	// listeners.
	Routers []string
	// Token is the bearer token with which targets authenticate to routers.
	Token string
	// Status returns the target's current status. The Announcer sets its sequence
	// number.
	Status func() *pb.TargetStatus
	// Transport sends the HTTP requests; if nil, NewAnnouncer creates one.
	Transport http.RoundTripper
	Logger    *log.Logger
}

// Announcer announces one target to one router at a time and switches to another
// router when that one fails, drains or has too many targets.
type Announcer struct {
	cfg    AnnouncerConfig
	client *http.Client

	// callMu serialises the requests to routers, so that sequence numbers arrive in
	// order. It guards the fields from sequence to stamps.
	callMu   sync.Mutex
	sequence uint64
	leaving  bool
	// routers are the known addresses; the first one is in use.
	routers []string
	// stamps holds the latest stamp from each router, by address.
	stamps map[string]string

	wake chan struct{}
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
}

// NewAnnouncer creates and starts an Announcer. Close stops it.
func NewAnnouncer(cfg AnnouncerConfig) (*Announcer, error) {
	if len(cfg.Routers) == 0 {
		return nil, errs.New(step, "", "no router to announce to")
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{IdleConnTimeout: 10 * time.Second}
	}
	a := &Announcer{
		cfg:     cfg,
		client:  &http.Client{Transport: cfg.Transport, Timeout: callTimeout},
		routers: slices.Clone(cfg.Routers),
		stamps:  make(map[string]string),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	rand.Shuffle(len(a.routers), func(i, j int) { a.routers[i], a.routers[j] = a.routers[j], a.routers[i] })
	a.done.Go(a.loop)
	return a, nil
}

// step is this package's step name in errors.
const step = "announce"

// AnnounceNow makes the next announcement without waiting for the interval to end.
// It is called after a change of the status.
func (a *Announcer) AnnounceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Announcer) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-a.wake:
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		wait, err := a.announce(ctx)
		cancel()
		if err != nil {
			a.cfg.Logger.Warn().Err(err).Str("step", errs.Step(err)).Str("peer", errs.Peer(err)).Msg("announcement failed")
		}
		timer.Reset(wait)
	}
}

// announce makes one announcement and returns the wait until the next one.
func (a *Announcer) announce(ctx context.Context) (time.Duration, error) {
	a.callMu.Lock()
	defer a.callMu.Unlock()
	router := a.routers[0]
	body, err := a.encodeAnnouncement(router)
	if err != nil {
		return DefaultInterval, errs.Wrap(err, step, "")
	}
	reply := &Reply{}
	if err := a.post(ctx, router, PathAnnounce, body, reply); err != nil {
		a.moveToEnd(router)
		return retryDelay, err
	}
	a.stamps[router] = reply.Stamp
	if reply.Routers != nil {
		a.updateRouters(router, reply.Routers)
	}
	if reply.Draining || reply.TooManyTargets {
		a.moveToEnd(router)
		return retryDelay, nil
	}
	if !reply.Listed {
		// The target is listed only after an announcement with the new stamp.
		return retryDelay / 10, nil
	}
	return max(retryDelay, time.Duration(reply.AnnounceEveryMS)*time.Millisecond), nil
}

// encodeAnnouncement encodes the target's status, with the next sequence number,
// together with the latest stamp from the router.
func (a *Announcer) encodeAnnouncement(router string) ([]byte, error) {
	a.sequence++
	st := a.cfg.Status()
	st.Sequence = a.sequence
	st.Leaving = st.Leaving || a.leaving
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(st)
	if err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return nil, err
	}
	stamp, err := json.Marshal(a.stamps[router])
	if err != nil {
		return nil, err
	}
	fields["stamp"] = stamp
	return json.Marshal(fields)
}

// updateRouters keeps the router in use and replaces the other known addresses by
// those that this router returned and the configured ones.
func (a *Announcer) updateRouters(inUse string, returned []string) {
	known := []string{inUse}
	for _, addr := range slices.Concat(returned, a.cfg.Routers) {
		if len(known) < maxRouters && !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	a.routers = known
	for addr := range a.stamps {
		if !slices.Contains(known, addr) {
			delete(a.stamps, addr)
		}
	}
}

// moveToEnd moves the router to the end of the list. It deletes the router's stamp:
// by the time that this router is used again, the stamp would be about as old as a
// lease.
func (a *Announcer) moveToEnd(router string) {
	delete(a.stamps, router)
	if a.routers[0] == router {
		a.routers = append(a.routers[1:], router)
	}
}

func (a *Announcer) post(ctx context.Context, router, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, step, router)
	}
	req.Header.Set("Authorization", "Bearer "+a.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errs.Wrap(err, step, router)
	}
	defer resp.Body.Close()
	replyBody, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errs.Wrap(err, step, router)
	}
	if resp.StatusCode != http.StatusOK {
		return errs.New(step, router, fmt.Sprintf("the router answered %s: %s", resp.Status, bytes.TrimSpace(replyBody)))
	}
	return errs.Wrap(json.Unmarshal(replyBody, into), step, router)
}

// CacheEvents sends cache events to the router in use. resync is set if the router
// requests a resync.
func (a *Announcer) CacheEvents(ctx context.Context, events *CacheEvents) (resync bool, err error) {
	body, err := json.Marshal(events)
	if err != nil {
		return false, errs.Wrap(err, step, "")
	}
	a.callMu.Lock()
	defer a.callMu.Unlock()
	reply := &CacheReply{}
	err = a.post(ctx, a.routers[0], PathCacheEvents, body, reply)
	return reply.Resync, err
}

// Leave announces that this incarnation of the target accepts no new work. It tries
// the known routers in turn until one accepts the request. Later announcements mark
// the target as leaving; they may continue until its work in flight has ended.
func (a *Announcer) Leave(ctx context.Context) error {
	st := a.cfg.Status()
	body, err := json.Marshal(LeaveRequest{ID: st.Id, Incarnation: st.Incarnation})
	if err != nil {
		return errs.Wrap(err, step, "")
	}
	a.callMu.Lock()
	defer a.callMu.Unlock()
	a.leaving = true
	for _, router := range slices.Clone(a.routers) {
		if err = a.post(ctx, router, PathLeave, body, &struct{}{}); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// Close stops the announcements. If Leave was not called before, the target stays
// listed until its lease expires.
func (a *Announcer) Close() {
	a.once.Do(func() { close(a.stop) })
	a.done.Wait()
	a.client.CloseIdleConnections()
}
