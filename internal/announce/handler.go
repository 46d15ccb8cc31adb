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

// Default periods that a router returns to targets.
const (
	DefaultLease    = 2500 * time.Millisecond
	DefaultInterval = 500 * time.Millisecond
)

const (
	// requestHeaderBytes and replyHeaderBytes are the approximate sizes of the
	// headers of one request and one reply.
	requestHeaderBytes = 160
	replyHeaderBytes   = 72
	// routerListEvery is the number of a target's announcements after which a reply
	// contains the addresses of other routers again. Replies to announcements
	// without a valid stamp and replies that redirect the target always contain
	// them.
	routerListEvery = 16
	// maxRoutersInReply bounds the router addresses in one reply.
	maxRoutersInReply = 8
)

// Paths of the HTTP interface for targets.
const (
	PathAnnounce    = "/v1/targets/announce"
	PathCacheEvents = "/v1/targets/cache-events"
	PathLeave       = "/v1/targets/leave"
)

// Registry receives the announcements of targets. member.Members implements it.
type Registry interface {
	// Announce records a status. provenAt is when this router issued the stamp that
	// came with the status: the target sent the status after that time. The zero
	// time means that the age of the status is unknown.
	Announce(st *pb.TargetStatus, provenAt time.Time) error
	// TargetLeaves marks an incarnation of a target as leaving. This incarnation
	// never receives new work again.
	TargetLeaves(id string, incarnation uint64)
}

// Config configures the handler.
type Config struct {
	// Token is the bearer token that targets must send.
	Token    string
	Registry Registry
	View     fleet.View
	// CacheEvents handles cache events and reports whether the engine must resend
	// the contents of its cache; if nil, events are dropped.
	CacheEvents func(ctx context.Context, e *CacheEvents) (resync bool)
	// Budget accounts for the bytes received from targets and sent to them; nil
	// disables the accounting.
	Budget *budget.Budget
	// Lease and Interval are the lease time and the shortest announce interval that
	// are returned to targets; zero means the default.
	Lease    time.Duration
	Interval time.Duration
	Logger   *log.Logger
	// Scope receives the metrics; nil drops them.
	Scope tally.Scope
}

type handler struct {
	Config
	stamps   stampIssuer
	pacer    *pacer
	accepted tally.Counter
	refused  tally.Counter
}

// NewHandler returns the HTTP handler for the target listener.
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
		// A router that has left no longer propagates updates to other routers.
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

// otherRouters returns addresses of other routers to which the target may announce,
// those in its own data centre first.
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

// shuffle randomises the order of addrs, so that targets are distributed over the
// routers.
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
		h.writeError(w, r, http.StatusBadRequest, "invalid", "the request body was not received completely")
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
		h.Logger.Error().Err(err).Str("step", "announce").Msg("encoding the reply failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if h.Budget != nil {
		h.Budget.Charge(budget.Announce, len(encoded)+replyHeaderBytes)
	}
	w.Header().Set("Content-Type", "application/json")
	// Targets do not read the Date header, which would take a fifth of the reply.
	w.Header()["Date"] = nil
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		h.Logger.Debug().Err(err).Str("step", "announce").Msg("sending the reply to a target failed")
	}
}

func (h *handler) writeError(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	h.refused.Inc(1)
	h.Logger.Warn().Str("step", "announce").Str("peer", r.RemoteAddr).Int("status", status).Msg(message)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorReply{Error: ErrorDetail{Code: code, Message: message, Step: "announce"}})
}

// oneLine returns the text of an error on one line, with each run of white space
// replaced by one space.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
