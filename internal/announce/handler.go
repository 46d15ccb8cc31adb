package announce

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Defaults of the periods that targets are told.
const (
	DefaultLease    = 2500 * time.Millisecond
	DefaultInterval = 500 * time.Millisecond
)

const (
	// requestHeaderBytes and replyHeaderBytes are about what the headers of one
	// request and one answer take.
	requestHeaderBytes = 160
	replyHeaderBytes   = 72
	// routerListEvery is the number of announcements of which one is answered with
	// the other routers' addresses, besides those that begin a listing.
	routerListEvery = 16
	// maxRoutersInReply bounds the addresses in an answer.
	maxRoutersInReply = 8
)

// Paths of the targets' interface.
const (
	PathAnnounce    = "/v1/targets/announce"
	PathCacheEvents = "/v1/targets/cache-events"
	PathLeave       = "/v1/targets/leave"
)

// Registry takes what targets announce; member.Members is one.
type Registry interface {
	// Announce takes a status that is proven to have been sent at provenAt or
	// later; the zero time proves nothing.
	Announce(st *pb.TargetStatus, provenAt time.Time) error
	// TargetLeaves ends an incarnation for new work, for good.
	TargetLeaves(id string, incarnation uint64)
}

// Config sets up the handler.
type Config struct {
	// Token that targets bear.
	Token    string
	Registry Registry
	View     fleet.View
	// CacheEvents takes cache events and tells whether a resync is wanted; nil
	// drops them.
	CacheEvents func(ctx context.Context, e *CacheEvents) (resync bool)
	// Budget counts what targets send and are answered; nil counts nothing.
	Budget *budget.Budget
	// Lease and Every are what targets are told; zero means the defaults.
	Lease    time.Duration
	Interval time.Duration
	Logger   *log.Logger
	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
}

type handler struct {
	Config
	stamps   stampIssuer
	pacer    *pacer
	accepted tally.Counter
	refused  tally.Counter
}

// NewHandler returns the handler of the targets' listener.
func NewHandler(cfg Config) http.Handler {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.CacheEvents == nil {
		cfg.CacheEvents = func(context.Context, *CacheEvents) bool { return false }
	}
	scope := cfg.Scope.SubScope("announce")
	h := &handler{
		Config:   cfg,
		stamps:   newStampIssuer(time.Now()),
		pacer:    newPacer(cfg.Interval, cfg.Lease),
		accepted: scope.Counter("accepted"),
		refused:  scope.Counter("refused"),
	}
	r := mux.NewRouter()
	r.HandleFunc(PathAnnounce, h.announce).Methods(http.MethodPost)
	r.HandleFunc(PathCacheEvents, h.cacheEvents).Methods(http.MethodPost)
	r.HandleFunc(PathLeave, h.leave).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(h.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(h.methodNotAllowed)
	r.Use(h.authorize)
	return r
}

func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(h.Token)) != 1 {
			h.writeError(w, r, http.StatusUnauthorized, "unauthorized", "the target token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	state := h.View.Self().GetState()
	if state == pb.RouterState_ROUTER_STATE_GONE {
		// The others don't hear any more what this router is told.
		h.writeError(w, r, http.StatusServiceUnavailable, "gone", "this router has left; announce to another")
		return
	}
	st, stamp, err := parseAnnouncement(body)
	if err != nil {
		h.writeError(w, r, http.StatusBadRequest, "invalid", oneLine(err))
		return
	}
	now := time.Now()
	provenAt, proven := h.stamps.issuedAt(stamp, now)
	if err := h.Registry.Announce(st, provenAt); err != nil {
		h.writeError(w, r, http.StatusConflict, "conflict", oneLine(err))
		return
	}
	h.accepted.Inc(1)
	reply := &Reply{
		LeaseMS:         h.Lease.Milliseconds(),
		AnnounceEveryMS: h.pacer.interval(st.Id, now).Milliseconds(),
		Stamp:           h.stamps.issue(now),
		Listed:          proven && now.Sub(provenAt) < h.Lease,
		Draining:        state == pb.RouterState_ROUTER_STATE_DRAINING,
	}
	if !reply.Draining && reply.Listed {
		known := fleetSize{targets: len(h.View.Targets()), routers: len(h.View.Routers())}
		reply.TooManyTargets = h.pacer.redirect(known)
	}
	if !reply.Listed || reply.Draining || reply.TooManyTargets || st.Sequence%routerListEvery == 0 {
		reply.Routers = h.otherRouters(st.DataCentre)
	}
	h.writeReply(w, reply)
}

// otherRouters returns where else the target may announce, its own data centre
// first.
func (h *handler) otherRouters(dataCentre string) []string {
	near, far := []string{}, []string{}
	self := h.View.Self().GetId()
	for _, r := range h.View.Routers() {
		switch {
		case r.Id == self || r.TargetAddr == "" || r.State == pb.RouterState_ROUTER_STATE_DRAINING:
		case r.DataCentre == dataCentre:
			near = append(near, r.TargetAddr)
		default:
			far = append(far, r.TargetAddr)
		}
	}
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), maxRoutersInReply)]
}

// shuffle spreads the targets over the routers.
func shuffle(addrs []string) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	events := &CacheEvents{}
	if !h.readJSON(w, r, events) {
		return
	}
	if err := checkCacheEvents(events); err != nil {
		h.writeError(w, r, http.StatusBadRequest, "invalid", oneLine(err))
		return
	}
	h.writeReply(w, &CacheReply{Resync: h.CacheEvents(r.Context(), events)})
}

func (h *handler) leave(w http.ResponseWriter, r *http.Request) {
	req := &LeaveRequest{}
	if !h.readJSON(w, r, req) {
		return
	}
	if req.ID == "" || len(req.ID) > MaxNameBytes || req.Incarnation == 0 {
		h.writeError(w, r, http.StatusBadRequest, "invalid", "id and incarnation of the leaving target must be given")
		return
	}
	h.Registry.TargetLeaves(req.ID, req.Incarnation)
	h.Logger.Info().Str("step", "leave").Str("peer", req.ID).Uint64("incarnation", req.Incarnation).Msg("a target leaves")
	h.writeReply(w, struct{}{})
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, r, http.StatusNotFound, "not-found", "no such path: "+r.URL.Path)
}

func (h *handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, r, http.StatusMethodNotAllowed, "method-not-allowed", "this path takes POST only")
}

func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.writeError(w, r, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body is over the bound of %d bytes", MaxBodyBytes))
	case err != nil:
		h.writeError(w, r, http.StatusBadRequest, "invalid", "the body was not received whole")
	}
	if h.Budget != nil {
		h.Budget.CountReceived(budget.Announce, len(body)+requestHeaderBytes)
	}
	return body, err == nil
}

func (h *handler) readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, ok := h.readBody(w, r)
	if !ok {
		return false
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		h.writeError(w, r, http.StatusBadRequest, "invalid", "the body can't be read: "+oneLine(err))
		return false
	}
	return true
}

func (h *handler) writeReply(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		h.Logger.Error().Err(err).Str("step", "announce").Msg("an answer was not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if h.Budget != nil {
		h.Budget.Charge(budget.Announce, len(encoded)+replyHeaderBytes)
	}
	w.Header().Set("Content-Type", "application/json")
	// Nobody reads the date, which would take a fifth of the answer.
	w.Header()["Date"] = nil
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		h.Logger.Debug().Err(err).Str("step", "announce").Msg("an answer to a target was not sent")
	}
}

func (h *handler) writeError(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	h.refused.Inc(1)
	h.Logger.Warn().Str("step", "announce").Str("peer", r.RemoteAddr).Int("status", status).Msg(message)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorReply{Error: ErrorDetail{Code: code, Message: message, Step: "announce"}})
}

// oneLine makes an error one line of plain spaces.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
